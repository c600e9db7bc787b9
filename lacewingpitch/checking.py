"""Checking settings and contracts offline, with every error at once.

The daemons refuse what does not decode; this module also refuses what
decodes but cannot be meant, such as one adapter named twice.
"""

from collections.abc import Iterable, Iterator
import dataclasses
import enum
import pathlib
from typing import Any

import msgspec

from lacewingpitch import contract as contract_module
from lacewingpitch import published_contracts
from lacewingpitch import semantic_checks
from lacewingpitch import settings
from lacewingpitch import type_checks


class Kind(enum.StrEnum):
    """What a file may hold."""

    ENTRY = 'entry'
    SIDECAR = 'sidecar'
    CONTRACT = 'contract'
    INDEX = 'index'
    SHARD = 'shard'


_TYPES: dict[Kind, type[msgspec.Struct]] = {
    Kind.ENTRY: settings.EntrySettings,
    Kind.SIDECAR: settings.SidecarSettings,
    Kind.CONTRACT: contract_module.Contract,
    Kind.INDEX: published_contracts.ContractIndex,
    Kind.SHARD: published_contracts.ContractShard,
}
# The first of these fields that a file has tells what the file is.
_TELLING_FIELDS = (
    ('backend_server', Kind.SIDECAR),
    ('customer', Kind.CONTRACT),
    ('contracts', Kind.SHARD),
    ('shards', Kind.INDEX),
    ('instance', Kind.ENTRY),
)


@dataclasses.dataclass(frozen=True, slots=True)
class CheckResult:
    """One file or contract: what it holds, and what is wrong with it.

    Parameters
    ----------
    content
        The decoded data, or ``None`` if it does not decode.
    """

    source: str
    kind: Kind | None
    content: msgspec.Struct | None
    problems: tuple[type_checks.Problem, ...] = ()


def check_paths(
    paths: Iterable[pathlib.Path], kind: Kind | None = None
) -> list[CheckResult]:
    """Check files, and the JSON files in folders, each and together.

    Parameters
    ----------
    paths
        Files and folders; folders are searched through and through.
    kind
        What each file holds; told from its content if ``None``.
    """
    found: list[CheckResult] = []
    for path in paths:
        for file in _files(path):
            found += check_file(file, kind)
    return _with_shared_problems(found)


def check_file(
    path: pathlib.Path, kind: Kind | None = None
) -> list[CheckResult]:
    """Check one file alone; a shard gives one result per contract."""
    source = str(path)
    try:
        value = msgspec.json.decode(path.read_bytes())
    except OSError as error:
        reason = error.strerror or 'cannot be read'
        return [_unreadable(source, kind, reason)]
    except (ValueError, RecursionError) as error:
        return [_unreadable(source, kind, f'not JSON: {error}')]
    kind = kind or kind_of(value)
    if kind is None:
        return [_unreadable(source, None, _unknown_kind_reason())]
    contracts = _contracts_of(value) if kind is Kind.SHARD else None
    if contracts is None:
        return [check_value(value, kind, source)]
    return [
        check_value(content, Kind.CONTRACT, f'{source}[{number}]')
        for number, content in enumerate(contracts)
    ]


def _contracts_of(shard: Any) -> list[Any] | None:
    # What is said to be a shard may be any JSON.
    found = shard.get('contracts') if isinstance(shard, dict) else None
    return found if isinstance(found, list) else None


def check_value(value: Any, kind: Kind, source: str) -> CheckResult:
    """Check decoded JSON as settings or a contract."""
    struct = _TYPES[kind]
    problems = list(type_checks.find_problems(value, struct, source))
    if problems:
        return CheckResult(source, kind, None, tuple(problems))
    content = msgspec.convert(value, struct)
    if isinstance(content, contract_module.Contract):
        problems += semantic_checks.contract_problems(content, source)
    if isinstance(content, settings.ProcessSettings):
        problems += semantic_checks.settings_problems(content, source)
    return CheckResult(source, kind, content, tuple(problems))


def decodes(value: Any, kind: Kind) -> bool:
    """Whether a daemon would take decoded JSON as this kind."""
    try:
        msgspec.convert(value, _TYPES[kind])
    except msgspec.ValidationError:
        return False
    return True


def kind_of(value: Any) -> Kind | None:
    """Return what decoded JSON is meant to be, told by its fields."""
    if not isinstance(value, dict):
        return None
    return next((k for f, k in _TELLING_FIELDS if f in value), None)


def _files(path: pathlib.Path) -> list[pathlib.Path]:
    if path.is_dir():
        return sorted(p for p in path.rglob('*.json') if p.is_file())
    return [path]


def _unreadable(source: str, kind: Kind | None, reason: str) -> CheckResult:
    return CheckResult(
        source,
        kind,
        None,
        (type_checks.Problem(source, type_checks.ROOT, reason),),
    )


def _unknown_kind_reason() -> str:
    fields = ', '.join(
        f'{field!r} ({kind})' for field, kind in _TELLING_FIELDS
    )
    return f'Expected an object with one of the fields {fields}'


def _with_shared_problems(found: list[CheckResult]) -> list[CheckResult]:
    """Add what is wrong between files, to each file but the first."""
    owners: dict[tuple[str, str], str] = {}
    checked = []
    for item in found:
        problems = list(item.problems)
        for field, what, value in _unique_values(item.content):
            owner = owners.setdefault((what, value), item.source)
            if owner != item.source:
                problems.append(
                    type_checks.Problem(
                        item.source,
                        field,
                        f'{what} is also in {owner}',
                        type_checks.short_json(value),
                    )
                )
        checked.append(dataclasses.replace(item, problems=tuple(problems)))
    return checked


def _unique_values(
    content: msgspec.Struct | None,
) -> Iterator[tuple[str, str, str]]:
    """Yield field, meaning and value of what only one file may have."""
    if isinstance(content, contract_module.Contract):
        yield '$.customer', 'Customer', content.customer
        for digest in set(content.key_digests):
            yield '$.key_digests', 'Key digest', digest
    if isinstance(content, settings.ProcessSettings):
        scope = content.deployment
        yield '$.instance', 'Instance', f'{scope}/{content.instance}'
        for field in ('work_port', 'control_port'):
            port = getattr(content, field)
            if port:
                address = settings.Address(ip=content.ip, port=port)
                yield f'$.{field}', 'Address', address.url
