"""HTTP client sessions that send each request once, and check its status.

By itself aiohttp sends a request again whose connection breaks before its
response, if the method is idempotent by the HTTP standard.  Here the caller
decides what may be repeated, so that each repeat can be counted and logged.
A response whose status HTTP does not know is an error for each caller.
"""

from collections.abc import Awaitable, Callable
import types
from typing import Any, TypeVar

import aiohttp
import structlog

from lacewingpitch import reusable_connection

# Final responses; aiohttp reads interim ones itself.
_MIN_STATUS = 200
_MAX_STATUS = 599
_Result = TypeVar('_Result')
log = structlog.get_logger(__name__)


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


class InvalidStatusError(aiohttp.ClientPayloadError):
    """The status of the response is none; the request may have run."""

    def __init__(self, status: int) -> None:
        super().__init__(f'status {status} is not valid')


class SendingTrace:
    """What happens to one request until it is sent.

    It is passed to the session as `trace_request_ctx`.

    Parameters
    ----------
    admit
        Called just before the request is sent; may raise.

    Attributes
    ----------
    is_reused
        Whether its connection had been used before.
    sending_count
        How often the request was sent.
    """

    def __init__(self, admit: Callable[[], None] = lambda: None) -> None:
        self._admit = admit
        self.is_reused = False
        self.sending_count = 0

    def start_sending(self) -> None:
        """Admit the request, and count that it is sent."""
        self._admit()
        self.sending_count += 1


def new_session(**options: Any) -> aiohttp.ClientSession:
    """Return a session that sends each request once.

    Redirects are followed unless a request says otherwise.  Requests raise
    `InvalidStatusError` for responses that are neither a success nor any
    other final response of HTTP.
    """
    if 'connector' not in options:
        options['connector'] = reusable_connection.new_connector()
    trace = aiohttp.TraceConfig()
    trace.on_connection_reuseconn.append(_mark_reused)
    trace.on_request_headers_sent.append(_start_sending)
    return aiohttp.ClientSession(
        middlewares=(_send_once,), trace_configs=[trace], **options
    )


async def read_twice_if_stale(
    read: Callable[[SendingTrace], Awaitable[_Result]], name: str
) -> _Result:
    """Read, and once more if the read broke on a reused connection.

    A server may close an idle connection as a request arrives on it.

    Parameters
    ----------
    read
        Sends a request that changes nothing, with the given trace.
    name
        Name of the server, for the log.
    """
    trace = SendingTrace()
    try:
        return await read(trace)
    except BrokenConnectionError:
        if not trace.is_reused:
            raise
        log.info('read again on a new connection', server=name)
    return await read(SendingTrace())


async def _send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    try:
        response = await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        # aiohttp repeats a request for these two errors only.
        raise BrokenConnectionError(error) from error
    if not _MIN_STATUS <= response.status <= _MAX_STATUS:
        response.close()
        raise InvalidStatusError(response.status)
    return response


async def _mark_reused(
    _session: aiohttp.ClientSession,
    context: types.SimpleNamespace,
    _params: aiohttp.TraceConnectionReuseconnParams,
) -> None:
    trace = context.trace_request_ctx
    if trace is not None:
        trace.is_reused = True


async def _start_sending(
    _session: aiohttp.ClientSession,
    context: types.SimpleNamespace,
    _params: aiohttp.TraceRequestHeadersSentParams,
) -> None:
    # aiohttp calls this once it has a connection, before it writes to it.
    trace = context.trace_request_ctx
    if trace is not None:
        trace.start_sending()
