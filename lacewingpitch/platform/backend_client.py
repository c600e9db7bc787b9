"""Sends requests to backend servers, as the platform has them sent."""

from collections.abc import AsyncIterator
import contextlib
import errno
import time
import types

import aiohttp
import yarl

from lacewingpitch import backend_call
from lacewingpitch.platform import names
from lacewingpitch import session_pool

# A connection that takes longer meets an instance that is down, or behind
# a cut.
_CONNECT_TIMEOUT_S = 0.4
# Connections that are idle for longer are closed.  Servers close theirs
# after seconds, some sooner than they say; a request that crosses this is
# sent once more.
_MAX_IDLE_S = 5.0
_MS_PER_S = 1000
_LEAST_DEADLINE_MS = 1
_MOST_PRIORITY = 9
_OTHER_INCARNATION = 421
_CLOSE = 'close'
_READ_BUFFER_BYTES = 1 << 16
_MAX_REASON_CHARS = 160


class _Connection:
    """What is known of the connection of one request."""

    is_kept = False


class HttpBackendClient:
    """Sends requests, on connections that were used before where it may.

    A new connection costs 1 ms of its server, and one for each request
    costs more than all other messages together.  A connection is used
    again only after an answer that was whole and framed, with no byte
    after it, and only while it has hardly been idle.  The id of an answer
    shows one that belongs to another request.
    """

    def __init__(
        self,
        single_use: aiohttp.ClientSession,
        kept: session_pool.SessionPool,
    ) -> None:
        self._single_use = single_use
        self._kept = kept

    @contextlib.asynccontextmanager
    async def send(
        self, call: backend_call.BackendCall
    ) -> AsyncIterator[backend_call.BackendAnswer]:
        """Send a request; see `backend_call.BackendClient`."""
        async with self._session(call) as session:
            response = await self._open(session, call)
            try:
                _check_ran(call, response)
                yield backend_call.BackendAnswer(
                    status=response.status,
                    headers=_end_to_end(response),
                    is_leaving=_says_close(response),
                    chunks=_chunks(response),
                )
            finally:
                response.close()

    def _session(
        self, call: backend_call.BackendCall
    ) -> contextlib.AbstractAsyncContextManager[aiohttp.ClientSession]:
        if call.may_share_connection:
            return self._kept.use(call.server)
        return contextlib.nullcontext(self._single_use)

    async def _open(
        self, session: aiohttp.ClientSession, call: backend_call.BackendCall
    ) -> aiohttp.ClientResponse:
        request = call.request
        server = call.server
        url = yarl.URL(
            f'http://{server.ip}:{server.port}{request.target}', encoded=True
        )
        connection = _Connection()
        try:
            return await session.request(
                request.method,
                url,
                data=request.body or None,
                headers=_headers(call),
                allow_redirects=False,
                trace_request_ctx=connection,
            )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise backend_call.NotSentError(
                _reason(error), is_refused=_is_refused(error)
            ) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            if connection.is_kept:
                raise backend_call.StaleConnectionError(
                    _reason(error)
                ) from error
            raise backend_call.AnswerLostError(_reason(error)) from error


def new_client(exits: contextlib.AsyncExitStack) -> HttpBackendClient:
    """Return a client whose connections close with `exits`."""
    single_use = _new_session(aiohttp.TCPConnector(limit=0, force_close=True))
    exits.push_async_callback(single_use.close)
    kept = session_pool.SessionPool(_new_keeping_session)
    exits.push_async_callback(kept.close)
    return HttpBackendClient(single_use, kept)


def _new_keeping_session() -> aiohttp.ClientSession:
    return _new_session(
        aiohttp.TCPConnector(limit=0, keepalive_timeout=_MAX_IDLE_S)
    )


async def _note_kept(
    _session: aiohttp.ClientSession,
    context: types.SimpleNamespace,
    _params: aiohttp.TraceConnectionReuseconnParams,
) -> None:
    context.trace_request_ctx.is_kept = True


