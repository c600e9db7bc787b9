"""Parsing of the headers of callers' requests."""

from collections.abc import Iterable, Iterator
import dataclasses
import hashlib

from aiohttp import web

from lacewingpitch import backend_call
from lacewingpitch import errors
from lacewingpitch.platform import names

# Far above the length of any answer; bounds what callers may state.
_MAX_EXPECTED_TOKENS = 1 << 20
# Longer ids of parts are hashed.
_MAX_PART_ID_LENGTH = 64
_PART_DIGEST_BYTES = 16
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
    found = _whole_number(text)
    if found is None:
        raise errors.RefusalError(
            errors.ErrorKind.BAD_REQUEST, f'{name} is not a whole number'
        )
    return found


def expected_tokens(request: web.BaseRequest) -> int:
    """Return the tokens that the caller expects; 0 if not stated."""
    # It is only an estimate, so a malformed value is ignored.
    text = request.headers.get(names.EXPECTED_TOKENS, '')
    return min(_whole_number(text.strip()) or 0, _MAX_EXPECTED_TOKENS)


def tokens(request: web.BaseRequest) -> tuple[int, int]:
    """Return the tokens of the prompt and the maximum of the answer.

    Each is 0 if it is absent.

    Raises
    ------
    RefusalError
        Either is malformed, or both are stated more than once: the backend
        server might read other numbers than those that are charged.
    """
    listed = request.headers.getall(names.TOKENS, ())
    if len(listed) > 1:
        raise errors.RefusalError(
            errors.ErrorKind.BAD_REQUEST, f'several {names.TOKENS} headers'
        )
    prompt, _, answer = ''.join(listed).partition(',')
    return _count(prompt), _count(answer)


def shared_parts(request: web.BaseRequest) -> Iterable[str]:
    """Return the ids of the parts of the prompt that others may share.

    These are all parts but the last, which belongs to the request itself or
    to its session.  Malformed parts have ids as well, as an engine may read
    them all the same.
    """
    listed = request.headers.getall(names.PROMPT_PARTS, ())
    return _SharedParts(','.join(listed)) if listed else ()


@dataclasses.dataclass(frozen=True, slots=True)
class _SharedParts:
    """Ids of parts that are parsed each time they are iterated.

    They take far more memory than the header, and most requests need them
    only once.

    Parameters
    ----------
    listed
        All parts, as ID:TOKENS.
    """

    listed: str

    def __iter__(self) -> Iterator[str]:
        for part in self.listed.split(',')[:-1]:
            part_id = _part_id(part.strip().lower())
            if part_id:
                yield part_id


def _part_id(part: str) -> str:
    part_id = part.partition(':')[0].rstrip() or part
    if len(part_id) <= _MAX_PART_ID_LENGTH:
        return part_id
    data = part_id.encode(errors='surrogateescape')
    return hashlib.blake2b(data, digest_size=_PART_DIGEST_BYTES).hexdigest()


def _count(text: str) -> int:
    found = _whole_number(text.strip() or '0')
    if found is None:
        raise errors.RefusalError(
            errors.ErrorKind.BAD_REQUEST, f'{names.TOKENS} is malformed'
        )
    return found


def _whole_number(text: str) -> int | None:
    """Return a whole number; ``None`` if it is malformed or too large."""
    if not (text.isascii() and text.isdecimal()):
        return None
    digits = text.lstrip('0')
    return int(digits or '0') if len(digits) <= _MAX_NUMBER_DIGITS else None


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
