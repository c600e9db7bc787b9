"""The process beside a backend server, and the only one to send it work."""

import asyncio
import collections
from collections.abc import AsyncIterator
import contextlib

from aiohttp import web
import msgspec
import structlog

from lacewingpitch import answer
from lacewingpitch import clock as clock_module
from lacewingpitch import directory
from lacewingpitch import errors
from lacewingpitch import fair_order
from lacewingpitch import http_guard
from lacewingpitch import http_server
from lacewingpitch import ledger
from lacewingpitch import metrics as metrics_module
from lacewingpitch import node
from lacewingpitch import runner as runner_module
from lacewingpitch import settings as settings_module
from lacewingpitch import store_pacing
from lacewingpitch import turn_queue
from lacewingpitch import voiding
from lacewingpitch import work

MAX_BODY_BYTES = 8 << 20
# Requests that get their adapters while others run, over those running.
LOOKAHEAD_RATIO = 1.0
log = structlog.get_logger(__name__)


class Sidecar:
    """Runs requests on one backend server.

    Parameters
    ----------
    settings
        Checked settings.
    clock
        Source of time.
    """

    def __init__(
        self,
        settings: settings_module.SidecarSettings,
        clock: clock_module.Clock | None = None,
    ) -> None:
        self.settings = settings
        self._node = node.Node(settings, clock or clock_module.SystemClock())
        self._ledger = ledger.RunLedger(self._node.clock)
        self._server = http_server.HttpServer(
            MAX_BODY_BYTES,
            max_field_bytes=http_guard.MAX_ORDER_FIELD_BYTES,
            stall_s=settings.stall_timeout_s,
        )
        self._exits = contextlib.AsyncExitStack()
        self._draining = False
        self._error_count_by_kind: collections.Counter[str] = (
            collections.Counter()
        )
        self._queue = self._make_queue()
        self._runner: runner_module.Runner

    def _make_queue(self) -> turn_queue.TurnQueue:
        backend = self.settings.backend_server
        lookahead_count = 0
        if isinstance(backend, settings_module.EngineSettings):
            lookahead_count = round(backend.max_running * LOOKAHEAD_RATIO)
        return turn_queue.TurnQueue(
            backend.max_running,
            lookahead_count,
            self.settings.max_queued,
            fair_order.FairOrder(
                backend.max_running,
                lambda order: self._runner.holds(order),
                self._node.clock,
            ),
            self._node.clock,
        )

    @property
    def work_port(self) -> int:
        """Return the port that takes requests."""
        return self._server.port

    @property
    def control_port(self) -> int:
        """Return the port that takes control messages."""
        return self._node.control.port

    @property
    def is_leaving(self) -> bool:
        """Whether it takes no new work, by a signal or by the list."""
        # An entry that was paused, or whose list lags, still sends work
        # to a backend server that leaves.  The sidecar watches the list
        # for its own name, and refuses whatever the entry believes.
        return self._draining or self._node.membership.is_leaving(
            self.settings.instance
        )

    def ports(self) -> dict[str, int]:
        """Return the ports it listens on, by name."""
        return {
            'work_port': self.work_port,
            'control_port': self.control_port,
        }

    @property
    def refused_count(self) -> collections.Counter[str]:
        """Return how many messages and orders were refused, by reason."""
        return self._node.control.refused_count

    async def start(self) -> None:
        """Take the port, then the backend server, then requests."""
        # Two sidecars of one engine that ignores fencing numbers would
        # mix their orders: one evicts what the other's request runs on.
        # The port is bound exclusively, also by a frozen process, and
        # freed by the kernel at its death; no order precedes it.
        self._server.route_work('POST', '/run', self._take)
        self._server.route('GET', '/healthz', self._health)
        self._server.route('GET', '/readyz', self._ready)
        self._add_metrics()
        self._server.mark_answers(self._mark_leaving)
        await self._server.start(self.settings.ip, self.settings.work_port)
        self._exits.push_async_callback(self._server.close)
        await self._exits.enter_async_context(self._node)
        directory.serve_directory(
            directory.Directory(self._node.clock),
            self._node.control,
            self._node.membership.changes,
        )
        pacing = store_pacing.StorePacing(self._node, self.settings.store)
        self._exits.callback(pacing.desk.close)
        self._runner = runner_module.make_runner(
            self.settings,
            self._node,
            pacing.pacer,
            lambda: self._queue.queued,
        )
        await self._exits.enter_async_context(self._runner)
        self._node.control.handle(voiding.VoidRequest, self._void)
        self._node.follow_platform()

    async def close(self) -> None:
        """Drain, then release everything."""
        self._draining = True
        await self._server.drain(self.settings.drain_s)
        await self._exits.aclose()

    def _add_metrics(self) -> None:
        metrics = metrics_module.Metrics(
            self.settings.instance, self.settings.availability_zone
        )
        metrics.gauge(
            'requests_in_progress',
            'Requests that are waiting or running here.',
            lambda: self._server.in_progress,
        )
        metrics.gauge(
            'requests_queued',
            'Requests that wait for their adapter or their turn.',
            lambda: self._queue.queued,
        )
        metrics.counter_by(
            'errors_total',
            'Requests without a whole answer, by kind of error.',
            'kind',
            lambda: self._error_count_by_kind,
        )
        self._server.route('GET', '/metrics', metrics.answer)

    async def _take(self, request: web.Request) -> web.StreamResponse:
        try:
            order = work.decode_order(
                request.headers.get(work.ORDER_HEADER, ''), self._node.sealer
            )
        except errors.RefusalError as error:
            self._node.control.refused_count['foreign order'] += 1
            return answer.refusal_response(error, '')
        try:
            return await self._run(request, order)
        except errors.RefusalError as error:
            log.info(
                'refused',
                request_id=order.request_id,
                customer=order.customer,
                kind=error.kind,
            )
            self._error_count_by_kind[error.kind.value] += 1
            return answer.refusal_response(error, order.request_id)

    async def _run(
        self, request: web.Request, order: work.WorkOrder
    ) -> web.StreamResponse:
        await self._node.contracts.settled()
        attempt_id = voiding.attempt_id(order.request_id, order.attempt)
        self._ledger.admit(attempt_id)
        try:
            self._admit()
            self._node.book.check_order(
                order.customer, order.contract_revision
            )
            body = await http_guard.read_body(
                request, self.settings.body_timeout_s
            )
            async with self._turn(order):
                # A contract may be revoked while its request waits; what
                # waits must not run on a right that has ended.
                self._node.book.check_revoked(order.customer)
                self._ledger.start(attempt_id)
                return await self._runner.run(request, order, body)
        finally:
            self._ledger.finish(attempt_id)

    def _admit(self) -> None:
        if self.is_leaving:
            raise errors.RefusalError(
                errors.ErrorKind.DRAINING, 'this backend server is leaving'
            )

    @contextlib.asynccontextmanager
    async def _turn(self, order: work.WorkOrder) -> AsyncIterator[None]:
        async with contextlib.AsyncExitStack() as held:
            await self._wait_turn(held, order)
            yield

    async def _wait_turn(
        self, held: contextlib.AsyncExitStack, order: work.WorkOrder
    ) -> None:
        # The place comes before the adapter: who waits for a place keeps
        # no adapter from eviction, and nobody prepares out of order.
        start_by_s = self._node.clock.monotonic_s() + order.deadline_s
        try:
            async with asyncio.timeout(order.deadline_s):
                place = await held.enter_async_context(
                    self._queue.place(order)
                )
                left_s = start_by_s - self._node.clock.monotonic_s()
                order = msgspec.structs.replace(order, deadline_s=left_s)
                await held.enter_async_context(self._runner.ready(order))
                await held.enter_async_context(place.turn())
        except TimeoutError as error:
            raise errors.RefusalError(
                errors.ErrorKind.DEADLINE_UNREACHABLE,
                'no turn before the deadline',
            ) from error

    async def _mark_leaving(
        self, _request: web.Request, response: web.StreamResponse
    ) -> None:
        if self.is_leaving:
            response.headers[work.LEAVING_HEADER] = 'true'

    async def _health(self, _request: web.Request) -> web.Response:
        return web.Response(text='ok\n')

    async def _ready(self, _request: web.Request) -> web.Response:
        if self.is_leaving:
            return web.Response(status=503, text='draining\n')
        return web.Response(text='ready\n')

    async def _void(self, message: voiding.VoidRequest) -> voiding.VoidReply:
        state = self._ledger.void(message.attempt_id)
        return voiding.VoidReply(state=state)
