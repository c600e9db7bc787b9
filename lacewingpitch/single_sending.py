"""HTTP client sessions that send each request once.

By itself aiohttp sends a request again whose connection breaks before its
response, if the method is idempotent by the HTTP standard.  Here the route
decides what may be repeated, and repeats are counted.
"""

from typing import Any

import aiohttp


class BrokenConnectionError(aiohttp.ClientError):
    """The connection broke before the response; the request may have run.

    Attributes
    ----------
    cause
        The error of the connection.
    """

    def __init__(self, cause: aiohttp.ClientError) -> None:
        super().__init__(f'{type(cause).__name__}: {cause}')
        self.cause = cause


def new_session(**options: Any) -> aiohttp.ClientSession:
    """Return a session that sends each request once.

    Redirects are followed unless a request says otherwise.
    """
    return aiohttp.ClientSession(middlewares=(_send_once,), **options)


async def _send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        # aiohttp repeats a request for these two errors only.
        raise BrokenConnectionError(error) from error
