"""Decoding of JSON into frozen structs, with errors that name the field."""

import re
from typing import Any, TypeVar

import msgspec

from lacewingpitch import errors

Decoded = TypeVar('Decoded')

_PATH = re.compile(r' - at `(?P<path>\$[^`]*)`$')
_STEP = re.compile(r'\.(?P<name>[^.\[]+)|\[(?P<index>\d+)\]')
_VALUE_LIMIT = 60
_SECRET_FIELD = '.secret'


class Record(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """A frozen data class that refuses fields it does not know."""


def decode_json(
    data: bytes | str, kind: type[Decoded], source: str
) -> Decoded:
    """Decode JSON text into `kind`.

    Parameters
    ----------
    data
        JSON text.
    kind
        The frozen struct to build.
    source
        Where the text comes from, for the error.

    Raises
    ------
    SettingsError
        Names the source, the field, its value and what is allowed.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.ValidationError as error:
        raise errors.SettingsError(
            f'{source}: {_explain(str(error), data)}'
        ) from error
    except (msgspec.DecodeError, RecursionError) as error:
        raise errors.SettingsError(f'{source}: not JSON: {error}') from error


def _explain(message: str, data: bytes | str) -> str:
    found = _PATH.search(message)
    if found is None:
        return message
    path = found['path']
    reason = message[: found.start()]
    return f'field {path}: {reason}, got {_value_at(path, data)}'


def _value_at(path: str, data: bytes | str) -> str:
    if path.endswith(_SECRET_FIELD):
        return 'a value that is not shown'
    try:
        value: Any = msgspec.json.decode(data)
    except (msgspec.DecodeError, RecursionError):
        # The field is wrong already before the text ceases to be JSON.
        return 'text that is not JSON'
    for step in _STEP.finditer(path):
        name = step['name']
        try:
            value = value[name] if name else value[int(step['index'])]
        except (KeyError, IndexError, TypeError):
            return 'nothing'
    text = msgspec.json.encode(value).decode()
    return text if len(text) <= _VALUE_LIMIT else f'{text[:_VALUE_LIMIT]}...'
