"""Keeps one engine: follows its state and grants turns at it."""

import asyncio
import contextlib
import random
from typing import Protocol

import msgspec
import structlog

from lacewingpitch import adapter_versions
from lacewingpitch import clock as clock_module
from lacewingpitch import crash_record
from lacewingpitch import engine_orders
from lacewingpitch import engine_snapshot
from lacewingpitch import engine_view
from lacewingpitch import errors
from lacewingpitch import fair_queue
from lacewingpitch import fence as fence_module
from lacewingpitch import metrics as metrics_module
from lacewingpitch import prefill_pacer
from lacewingpitch import routing
from lacewingpitch import slots as slots_module
from lacewingpitch import suspect_exchange
from lacewingpitch import turn_granter
from lacewingpitch import turn_messages
from lacewingpitch import turn_metrics
from lacewingpitch import turn_queue
from lacewingpitch import work

# While a load is under way, or the engine starts, requests wait for the
# report that shows it done.
_LOADING_INTERVAL_S = 0.015
# Otherwise a report tells of a restart, of leaving and of lost turns,
# for which a fifth of a second is soon enough.
_IDLE_INTERVAL_S = 0.2
# An engine takes so many adapters at once from the store, and refuses
# more.  What waits here instead is ordered by what its waiting costs.
_MAX_LOADING = 4
# A load while the weight store is not crowded, until loads tell.
_FIRST_LOAD_S = 0.3
# Requests whose adapter is being loaded while all turns are taken.
_LOOKAHEAD_COUNT = 8
_MAX_QUEUED = 512
_STARTING_RETRY_S = 0.3
_MS_PER_S = 1000
# The engine beside this process is asked directly, so that its report is
# as of now.
_OWN_REPORT_LAG_S = 0.0
# An order whose answer was lost shows in the next report or two.
_MODEL_ORDER_INTERVAL_S = 1.0
log = structlog.get_logger(__name__)


class Engine(engine_orders.EngineOrders, Protocol):
    """What is needed of the engine."""

    async def incarnation(self) -> str:
        """Return the name of the engine's incarnation."""
        ...

    async def report(self) -> engine_snapshot.EngineSnapshot:
        """Return what the engine says of itself."""
        ...


