"""Whether HTTP responses mark the end of their bodies."""

import aiohttp

_STATUSES_WITHOUT_BODY = frozenset({204, 304})
_CHUNKED = ('chunked',)
_IDENTITY = ('identity',)


def is_framed(response: aiohttp.ClientResponse) -> bool:
    """Whether a response marks the end of its body, or can have none."""
    if response.method == 'HEAD' or response.status in _STATUSES_WITHOUT_BODY:
        return True
    codings = _transfer_codings(response)
    if codings:
        return codings == _CHUNKED
    return 'Content-Length' in response.headers


def is_decoded(response: aiohttp.ClientResponse) -> bool:
    """Whether its body is read without any transfer coding left in it."""
    return _transfer_codings(response) in ((), _CHUNKED, _IDENTITY)


def _transfer_codings(response: aiohttp.ClientResponse) -> tuple[str, ...]:
    listed = ','.join(response.headers.getall('Transfer-Encoding', ()))
    codings = (coding.strip().lower() for coding in listed.split(','))
    return tuple(coding for coding in codings if coding)
