"""HTTP server of an entry for the requests of callers."""

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

from lacewingpitch import authentication as authentication_module
from lacewingpitch import backend_call
from lacewingpitch import caller_server
from lacewingpitch import clock as clock_module
from lacewingpitch import connection_closing
from lacewingpitch import errors
from lacewingpitch import http_guard
from lacewingpitch import memory_budget
from lacewingpitch import metrics as metrics_module
from lacewingpitch import organisation as organisation_module
from lacewingpitch.platform import caller_headers
from lacewingpitch.platform import listening
from lacewingpitch.platform import names
from lacewingpitch.platform import request_reading
from lacewingpitch.platform import response_delivery
from lacewingpitch import request_end
from lacewingpitch import requests_in_progress
from lacewingpitch import routing
from lacewingpitch import silent_connections
from lacewingpitch import startup_grace as startup_grace_module
from lacewingpitch import usage_limits

_MS_PER_S = 1000
# Callers reuse connections that were idle for less than this; closing one
# earlier may lose a request that is in transit.
_KEEPALIVE_S = 75.0
# A caller that accepts no byte for this long is gone.
_STALL_TIMEOUT_S = 10.0
# Precision of the time limit for the first request on a connection.
_SILENCE_CHECK_INTERVAL_S = 1.0
_MAX_LINE_BYTES = 16 << 10
# Bounds the number of time series.  Further organisations count as one.
_MAX_ORGANISATION_LABELS = 64
_OTHER_ORGANISATIONS = 'other'
log = structlog.get_logger(__name__)

RequestHandler = Callable[
    [backend_call.CallerRequest, backend_call.Delivery], Awaitable[None]
]