def _new_session(connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
    trace = aiohttp.TraceConfig()
    trace.on_connection_reuseconn.append(_note_kept)
    return aiohttp.ClientSession(
        connector=connector,
        trace_configs=[trace],
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=(
            'Accept',
            'Accept-Encoding',
            'Content-Type',
            'User-Agent',
        ),
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=_CONNECT_TIMEOUT_S
        ),
        read_bufsize=_READ_BUFFER_BYTES,
    )


def _reason(error: Exception) -> str:
    """Return what went wrong, without the request that it went wrong for.

    The library's text of some errors holds all headers, which belong to
    the caller, and fill the log.
    """
    text = str(error)
    if isinstance(error, aiohttp.ClientResponseError):
        text = error.message
    return f'{type(error).__name__}: {text}'[:_MAX_REASON_CHARS]


def _is_refused(error: aiohttp.ClientError) -> bool:
    return (
        isinstance(error, aiohttp.ClientConnectorError)
        and error.os_error.errno == errno.ECONNREFUSED
    )


def _headers(call: backend_call.BackendCall) -> list[tuple[str, str]]:
    request = call.request
    left_s = call.deadline_at_s - time.monotonic()
    left_ms = max(_LEAST_DEADLINE_MS, int(left_s * _MS_PER_S))
    headers = [
        *request.headers,
        (names.DEADLINE_MS, str(left_ms)),
        (names.EXPECT_INCARNATION, call.server.name),
    ]
    if call.last_event_id:
        headers.append((names.LAST_EVENT_ID, str(call.last_event_id)))
    if request.model:
        rank = min(request.rank, _MOST_PRIORITY)
        headers.append((names.PRIORITY, str(rank)))
    if request.organisation is not None:
        headers.append((names.ORGANISATION, request.organisation.name))
    if call.adapter_version:
        headers.append((names.EXPECT_VERSION, str(call.adapter_version)))
    return headers


def _check_ran(
    call: backend_call.BackendCall, response: aiohttp.ClientResponse
) -> None:
    # An answer of another request may lie where this one's is due.
    answered_id = response.headers.get(names.REQUEST_ID)
    if answered_id not in (None, call.request.request_id):
        raise backend_call.AnswerLostError('the answer is not to this request')
    if response.status == _OTHER_INCARNATION:
        raise backend_call.NotRunError(
            'another incarnation or version', is_other_server=True
        )
    if names.NOT_RUN in response.headers:
        raise backend_call.NotRunError(
            f'status {response.status}', is_other_server=False
        )
    if answered_id is None:
        raise backend_call.AnswerLostError('the answer names no request')
    if 'Content-Encoding' in response.headers:
        raise backend_call.AnswerLostError('the answer is encoded')


def _end_to_end(response: aiohttp.ClientResponse) -> backend_call.Headers:
    return tuple(
        (name, value)
        for name, value in response.headers.items()
        if name.lower() not in names.HOP_BY_HOP
    )


def _says_close(response: aiohttp.ClientResponse) -> bool:
    return response.headers.get('Connection', '').lower() == _CLOSE


async def _chunks(response: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    connection = response.connection
    protocol = connection.protocol if connection else None
    try:
        async for chunk in response.content.iter_any():
            yield chunk
    except (aiohttp.ClientError, OSError) as error:
        raise backend_call.AnswerLostError(_reason(error)) from error
    if _is_framed(response) or protocol is None:
        return
    # An answer without a length ends with its connection.  The library
    # takes a reset for such an end; the answer would be cut, and a
    # caller would take it for whole.
    if isinstance(protocol.exception(), OSError):
        raise backend_call.AnswerLostError('reset before the end')


def _is_framed(response: aiohttp.ClientResponse) -> bool:
    headers = response.headers
    return 'Content-Length' in headers or 'Transfer-Encoding' in headers
