"""HTTP client for requests to backend servers."""

import collections
from collections.abc import AsyncIterator
import contextlib
import errno
import re
import time

import aiohttp
import structlog

from lacewingpitch import answer_framing
from lacewingpitch import backend_call
from lacewingpitch import clock as clock_module
from lacewingpitch import guarded_connection
from lacewingpitch.platform import names
from lacewingpitch.platform import notices
from lacewingpitch import request_target
from lacewingpitch import session_pool
from lacewingpitch import single_sending

# If connecting takes longer, the instance is down or unreachable.
_CONNECT_TIMEOUT_S = 0.4
# Connections that are idle for longer are closed.  Servers close idle
# connections after seconds, some earlier than they state; a request sent at
# that moment may have run, and needs another attempt.
_MAX_IDLE_S = 5.0
_MS_PER_S = 1000
_MIN_DEADLINE_MS = 1
_MAX_PRIORITY = 9
_STATUS_OTHER_INCARNATION = 421
_READ_BUFFER_BYTES = 1 << 16
_MAX_REASON_CHARS = 160
_MAX_ID_CHARS = 64
_STATUS_LINE = re.compile(r'HTTP/\d\.\d \d{3}(?: |$)')
# Holds a status line that began in the chunk before.
_MAX_STATUS_LINE_BYTES = 256
_STATUS_LINE_IN_BODY = re.compile(rb'HTTP/\d\.\d \d{3}[^\r\n]*\r\n')
log = structlog.get_logger(__name__)


class HttpBackendClient:
    """Sends requests, on persistent connections where that is safe.

    A new connection takes 1 ms of its server's time; one for each request
    costs more than all other messages together.  A connection is reused
    only after a complete response with a length or chunked encoding and no
    byte after it, and only if it was idle for a short time.  The request
    id in a response shows whether it belongs to another request.

    Parameters
    ----------
    single_use
        Session for requests that must not share a connection.
    pool
        Sessions with persistent connections.
    observer
        Learns what servers say about themselves.
    gate
        Stops requests to servers that must get none now.
    end_check
        Checks answers that end with their connection.

    Attributes
    ----------
    sending_counts
        How often requests were sent, by service.
    """

    def __init__(
        self,
        single_use: aiohttp.ClientSession,
        pool: session_pool.SessionPool,
        observer: backend_call.AnswerObserver,
        gate: backend_call.SendGate,
        end_check: backend_call.EndCheck,
        clock: clock_module.Clock,
    ) -> None:
        self._gate = gate
        self._end_check = end_check
        self._single_use = single_use
        self._pool = pool
        self._observer = observer
        self._clock = clock
        self.sending_counts: collections.Counter[str] = collections.Counter()

    @contextlib.asynccontextmanager
    async def send(
        self, call: backend_call.BackendCall
    ) -> AsyncIterator[backend_call.BackendAnswer]:
        """Send a request; see `backend_call.BackendClient`."""
        async with self._session(call) as session:
            asked_at_s = self._clock.boot_s()
            trace = single_sending.SendingTrace(lambda: self._gate.admit(call))
            response = await self._open(session, call, trace)
            try:
                if trace.is_reused:
                    _check_head(response)
                _check_request_id(call, response, trace.is_reused)
                self._observe(call, response, asked_at_s)
                _check_response(response)
                async with contextlib.AsyncExitStack() as exits:
                    end = None
                    is_framed = answer_framing.is_framed(response)
                    if not is_framed:
                        waited_s = self._clock.boot_s() - asked_at_s
                        end = await exits.enter_async_context(
                            self._end_check.watch(call.server, waited_s)
                        )
                    yield backend_call.BackendAnswer(
                        status=response.status,
                        headers=_end_to_end_headers(response),
                        chunks=self._chunks(call, response, end),
                        is_framed=is_framed,
                        body_bytes=response.content_length or 0,
                    )
            finally:
                response.close()

    def _observe(
        self,
        call: backend_call.BackendCall,
        response: aiohttp.ClientResponse,
        asked_at_s: float,
    ) -> None:
        # An answer of another incarnation, or of another program at the
        # address, says nothing about this server.
        if response.status == _STATUS_OTHER_INCARNATION:
            return
        if response.headers.get(names.REQUEST_ID) != call.request.request_id:
            return
        notice = notices.decode_notice(response, call.server.name)
        self._observer.record_answer(call.server, notice, asked_at_s)

    def _session(
        self, call: backend_call.BackendCall
    ) -> contextlib.AbstractAsyncContextManager[aiohttp.ClientSession]:
        if call.may_share_connection:
            return self._pool.use(call.server)
        return contextlib.nullcontext(self._single_use)

    async def _open(
        self,
        session: aiohttp.ClientSession,
        call: backend_call.BackendCall,
        trace: single_sending.SendingTrace,
    ) -> aiohttp.ClientResponse:
        request = call.request
        server = call.server
        url = request_target.url(f'{server.ip}:{server.port}', request.target)
        try:
            return await session.request(
                request.method,
                url,
                data=request.body or None,
                headers=_request_headers(call),
                allow_redirects=False,
                trace_request_ctx=trace,
            )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise backend_call.NotSentError(
                _reason(error), is_refused=_is_refused(error)
            ) from error
        except single_sending.InvalidStatusError as error:
            raise backend_call.AnswerLostError(str(error)) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            if trace.is_reused:
                raise backend_call.StaleConnectionError(
                    _reason(error)
                ) from error
            raise backend_call.AnswerLostError(_reason(error)) from error
        finally:
            self._record_sendings(call, trace.sending_count)

    async def _chunks(
        self,
        call: backend_call.BackendCall,
        response: aiohttp.ClientResponse,
        end: backend_call.EndWatch | None,
    ) -> AsyncIterator[bytes]:
        recent = b''
        try:
            async for chunk in response.content.iter_any():
                if end is not None:
                    # Only its connection ends it, after all that is written.
                    recent = recent[-_MAX_STATUS_LINE_BYTES:] + chunk
                    if _STATUS_LINE_IN_BODY.search(recent):
                        raise backend_call.AnswerLostError(
                            'a second response in the body'
                        )
                yield chunk
        except (aiohttp.ClientError, OSError) as error:
            raise backend_call.AnswerLostError(_reason(error)) from error
        if end is not None:
            await end.confirm(call.request.request_id)

    def _record_sendings(
        self, call: backend_call.BackendCall, count: int
    ) -> None:
        self.sending_counts[call.server.service] += count
        if count > 1:
            log.error(
                'request sent more than once in one attempt',
                request_id=call.request.request_id,
                backend_server=call.server.name,
                sendings=count,
            )


