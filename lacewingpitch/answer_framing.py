"""Whether HTTP responses mark the end of their bodies."""

import aiohttp

_STATUSES_WITHOUT_BODY = frozenset({204, 304})


def is_framed(response: aiohttp.ClientResponse) -> bool:
    """Whether a response marks the end of its body, or can have none."""
    if response.method == 'HEAD' or response.status in _STATUSES_WITHOUT_BODY:
        return True
    headers = response.headers
    return 'Content-Length' in headers or 'Transfer-Encoding' in headers
