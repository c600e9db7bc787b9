"""Controls one engine: polls its state and grants its turns."""

import asyncio
from collections.abc import Collection
import contextlib
import random
from typing import Protocol

import msgspec
import structlog

from lacewingpitch import adapter_versions
from lacewingpitch import clock as clock_module
from lacewingpitch import crash_record
from lacewingpitch import due_queue
from lacewingpitch import engine_limit
from lacewingpitch import engine_metrics
from lacewingpitch import engine_orders
from lacewingpitch import engine_snapshot
from lacewingpitch import engine_view
from lacewingpitch import errors
from lacewingpitch import fair_queue
from lacewingpitch import fence as fence_module
from lacewingpitch import incarnation_check
from lacewingpitch import leaving_news
from lacewingpitch import limit_news
from lacewingpitch import metrics as metrics_module
from lacewingpitch import pace_watch as pace_watch_module
from lacewingpitch import parts as parts_module
from lacewingpitch import prefill_pacer
from lacewingpitch import routing
from lacewingpitch import slots as slots_module
from lacewingpitch import suspect_exchange
from lacewingpitch import turn_granter
from lacewingpitch import turn_messages
from lacewingpitch import turn_metrics
from lacewingpitch import turn_queue
from lacewingpitch import work

# While a load is in progress or the engine starts, requests wait for the
# report that shows its completion.
_BUSY_POLL_INTERVAL_S = 0.015
# Otherwise reports show restarts, leaving and lost turns, for which a fifth
# of a second is soon enough.
_IDLE_POLL_INTERVAL_S = 0.2
# An engine loads at most this many adapters at once from the weight store,
# and refuses more.  Loads that wait here are ordered by the cost of their
# wait.
_MAX_CONCURRENT_LOADS = 4
# Initial estimate: a load while the weight store is not congested.
_INITIAL_LOAD_S = 0.3
# Requests that may load their adapters while all turns are in use.
_LOOKAHEAD_COUNT = 8
_MAX_QUEUED = 512
_STARTING_RETRY_AFTER_S = 0.3
_MS_PER_S = 1000
# The local engine is polled directly, so that its reports are current.
_REPORT_LAG_S = 0.0
# An order whose answer was lost shows in one of the next two reports.
_MODEL_ORDER_INTERVAL_S = 1.0
log = structlog.get_logger(__name__)


class Engine(engine_orders.EngineOrders, Protocol):
    """Client of the engine."""

    async def incarnation(self) -> str:
        """Return the engine's current incarnation."""
        ...

    async def report(self) -> engine_snapshot.EngineSnapshot:
        """Return a snapshot of the engine's state."""
        ...


