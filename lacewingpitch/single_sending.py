"""HTTP client sessions that send each request once.

By itself aiohttp sends a request again whose connection breaks before its
response, if the method is idempotent by the HTTP standard.  Here the caller
decides what may be repeated, so that each repeat can be counted and logged.
"""

from collections.abc import Awaitable, Callable
import contextvars
import types
from typing import Any, TypeVar

import aiohttp
import structlog

_Result = TypeVar('_Result')
log = structlog.get_logger(__name__)


class BrokenConnectionError(aiohttp.ClientError):
    """The connection broke before the response; the request may have run.

    Attributes
    ----------
    cause
        The error of the connection.
    is_reused
        Whether the connection had been used before.
    """

    def __init__(self, cause: aiohttp.ClientError, is_reused: bool) -> None:
        super().__init__(f'{type(cause).__name__}: {cause}')
        self.cause = cause
        self.is_reused = is_reused


class _Sending:
    """One request on its way."""

    def __init__(self) -> None:
        self.is_reused = False


# The request that the current task sends.
_sending: contextvars.ContextVar[_Sending] = contextvars.ContextVar('sending')


def new_session(
    trace_configs: tuple[aiohttp.TraceConfig, ...] = (), **options: Any
) -> aiohttp.ClientSession:
    """Return a session that sends each request once.

    Redirects are followed unless a request says otherwise.
    """
    trace = aiohttp.TraceConfig()
    trace.on_connection_reuseconn.append(_mark_reused)
    return aiohttp.ClientSession(
        middlewares=(_send_once,),
        trace_configs=[trace, *trace_configs],
        **options,
    )


async def read_twice_if_stale(
    read: Callable[[], Awaitable[_Result]], name: str
) -> _Result:
    """Read, and once more if the read broke on a reused connection.

    A server may close an idle connection as a request arrives on it.

    Parameters
    ----------
    read
        Sends a request that changes nothing.
    name
        Name of the server, for the log.
    """
    try:
        return await read()
    except BrokenConnectionError as error:
        if not error.is_reused:
            raise
        log.info('read again on a new connection', server=name)
    return await read()


async def _send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    sending = _Sending()
    token = _sending.set(sending)
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        # aiohttp repeats a request for these two errors only.
        raise BrokenConnectionError(error, sending.is_reused) from error
    finally:
        _sending.reset(token)


async def _mark_reused(
    _session: aiohttp.ClientSession,
    _context: types.SimpleNamespace,
    _params: aiohttp.TraceConnectionReuseconnParams,
) -> None:
    _sending.get().is_reused = True
