"""The HTTP interface of an entry towards callers, as the platform has it."""

import asyncio
import collections
from collections.abc import Awaitable, Callable
import contextlib
import time

from aiohttp import abc
from aiohttp import http_parser
from aiohttp import streams
from aiohttp import web
import structlog

from lacewingpitch import answer as answer_module
from lacewingpitch import backend_call
from lacewingpitch import clock as clock_module
from lacewingpitch import errors
from lacewingpitch import http_guard
from lacewingpitch import metrics as metrics_module
from lacewingpitch.platform import listening
from lacewingpitch.platform import names
from lacewingpitch import routing
from lacewingpitch import silent_connections
from lacewingpitch import start_wait as start_wait_module

_MS_PER_S = 1000
_CLOSE = 'close'
# Callers use connections again that were idle for less than this; one
# that is closed earlier may cross a request on its way.
_KEEPALIVE_S = 75.0
# A caller that takes no byte for so long has gone without a word.
_STALL_S = 10.0
_BODY_TIMEOUT_S = 10.0
# How exactly the limit of time for a first head is kept.
_LOOK_INTERVAL_S = 1.0
_MAX_LINE_BYTES = 16 << 10
# Far above any answer; what callers write is theirs.
_MAX_EXPECTED_TOKENS = 1 << 20
log = structlog.get_logger(__name__)

Serve = Callable[
    [backend_call.CallerRequest, backend_call.Delivery], Awaitable[None]
]


class ResponseDelivery:
    """Delivers one answer on the connection of its request."""

    def __init__(
        self, request: web.BaseRequest, is_draining: Callable[[], bool]
    ) -> None:
        self._request = request
        self._is_draining = is_draining
        self.response: web.StreamResponse | None = None

    @property
    def has_begun(self) -> bool:
        """Whether the head of an answer has been sent."""
        return self.response is not None

    async def send_whole(
        self, answer: backend_call.BackendAnswer, body: bytes
    ) -> None:
        """Send a whole answer."""
        response = web.Response(status=answer.status, body=body)
        await self._begin(response, answer)
        await response.write_eof()

    async def begin(self, answer: backend_call.BackendAnswer) -> None:
        """Send the head of a stream."""
        await self._begin(web.StreamResponse(status=answer.status), answer)

    async def write(self, events: bytes) -> None:
        """Send whole events of a stream."""
        assert self.response is not None
        await self.response.write(events)

    async def finish(self) -> None:
        """Mark a stream as complete."""
        assert self.response is not None
        await self.response.write_eof()

    async def refuse(
        self, error: errors.RefusalError, request_id: str
    ) -> None:
        """Send a refusal; once an answer has begun, cut it instead."""
        if self.response is not None:
            # Closed without the mark of its end, the stream is seen as
            # broken off and not as complete.
            transport = self._request.transport
            if transport is not None:
                transport.close()
            return
        headers = {names.REQUEST_ID: request_id} if request_id else {}
        if error.retry_after_s is not None:
            headers[names.RETRY_AFTER] = f'{error.retry_after_s:.3f}'
        response = web.Response(
            status=error.status,
            body=answer_module.error_json(error),
            headers=headers,
            content_type='application/json',
        )
        self.response = response
        self._close_when_draining(response)
        await response.prepare(self._request)
        await response.write_eof()

    async def _begin(
        self,
        response: web.StreamResponse,
        answer: backend_call.BackendAnswer,
    ) -> None:
        response.headers.clear()
        for name, value in answer.headers:
            response.headers.add(name, value)
        self._close_when_draining(response)
        self.response = response
        await response.prepare(self._request)

    def _close_when_draining(self, response: web.StreamResponse) -> None:
        if self._is_draining():
            response.force_close()


