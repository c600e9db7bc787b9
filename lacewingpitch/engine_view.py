"""Last reported state of an engine, and the orders sent to it."""

import asyncio

import structlog

from lacewingpitch import adapter_versions
from lacewingpitch import backend_list
from lacewingpitch import clock as clock_module
from lacewingpitch import engine as engine_module
from lacewingpitch import engine_contact
from lacewingpitch import engine_orders
from lacewingpitch import engine_snapshot
from lacewingpitch import errors
from lacewingpitch import fence as fence_module
from lacewingpitch import patient_orders
from lacewingpitch import server_starts

# A restarting engine loads its base model from its own disk.
_EXPECTED_START_S = 1.5
# A load from the weight store takes longer, especially while many engines
# load.  After this time an engine without a model counts as down, and no
# request waits for it.
_MAX_MODEL_LOAD_S = 6.0
# Expected remainder of a start that is overdue.
_MIN_REMAINING_START_S = 0.2
# A load is slow while the weight store is overloaded, or while the adapter
# that it replaces still has runs.  After this time it counts as failed.
_LOAD_TIMEOUT_S = 6.0
# An unload waits for runs of disconnected callers to end, at an engine that
# may be silent meanwhile.
_UNLOAD_TIMEOUT_S = 3.0
_ORDER_ATTEMPTS = 4
_ORDER_RETRY_DELAY_S = 0.05
# Name of the engine among the starts; there is one engine.
_ENGINE = 'engine'
log = structlog.get_logger(__name__)


