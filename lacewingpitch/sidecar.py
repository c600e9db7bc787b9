"""The process beside a backend server, and the only one to send it work."""

import asyncio
import collections
from collections.abc import Awaitable, Callable
import contextlib

from aiohttp import web
import structlog

from lacewingpitch import attempts
from lacewingpitch import clock as clock_module
from lacewingpitch import directory
from lacewingpitch import errors
from lacewingpitch import http_guard
from lacewingpitch import http_server
from lacewingpitch import metrics as metrics_module
from lacewingpitch import node
from lacewingpitch import response_format
from lacewingpitch import runner as runner_module
from lacewingpitch import runs
from lacewingpitch import settings as settings_module
from lacewingpitch import store_pacing
from lacewingpitch import voiding
from lacewingpitch import work

MAX_BODY_BYTES = 8 << 20
_LAST_WORDS_S = 0.2
log = structlog.get_logger(__name__)

Handler = Callable[
    [work.WorkOrder, runs.Delivery],
    Awaitable[runs.WholeAnswer | None],
]


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
        self._started = False
        self._last_taken_s = 0.0
        self._attempts = attempts.Attempts(settings, self._node)

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
        self._server.route_tracked('POST', '/run', self._take)
        self._server.route_tracked('POST', '/resume', self._take_up)
        self._server.route('GET', '/healthz', self._health)
        self._server.route('GET', '/readyz', self._ready)
        self._add_metrics()
        self._server.add_response_hook(self._mark_leaving)
        await self._server.start_when_port_free(
            self.settings.ip, self.settings.work_port
        )
        self._exits.push_async_callback(self._server.close)
        await self._exits.enter_async_context(self._node)
        directory.serve_directory(
            directory.Directory(self._node.clock),
            self._node.control,
            self._node.membership.changes,
        )
        pacing = store_pacing.StorePacing(self._node, self.settings.store)
        self._exits.callback(pacing.issuer.close)
        runner = runner_module.make_runner(
            self.settings,
            self._node,
            pacing.pacer,
            self._attempts.queue,
        )
        await self._exits.enter_async_context(runner)
        self._exits.push_async_callback(self._attempts.close)
        self._attempts.serve(runner)
        self._node.follow_platform()
        self._started = True

    async def close(self) -> None:
        """Drain, then release everything."""
        self._draining = True
        await self._drain()
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
            lambda: self._attempts.queue.queued,
        )
        metrics.counter_by(
            'errors_total',
            'Requests without a whole answer, by kind of error.',
            'kind',
            lambda: self._error_count_by_kind,
        )
        self._server.route('GET', '/metrics', metrics.answer)

    async def _drain(self) -> None:
        # A run whose connection broke may still be taken up again, and
        # one that is not repeatable has to end: it has no handler that
        # the server could wait for.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.settings.drain_s):
                await self._idle()
                # Entry instances that do not know yet are still told
                # "not run", and ask about what they sent before.
                until_s = self._last_taken_s + _LAST_WORDS_S
                await asyncio.sleep(until_s - self._node.clock.monotonic_s())
                await self._idle()

    async def _idle(self) -> None:
        await self._server.drain(self.settings.drain_s)
        await self._attempts.wait_idle()

    async def _take(self, request: web.Request) -> web.StreamResponse:
        return await self._answered(request, self._admit_and_run)

    async def _take_up(self, request: web.Request) -> web.StreamResponse:
        return await self._answered(request, self._attempts.resume)

    async def _answered(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        try:
            order = work.decode_order(
                request.headers.get(work.ORDER_HEADER, ''), self._node.signer
            )
        except errors.RefusalError as error:
            self._node.control.refused_count['foreign order'] += 1
            return response_format.refusal_response(error, '')
        self._last_taken_s = self._node.clock.monotonic_s()
        attempt_id = voiding.attempt_id(order.request_id, order.attempt)
        headers = {work.ATTEMPT_HEADER: attempt_id}
        delivery = runs.Delivery(request, headers)
        try:
            self._check_started()
            found = await handler(order, delivery)
        except errors.RefusalError as error:
            return self._refused(error, order, delivery)
        if found is None:
            assert delivery.response is not None
            return delivery.response
        response = found.response()
        response.headers.update(delivery.headers)
        return response

    async def _admit_and_run(
        self, order: work.WorkOrder, delivery: runs.Delivery
    ) -> runs.WholeAnswer | None:
        await self._node.contract_gossip.wait_until_settled()
        return await self._attempts.run(order, delivery, self._check_open)

    def _check_open(self) -> None:
        if self.is_leaving:
            raise errors.RefusalError(
                errors.ErrorKind.DRAINING, 'this backend server is leaving'
            )

    def _check_started(self) -> None:
        # The port is held, and so reached, before the rest is there.
        if not self._started:
            raise errors.RefusalError(
                errors.ErrorKind.QUEUE_FULL, 'this sidecar is starting'
            )

    def _refused(
        self,
        error: errors.RefusalError,
        order: work.WorkOrder,
        delivery: runs.Delivery,
    ) -> web.StreamResponse:
        log.info(
            'refused',
            request_id=order.request_id,
            customer=order.customer,
            kind=error.kind,
        )
        self._error_count_by_kind[error.kind.value] += 1
        if delivery.response is None:
            return response_format.refusal_response(error, order.request_id)
        # The head of an answer is out already: a second head behind it
        # would be read as a piece of the answer.  A connection that is
        # torn down tells the peer that the answer is not whole.
        delivery.abort()
        return delivery.response

    async def _mark_leaving(
        self, _request: web.Request, response: web.StreamResponse
    ) -> None:
        if self._draining:
            response.headers[work.LEAVING_HEADER] = work.LEAVING_UNLISTED
        elif self.is_leaving:
            revision = self._node.membership.revision
            response.headers[work.LEAVING_HEADER] = str(revision)

    async def _health(self, _request: web.Request) -> web.Response:
        return web.Response(text='ok\n')

    async def _ready(self, _request: web.Request) -> web.Response:
        if self.is_leaving:
            return web.Response(status=503, text='draining\n')
        if not self._started:
            return web.Response(status=503, text='starting\n')
        return web.Response(text='ready\n')