class Front:
    """Reads callers' requests and finds their routes.

    Parameters
    ----------
    serve
        Answers a request; raises `errors.RefusalError` otherwise.
    times
        Takes note of how long requests took, by outcome.
    start_wait
        How long requests wait until a configuration is known.
    """

    def __init__(
        self,
        table: routing.RoutingTable,
        serve: Serve,
        times: metrics_module.Seconds,
        start_wait: start_wait_module.StartWait,
        clock: clock_module.Clock,
    ) -> None:
        self._start_wait = start_wait
        self._table = table
        self._serve = serve
        self._times = times
        self.ended_by_outcome: collections.Counter[str] = collections.Counter()
        self.is_draining = False
        self.is_refusing = False
        self._busy: set[asyncio.BaseTransport] = set()
        self._silent: silent_connections.SilentConnections[
            asyncio.BaseTransport
        ] = silent_connections.SilentConnections(clock)
        self._server: web.Server | None = None
        self._site: web.TCPSite | None = None

    @property
    def in_progress(self) -> int:
        """Return how many requests are in progress."""
        return len(self._busy)

    async def listen(
        self, endpoint: str, exits: contextlib.AsyncExitStack
    ) -> None:
        """Take callers' connections until `exits` is left."""
        self._server = web.Server(
            self._handle,
            request_factory=self._new_request,
            handler_cancellation=True,
            access_log=None,
            logger=http_guard.SILENT_LOGGER,
            keepalive_timeout=_KEEPALIVE_S,
            max_line_size=_MAX_LINE_BYTES,
            max_field_size=_MAX_LINE_BYTES,
            auto_decompress=False,
        )
        self._start_wait.begin()
        self._site = await listening.listen(self._server, endpoint, exits)

    async def stop_listening(self) -> None:
        """Take no new connections."""
        if self._site is not None:
            site, self._site = self._site, None
            await site.stop()

    def close_idle(self) -> None:
        """Close connections on which no request is in progress.

        The others close with their answers.  The library's own way ends
        the task of an idle connection and leaves the connection open: a
        request that comes then is taken by nobody.
        """
        for transport in self._transports():
            if transport not in self._busy:
                transport.close()

    async def close_silent(self) -> None:
        """Close connections that never bring a request, for ever."""
        while True:
            await asyncio.sleep(_LOOK_INTERVAL_S)
            transports = self._transports()
            limit_s = self._limits.idle_timeout_s
            overdue = self._silent.overdue(transports, limit_s)
            for transport in overdue:
                transport.close()
            if overdue:
                log.info(
                    'silent connections closed',
                    count=len(overdue),
                    limit_s=limit_s,
                    open_count=len(transports),
                )

    def _transports(self) -> list[asyncio.BaseTransport]:
        """Return the connections that are open."""
        handlers = self._server.connections if self._server else ()
        return [
            handler.transport
            for handler in handlers
            if handler.transport is not None
        ]

    def _new_request(
        self,
        message: http_parser.RawRequestMessage,
        payload: streams.StreamReader,
        protocol: web.RequestHandler,
        writer: abc.AbstractStreamWriter,
        task: 'asyncio.Task[None]',
    ) -> web.BaseRequest:
        return web.BaseRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            asyncio.get_running_loop(),
            client_max_size=self._limits.body_bytes,
        )

    @property
    def _limits(self) -> routing.CallerLimits:
        configuration = self._table.configuration
        if configuration is None:
            return routing.CallerLimits()
        return configuration.limits

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        arrived_s = time.monotonic()
        delivery = ResponseDelivery(request, lambda: self.is_draining)
        request_id = request.headers.get(names.REQUEST_ID, '')
        transport = request.transport
        # A request can come in the same moment in which its connection is
        # closed as idle, before it counts as busy.  Sent on, which takes no
        # wait on a kept connection, it would run and its answer be lost;
        # not read, it is sent again by its caller.
        if transport is None or transport.is_closing():
            raise ConnectionResetError('the connection is closed')
        self._busy.add(transport)
        self._silent.note_request(transport)
        try:
            http_guard.limit_stall(request, _STALL_S)
            await self._answer(request, request_id, delivery, arrived_s)
        finally:
            self._busy.discard(transport)
        assert delivery.response is not None
        return delivery.response

    async def _answer(
        self,
        request: web.BaseRequest,
        request_id: str,
        delivery: ResponseDelivery,
        arrived_s: float,
    ) -> None:
        outcome = 'left'
        route_name = ''
        try:
            route = await self._route(request)
            route_name = route.name
            found = await self._read(request, request_id, route, arrived_s)
            await self._serve(found, delivery)
            outcome = 'served'
        except errors.RefusalError as error:
            outcome = error.kind.value
            await delivery.refuse(error, request_id)
        except (ConnectionError, TimeoutError):
            outcome = 'connection lost'
            raise
        except Exception:
            outcome = errors.ErrorKind.INTERNAL.value
            log.exception('handler failed', request_id=request_id)
            fault = errors.RefusalError(
                errors.ErrorKind.INTERNAL, 'a fault of the server'
            )
            await delivery.refuse(fault, request_id)
        finally:
            took_s = time.monotonic() - arrived_s
            self.ended_by_outcome[outcome] += 1
            self._times.observe('outcome', outcome, took_s)
            log.info(
                'request ended',
                request_id=request_id,
                route=route_name,
                outcome=outcome,
                status=delivery.response.status if delivery.response else 0,
                took_ms=round(took_s * _MS_PER_S),
                configuration_version=self._table.version,
            )

    async def _until_started(self, request: web.BaseRequest) -> None:
        # Callers that connect while an instance restarts are let in as
        # soon as it listens.  Refused then, they would have used up the
        # one more try that most of them have.
        if self._table.configuration is not None:
            return
        caller_s = _number(request, names.DEADLINE_MS) / _MS_PER_S
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._start_wait.left_s(caller_s)):
                await self._table.until_known()

    async def _route(self, request: web.BaseRequest) -> routing.Route:
        await self._until_started(request)
        if self.is_refusing:
            raise errors.RefusalError(
                errors.ErrorKind.DRAINING,
                'this instance is about to end',
                retry_after_s=0.0,
            )
        path = request.raw_path.partition('?')[0]
        return self._table.find(request.headers.get('Host', ''), path)

    async def _read(
        self,
        request: web.BaseRequest,
        request_id: str,
        route: routing.Route,
        arrived_s: float,
    ) -> backend_call.CallerRequest:
        if not request_id:
            raise errors.RefusalError(
                errors.ErrorKind.BAD_REQUEST, f'no {names.REQUEST_ID}'
            )
        deadline_ms = _number(request, names.DEADLINE_MS)
        limit_s = route.timeout_s
        if deadline_ms:
            limit_s = min(limit_s, deadline_ms / _MS_PER_S)
        body = b''
        if request.body_exists:
            body = await http_guard.read_body(request, _BODY_TIMEOUT_S)
        model, _, adapter = request.headers.get(names.MODEL, '').partition('/')
        prompt_tokens, max_tokens = _tokens(request)
        last_event_id = 0
        if route.is_stream:
            last_event_id = _number(request, names.LAST_EVENT_ID)
        return backend_call.CallerRequest(
            request_id=request_id,
            method=request.method,
            target=request.raw_path,
            headers=_passed_on(request, last_event_id > 0),
            body=body,
            route=route,
            arrived_s=arrived_s,
            until_s=arrived_s + limit_s,
            model=model,
            adapter=adapter,
            prompt_tokens=prompt_tokens,
            max_tokens=max_tokens,
            expected_tokens=_expected_tokens(request),
            last_event_id=last_event_id,
        )