class Frontend:
    """Reads and authenticates requests, and finds their routes.

    Parameters
    ----------
    serve
        Answers a request; raises `errors.RefusalError` if it cannot.
    request_times
        Records the duration of requests by outcome.
    startup_grace
        Limits how long requests wait for the first configuration.
    authenticator
        Finds the organisation of a caller by its API key.
    usage
        Enforces the usage limits of organisations.
    memory
        Memory for what callers send and what waits for them.
    descriptor_count
        Largest number of open file descriptors of the process.

    Attributes
    ----------
    ended_by_outcome
        Number of requests that have ended, by outcome.
    ended_by_organisation
        The same by organisation, for requests that have one.
    cut_by_step
        Number of requests whose connection this entry ended before a whole
        answer, by their last step.
    is_draining
        Whether connections are closed after their current answers.
    is_refusing
        Whether new requests are refused.
    """

    def __init__(
        self,
        table: routing.RoutingTable,
        serve: RequestHandler,
        request_times: metrics_module.DurationHistogram,
        startup_grace: startup_grace_module.StartupGrace,
        clock: clock_module.Clock,
        authenticator: authentication_module.Authenticator,
        usage: usage_limits.UsageLimits,
        memory: memory_budget.MemoryBudget,
        descriptor_count: int,
    ) -> None:
        self._memory = memory
        self._descriptor_count = descriptor_count
        self._clock = clock
        self._authenticator = authenticator
        self._usage = usage
        self._startup_grace = startup_grace
        self._table = table
        self._serve = serve
        self._request_times = request_times
        self.ended_by_outcome: collections.Counter[str] = collections.Counter()
        self.ended_by_organisation: collections.Counter[str] = (
            collections.Counter()
        )
        self.cut_by_step: collections.Counter[str] = collections.Counter()
        self.is_draining = False
        self.is_refusing = False
        self._requests = requests_in_progress.RequestsInProgress()
        self._silent_connections: silent_connections.SilentConnections[
            asyncio.Transport
        ] = silent_connections.SilentConnections(clock)
        self._server: caller_server.CallerServer | None = None
        self._site: web.TCPSite | None = None

    @property
    def in_progress(self) -> int:
        """Return how many requests are in progress."""
        return len(self._requests)

    @property
    def closed_by_reason(self) -> collections.Counter[str]:
        """Return how many connections were closed, by reason."""
        if self._server is None:
            return collections.Counter()
        return self._server.closed_by_reason

    async def listen(
        self, endpoint: str, exits: contextlib.AsyncExitStack
    ) -> None:
        """Accept connections of callers until `exits` is closed."""
        self._server = caller_server.CallerServer(
            self._handle,
            lambda: self._table.caller_limits,
            self._memory,
            caller_server.connection_limit(self._descriptor_count),
            request_factory=self._new_request,
            handler_cancellation=True,
            keepalive_timeout=_KEEPALIVE_S,
            max_line_size=_MAX_LINE_BYTES,
            max_field_size=_MAX_LINE_BYTES,
            auto_decompress=False,
        )
        self._startup_grace.begin()
        self._site = await listening.listen(
            self._server,
            endpoint,
            caller_server.backlog(self._descriptor_count),
            exits,
        )

    async def stop_listening(self) -> None:
        """Stop accepting connections."""
        if self._site is not None:
            site, self._site = self._site, None
            await site.stop()

    async def close_idle(self) -> None:
        """Close connections on which no request is in progress.

        The others close after their answers.  The method of the library
        cancels the task of an idle connection but leaves the connection
        open, so that a request that arrives then is never handled.
        """
        idle = [
            transport
            for transport in self._transports()
            if transport not in self._requests
        ]
        await connection_closing.close_unused(
            idle, self._requests.__contains__
        )

    async def end_requests(self, limit_s: float) -> None:
        """Refuse or break off the requests that are still in progress."""
        await self._requests.end(limit_s)

    async def close_silent(self) -> None:
        """Close connections without any request, in an endless loop.

        A connection is closed if its first request has not arrived within
        the idle timeout of the configuration.
        """
        while True:
            await asyncio.sleep(_SILENCE_CHECK_INTERVAL_S)
            await self._close_overdue()

    async def _close_overdue(self) -> None:
        transports = self._transports()
        limit_s = self._table.caller_limits.idle_timeout_s
        closed_count = await connection_closing.close_unused(
            self._silent_connections.overdue(transports, limit_s),
            self._silent_connections.has_sent,
        )
        if closed_count:
            log.info(
                'silent connections closed',
                count=closed_count,
                limit_s=limit_s,
                open_count=len(transports),
            )

    def _transports(self) -> list[asyncio.Transport]:
        """Return the open connections."""
        handlers = self._server.connections if self._server else ()
        return [
            handler.transport
            for handler in handlers
            if handler.transport and not handler.transport.is_closing()
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
            client_max_size=self._table.caller_limits.body_bytes,
        )

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        arrived_at_s = time.monotonic()
        delivery = response_delivery.ResponseDelivery(
            request, lambda: self.is_draining
        )
        request_id = request.headers.get(names.REQUEST_ID, '')
        transport = request.transport
        # A connection may end before its request counts as busy.  If the
        # request were forwarded, which needs no wait on a persistent
        # connection, it would run and its answer would be lost.  If it is
        # not read, its caller sends it again.
        if transport is None or transport.is_closing():
            raise ConnectionResetError('the connection is closed')
        self._silent_connections.record_request(transport)
        with self._requests.track(transport):
            http_guard.set_stall_timeout(request, _STALL_TIMEOUT_S)
            await self._serve_request(
                request, request_id, delivery, arrived_at_s
            )
        assert delivery.response is not None
        return delivery.response

    async def _serve_request(
        self,
        request: web.BaseRequest,
        request_id: str,
        delivery: response_delivery.ResponseDelivery,
        arrived_at_s: float,
    ) -> None:
        outcome = 'left'
        route_name = ''
        caller: organisation_module.Organisation | None = None
        arrived_boot_s = self._clock.boot_s()
        try:
            http_guard.check_connection(request)
            route = await self._find_route(request)
            route_name = route.name
            caller = self._authenticator.authenticate(
                route, caller_headers.api_key(request), arrived_boot_s
            )
            caller_request = await request_reading.read(
                request,
                route,
                caller,
                arrived_at_s,
                forwards_key=self._table.api_keys is None,
            )
            delivery.record_read()
            async with self._usage.charged(
                caller, caller_request.prompt_tokens, caller_request.max_tokens
            ):
                await self._serve(caller_request, delivery)
            outcome = 'served'
        except errors.RefusalError as error:
            outcome = error.kind.value
            await delivery.refuse(error, request_id)
        except (Exception, asyncio.CancelledError) as error:
            if request_end.is_of_drain(error) and not delivery.is_caller_gone:
                outcome = 'left over by the drain'
                refusal = request_end.drain_refusal(delivery.step)
                await delivery.refuse(refusal, request_id)
                return
            if request_end.is_cancelled():
                raise
            if delivery.is_caller_gone and request_end.is_of_connection(error):
                outcome = 'connection lost'
                raise
            outcome = errors.ErrorKind.INTERNAL.value
            log.exception('handler failed', request_id=request_id)
            refusal = errors.RefusalError(
                errors.ErrorKind.INTERNAL, 'a fault of the server'
            )
            await delivery.refuse(refusal, request_id)
        finally:
            took_s = time.monotonic() - arrived_at_s
            self.ended_by_outcome[outcome] += 1
            if delivery.closed_by is request_end.ClosedBy.ENTRY:
                self.cut_by_step[delivery.step] += 1
            self._count_by_organisation(caller)
            self._request_times.observe('outcome', outcome, took_s)
            log.info(
                'request ended',
                request_id=request_id,
                route=route_name,
                organisation=caller.name if caller else '',
                outcome=outcome,
                status=delivery.response.status if delivery.response else 0,
                took_ms=round(took_s * _MS_PER_S),
                step=delivery.step,
                closed_by=delivery.closed_by,
                peer=delivery.peer,
                configuration_version=self._table.version,
                configuration_age_ms=self._authenticator.age_ms(
                    arrived_boot_s
                ),
            )

    def _count_by_organisation(
        self, caller: organisation_module.Organisation | None
    ) -> None:
        if caller is None:
            return
        name = caller.name
        counts = self.ended_by_organisation
        if name not in counts and len(counts) >= _MAX_ORGANISATION_LABELS:
            name = _OTHER_ORGANISATIONS
        counts[name] += 1

    async def _wait_until_configured(self, request: web.BaseRequest) -> None:
        # Callers that connect while an instance restarts are accepted as
        # soon as it listens.  Refusing them then would use up their retry;
        # most callers have only one.
        if self._table.configuration is not None:
            return
        caller_timeout_s = (
            caller_headers.number(request, names.DEADLINE_MS) / _MS_PER_S
        )
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(
                self._startup_grace.left_s(caller_timeout_s)
            ):
                await self._table.wait_until_loaded()

    async def _find_route(self, request: web.BaseRequest) -> routing.Route:
        await self._wait_until_configured(request)
        if self.is_refusing:
            raise errors.RefusalError(
                errors.ErrorKind.DRAINING,
                'this instance is shutting down',
                retry_after_s=0.0,
            )
        path = request.raw_path.partition('?')[0]
        return self._table.find(request.headers.get('Host', ''), path)
