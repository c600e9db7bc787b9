"""Offline validation of settings and contracts.

All problems of all files are reported at once.  The daemons reject data
that does not decode; this module also reports data that decodes but
makes no sense, such as an adapter that is listed twice.
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
    """The kind of content of a file."""

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
# The first of these fields that an object has determines its kind.
_KIND_BY_FIELD = (
    ('backend_server', Kind.SIDECAR),
    ('customer', Kind.CONTRACT),
    ('contracts', Kind.SHARD),
    ('shards', Kind.INDEX),
    ('instance', Kind.ENTRY),
)


@dataclasses.dataclass(frozen=True, slots=True)
class CheckResult:
    """The result of checking one file, or one contract of a shard.

    Parameters
    ----------
    source
        Path of the file, with the index of the contract in a shard.
    kind
        Kind of content, or ``None`` if it is unknown.
    content
        The decoded data, or ``None`` if it does not decode.
    problems
        All problems found; empty if the content is valid.
    """

    source: str
    kind: Kind | None
    content: msgspec.Struct | None
    problems: tuple[type_checks.Problem, ...] = ()


def check_paths(
    paths: Iterable[pathlib.Path], kind: Kind | None = None
) -> list[CheckResult]:
    """Check files, each alone and all for conflicts with each other.

    Parameters
    ----------
    paths
        Files, and folders that are searched recursively for JSON files.
    kind
        Kind of content of every file; ``None`` to detect it per file.
    """
    results: list[CheckResult] = []
    for path in paths:
        for file in _files(path):
            results += check_file(file, kind)
    return _with_conflicts(results)


def check_file(
    path: pathlib.Path, kind: Kind | None = None
) -> list[CheckResult]:
    """Check one file alone; return one result per contract of a shard."""
    source = str(path)
    try:
        value = msgspec.json.decode(path.read_bytes())
    except OSError as error:
        reason = error.strerror or 'cannot be read'
        return [_unreadable(source, kind, reason)]
    except (ValueError, RecursionError) as error:
        return [_unreadable(source, kind, f'invalid JSON: {error}')]
    kind = kind or detect_kind(value)
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
    # The caller may name the kind, so the value may be any JSON.
    contracts = shard.get('contracts') if isinstance(shard, dict) else None
    return contracts if isinstance(contracts, list) else None


def check_value(value: Any, kind: Kind, source: str) -> CheckResult:
    """Check decoded JSON as one kind of content."""
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


def is_decodable(value: Any, kind: Kind) -> bool:
    """Whether a daemon would accept decoded JSON as this kind."""
    try:
        msgspec.convert(value, _TYPES[kind])
    except msgspec.ValidationError:
        return False
    return True


def detect_kind(value: Any) -> Kind | None:
    """Return the kind of decoded JSON by its fields, if it is known."""
    if not isinstance(value, dict):
        return None
    return next((k for f, k in _KIND_BY_FIELD if f in value), None)


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
    fields = ', '.join(f'{field!r} ({kind})' for field, kind in _KIND_BY_FIELD)
    return f'Expected an object with one of the fields {fields}'


def _with_conflicts(results: list[CheckResult]) -> list[CheckResult]:
    """Add conflicts between files, to each file but the first."""
    first_sources: dict[tuple[str, str], str] = {}
    complete = []
    for result in results:
        problems = list(result.problems)
        for field, meaning, value in _unique_values(result.content):
            first_source = first_sources.setdefault(
                (meaning, value), result.source
            )
            if first_source != result.source:
                problems.append(
                    type_checks.Problem(
                        result.source,
                        field,
                        f'{meaning} is already used in {first_source}',
                        type_checks.short_json(value),
                    )
                )
        complete.append(dataclasses.replace(result, problems=tuple(problems)))
    return complete


def _unique_values(
    content: msgspec.Struct | None,
) -> Iterator[tuple[str, str, str]]:
    """Yield field, meaning and value of data that must be unique."""
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