def _number(request: web.BaseRequest, name: str) -> int:
    text = request.headers.get(name, '')
    if not text:
        return 0
    if not text.isdecimal():
        raise errors.RefusalError(
            errors.ErrorKind.BAD_REQUEST, f'{name} is no whole number'
        )
    return int(text)


def _expected_tokens(request: web.BaseRequest) -> int:
    # An estimate that cannot be read is no reason to refuse.
    text = request.headers.get(names.EXPECTED_TOKENS, '')
    if not text.isdecimal():
        return 0
    return min(int(text), _MAX_EXPECTED_TOKENS)


def _tokens(request: web.BaseRequest) -> tuple[int, int]:
    """Return the tokens of the prompt, and the most of the answer."""
    prompt, _, answer = request.headers.get(names.TOKENS, '').partition(',')
    return _count(prompt), _count(answer)


def _count(text: str) -> int:
    text = text.strip()
    return int(text) if text.isdecimal() else 0


def _passed_on(
    request: web.BaseRequest, has_event_id: bool
) -> backend_call.Headers:
    dropped = names.HOP_BY_HOP | names.SYSTEM_ONLY
    for listed in request.headers.getall('Connection', ()):
        dropped |= {name.strip().lower() for name in listed.split(',')}
    if has_event_id:
        dropped |= {names.LAST_EVENT_ID.lower()}
    return tuple(
        (name, value)
        for name, value in request.headers.items()
        if name.lower() not in dropped
    )
