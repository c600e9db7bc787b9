"""Checking settings and contracts offline, with every error at once.

The daemons refuse what does not decode; this module also refuses what
decodes but cannot be meant, such as one adapter named twice.
"""

import collections
from collections.abc import Iterable, Iterator
import dataclasses
import enum
import json
import pathlib
import types
import typing
from typing import Any, get_args, get_origin

import msgspec

from lacewingpitch import contract as contract_module
from lacewingpitch import published_contracts
from lacewingpitch import settings

ROOT = '$'
HTTP_METHODS = frozenset(
    ('GET', 'HEAD', 'OPTIONS', 'POST', 'PUT', 'PATCH', 'DELETE', 'TRACE')
)
_METHODS_TEXT = ', '.join(sorted(HTTP_METHODS))
_VALUE_LIMIT = 60
_SECRET_FIELD = '.secret'
_MISSING = object()


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
class Problem:
    """One thing that is wrong.

    Parameters
    ----------
    source
        File, and the place in it where it holds several contracts.
    field
        Path of the field, ``$`` for the whole.
    reason
        What is wrong, and what is allowed.
    value
        The value found, as short JSON text; empty if there is none.
    """

    source: str
    field: str
    reason: str
    value: str = ''

    def __str__(self) -> str:
        """Return one line for an operator."""
        text = f'{self.source}: field {self.field}: {self.reason}'
        return f'{text}, got {self.value}' if self.value else text


@dataclasses.dataclass(frozen=True, slots=True)
class Checked:
    """One file or contract: what it holds, and what is wrong with it.

    Parameters
    ----------
    content
        The decoded data, or ``None`` if it does not decode.
    """

    source: str
    kind: Kind | None
    content: msgspec.Struct | None
    problems: tuple[Problem, ...] = ()


def check_paths(
    paths: Iterable[pathlib.Path], kind: Kind | None = None
) -> list[Checked]:
    """Check files, and the JSON files in folders, each and together.

    Parameters
    ----------
    paths
        Files and folders; folders are searched through and through.
    kind
        What each file holds; told from its content if ``None``.
    """
    found: list[Checked] = []
    for path in paths:
        for file in _files(path):
            found += check_file(file, kind)
    return _with_shared_problems(found)


def check_file(path: pathlib.Path, kind: Kind | None = None) -> list[Checked]:
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
    if kind is Kind.SHARD and isinstance(value.get('contracts'), list):
        return [
            check_value(content, Kind.CONTRACT, f'{source}[{number}]')
            for number, content in enumerate(value['contracts'])
        ]
    return [check_value(value, kind, source)]


def check_value(value: Any, kind: Kind, source: str) -> Checked:
    """Check decoded JSON as settings or a contract."""
    struct = _TYPES[kind]
    problems = list(type_problems(value, struct, source))
    if problems:
        return Checked(source, kind, None, tuple(problems))
    content = msgspec.convert(value, struct)
    if isinstance(content, contract_module.Contract):
        problems += contract_problems(content, source)
    if isinstance(content, settings.ProcessSettings):
        problems += settings_problems(content, source)
    return Checked(source, kind, content, tuple(problems))


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


def type_problems(
    value: Any, kind: Any, source: str, path: str = ROOT
) -> Iterator[Problem]:
    """Yield each place where `value` does not fit the type `kind`."""
    struct = _struct_for(value, kind)
    if struct is not None:
        yield from _struct_problems(value, struct, source, path)
        return
    item = _item_type(kind)
    if item is not None and isinstance(value, list):
        for number, part in enumerate(value):
            yield from type_problems(part, item, source, f'{path}[{number}]')
        return
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        reason = str(error).split(' - at `')[0] + _allowed(kind)
        is_secret = path.endswith(_SECRET_FIELD)
        shown = '(not shown)' if is_secret else short_json(value)
        yield Problem(source, path, reason, shown)


def contract_problems(
    contract: contract_module.Contract, source: str
) -> Iterator[Problem]:
    """Yield what decodes in a contract but cannot be meant."""
    yield from _duplicates(
        [grant.name for grant in contract.adapters], source, 'adapters'
    )
    yield from _duplicates(
        [grant.name for grant in contract.services], source, 'services'
    )
    yield from _duplicates(contract.key_digests, source, 'key_digests')
    if not contract.key_digests and not contract.revoked:
        yield Problem(
            source,
            '$.key_digests',
            'Expected at least one digest unless the contract is revoked',
            '[]',
        )
    first_token_s = contract.objective.first_token_s
    if contract.deadline_s < first_token_s:
        yield Problem(
            source,
            '$.deadline_s',
            'Expected no less than objective.first_token_s'
            f' ({first_token_s:g})',
            short_json(contract.deadline_s),
        )
    for number, grant in enumerate(contract.services):
        for method in grant.repeatable_methods:
            if method not in HTTP_METHODS:
                yield Problem(
                    source,
                    f'$.services[{number}].repeatable_methods',
                    f'Unknown method, allowed are {_METHODS_TEXT}',
                    short_json(method),
                )