class EngineController:
    """Sole controller of an engine: sends its orders and grants its turns.

    Parameters
    ----------
    service
        Service that the engine belongs to; the engine's limits are
        configured per service.
    crashes
        Requests that crash engines.
    watch
        Measures the engine's pace; it is not measured by default.
    parts
        Optional parts of the system that are on.
    """

    def __init__(
        self,
        engine: Engine,
        table: routing.RoutingTable,
        versions: adapter_versions.AdapterVersions,
        service: str,
        clock: clock_module.Clock,
        metrics: metrics_module.Metrics,
        crashes: crash_record.CrashRecord,
        watch: pace_watch_module.PaceWatch | None = None,
        parts: Collection[parts_module.Part] = (),
    ) -> None:
        self._watch = watch or pace_watch_module.NoPaceWatch()
        self._parts = parts
        self._metrics = metrics
        self._crashes = crashes
        self._poll_lock = asyncio.Lock()
        self._engine = engine
        self._incarnation_check = incarnation_check.IncarnationCheck(engine)
        self._table = table
        self._versions = versions
        self._service = service
        self._clock = clock
        self._fence = fence_module.Fence(clock)
        self.view = engine_view.EngineView(
            engine, self._fence, versions, clock
        )
        self.limit = engine_limit.EngineLimit(clock)
        self._limit_board = limit_news.LimitBoard(clock)
        self._heard_leaving: leaving_news.RecentNews[str] = (
            leaving_news.RecentNews(clock)
        )
        self._heard_removals: leaving_news.RecentNews[
            leaving_news.ServerRemoval
        ] = leaving_news.RecentNews(clock)
        self._adapters: slots_module.AdapterSlots | None = None
        self.granter: turn_granter.TurnGranter | None = None
        self._pacer = prefill_pacer.PrefillPacer(clock, self._watch.rates)
        self._adopted_runs: frozenset[str] = frozenset()
        self._next_model_order_s = 0.0
        self._is_ready = asyncio.Event()

    async def request_turn(
        self, request: turn_messages.TurnRequest
    ) -> turn_messages.TurnReply:
        """Grant or refuse a turn, or reply that it is still pending."""
        self._crashes.merge(
            request.suspects.states if request.suspects else ()
        )
        self._limit_board.merge(request.limit_news)
        self._heard_leaving.merge(request.leaving)
        self._heard_removals.merge(request.removals)
        reply = await self._request_turn(request)
        reply = msgspec.structs.replace(
            reply,
            limit_per_s=self.limit.per_s,
            is_limit_known=self.limit.is_known,
            limit_news=self._limit_board.news_for(request.limit_news),
            leaving=self._heard_leaving.recent(request.leaving),
            removals=self._heard_removals.recent(request.removals),
        )
        update = suspect_exchange.update_for_requester(
            self._crashes, request.suspects
        )
        if update is None:
            return reply
        return msgspec.structs.replace(reply, suspects=update)

    async def _request_turn(
        self, request: turn_messages.TurnRequest
    ) -> turn_messages.TurnReply:
        if self.granter is None:
            await self._wait_until_ready(request.wait_ms / _MS_PER_S)
        if request.server_start_id == self.view.start_id:
            self.limit.adopt(request.limit_per_s, request.entry)
            await self._apply_limit()
        if self.granter is None:
            return turn_messages.TurnReply(
                backend_server=self.view.backend_server,
                refusal=errors.ErrorKind.QUEUE_FULL,
                detail='the sidecar is starting',
                retry_after_ms=int(_STARTING_RETRY_AFTER_S * _MS_PER_S),
                configuration_version=self._table.version,
            )
        return await self.granter.request_turn(request)

    async def end_turns(
        self, message: turn_messages.TurnEnds
    ) -> turn_messages.TurnEndsReply:
        """End turns, and poll the engine if the message requests its state."""
        if self.granter is not None:
            await self.granter.end_turns(message.turn_ids)
        if not message.asks_state or self._table.configuration is None:
            return turn_messages.TurnEndsReply()
        async with self._poll_lock:
            await self._poll()
            reply = turn_messages.TurnEndsReply(
                is_known=not self.view.contact.is_unanswered,
                is_running=not self.view.contact.is_lost,
                backend_server=self.view.backend_server,
                started_at_ms=self.view.started_at_ms,
            )
        return await self._incarnation_check.checked(reply)

    async def record_answered_limit(
        self, message: turn_messages.AnsweredLimit
    ) -> turn_messages.AnsweredLimitReply:
        """Record whether an answer to an entry names a limit."""
        if message.server_start_id == self.view.start_id:
            age_s = message.answer_age_ms / _MS_PER_S
            self.limit.record_answer(
                message.limit_per_s,
                self._clock.boot_s() - age_s,
                message.entry,
            )
            await self._apply_limit()
        return turn_messages.AnsweredLimitReply()

    async def record_answered_leaving(
        self, message: turn_messages.AnsweredLeaving
    ) -> turn_messages.AnsweredLeavingReply:
        """Record that the engine announced to an entry that it leaves."""
        if message.server_start_id == self.view.start_id:
            self._heard_leaving.record(message.server_start_id)
            if self.view.record_leaving():
                log.info(
                    'engine leaving',
                    backend_server=self.view.backend_server,
                    leaving=True,
                    source=message.entry,
                )
            await self._refuse_pending_unless_serving()
        return turn_messages.AnsweredLeavingReply()

    async def _apply_limit(self) -> None:
        if self.granter is not None:
            await self.granter.apply_limit(self.limit.per_s)

    async def run(self) -> None:
        """Poll the engine until cancelled."""
        await self._table.wait_until_loaded()
        while True:
            async with self._poll_lock:
                await self._poll()
            await asyncio.sleep(self._poll_interval_s)

    @property
    def _poll_interval_s(self) -> float:
        is_busy = self.view.loading_count or self.view.is_starting
        if self.granter is None or is_busy:
            return _BUSY_POLL_INTERVAL_S
        return self._watch.poll_interval_s(_IDLE_POLL_INTERVAL_S)

    async def _wait_until_ready(self, limit_s: float) -> None:
        # When all processes of a deployment start at once, requests arrive
        # while this process still reads its engine's state.  Refusals would
        # reach the callers, most of which retry once at most.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                await self._is_ready.wait()

    async def close(self) -> None:
        """Cancel the pending loads."""
        if self._adapters is not None:
            await self._adapters.close()

    async def _poll(self) -> None:
        polled_at_s = self._clock.monotonic_s()
        polled_at_boot_s = self._clock.boot_s()
        try:
            snapshot = await self._engine.report()
            if not self.view.accepts(snapshot):
                raise errors.PlatformError('the report is of an earlier start')
            self._incarnation_check.record_report(snapshot)
            if (
                self.view.contact.is_lost
                or self._incarnation_check.has_changed
                or self.view.is_restart(snapshot)
                or self.view.may_be_replaced(snapshot)
            ):
                await self._attach(snapshot)
        except errors.PlatformError as error:
            self.view.contact.record_failure(error)
            await self._refuse_pending_unless_serving()
            return
        self._log_leaving(snapshot)
        self.limit.record_report(snapshot.limit_per_s, polled_at_boot_s)
        self.view.update(snapshot, polled_at_s)
        if self._adapters is not None and self.view.contact.pause_s:
            self._adapters.exclude_pause(self.view.contact.pause_s)
        self._watch.record_report(snapshot, polled_at_s)
        await self._refuse_pending_unless_serving()
        await self._order_model(snapshot)
        self._start_granting(snapshot)
        await self._apply_limit()
        self._reconcile(snapshot, polled_at_s)
        self._pacer.update_rates()
        if self.granter is not None:
            await self.granter.end_stale(
                snapshot.run_ids, polled_at_s, snapshot.queued > 0
            )

    async def _refuse_pending_unless_serving(self) -> None:
        if self.granter is not None and not self.view.is_serving:
            await self.granter.refuse_pending()

    async def _attach(self, snapshot: engine_snapshot.EngineSnapshot) -> None:
        previous = self.view.backend_server
        if self._table.engine_limits(self._service) is None:
            raise errors.PlatformError('no configuration is known yet')
        incarnation = await self._engine.incarnation()
        self.view.record_incarnation()
        self._incarnation_check.record_confirmed()
        log.info(
            'dependency regained',
            dependency='engine',
            backend_server=incarnation,
            backend_server_before=previous,
            adapters=len(snapshot.held),
            started_at_ms=snapshot.started_at_ms,
        )
        if incarnation == previous and not self.view.is_restart(snapshot):
            return
        if self._adapters is not None:
            # Must precede the failure of the loads in flight, which would
            # count as failures of their adapters and block these adapters
            # for a second.
            self._adapters.clear()
        self.view.attach(incarnation, snapshot.started_at_ms)
        self.limit.reset()
        self._watch.reset()
        self._adopted_runs = frozenset()
        if self.granter is not None:
            await self.granter.end_all()

    async def _order_model(
        self, snapshot: engine_snapshot.EngineSnapshot
    ) -> None:
        """Order the base model to be loaded if the engine holds none.

        An engine restarts without a model.  Until it holds the model, it
        refuses every adapter, and waiting requests can't succeed.
        """
        limits = self._table.engine_limits(self._service)
        now_s = self._clock.monotonic_s()
        if (
            snapshot.models
            or snapshot.is_busy
            or snapshot.is_leaving
            or limits is None
            or not limits.models
            or now_s < self._next_model_order_s
        ):
            return
        self._next_model_order_s = now_s + _MODEL_ORDER_INTERVAL_S
        model = limits.models[0]
        try:
            result = await self.view.load_model(model)
        except errors.PlatformError as error:
            log.warning(
                'model load order failed', model=model, error=str(error)
            )
            return
        log.info('model load ordered', model=model, result=result.name)

    def _log_leaving(self, snapshot: engine_snapshot.EngineSnapshot) -> None:
        previous = self.view.snapshot
        was_leaving = previous is not None and previous.is_leaving
        if was_leaving != snapshot.is_leaving:
            log.info(
                'engine leaving',
                backend_server=self.view.backend_server,
                leaving=snapshot.is_leaving,
            )

    def _start_granting(
        self, snapshot: engine_snapshot.EngineSnapshot
    ) -> None:
        limits = self._table.engine_limits(self._service)
        if self.granter is not None or limits is None:
            return
        if snapshot.pending:
            # Loads ordered by an earlier sidecar occupy slots that this one
            # would count as free; an engine beyond its capacity crashes.
            return
        models = snapshot.models or limits.models[:1]
        slot_count = limits.adapter_capacity(models)
        self.view.slot_count = slot_count
        self._adapters = slots_module.AdapterSlots(
            self.view,
            slot_count,
            self._fence,
            self._clock,
            stall_weight=1.0,
            max_pending_permits=_MAX_CONCURRENT_LOADS,
            max_concurrent_loads=_MAX_CONCURRENT_LOADS,
            max_report_lag_s=_REPORT_LAG_S,
            initial_load_s=_INITIAL_LOAD_S,
        )
        adapters = self._adapters
        parts = parts_module.in_force(
            self._parts, self._table.api_keys is not None
        )
        queue = turn_queue.TurnQueue(
            limits.max_running,
            _LOOKAHEAD_COUNT,
            _MAX_QUEUED,
            self._discipline(parts, limits.max_running, adapters),
            self._clock,
            lambda order: _expected_adapter_wait_s(adapters, order),
        )
        outcomes = turn_metrics.TurnMetrics(queue, self._metrics)
        self.granter = turn_granter.TurnGranter(
            queue,
            adapters,
            self.view,
            self._pacer,
            self._clock,
            lambda: self._table.version,
            random.Random(),
            outcomes,
            self._crashes,
            self._watch,
            parts=parts,
        )
        self._is_ready.set()
        engine_metrics.register(
            self._metrics,
            self.granter,
            outcomes,
            adapters,
            self.limit,
            self.view,
        )
        engine_metrics.register_pace(self._metrics, self._watch)
        log.info(
            'engine taken over',
            backend_server=self.view.backend_server,
            adapter_slots=slot_count,
            max_running=limits.max_running,
            adapters=len(snapshot.held),
        )

    def _discipline(
        self,
        parts: Collection[parts_module.Part],
        turn_count: int,
        adapters: slots_module.AdapterSlots,
    ) -> turn_queue.QueueDiscipline:
        if parts_module.Part.CALLER_LOSS in parts:
            return due_queue.DueQueue()
        return fair_queue.FairQueue(
            turn_count,
            lambda order: not order.path or adapters.holds(order.path),
            self._clock,
        )

    def _reconcile(
        self, snapshot: engine_snapshot.EngineSnapshot, polled_at_s: float
    ) -> None:
        """Align the slot table with the adapters that the engine reports."""
        adapters = self._adapters
        if adapters is None:
            return
        held = {
            self._slot_name(key, version)
            for key, version in snapshot.held.items()
        }
        for name in adapters.adapters:
            if name not in held and self.view.is_confirmed(name):
                adapters.remove(name)
        unknown = [
            name
            for name in held
            if not adapters.has_slot(name) and self.view.is_confirmed(name)
        ]
        if unknown:
            self._adopted_runs |= snapshot.run_ids
            adapters.adopt(unknown)
        self._adopted_runs &= snapshot.run_ids
        if not self._adopted_runs:
            adapters.release_adopted(polled_at_s, lambda _name: True)

    def _slot_name(self, key: str, version: int) -> str:
        """Return the slot name of an adapter held by the engine."""
        model, _, adapter = key.partition('/')
        required = self._versions.required_version(model, adapter)
        if version < required:
            required = 0
        return adapter_versions.slot_name(model, adapter, required)


def _expected_adapter_wait_s(
    adapters: slots_module.AdapterSlots, order: work.WorkOrder
) -> float:
    return adapters.expected_wait_s(order.path) if order.path else 0.0