def new_client(
    exits: contextlib.AsyncExitStack,
    observer: backend_call.AnswerObserver,
    gate: backend_call.SendGate,
    end_check: backend_call.EndCheck,
    clock: clock_module.Clock,
) -> HttpBackendClient:
    """Return a client whose connections are closed by `exits`."""
    single_use = _new_session(
        guarded_connection.new_connector(limit=0, force_close=True)
    )
    exits.push_async_callback(single_use.close)
    pool = session_pool.SessionPool(_new_persistent_session)
    exits.push_async_callback(pool.close)
    return HttpBackendClient(
        single_use, pool, observer, gate, end_check, clock
    )


def _new_persistent_session() -> aiohttp.ClientSession:
    return _new_session(
        guarded_connection.new_connector(
            limit=0, keepalive_timeout=_MAX_IDLE_S
        )
    )


def _new_session(connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
    return single_sending.new_session(
        connector=connector,
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
    """Describe an error for the log, without data of the request.

    The messages of some aiohttp errors contain all headers, which are
    private to the caller and would fill the log.
    """
    if isinstance(error, single_sending.BrokenConnectionError):
        return _reason(error.cause)
    text = str(error)
    if isinstance(error, aiohttp.ClientResponseError):
        text = error.message
    return f'{type(error).__name__}: {text}'[:_MAX_REASON_CHARS]


def _is_refused(error: aiohttp.ClientError) -> bool:
    return (
        isinstance(error, aiohttp.ClientConnectorError)
        and error.os_error.errno == errno.ECONNREFUSED
    )


def _request_headers(call: backend_call.BackendCall) -> list[tuple[str, str]]:
    request = call.request
    remaining_s = call.deadline_at_s - time.monotonic()
    remaining_ms = max(_MIN_DEADLINE_MS, int(remaining_s * _MS_PER_S))
    headers = [
        *request.headers,
        (names.DEADLINE_MS, str(remaining_ms)),
        (names.EXPECT_INCARNATION, call.server.name),
    ]
    if call.last_event_id:
        headers.append((names.LAST_EVENT_ID, str(call.last_event_id)))
    if call.memory is not None:
        source = call.memory.source
        headers.append(
            (
                names.MEMORY_FROM,
                f'{source.ip}:{source.port}/{call.memory.text}',
            )
        )
    if request.model:
        rank = min(request.rank, _MAX_PRIORITY)
        headers.append((names.PRIORITY, str(rank)))
    if request.organisation is not None:
        headers.append((names.ORGANISATION, request.organisation.name))
    if call.adapter_version:
        headers.append((names.EXPECT_VERSION, str(call.adapter_version)))
    return headers


def _check_head(response: aiohttp.ClientResponse) -> None:
    # A late response that breaks off in its head runs together with the next
    # one, whose request id may be the only one in both.
    texts = (response.reason or '', *response.headers.values())
    if any(_STATUS_LINE.search(text) for text in texts):
        raise backend_call.AnswerLostError('two responses in one head')


def _check_request_id(
    call: backend_call.BackendCall,
    response: aiohttp.ClientResponse,
    is_reused: bool,
) -> None:
    # A late response to an earlier request may still be on the connection.
    response_request_ids = response.headers.getall(names.REQUEST_ID, [])
    if not response_request_ids and not is_reused:
        return
    # Two ids show that a head was cut short, and that another one followed.
    if response_request_ids != [call.request.request_id]:
        named = ', '.join(response_request_ids)[:_MAX_ID_CHARS]
        raise backend_call.AnswerLostError(
            f'the response is to another request: {named!r}'
        )


def _check_response(response: aiohttp.ClientResponse) -> None:
    if response.status == _STATUS_OTHER_INCARNATION:
        raise backend_call.NotRunError(
            'another incarnation or version', is_other_server=True
        )
    if names.NOT_RUN in response.headers:
        raise backend_call.NotRunError(
            f'status {response.status}', is_other_server=False
        )
    if names.REQUEST_ID not in response.headers:
        raise backend_call.AnswerLostError('the response has no request id')
    if 'Content-Encoding' in response.headers:
        raise backend_call.AnswerLostError('the response is compressed')
    if not answer_framing.is_decoded(response):
        raise backend_call.AnswerLostError('an unknown transfer coding')


def _end_to_end_headers(
    response: aiohttp.ClientResponse,
) -> backend_call.Headers:
    return tuple(
        (name, value)
        for name, value in response.headers.items()
        if name.lower() not in names.HOP_BY_HOP
    )