class EngineView:
    """Last reported state of the local engine, and orders to it.

    It is the `engine.AdapterHost` of `slots.AdapterSlots`: an order is
    complete when a report shows its result.
    """

    def __init__(
        self,
        orders: engine_orders.EngineOrders,
        fence: fence_module.Fence,
        versions: adapter_versions.AdapterVersions,
        clock: clock_module.Clock,
    ) -> None:
        self._orders = patient_orders.PatientOrders(orders, self)
        self._fence = fence
        self._versions = versions
        self._clock = clock
        self._snapshot: engine_snapshot.EngineSnapshot | None = None
        self.contact = engine_contact.EngineContact(clock)
        # When a report first showed no model; None while there is one.
        self._without_model_since_s: float | None = None
        self._starts = server_starts.ServerStarts(clock)
        self._unconfirmed_orders = engine_orders.UnconfirmedOrders()
        self._report_received = asyncio.Event()
        # The engine's incarnation; empty if unknown.
        self.backend_server = ''
        # Unix time of the engine's start; 0 if unknown.
        self.started_at_ms = 0
        # Starts of the engine so far; orders apply to one start only.
        self._start_count = 0
        # Whether an order was refused as meant for another incarnation.
        self._is_order_misdirected = False
        # Whether this start announced in an answer that it leaves.
        self._has_announced_leaving = False
        self.loading_count = 0
        # Adapters that the engine can hold; it crashes beyond them.
        self.slot_count = 0

    @property
    def start_id(self) -> str:
        """Return the id of the engine's start, as in the backend list."""
        return backend_list.start_id(self.backend_server, self.started_at_ms)

    @property
    def snapshot(self) -> engine_snapshot.EngineSnapshot | None:
        """Return the last report."""
        return self._snapshot

    def is_restart(self, snapshot: engine_snapshot.EngineSnapshot) -> bool:
        """Whether a report shows that the engine has restarted.

        An engine may restart under the same name, and between two reports.
        """
        previous = self._snapshot
        if previous is None:
            return False
        if snapshot.started_at_ms != previous.started_at_ms:
            # Also an earlier one: the clock of its host may go back.
            return True
        return snapshot.order_count < previous.order_count

    def may_be_replaced(
        self, snapshot: engine_snapshot.EngineSnapshot
    ) -> bool:
        """Whether another incarnation may have taken the engine's place.

        If it had accepted no orders, its reports look like those of a new
        one.
        """
        previous = self._snapshot
        was_leaving = previous is not None and previous.is_leaving
        return self._is_order_misdirected or (
            was_leaving and not snapshot.is_leaving
        )

    def record_incarnation(self) -> None:
        """Record that the engine's incarnation has been asked for."""
        self._is_order_misdirected = False
        self.contact.record_attached()

    def accepts(self, snapshot: engine_snapshot.EngineSnapshot) -> bool:
        """Return whether a report that was just read is to be believed.

        Late reports of an earlier start are not.
        """
        return self._starts.accept_report(_ENGINE, snapshot.started_at_ms)

    @property
    def is_serving(self) -> bool:
        """Whether the engine is up with a model, and not leaving."""
        return self.contact.is_current and self._may_serve

    @property
    def is_silent(self) -> bool:
        """Whether the engine would serve, and does not answer for a moment."""
        return self.contact.is_silent and self._may_serve

    @property
    def _may_serve(self) -> bool:
        snapshot = self._snapshot
        return (
            snapshot is not None
            and not self._leaves(snapshot)
            and bool(snapshot.models)
        )

    @property
    def is_leaving(self) -> bool:
        """Whether the engine is up, and leaving."""
        snapshot = self._current
        return snapshot is not None and self._leaves(snapshot)

    @property
    def is_starting(self) -> bool:
        """Whether the engine is up, and expected to serve within seconds."""
        snapshot = self._current
        return self.is_silent or (
            snapshot is not None
            and not self._leaves(snapshot)
            and not snapshot.models
            and self._without_model_for_s < _MAX_MODEL_LOAD_S
        )

    @property
    def remaining_start_s(self) -> float:
        """Return the expected time until a starting engine serves."""
        if self.is_silent:
            return self.contact.remaining_silence_s
        return max(
            _MIN_REMAINING_START_S,
            _EXPECTED_START_S - self._without_model_for_s,
        )

    @property
    def _current(self) -> engine_snapshot.EngineSnapshot | None:
        """Return the last report, unless the engine counts as down."""
        return self._snapshot if self.contact.is_up else None

    @property
    def _without_model_for_s(self) -> float:
        if self._without_model_since_s is None:
            return 0.0
        return self._clock.monotonic_s() - self._without_model_since_s

    def _leaves(self, snapshot: engine_snapshot.EngineSnapshot) -> bool:
        return snapshot.is_leaving or self._has_announced_leaving

    def record_leaving(self) -> bool:
        """Record that the engine announced that it leaves.

        Returns
        -------
        bool
            Whether this was unknown.
        """
        was_leaving = self.is_leaving
        self._has_announced_leaving = True
        return not was_leaving

    async def next_report(self) -> None:
        """Wait for the next report of the engine."""
        await self._report_received.wait()

    def slot_name(self, model: str, adapter: str, version: int) -> str:
        """Return the slot name of an adapter at its required version.

        The requester and this process may each know of a newer version
        than the other.
        """
        required = max(
            version, self._versions.required_version(model, adapter)
        )
        return adapter_versions.slot_name(model, adapter, required)

    def held_version(self, slot_name: str) -> int:
        """Return the version held under a slot name; 0 if unknown."""
        if self._snapshot is None:
            return 0
        return self._snapshot.held.get(
            adapter_versions.split_slot_name(slot_name)[0], 0
        )

    def holds(self, slot_name: str) -> bool:
        """Whether the last report shows the adapter at its version."""
        if self._snapshot is None:
            return False
        key, version = adapter_versions.split_slot_name(slot_name)
        held = self._snapshot.held.get(key)
        return held is not None and held >= version

    def is_confirmed(self, slot_name: str) -> bool:
        """Whether the last report is newer than the adapter's orders."""
        key, _ = adapter_versions.split_slot_name(slot_name)
        return not self._unconfirmed_orders.has_unconfirmed(key)

    def occupied_slots(self) -> set[str]:
        """Return the adapters that occupy a slot, or may do so."""
        return self._unconfirmed_orders.occupied_slots(self._snapshot)

    def attach(self, incarnation: str, started_at_ms: int = 0) -> None:
        """Start over with a new start of the engine.

        Its counts and fencing tokens start again, even under the same name.
        """
        self.backend_server = incarnation
        self.started_at_ms = started_at_ms
        self._start_count += 1
        self._has_announced_leaving = False
        self._snapshot = None
        self._without_model_since_s = None
        self._unconfirmed_orders.restart()
        self._fence.apply_report(
            engine_module.EngineReport(
                incarnation=f'{incarnation}/{self._start_count}', base_model=''
            )
        )
        self._notify_report()

    def update(
        self, snapshot: engine_snapshot.EngineSnapshot, polled_at_s: float
    ) -> None:
        """Apply a report that was requested at `polled_at_s`."""
        self._snapshot = snapshot
        self._unconfirmed_orders.apply_report(polled_at_s)
        self.contact.record_report()
        if snapshot.models:
            self._without_model_since_s = None
        elif self._without_model_since_s is None:
            self._without_model_since_s = self._clock.monotonic_s()
        self._notify_report()

    def _notify_report(self) -> None:
        self._report_received.set()
        self._report_received = asyncio.Event()

    async def load_model(self, model: str) -> engine_orders.OrderResult:
        """Order the engine to load a model, without waiting for it."""
        result = await self._orders.load_model(
            model, self._fence.token, self.backend_server
        )
        if result is engine_orders.OrderResult.FENCED:
            self._fence.raise_token()
        self._record_result(result)
        return result

    async def load_adapter(self, name: str, fencing: int) -> None:
        """Order the engine to load an adapter, and wait for it.

        Raises
        ------
        PlatformError
            The order was refused, or not carried out in time.
        """
        key, version = adapter_versions.split_slot_name(name)
        incarnation, start = self.backend_server, self._start_count
        slot_count = self.slot_count
        self.loading_count += 1
        started_s = self._clock.monotonic_s()
        try:
            async with asyncio.timeout(_LOAD_TIMEOUT_S):
                order = await self._reserve_slot(key, slot_count, start)
                await self._order_load(order, version, incarnation)
                await self._wait_until_held(name, start)
        except TimeoutError as error:
            raise errors.PlatformError(
                f'{name} not loaded within {_LOAD_TIMEOUT_S:g} s'
            ) from error
        finally:
            self.loading_count -= 1
        log.info(
            'adapter loaded',
            adapter=name,
            version=self.held_version(name),
            took_ms=round((self._clock.monotonic_s() - started_s) * 1000),
        )

    async def evict_adapter(self, name: str, fencing: int) -> None:
        """Order the engine to free an adapter's slot.

        Raises
        ------
        PlatformError
            The order was refused, or its answer was lost.
        """
        key, _ = adapter_versions.split_slot_name(name)
        model, _, adapter = key.partition('/')
        incarnation, start = self.backend_server, self._start_count
        for _ in range(_ORDER_ATTEMPTS):
            result = await self._orders.unload(
                model, adapter, self._fence.token, incarnation
            )
            # The answer of a previous start doesn't apply to this one, which
            # may hold the adapter.
            self._check_same_start(start)
            if result is engine_orders.OrderResult.ACCEPTED:
                await self._wait_until_unloaded(key, start)
                result = engine_orders.OrderResult.DONE
            if result is engine_orders.OrderResult.DONE:
                self._unconfirmed_orders.record_unload(
                    key, self._clock.monotonic_s()
                )
                log.info('adapter unloaded', adapter=name)
                return
            await self._prepare_retry(result)
        raise errors.PlatformError(f'unloading {name} failed: {result.name}')

    async def _order_load(
        self, order: engine_orders.LoadOrder, version: int, incarnation: str
    ) -> None:
        model, _, adapter = order.key.partition('/')
        # The engine is busy while it loads as many adapters as it can; the
        # caller's timeout bounds the wait.
        try:
            while True:
                result = await self._orders.load(
                    model, adapter, version, self._fence.token, incarnation
                )
                if result in (
                    engine_orders.OrderResult.ACCEPTED,
                    engine_orders.OrderResult.DONE,
                ):
                    return
                await self._prepare_retry(result)
        finally:
            # The engine may have accepted an order whose answer is lost.
            # The slot stays reserved until the last attempt is answered: a
            # report while the engine is busy doesn't show the load, another
            # load would get the slot, and the next attempt would crash the
            # engine.
            self._unconfirmed_orders.finish_load(
                order, self._clock.monotonic_s()
            )

    async def _reserve_slot(
        self, key: str, slot_count: int, start: int
    ) -> engine_orders.LoadOrder:
        # The caller counts slots as well, but a load whose answer was lost,
        # or that timed out, may still be carried out.  An engine that is
        # ordered to hold one adapter too many crashes, with all its runs.
        while len(self.occupied_slots() | {key}) > slot_count:
            log.warning(
                'no slot for a load',
                adapter=key,
                taken=len(self.occupied_slots()),
            )
            await self._next_report_of(start)
        # No other load may get the same slot before this one is ordered.
        return self._unconfirmed_orders.begin_load(key)

    async def _next_report_of(self, start: int) -> None:
        await self.next_report()
        self._check_same_start(start)

    def _check_same_start(self, start: int) -> None:
        if self._start_count != start:
            raise errors.PlatformError('the engine has restarted')

    async def _prepare_retry(self, result: engine_orders.OrderResult) -> None:
        if result is engine_orders.OrderResult.FENCED:
            self._fence.raise_token()
            log.info('fencing token raised', number=self._fence.token)
            return
        if result is engine_orders.OrderResult.BUSY:
            await asyncio.sleep(_ORDER_RETRY_DELAY_S)
            return
        self._record_result(result)
        raise errors.PlatformError(
            f'the engine refused the order: {result.name}'
        )

    def _record_result(self, result: engine_orders.OrderResult) -> None:
        if result is engine_orders.OrderResult.OTHER_INCARNATION:
            self._is_order_misdirected = True

    async def _wait_until_held(self, name: str, start: int) -> None:
        # A report that was requested before the order may show the adapter
        # as it was before an unload.
        while not (self.is_confirmed(name) and self.holds(name)):
            await self._next_report_of(start)

    async def _wait_until_unloaded(self, key: str, start: int) -> None:
        # A disconnected caller frees its turn before the engine stops its
        # run.  The engine then accepts the unload and carries it out when
        # the run has ended.  A load before that would exceed the engine's
        # capacity, and the engine would crash.
        self.loading_count += 1
        try:
            async with asyncio.timeout(_UNLOAD_TIMEOUT_S):
                while key in self.occupied_slots():
                    await self._next_report_of(start)
        except TimeoutError as error:
            raise errors.PlatformError(
                f'{key} still in use after {_UNLOAD_TIMEOUT_S:g} s'
            ) from error
        finally:
            self.loading_count -= 1
