"""The adapter slots of one engine: who holds them, who may be evicted."""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterable
import contextlib
from typing import TypeAlias

import structlog

from lacewingpitch import adapter_waiters
from lacewingpitch import clock as clock_module
from lacewingpitch import engine as engine_module
from lacewingpitch import errors
from lacewingpitch import fence as fence_module
from lacewingpitch import load_backoff
from lacewingpitch import load_pacer
from lacewingpitch import load_times
from lacewingpitch import slot as slot_module
from lacewingpitch import slot_forecast
from lacewingpitch import slot_simulation
from lacewingpitch import slot_table

# Two outstanding requests for a permit keep the store busy; more would
# only crowd out the sidecars whose waiting requests cost more.
_MAX_PENDING_PERMITS = 2
_CLOSE_AFTER_S = 2.0
_INITIAL_LOAD_S = 0.5
_RECHECK_INTERVAL_S = 1.0
# Engines report with a lag: what they say of an earlier sidecar's runs
# is believed only so long after we came.
_MAX_REPORT_LAG_S = 3.0
_EVICTION_LAG_S = 5.0
log = structlog.get_logger(__name__)


_Waiter: TypeAlias = adapter_waiters.Waiter[slot_module.Slot]


class AdapterSlots:
    """Loads and evicts adapters so that each request finds its own.

    Waiting requests are kept by adapter.  The adapter whose waiting
    costs most is loaded next, and all its requests start together.

    Parameters
    ----------
    pacer
        Says when a load may start.
    stall_weight
        The operator's objective, see `settings.ObjectiveSettings`.
    max_pending_permits
        Loads that may wait for a permit at once.
    max_concurrent_loads
        Loads that the engine takes at once; without it, the pacer says.
    max_report_lag_s
        How old the engine's report may be when it is read.
    initial_load_s
        How long a load takes until some were seen.
    """

    def __init__(
        self,
        engine: engine_module.AdapterHost,
        slot_count: int,
        fence: fence_module.Fence,
        clock: clock_module.Clock,
        pacer: load_pacer.LoadPacer | None = None,
        stall_weight: float = 0.5,
        max_pending_permits: int = _MAX_PENDING_PERMITS,
        max_concurrent_loads: int | None = None,
        max_report_lag_s: float = _MAX_REPORT_LAG_S,
        initial_load_s: float = _INITIAL_LOAD_S,
    ) -> None:
        self._engine = engine
        self._max_report_lag_s = max_report_lag_s
        self._max_pending_permits = max_pending_permits
        self._max_concurrent_loads = max_concurrent_loads or slot_count
        self._fence = fence
        self._clock = clock
        self._pacer = pacer or load_pacer.UnlimitedLoads()
        self._close_after_s = _CLOSE_AFTER_S / max(stall_weight, 0.05)
        self._slots = slot_table.SlotTable(slot_count, clock)
        self._waiters = adapter_waiters.AdapterWaiters[slot_module.Slot](clock)
        self._backoffs = load_backoff.LoadBackoffs(clock)
        self._evicted_at_s: dict[str, float] = {}
        self._generation = 0
        self._is_closed = False
        self._asking = 0
        self._load_times = load_times.LoadTimes(clock, initial_load_s)
        self._forecast = slot_forecast.SlotForecast(
            self._slots,
            self._waiters,
            self._load_times,
            max_pending_permits,
            clock,
        )
        self._loaders: set[asyncio.Task[None]] = set()
        self.load_count = 0
        self.eviction_count = 0
        self.failed_load_count = 0

    @property
    def adapters(self) -> tuple[str, ...]:
        """Return the adapters that requests can start on."""
        return tuple(slot.name for slot in self._slots if slot.is_open)

    def holds(self, name: str) -> bool:
        """Return whether a request for adapter `name` can start now."""
        return self._slots.is_open(name)

    def has_slot(self, name: str) -> bool:
        """Return whether a slot is taken by adapter `name`."""
        return name in self._slots

    @property
    def waiting_count(self) -> int:
        """Return how many requests wait for their adapter."""
        return len(self._waiters)

    @property
    def spare_slot_count(self) -> int:
        """Return how many slots can change hands at little cost."""
        spare = self._slots.free_count + self._slots.unused_count
        return max(0, spare - len(self._loadable()))

    def expected_wait_s(self, name: str = '') -> float:
        """Return what a request for adapter `name` would wait now."""
        return self.expected_wait(name).total_s

    def expected_wait(self, name: str = '') -> slot_simulation.AdapterWait:
        """Return the same by its parts."""
        return self._forecast.wait(name)

    @property
    def cached_copy_load_s(self) -> float:
        """Return how long an adapter loads of which there is a copy."""
        return self._load_times.copy_s

    @property
    def cached_copy_count(self) -> int:
        """Return how many copies the engine seems to keep."""
        return self._load_times.copy_count

    @contextlib.asynccontextmanager
    async def hold(
        self,
        name: str,
        deadline_s: float,
        weight: float = 1.0,
        use_s: float | None = None,
    ) -> AsyncIterator[float]:
        """Keep adapter `name` in the engine while the caller uses it.

        Yields the seconds that the request waited for its adapter.

        Parameters
        ----------
        use_s
            For how long it is expected to be used.

        Raises
        ------
        RefusalError
            It cannot be loaded, or not in `deadline_s`.
        """
        asked_at_s = self._clock.monotonic_s()
        slot = await self._take(name, deadline_s, weight, use_s)
        try:
            yield self._clock.monotonic_s() - asked_at_s
        finally:
            self._release(slot)

    def clear_and_reload(self) -> None:
        """Record that the engine restarted empty, and load anew."""
        self.clear()
        self._start_loads()

    def clear(self) -> None:
        """Record that the engine restarted, and cannot load yet.

        Holds that are out keep their own slot objects, so that giving
        them back changes nothing here; a load that is in flight finds
        another generation and is not believed.
        """
        self._generation += 1
        self._slots.clear()
        self._evicted_at_s.clear()
        self._load_times.forget_copies()

    def remove(self, name: str) -> None:
        """Record that the engine says it does not hold an adapter."""
        slot = self._slots.get(name)
        if slot is not None and slot.state is slot_module.SlotState.READY:
            self._slots.discard(slot)
            self._start_loads()

    def adopt(self, names: Iterable[str]) -> None:
        """Take over adapters that the engine holds, unknown to us.

        They were loaded for an earlier sidecar of this engine, or by a
        load whose answer was lost.  Without this, the engine would be
        full while we count free slots, and each load would fail.
        """
        now_s = self._clock.monotonic_s()
        self._evicted_at_s = {
            name: evicted_at_s
            for name, evicted_at_s in self._evicted_at_s.items()
            if now_s - evicted_at_s < _EVICTION_LAG_S
        }
        for name in names:
            # The report lags: an adapter that we evicted shows in it
            # for a while, and would make a free slot seem used.
            if name in self._slots or name in self._evicted_at_s:
                continue
            # A sidecar that was killed may have left runs at the engine.
            # Nobody waits for them here, so their adapters would seem
            # idle, and be evicted under a request.
            slot = slot_module.Slot(
                name, slot_module.SlotState.READY, 1, adopted_at_s=now_s
            )
            self._slots.put(slot)
            self._serve_waiters(slot)
        self._start_loads()

    def release_adopted(
        self, asked_at_s: float, is_idle: Callable[[str], bool]
    ) -> None:
        """Let go of adopted adapters that the engine says are idle.

        Parameters
        ----------
        asked_at_s
            When the engine was asked.  Its report lags, so it is only
            believed some time after the adapter was adopted.
        is_idle
            Whether the engine says that nothing runs on an adapter.
        """
        for slot in self._slots:
            if (
                slot.adopted_at_s is not None
                and asked_at_s >= slot.adopted_at_s + self._max_report_lag_s
                and is_idle(slot.name)
            ):
                slot.adopted_at_s = None
                self._release(slot)

    def limit_slot_count(self, slot_count: int) -> None:
        """Use no more slots than the engine says that it has."""
        # Settings that name more than there are would make each load
        # into a slot that is none fail, and its requests with it.
        if slot_count > 0:
            self._slots.slot_count = min(self._slots.slot_count, slot_count)

    async def close(self) -> None:
        """End the loads that are waited for, and begin no more."""
        self._is_closed = True
        for loader in self._loaders:
            loader.cancel()
        await asyncio.gather(*self._loaders, return_exceptions=True)

    async def _take(
        self,
        name: str,
        deadline_s: float,
        weight: float,
        use_s: float | None,
    ) -> slot_module.Slot:
        self._slots.demand.add(name)
        slot = self._slots.get(name)
        if slot is not None and slot.is_open:
            slot.serve(self._clock.monotonic_s(), use_s)
            return slot
        self._check_backoff(name)
        self._check_deadline(name, deadline_s)
        return await self._wait(name, deadline_s, weight, use_s)

    def _check_backoff(self, name: str) -> None:
        left_s = self._backoffs.left_s(name)
        if left_s > 0:
            raise errors.RefusalError(
                errors.ErrorKind.ADAPTER_UNAVAILABLE,
                'the adapter failed to load a moment ago',
                retry_after_s=left_s,
            )

    def _check_deadline(self, name: str, deadline_s: float) -> None:
        wait_s = self.expected_wait_s(name)
        if wait_s > deadline_s:
            raise errors.RefusalError(
                errors.ErrorKind.DEADLINE_UNREACHABLE,
                'the adapter cannot be loaded in time',
                retry_after_s=wait_s - deadline_s,
            )

    async def _wait(
        self,
        name: str,
        deadline_s: float,
        weight: float,
        use_s: float | None,
    ) -> slot_module.Slot:
        waiter = self._waiters.add(name, weight, use_s)
        self._start_loads()
        try:
            return await self._settled(name, waiter, deadline_s)
        except (errors.RefusalError, asyncio.CancelledError):
            self._abandon(name, waiter)
            raise

    async def _settled(
        self, name: str, waiter: _Waiter, deadline_s: float
    ) -> slot_module.Slot:
        # What was expected on arrival can worsen: the store slows down,
        # or adapters with more waiting go first.  Callers would learn
        # only at their deadline that they had waited for nothing.
        until_s = waiter.since_s + deadline_s
        while not waiter.given.done():
            left_s = until_s - self._clock.monotonic_s()
            if left_s <= 0.0:
                raise errors.RefusalError(
                    errors.ErrorKind.DEADLINE_UNREACHABLE,
                    'no adapter slot in time',
                    retry_after_s=self.expected_wait_s(name),
                )
            if name not in self._slots:
                self._check_deadline(name, left_s)
            await asyncio.wait(
                [waiter.given], timeout=min(_RECHECK_INTERVAL_S, left_s)
            )
        return waiter.given.result()

    def _abandon(self, name: str, waiter: _Waiter) -> None:
        # A waiter can be given its slot and be cancelled in the same
        # turn of the loop.  Its hold would never be given back, and the
        # slot never be free again, so it is given back here.
        if waiter.given.done() and not waiter.given.cancelled():
            if waiter.given.exception() is None:
                self._release(waiter.given.result())
            return
        self._waiters.remove(name, waiter)

    def _release(self, slot: slot_module.Slot) -> None:
        slot.serving -= 1
        slot.used_at_s = self._clock.monotonic_s()
        if self._waiters:
            self._start_loads()

    def _start_loads(self) -> None:
        if self._is_closed:
            return
        self._reopen_slots()
        wanted = min(
            len(self._loadable()),
            self._slots.available_count,
            self._max_pending_permits,
            self._max_concurrent_loads - self._slots.loading_count,
        )
        for _ in range(wanted - self._asking):
            self._asking += 1
            loader = asyncio.create_task(self._load_next())
            self._loaders.add(loader)
            loader.add_done_callback(self._loaders.discard)
        self._close_slot()

    def _loadable(self) -> list[str]:
        return [name for name in self._waiters if name not in self._slots]

    def _highest_cost(self) -> float:
        return max(map(self._waiters.cost, self._loadable()), default=0.0)

    async def _load_next(self) -> None:
        started_s = self._clock.monotonic_s()
        is_asking = True
        try:
            async with self._pacer.permit(self._highest_cost):
                self._asking -= 1
                is_asking = False
                names = self._loadable()
                if not names or self._slots.available_count < 1:
                    return
                name = max(names, key=self._waiters.cost)
                if await self._bring(name):
                    took_s = self._clock.monotonic_s() - started_s
                    self._load_times.loaded(name, took_s)
        finally:
            self._asking -= is_asking
            self._start_loads()

    async def _bring(self, name: str) -> bool:
        """Load an adapter; return whether it is held now."""
        generation = self._generation
        slot = slot_module.Slot(
            name, loading_since_s=self._clock.monotonic_s()
        )
        self._slots.put(slot)
        victims = self._slots.choose_victims()
        try:
            await self._evict(victims)
            await self._engine.load_adapter(name, self._fence.token)
            self._fence.mark_accepted()
        except errors.PlatformError as error:
            self._slots.discard(slot)
            if generation == self._generation:
                self._fail(name, error)
            return False
        except BaseException:
            self._slots.discard(slot)
            raise
        return self._finish_load(slot, generation)

    def _finish_load(self, slot: slot_module.Slot, generation: int) -> bool:
        # An engine that restarted during the load may have taken the
        # order before or after; its requests stay queued and it is
        # ordered again, which an engine that holds it answers at once.
        if generation != self._generation:
            return False
        slot.state = slot_module.SlotState.READY
        self.load_count += 1
        self._backoffs.end(slot.name)
        self._serve_waiters(slot)
        return True

    def _serve_waiters(self, slot: slot_module.Slot) -> None:
        slot.used_at_s = self._clock.monotonic_s()
        for waiter in self._waiters.take_all(slot.name):
            slot.serve(slot.used_at_s, waiter.use_s)
            waiter.given.set_result(slot)

    async def _evict(self, victims: list[slot_module.Slot]) -> None:
        for victim in victims:
            try:
                await self._engine.evict_adapter(
                    victim.name, self._fence.token
                )
                self._fence.mark_accepted()
            except errors.PlatformError:
                # Whether it is gone is not known: if it is, the engine
                # refuses its next request, which is then `forget`.
                self._restore(victims)
                raise
            self._slots.discard(victim)
            self._load_times.used(victim.name)
            self._evicted_at_s[victim.name] = self._clock.monotonic_s()
            self.eviction_count += 1

    def _restore(self, victims: list[slot_module.Slot]) -> None:
        for victim in victims:
            if self._slots.get(victim.name) is victim:
                victim.state = slot_module.SlotState.READY
                self._serve_waiters(victim)

    def _fail(self, name: str, error: errors.PlatformError) -> None:
        log.warning('load failed', adapter=name, error=str(error))
        self.failed_load_count += 1
        delay_s = self._backoffs.begin(name)
        for waiter in self._waiters.take_all(name):
            waiter.given.set_exception(
                errors.RefusalError(
                    errors.ErrorKind.ADAPTER_UNAVAILABLE,
                    'the adapter failed to load',
                    retry_after_s=delay_s,
                )
            )

    def _close_slot(self) -> None:
        # Slots whose requests overlap without a gap are never idle, and
        # an adapter that waits would wait for ever.  The least wanted
        # of them takes no new requests until it has been evicted.
        if self._slots.available_count > 0 or self._slots.is_freeing:
            return
        if not any(
            self._waiters.longest_wait_s(name) >= self._close_after_s
            for name in self._loadable()
        ):
            return
        self._slots.close_least_wanted()

    def _reopen_slots(self) -> None:
        if self._loadable():
            return
        for slot in self._slots:
            if slot.is_closing:
                slot.is_closing = False
                self._serve_waiters(slot)
