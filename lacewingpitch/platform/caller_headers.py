"""Parsing of the headers of callers' requests."""

import re

from aiohttp import web

from lacewingpitch import backend_call
from lacewingpitch import errors
from lacewingpitch.platform import names

# Far above the length of any answer; bounds what callers may state.
_MAX_EXPECTED_TOKENS = 1 << 20
# As ID:TOKENS.
_PROMPT_PART = re.compile(r' *([0-9A-Fa-f]{1,64}):([0-9]{1,15}) *')
# Bounds what callers may state; prompts have a few.
_MAX_PROMPT_PARTS = 64
# Longer numbers are not valid times or counts, and slow to parse.
_MAX_NUMBER_DIGITS = 15


def api_key(request: web.BaseRequest) -> str:
    """Return the API key of the caller; empty if it sent none or several."""
    sent = request.headers.getall(names.AUTHORIZATION, ())
    if len(sent) != 1:
        return ''
    scheme, _, key = sent[0].partition(' ')
    if scheme.lower() != names.AUTHORIZATION_SCHEME:
        return ''
    return key.strip()


def number(request: web.BaseRequest, name: str) -> int:
    """Return the number in a header; 0 if the header is absent.

    Raises
    ------
    RefusalError
        The header is not a whole number.
    """
    text = request.headers.get(name, '')
    if not text:
        return 0
    if not _is_number(text):
        raise errors.RefusalError(
            errors.ErrorKind.BAD_REQUEST, f'{name} is not a whole number'
        )
    return int(text)


def expected_tokens(request: web.BaseRequest) -> int:
    """Return the tokens that the caller expects; 0 if not stated."""
    # It is only an estimate, so a malformed value is ignored.
    stated = _parse_count(request.headers.get(names.EXPECTED_TOKENS, ''))
    return min(stated, _MAX_EXPECTED_TOKENS)


def tokens(request: web.BaseRequest) -> tuple[int, int]:
    """Return the tokens of the prompt and the maximum of the answer.

    Each is 0 if it is absent or malformed.
    """
    prompt, _, answer = request.headers.get(names.TOKENS, '').partition(',')
    return _parse_count(prompt), _parse_count(answer)


def shared_parts(request: web.BaseRequest) -> tuple[str, ...]:
    """Return the ids of the parts of the prompt that others may share.

    These are all parts but the last, which belongs to the request itself or
    to its session.  A malformed list counts as absent.
    """
    listed = ','.join(request.headers.getall(names.PROMPT_PARTS, ()))
    if not listed:
        return ()
    found = [_PROMPT_PART.fullmatch(part) for part in listed.split(',')]
    if len(found) > _MAX_PROMPT_PARTS or not all(found):
        return ()
    ids = [match[1].lower() for match in found if match]
    shared = (part for part in ids[:-1] if part != ids[-1])
    return tuple(dict.fromkeys(shared))


def _parse_count(text: str) -> int:
    text = text.strip()
    return int(text) if _is_number(text) else 0


def _is_number(text: str) -> bool:
    return text.isdecimal() and len(text) <= _MAX_NUMBER_DIGITS


def forwarded(
    request: web.BaseRequest, has_event_id: bool, forwards_key: bool
) -> backend_call.Headers:
    """Return the headers to forward unchanged to the backend server.

    Parameters
    ----------
    has_event_id
        Whether the system sets the id of the last event itself.
    forwards_key
        Whether the backend server checks the keys of callers itself.
    """
    dropped = names.HOP_BY_HOP | names.SYSTEM_ONLY
    for option in request.headers.getall('Connection', ()):
        dropped |= {name.strip().lower() for name in option.split(',')}
    if not forwards_key:
        dropped |= names.CREDENTIALS
    if has_event_id:
        dropped |= {names.LAST_EVENT_ID.lower()}
    return tuple(
        (name, value)
        for name, value in request.headers.items()
        if name.lower() not in dropped
    )
