"""Sidecar: the process beside a backend server that sends it all its work."""

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
from lacewingpitch import machine_limits
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
_LINGER_S = 0.2
log = structlog.get_logger(__name__)

Handler = Callable[
    [work.WorkOrder, runs.Delivery],
    Awaitable[runs.WholeAnswer | None],
]


class Sidecar:
    """Accepts orders from entries and runs them on one backend server.

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
            machine_limits=machine_limits.machine_limits(
                settings.memory_mb, settings.max_descriptors
            ),
        )
        self._exits = contextlib.AsyncExitStack()
        self._draining = False
        self._error_count_by_kind: collections.Counter[str] = (
            collections.Counter()
        )
        self._started = False
        self._last_order_at_s = 0.0
        self._attempts = attempts.Attempts(settings, self._node)

    @property
    def work_port(self) -> int:
        """Return the port for orders of entries."""
        return self._server.port

    @property
    def control_port(self) -> int:
        """Return the port for control messages."""
        return self._node.control.port

    @property
    def is_leaving(self) -> bool:
        """Whether new work is refused, after a signal or by the list."""
        # An entry that was paused, or whose list lags behind, still sends
        # work to a backend server that is leaving.  The sidecar therefore
        # watches the list for its own name and refuses new work itself.
        return self._draining or self._node.membership.is_leaving(
            self.settings.instance
        )

    def ports(self) -> dict[str, int]:
        """Return the ports that it listens on, by name."""
        return {
            'work_port': self.work_port,
            'control_port': self.control_port,
        }

    @property
    def refused_count(self) -> collections.Counter[str]:
        """Return the number of refused messages and orders, by reason."""
        return self._node.control.refused_count

    async def start(self) -> None:
        """Bind the port, attach to the backend server, then accept orders."""
        # Two sidecars of one engine that ignores fencing tokens would
        # interfere: one evicts the adapter on which the other's request
        # runs.  So a sidecar sends no order to its engine before it has
        # bound the work port.  The port is exclusive: a frozen process keeps
        # it, and the kernel frees it when the process ends.
        self._server.route_tracked('POST', '/run', self._handle_run)
        self._server.route_tracked('POST', '/resume', self._handle_resume)
        self._server.route('GET', '/healthz', self._health)
        self._server.route('GET', '/readyz', self._ready)
        self._add_metrics()
        self._server.add_response_hook(self._add_leaving_header)
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
        self._node.add_metrics(metrics)
        self._server.route('GET', '/metrics', metrics.answer)

    async def _drain(self) -> None:
        # Waiting for HTTP handlers is not enough.  A run whose connection
        # broke has none, but its entry may still resume it, and one that is
        # not repeatable must be finished.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.settings.drain_s):
                await self._wait_idle()
                # Entries that do not know yet that it is leaving still get
                # "not run" for new orders, and may query earlier attempts.
                linger_until_s = self._last_order_at_s + _LINGER_S
                await asyncio.sleep(
                    linger_until_s - self._node.clock.monotonic_s()
                )
                await self._wait_idle()

    async def _wait_idle(self) -> None:
        await self._server.drain(self.settings.drain_s)
        await self._attempts.wait_idle()

    async def _handle_run(self, request: web.Request) -> web.StreamResponse:
        return await self._handle_order(request, self._admit_and_run)

    async def _handle_resume(self, request: web.Request) -> web.StreamResponse:
        return await self._handle_order(request, self._attempts.resume)

    async def _handle_order(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        try:
            order = work.decode_order(
                request.headers.get(work.ORDER_HEADER, ''), self._node.signer
            )
        except errors.RefusalError as error:
            self._node.control.refused_count['foreign order'] += 1
            return response_format.refusal_response(error, '')
        self._last_order_at_s = self._node.clock.monotonic_s()
        attempt_id = voiding.attempt_id(order.request_id, order.attempt)
        headers = {work.ATTEMPT_HEADER: attempt_id}
        delivery = runs.Delivery(request, headers)
        try:
            self._check_started()
            answer = await handler(order, delivery)
        except errors.RefusalError as error:
            return self._refusal_response(error, order, delivery)
        if answer is None:
            assert delivery.response is not None
            return delivery.response
        response = answer.response()
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
        # The port is open before the sidecar can run requests.
        if not self._started:
            raise errors.RefusalError(
                errors.ErrorKind.QUEUE_FULL, 'this sidecar is starting'
            )

    def _refusal_response(
        self,
        error: errors.RefusalError,
        order: work.WorkOrder,
        delivery: runs.Delivery,
    ) -> web.StreamResponse:
        log.info(
            'order refused',
            request_id=order.request_id,
            customer=order.customer,
            kind=error.kind,
        )
        self._error_count_by_kind[error.kind.value] += 1
        if delivery.response is None:
            return response_format.refusal_response(error, order.request_id)
        # The headers of an answer have been sent: a second response would
        # be read as a part of its body.  Closing the connection shows the
        # peer that the answer is incomplete.
        delivery.abort()
        return delivery.response

    async def _add_leaving_header(
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
