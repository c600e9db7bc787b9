"""Bodies of HTTP responses that end with their connection."""

from collections.abc import AsyncIterator

import aiohttp

_STATUSES_WITHOUT_BODY = frozenset({204, 304})


def is_framed(response: aiohttp.ClientResponse) -> bool:
    """Whether a response marks the end of its body, or can have none."""
    if response.method == 'HEAD' or response.status in _STATUSES_WITHOUT_BODY:
        return True
    headers = response.headers
    return 'Content-Length' in headers or 'Transfer-Encoding' in headers


async def chunks(response: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    """Yield the body of a response as it arrives.

    Raises
    ------
    aiohttp.ClientError, OSError
        The body broke off.  aiohttp treats a reset as the end of a body
        that does not mark its own; this does not.
    """
    connection = response.connection
    protocol = connection.protocol if connection else None
    async for chunk in response.content.iter_any():
        yield chunk
    if is_framed(response) or protocol is None:
        return
    if isinstance(protocol.exception(), OSError):
        raise ConnectionResetError('reset before the end')
