"""The process beside a backend server, and the only one to send it work."""

import asyncio
import collections
from collections.abc import AsyncIterator, Awaitable, Callable
import contextlib

from aiohttp import web
import msgspec
import structlog

from lacewingpitch import answer
from lacewingpitch import claim as claim_module
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
from lacewingpitch import runs
from lacewingpitch import settings as settings_module
from lacewingpitch import store_pacing
from lacewingpitch import turn_queue
from lacewingpitch import voiding
from lacewingpitch import voter as voter_module
from lacewingpitch import work

MAX_BODY_BYTES = 8 << 20
_LAST_WORDS_S = 0.2
# Requests that get their adapters while others run, over those running.
LOOKAHEAD_RATIO = 1.0
log = structlog.get_logger(__name__)

Handler = Callable[
    [web.Request, work.WorkOrder, runs.Delivery],
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
        self._ledger = ledger.RunLedger(self._node.clock)
        self._voter = voter_module.Voter(
            settings.instance,
            self._node.clock,
            window_s=settings.key_window_s,
            skew_s=settings.clock_skew_s,
            list_lag_s=settings.list_lag_s,
            list_age_s=lambda: self._node.membership.age_s,
            max_votes=settings.max_votes,
        )
        self._claims = claim_module.Claims(
            settings.instance,
            claim_module.PeerVoters(
                settings.instance,
                self._voter,
                self._node.peers,
                self._node.membership,
            ),
            self._node.membership,
            self._node.clock,
            settings.key_window_s,
        )
        self._runs = runs.Runs()
        self._kept = runs.KeptAnswers(self._node.clock)
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
            lambda order: self._runner.expected_wait_s(order),
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
        self._server.route_work('POST', '/resume', self._take_up)
        self._server.route('GET', '/healthz', self._health)
        self._server.route('GET', '/readyz', self._ready)
        self._add_metrics()
        self._server.mark_answers(self._mark_leaving)
        await self._server.start_when_free(
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
        self._exits.callback(pacing.desk.close)
        self._runner = runner_module.make_runner(
            self.settings,
            self._node,
            pacing.pacer,
            self._queue,
        )
        await self._exits.enter_async_context(self._runner)
        self._node.control.handle(voiding.VoidRequest, self._void)
        self._start_claims()
        self._node.control.handle(voiding.CancelRequest, self._cancel)
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
            lambda: self._queue.queued,
        )
        metrics.counter_by(
            'errors_total',
            'Requests without a whole answer, by kind of error.',
            'kind',
            lambda: self._error_count_by_kind,
        )
        self._server.route('GET', '/metrics', metrics.answer)

    def _start_claims(self) -> None:
        self._node.control.handle(voter_module.VoteRequest, self._vote)
        self._node.control.handle(voter_module.WithdrawRequest, self._withdraw)
        self._node.control.handle(
            claim_module.OutcomeRequest, self._claims.tell
        )
        self._exits.push_async_callback(self._claims.close)
        self._node.membership.changes.subscribe(
            lambda published: self._voter.take_list(published.instances)
        )

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
        await self._runs.wait_idle()

    async def _take(self, request: web.Request) -> web.StreamResponse:
        return await self._answered(request, self._run)

    async def _take_up(self, request: web.Request) -> web.StreamResponse:
        return await self._answered(request, self._resume)

    async def _answered(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        try:
            order = work.decode_order(
                request.headers.get(work.ORDER_HEADER, ''), self._node.sealer
            )
        except errors.RefusalError as error:
            self._node.control.refused_count['foreign order'] += 1
            return answer.refusal_response(error, '')
        self._last_taken_s = self._node.clock.monotonic_s()
        attempt_id = voiding.attempt_id(order.request_id, order.attempt)
        headers = {work.ATTEMPT_HEADER: attempt_id}
        delivery = runs.Delivery(request, headers)
        try:
            self._check_started()
            found = await handler(request, order, delivery)
        except errors.RefusalError as error:
            return self._refused(error, order, delivery)
        if found is None:
            assert delivery.response is not None
            return delivery.response
        response = found.response()
        response.headers.update(delivery.headers)
        return response

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
            return answer.refusal_response(error, order.request_id)
        # The head of an answer is out already: a second head behind it
        # would be read as a piece of the answer.  A connection that is
        # torn down tells the peer that the answer is not whole.
        delivery.tear()
        return delivery.response

    async def _run(
        self,
        request: web.Request,
        order: work.WorkOrder,
        delivery: runs.Delivery,
    ) -> runs.WholeAnswer | None:
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
        except BaseException:
            self._ledger.close(attempt_id)
            raise
        task = self._runs.start(
            attempt_id,
            order.repeatable,
            self._execute(attempt_id, order, body, delivery),
        )
        task.add_done_callback(lambda _: self._ledger.close(attempt_id))
        try:
            return await self._runs.follow(attempt_id, task)
        except asyncio.CancelledError:
            delivery.is_broken = True
            if self._ledger.state(attempt_id) is ledger.RunState.QUEUED:
                task.cancel()
            raise

    async def _execute(
        self,
        attempt_id: str,
        order: work.WorkOrder,
        body: bytes,
        delivery: runs.Delivery,
    ) -> runs.WholeAnswer | None:
        try:
            found = await self._claim_and_run(
                attempt_id, order, body, delivery
            )
        except claim_module.KeptAnswerError as kept:
            self._ledger.close(attempt_id, did_not_run=True)
            return kept.answer
        except errors.RefusalError as error:
            did_not_run = error.outcome is errors.Outcome.NOT_RUN
            self._ledger.close(attempt_id, did_not_run)
            raise
        if found is not None:
            self._kept.put(attempt_id, found)
        return found

    async def _claim_and_run(
        self,
        attempt_id: str,
        order: work.WorkOrder,
        body: bytes,
        delivery: runs.Delivery,
    ) -> runs.WholeAnswer | None:
        async with (
            self._claims.claim(order, body) as claim,
            contextlib.AsyncExitStack() as held,
        ):
            async with claim.collecting():
                await held.enter_async_context(self._turn(order))
            # A contract may be revoked while its request waits; what
            # waits must not run on a right that has ended.
            self._node.book.check_revoked(order.customer)
            claim.start()
            self._ledger.start(attempt_id)
            found = await self._runner.run(order, body, delivery)
            claim.keep(found)
            return found

    async def _resume(
        self,
        _request: web.Request,
        order: work.WorkOrder,
        delivery: runs.Delivery,
    ) -> runs.WholeAnswer | None:
        attempt_id = voiding.attempt_id(order.request_id, order.attempt)
        kept = self._kept.get(attempt_id)
        if kept is not None:
            return kept
        run = self._runs.find(attempt_id)
        if not order.stream and run is not None:
            run.keep()
            kept = await self._runs.follow(attempt_id, run.tasks[0])
        if kept is not None:
            return kept
        if not order.stream:
            raise errors.RefusalError(
                errors.ErrorKind.OUTCOME_UNKNOWN, 'the answer is not kept'
            )
        self._ledger.resume(attempt_id)
        task = self._runs.start(
            attempt_id, order.repeatable, self._continue(order, delivery)
        )
        task.add_done_callback(lambda _: self._ledger.close(attempt_id))
        try:
            return await self._runs.follow(attempt_id, task)
        except asyncio.CancelledError:
            delivery.is_broken = True
            raise

    async def _continue(
        self, order: work.WorkOrder, delivery: runs.Delivery
    ) -> runs.WholeAnswer | None:
        async with self._runner.ready(order):
            await self._runner.resume(order, delivery)
        return None

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
        if not self._started:
            return web.Response(status=503, text='starting\n')
        return web.Response(text='ready\n')

    async def _void(self, message: voiding.VoidRequest) -> voiding.VoidReply:
        state = self._ledger.void(message.attempt_id)
        return voiding.VoidReply(state=state)

    async def _vote(
        self, message: voter_module.VoteRequest
    ) -> voter_module.VoteReply:
        return self._voter.vote(message)

    async def _withdraw(
        self, message: voter_module.WithdrawRequest
    ) -> voter_module.WithdrawReply:
        return self._voter.withdraw(message)

    async def _cancel(
        self, message: voiding.CancelRequest
    ) -> voiding.CancelReply:
        return voiding.CancelReply(
            cancelled=self._runs.cancel(message.attempt_id)
        )
