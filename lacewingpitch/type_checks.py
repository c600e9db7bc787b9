"""Checks of decoded JSON against a type, with all mismatching fields."""

from collections.abc import Iterator
import dataclasses
import enum
import json
import types
import typing
from typing import Any, get_args, get_origin

import msgspec

ROOT = '$'
_MAX_VALUE_CHARS = 60
_SECRET_SUFFIX = '.secret'
_MISSING = object()


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One problem in a file.

    Parameters
    ----------
    source
        Path of the file, with the index of the contract in a shard.
    field
        Path of the field; ``$`` for the whole value.
    reason
        What is wrong, and what is expected.
    value
        The actual value as truncated JSON text; empty if there is none.
    """

    source: str
    field: str
    reason: str
    value: str = ''

    def __str__(self) -> str:
        """Return the problem as one line for an operator."""
        text = f'{self.source}: field {self.field}: {self.reason}'
        return f'{text}, got {self.value}' if self.value else text


def find_problems(
    value: Any, kind: Any, source: str, path: str = ROOT
) -> Iterator[Problem]:
    """Yield every mismatch between `value` and the type `kind`."""
    struct = _struct_for(value, kind)
    if struct is not None:
        yield from _struct_problems(value, struct, source, path)
        return
    item = _item_type(kind)
    if item is not None and isinstance(value, list):
        for number, part in enumerate(value):
            yield from find_problems(part, item, source, f'{path}[{number}]')
        return
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        reason = str(error).split(' - at `')[0] + _expected_values(kind)
        is_secret = path.endswith(_SECRET_SUFFIX)
        shown = '(not shown)' if is_secret else short_json(value)
        yield Problem(source, path, reason, shown)


def short_json(value: Any) -> str:
    """Return a value as JSON text, truncated to fit on a line."""
    text = json.dumps(value, default=str)
    return (
        text
        if len(text) <= _MAX_VALUE_CHARS
        else f'{text[:_MAX_VALUE_CHARS]}...'
    )


def _struct_for(value: Any, kind: Any) -> type[msgspec.Struct] | None:
    """Return the struct type for an object, chosen by its tag in a union."""
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
                f'Unknown field, expected one of {", ".join(sorted(fields))}',
                short_json(value[name]),
            )
    problem_count = 0
    for name, field in fields.items():
        part = value.get(name, _MISSING)
        if part is not _MISSING:
            for problem in find_problems(
                part, field.type, source, f'{path}.{name}'
            ):
                problem_count += 1
                yield problem
        elif field.required:
            problem_count += 1
            yield Problem(source, f'{path}.{name}', 'Required field missing')
    if not problem_count and set(value) <= allowed:
        yield from _struct_validation_problems(value, struct, source, path)


def _struct_validation_problems(
    value: dict[str, Any],
    struct: type[msgspec.Struct],
    source: str,
    path: str,
) -> Iterator[Problem]:
    """Yield problems that only the validation of the whole struct finds.

    The fields must already match their types.
    """
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


def _expected_values(kind: Any) -> str:
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return f', expected one of {", ".join(str(m.value) for m in kind)}'
    return ''