def settings_problems(
    found: settings.ProcessSettings, source: str
) -> Iterator[Problem]:
    """Yield what decodes in settings but cannot work."""
    if found.work_port and found.work_port == found.control_port:
        yield Problem(
            source,
            '$.control_port',
            'Expected another port than work_port',
            short_json(found.control_port),
        )


def short_json(value: Any) -> str:
    """Return a value as JSON text that fits a line."""
    text = json.dumps(value, default=str)
    return text if len(text) <= _VALUE_LIMIT else f'{text[:_VALUE_LIMIT]}...'


def _files(path: pathlib.Path) -> list[pathlib.Path]:
    if path.is_dir():
        return sorted(p for p in path.rglob('*.json') if p.is_file())
    return [path]


def _unreadable(source: str, kind: Kind | None, reason: str) -> Checked:
    return Checked(source, kind, None, (Problem(source, ROOT, reason),))


def _unknown_kind_reason() -> str:
    fields = ', '.join(
        f'{field!r} ({kind})' for field, kind in _TELLING_FIELDS
    )
    return f'Expected an object with one of the fields {fields}'


def _struct_for(value: Any, kind: Any) -> type[msgspec.Struct] | None:
    """Return the struct that an object is checked against, field by field."""
    if not isinstance(value, dict):
        return None
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return kind
    for member in _union_members(kind):
        if member.__struct_config__.tag == value.get('type'):
            return member
    return None


def _union_members(kind: Any) -> list[type[msgspec.Struct]]:
    if get_origin(kind) not in (types.UnionType, typing.Union):
        return []
    return [
        member
        for member in get_args(kind)
        if isinstance(member, type) and issubclass(member, msgspec.Struct)
    ]


def _struct_problems(
    value: dict[str, Any],
    struct: type[msgspec.Struct],
    source: str,
    path: str,
) -> Iterator[Problem]:
    fields = {f.encode_name: f for f in msgspec.structs.fields(struct)}
    allowed = set(fields) | {struct.__struct_config__.tag_field}
    for name in value:
        if name not in allowed:
            yield Problem(
                source,
                f'{path}.{name}',
                f'Unknown field, allowed are {", ".join(sorted(fields))}',
                short_json(value[name]),
            )
    before = 0
    for name, field in fields.items():
        part = value.get(name, _MISSING)
        if part is not _MISSING:
            for problem in type_problems(
                part, field.type, source, f'{path}.{name}'
            ):
                before += 1
                yield problem
        elif field.required:
            before += 1
            yield Problem(source, f'{path}.{name}', 'Required field missing')
    if not before and set(value) <= allowed:
        yield from _whole_problems(value, struct, source, path)


def _whole_problems(
    value: dict[str, Any],
    struct: type[msgspec.Struct],
    source: str,
    path: str,
) -> Iterator[Problem]:
    """Yield what only the struct itself finds, once its fields fit."""
    try:
        msgspec.convert(value, struct)
    except msgspec.ValidationError as error:
        reason = str(error).split(' - at `')[0]
        yield Problem(source, path, reason, short_json(value))


def _item_type(kind: Any) -> Any:
    arguments = get_args(kind)
    if get_origin(kind) is tuple and arguments[1:] == (Ellipsis,):
        return arguments[0]
    return None


def _allowed(kind: Any) -> str:
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return f', allowed are {", ".join(str(m.value) for m in kind)}'
    return ''


def _duplicates(
    names: Iterable[str], source: str, field: str
) -> Iterator[Problem]:
    for name, count in collections.Counter(names).items():
        if count > 1:
            yield Problem(
                source,
                f'$.{field}',
                f'Expected each once, one is there {count} times',
                short_json(name),
            )


def _with_shared_problems(found: list[Checked]) -> list[Checked]:
    """Add what is wrong between files, to each file but the first."""
    owners: dict[tuple[str, str], str] = {}
    checked = []
    for item in found:
        problems = list(item.problems)
        for field, what, value in _unique_values(item.content):
            owner = owners.setdefault((what, value), item.source)
            if owner != item.source:
                problems.append(
                    Problem(
                        item.source,
                        field,
                        f'{what} is also in {owner}',
                        short_json(value),
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