class EngineController:
    """The one process that orders an engine, and grants turns at it.

    Parameters
    ----------
    service
        Service that the engine belongs to; it names its limits.
    crashes
        Requests that crash engines.
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
    ) -> None:
        self._metrics = metrics
        self._crashes = crashes
        self._looking = asyncio.Lock()
        self._engine = engine
        self._table = table
        self._versions = versions
        self._service = service
        self._clock = clock
        self._fence = fence_module.Fence(clock)
        self.view = engine_view.EngineView(
            engine, self._fence, versions, clock
        )
        self._adapters: slots_module.AdapterSlots | None = None
        self.granter: turn_granter.TurnGranter | None = None
        self._adopted_runs: frozenset[str] = frozenset()
        self._is_down = True
        self._model_order_at_s = 0.0
        self._is_ready = asyncio.Event()

    async def request_turn(
        self, request: turn_messages.TurnRequest
    ) -> turn_messages.TurnReply:
        """Return a turn, a refusal, or that it is still waited for."""
        self._crashes.merge(
            request.suspects.states if request.suspects else ()
        )
        reply = await self._request_turn(request)
        news = suspect_exchange.update_for_requester(
            self._crashes, request.suspects
        )
        if news is None:
            return reply
        return msgspec.structs.replace(reply, suspects=news)

    async def _request_turn(
        self, request: turn_messages.TurnRequest
    ) -> turn_messages.TurnReply:
        if self.granter is None:
            await self._until_ready(request.wait_ms / _MS_PER_S)
        if self.granter is None:
            return turn_messages.TurnReply(
                backend_server=self.view.backend_server,
                refusal=errors.ErrorKind.QUEUE_FULL,
                detail='the sidecar is starting',
                retry_after_ms=int(_STARTING_RETRY_S * _MS_PER_S),
                configuration_version=self._table.version,
            )
        return await self.granter.request_turn(request)

    async def end_turns(
        self, message: turn_messages.TurnEnds
    ) -> turn_messages.TurnEndsReply:
        """Take back turns, and look at the engine where that is asked."""
        if self.granter is not None:
            await self.granter.end_turns(message.turn_ids)
        if not message.asks_state or self._table.configuration is None:
            return turn_messages.TurnEndsReply()
        async with self._looking:
            await self._look()
        return turn_messages.TurnEndsReply(
            is_known=True,
            is_running=not self._is_down,
            backend_server=self.view.backend_server,
            started_at_ms=self.view.started_at_ms,
        )

    async def run(self) -> None:
        """Follow the engine, for ever."""
        await self._table.wait_until_loaded()
        while True:
            async with self._looking:
                await self._look()
            await asyncio.sleep(self._interval_s)

    @property
    def _interval_s(self) -> float:
        is_awaited = self.view.loading_count or self.view.is_starting
        if self.granter is None or is_awaited:
            return _LOADING_INTERVAL_S
        return _IDLE_INTERVAL_S

    async def _until_ready(self, limit_s: float) -> None:
        # All processes of a deployment can start at once.  Entries then
        # ask while this one reads its engine's state; a refusal would
        # send their callers away, and most of them come back once at most.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                await self._is_ready.wait()

    async def close(self) -> None:
        """End the loads that are waited for."""
        if self._adapters is not None:
            await self._adapters.close()

    async def _look(self) -> None:
        asked_at_s = self._clock.monotonic_s()
        try:
            snapshot = await self._engine.report()
            if self.view.is_outdated(snapshot):
                raise errors.PlatformError('report of an earlier start')
            if self._is_down or self.view.is_restart(snapshot):
                await self._attach(snapshot)
        except errors.PlatformError as error:
            if not self._is_down:
                log.warning(
                    'dependency lost', dependency='engine', error=str(error)
                )
            self._is_down = True
            await self._refuse_unless_serving()
            return
        self._note_leaving(snapshot)
        self.view.update(snapshot, asked_at_s)
        await self._refuse_unless_serving()
        await self._order_model(snapshot)
        self._begin(snapshot)
        self._reconcile(snapshot, asked_at_s)
        if self.granter is not None:
            await self.granter.end_stale(
                snapshot.run_ids, asked_at_s, snapshot.queued > 0
            )

    async def _refuse_unless_serving(self) -> None:
        if self.granter is not None and not self.view.is_serving:
            await self.granter.refuse_pending()

    async def _attach(self, snapshot: engine_snapshot.EngineSnapshot) -> None:
        before = self.view.backend_server
        if self._table.engine_limits(self._service) is None:
            raise errors.PlatformError('the configuration is not known yet')
        incarnation = await self._engine.incarnation()
        self._is_down = False
        log.info(
            'dependency regained',
            dependency='engine',
            backend_server=incarnation,
            backend_server_before=before,
            adapters=len(snapshot.held),
            started_at_ms=snapshot.started_at_ms,
        )
        if incarnation == before and not self.view.is_restart(snapshot):
            return
        if self._adapters is not None:
            # Before the loads in flight hear that the engine is gone: they
            # would count as failures of their adapters, which nobody then
            # gets for a second.
            self._adapters.clear()
        self.view.attach(incarnation, snapshot.started_at_ms)
        self._adopted_runs = frozenset()
        if self.granter is not None:
            await self.granter.end_all()

    async def _order_model(
        self, snapshot: engine_snapshot.EngineSnapshot
    ) -> None:
        """Order the base model for an engine that holds none.

        An engine restarts empty.  Until it holds the model, it refuses
        each adapter, and its requests wait for nothing.
        """
        limits = self._table.engine_limits(self._service)
        now_s = self._clock.monotonic_s()
        if (
            snapshot.models
            or snapshot.is_busy
            or snapshot.is_leaving
            or limits is None
            or not limits.models
            or now_s < self._model_order_at_s
        ):
            return
        self._model_order_at_s = now_s + _MODEL_ORDER_INTERVAL_S
        model = limits.models[0]
        try:
            result = await self.view.load_model(model)
        except errors.PlatformError as error:
            log.warning('model not ordered', model=model, error=str(error))
            return
        log.info('model ordered', model=model, result=result.name)
        if result is engine_orders.OrderResult.OTHER_INCARNATION:
            # It restarted between two reports and had taken no order
            # before, so that its count of orders told nothing.  Every
            # order would go on naming the incarnation that is gone.
            self._is_down = True

    def _note_leaving(self, snapshot: engine_snapshot.EngineSnapshot) -> None:
        before = self.view.snapshot
        was_leaving = before is not None and before.is_leaving
        if was_leaving != snapshot.is_leaving:
            log.info(
                'engine leaving',
                backend_server=self.view.backend_server,
                leaving=snapshot.is_leaving,
            )

    def _begin(self, snapshot: engine_snapshot.EngineSnapshot) -> None:
        limits = self._table.engine_limits(self._service)
        if self.granter is not None or limits is None:
            return
        if snapshot.pending:
            # Loads of an earlier sidecar take slots that this one would
            # count as free; an engine over its capacity crashes.
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
            max_pending_permits=_MAX_LOADING,
            max_concurrent_loads=_MAX_LOADING,
            max_report_lag_s=_OWN_REPORT_LAG_S,
            initial_load_s=_FIRST_LOAD_S,
        )
        adapters = self._adapters
        queue = turn_queue.TurnQueue(
            limits.max_running,
            _LOOKAHEAD_COUNT,
            _MAX_QUEUED,
            fair_queue.FairQueue(
                limits.max_running,
                lambda order: not order.path or adapters.holds(order.path),
                self._clock,
            ),
            self._clock,
            lambda order: _wait_s(adapters, order),
        )
        record = turn_metrics.TurnMetrics(queue, self._metrics)
        self.granter = turn_granter.TurnGranter(
            queue,
            adapters,
            self.view,
            prefill_pacer.PrefillPacer(self._clock),
            self._clock,
            lambda: self._table.version,
            random.Random(),
            record,
            self._crashes,
        )
        self._is_ready.set()
        self._add_metrics(self.granter, record, adapters)
        log.info(
            'engine taken over',
            backend_server=self.view.backend_server,
            adapter_slots=slot_count,
            max_running=limits.max_running,
            adapters=len(snapshot.held),
        )

    def _add_metrics(
        self,
        granter: turn_granter.TurnGranter,
        record: turn_metrics.TurnMetrics,
        adapters: slots_module.AdapterSlots,
    ) -> None:
        metrics = self._metrics
        metrics.counter_by(
            'turns_total',
            'Turns that were asked for, by what became of them.',
            'outcome',
            lambda: {
                'granted': record.granted_count,
                'refused': record.refused_count,
                'lapsed': record.lapsed_count,
            },
        )
        metrics.counter_by(
            'adapter_orders_total',
            'Orders about adapters, by what became of them.',
            'outcome',
            lambda: {
                'loaded': adapters.load_count,
                'unloaded': adapters.eviction_count,
                'load failed': adapters.failed_load_count,
            },
        )
        metrics.gauge(
            'turns_held',
            'Turns that are granted or waited for.',
            lambda: len(granter),
        )
        metrics.gauge(
            'engine_report_age_seconds',
            'How old the last report of the engine is.',
            lambda: self.view.report_age_s,
        )

    def _reconcile(
        self, snapshot: engine_snapshot.EngineSnapshot, asked_at_s: float
    ) -> None:
        """Make the slots agree with what the engine reports to hold."""
        adapters = self._adapters
        if adapters is None:
            return
        held = {
            self._name_of(key, version)
            for key, version in snapshot.held.items()
        }
        for name in adapters.adapters:
            if name not in held and self.view.is_shown(name):
                adapters.remove(name)
        unknown = [
            name
            for name in held
            if not adapters.has_slot(name) and self.view.is_shown(name)
        ]
        if unknown:
            self._adopted_runs |= snapshot.run_ids
            adapters.adopt(unknown)
        self._adopted_runs &= snapshot.run_ids
        if not self._adopted_runs:
            adapters.release_adopted(asked_at_s, lambda _name: True)

    def _name_of(self, key: str, version: int) -> str:
        """Return the slot name of an adapter that the engine holds."""
        model, _, adapter = key.partition('/')
        wanted = self._versions.required_version(model, adapter)
        if version < wanted:
            wanted = 0
        return adapter_versions.slot_name(model, adapter, wanted)


def _wait_s(
    adapters: slots_module.AdapterSlots, order: work.WorkOrder
) -> float:
    return adapters.expected_wait_s(order.path) if order.path else 0.0
