"""Decoding of JSON into frozen structs, with errors that name the field."""

import re
from typing import Any, TypeVar

import msgspec

from lacewingpitch import errors

Decoded = TypeVar('Decoded')

_PATH = re.compile(r' - at `(?P<path>\$[^`]*)`$')
_STEP = re.compile(r'\.(?P<name>[^.\[]+)|\[(?P<index>\d+)\]')
_MAX_VALUE_CHARS = 60
_SECRET_SUFFIX = '.secret'


class Record(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Base class of frozen structs that reject unknown fields."""


def decode_json(
    data: bytes | str, kind: type[Decoded], source: str
) -> Decoded:
    """Decode JSON text into an object of type `kind`.

    Parameters
    ----------
    data
        JSON text.
    kind
        Type of the struct to create.
    source
        Origin of the text, for error messages.

    Raises
    ------
    SettingsError
        The text is not JSON or does not match the type.  The message
        names the source, the field, its value and what is expected.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.ValidationError as error:
        raise errors.SettingsError(
            f'{source}: {_explain(str(error), data)}'
        ) from error
    except (msgspec.DecodeError, RecursionError) as error:
        raise errors.SettingsError(
            f'{source}: invalid JSON: {error}'
        ) from error


def _explain(message: str, data: bytes | str) -> str:
    match = _PATH.search(message)
    if match is None:
        return message
    path = match['path']
    reason = message[: match.start()]
    return f'field {path}: {reason}, got {_value_at(path, data)}'


def _value_at(path: str, data: bytes | str) -> str:
    if path.endswith(_SECRET_SUFFIX):
        return '(not shown)'
    try:
        value: Any = msgspec.json.decode(data)
    except (msgspec.DecodeError, RecursionError):
        # The type error of the field precedes a syntax error.
        return 'invalid JSON'
    for step in _STEP.finditer(path):
        name = step['name']
        try:
            value = value[name] if name else value[int(step['index'])]
        except (KeyError, IndexError, TypeError):
            return 'no value'
    text = msgspec.json.encode(value).decode()
    return (
        text
        if len(text) <= _MAX_VALUE_CHARS
        else f'{text[:_MAX_VALUE_CHARS]}...'
    )
