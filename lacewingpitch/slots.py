"""Loads and evicts the adapters in the slots of one engine.

An adapter slot is room for one adapter in an engine's memory.
"""

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

# Two pending permit requests keep the store busy; more would only delay
# other sidecars whose waiting requests cost more.
_MAX_PENDING_PERMITS = 2
# Divided by the stall weight, how long an adapter waits before a busy slot
# is closed for it.
_CLOSE_AFTER_S = 2.0
_INITIAL_LOAD_S = 0.5
_RECHECK_INTERVAL_S = 1.0
# Engine reports lag.  A report that an adopted adapter is idle is used
# only if it was requested this long after the adoption.
_MAX_REPORT_LAG_S = 3.0
# How long a report may still list an adapter after its eviction.
_EVICTION_LAG_S = 5.0
log = structlog.get_logger(__name__)


_Waiter: TypeAlias = adapter_waiters.Waiter[slot_module.Slot]


class AdapterSlots:
    """Loads adapters for requests and keeps them while they are used.

    Waiting requests are grouped by adapter.  The adapter whose waiting
    requests cost most is loaded next, and all its requests start
    together.

    Parameters
    ----------
    pacer
        Gives the permits to start loads.
    stall_weight
        The operator's objective, see `settings.ObjectiveSettings`.
    max_pending_permits
        How many loads may wait for a permit at once.
    max_concurrent_loads
        How many loads the engine accepts at once; without it, only the
        pacer limits them.
    max_report_lag_s
        How old the engine's report may be when it is read.
    initial_load_s
        Assumed duration of a load before the first is measured.
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
        self._pending_permits = 0
        self._load_times = load_times.LoadTimes(clock, initial_load_s)
        self._pause_count = 0
        self._forecast = slot_forecast.SlotForecast(
            self._slots,
            self._waiters,
            self._load_times,
            max_pending_permits,
            clock,
        )
        self._load_tasks: set[asyncio.Task[None]] = set()
        self.load_count = 0
        self.eviction_count = 0
        self.failed_load_count = 0

    @property
    def adapters(self) -> tuple[str, ...]:
        """Return the adapters on which requests can start now."""
        return tuple(slot.name for slot in self._slots if slot.is_open)

    def holds(self, name: str) -> bool:
        """Return whether a request for adapter `name` can start now."""
        return self._slots.is_open(name)

    def has_slot(self, name: str) -> bool:
        """Return whether adapter `name` occupies a slot."""
        return name in self._slots

    @property
    def waiting_count(self) -> int:
        """Return how many requests wait for an adapter."""
        return len(self._waiters)

    @property
    def spare_slot_count(self) -> int:
        """Return the free and unused slots, less those that waiters need."""
        spare = self._slots.free_count + self._slots.unused_count
        return max(0, spare - len(self._adapters_to_load()))

    def expected_wait_s(self, name: str = '') -> float:
        """Return the expected wait of a request for adapter `name`."""
        return self.expected_wait(name).total_s

    def expected_wait(self, name: str = '') -> slot_simulation.AdapterWait:
        """Return the expected wait, split into the slot and the load."""
        return self._forecast.wait(name)

    @property
    def cached_copy_load_s(self) -> float:
        """Return the expected load time of an adapter with a cached copy."""
        return self._load_times.copy_s

    @property
    def cached_copy_count(self) -> int:
        """Return the estimated number of copies that the engine caches."""
        return self._load_times.copy_count

    @contextlib.asynccontextmanager
    async def hold(
        self,
        name: str,
        deadline_s: float,
        weight: float = 1.0,
        use_s: float | None = None,
    ) -> AsyncIterator[float]:
        """Keep adapter `name` in the engine while the context is open.

        Yields the seconds that the request waited for its adapter.

        Parameters
        ----------
        deadline_s
            Longest time to wait for the adapter.
        weight
            Cost of waiting, relative to other requests.
        use_s
            How long the request is expected to use the adapter.

        Raises
        ------
        RefusalError
            The adapter cannot be loaded, or not within `deadline_s`.
        """
        requested_at_s = self._clock.monotonic_s()
        slot = await self._acquire(name, deadline_s, weight, use_s)
        try:
            yield self._clock.monotonic_s() - requested_at_s
        finally:
            self._release(slot)

    def clear_and_reload(self) -> None:
        """Record that the engine restarted empty, and restart loads."""
        self.clear()
        self._start_loads()

    def clear(self) -> None:
        """Record that the engine restarted and cannot load yet.

        Requests in progress keep their old slot objects, so that their
        release does not change the new table.  A load in progress finds
        a new generation, and its result is ignored.
        """
        self._generation += 1
        self._slots.clear()
        self._evicted_at_s.clear()
        self._load_times.clear_copies()

    def exclude_pause(self, pause_s: float) -> None:
        """Exclude a silence of the engine from the times of its loads.

        None of them could be seen to end.
        """
        self._pause_count += 1
        now_s = self._clock.monotonic_s()
        for slot in self._slots:
            since_s = slot.loading_since_s + pause_s
            slot.loading_since_s = min(now_s, since_s)

    def remove(self, name: str) -> None:
        """Remove an adapter that the engine turned out not to hold."""
        slot = self._slots.get(name)
        if slot is not None and slot.state is slot_module.SlotState.READY:
            self._slots.discard(slot)
            self._start_loads()

    def adopt(self, names: Iterable[str]) -> None:
        """Add adapters that the engine holds and the slot table lacks.

        They were loaded for an earlier sidecar of this engine, or by a
        load whose answer was lost.  Without them, the table would show
        free slots while the engine is full, and each load would fail.
        """
        now_s = self._clock.monotonic_s()
        self._evicted_at_s = {
            name: evicted_at_s
            for name, evicted_at_s in self._evicted_at_s.items()
            if now_s - evicted_at_s < _EVICTION_LAG_S
        }
        for name in names:
            # The report lags: it still lists an adapter for a while after
            # its eviction, which would make a free slot look occupied.
            if name in self._slots or name in self._evicted_at_s:
                continue
            # A killed sidecar may have left requests running.  This
            # sidecar does not know them, so their adapters would look
            # idle and be evicted under a running request.
            slot = slot_module.Slot(
                name, slot_module.SlotState.READY, 1, adopted_at_s=now_s
            )
            self._slots.put(slot)
            self._serve_waiters(slot)
        self._start_loads()

    def release_adopted(
        self, requested_at_s: float, is_idle: Callable[[str], bool]
    ) -> None:
        """Release adopted adapters that the engine reports as idle.

        Parameters
        ----------
        requested_at_s
            When the report was requested.  It lags, so it is only used
            for adapters that were adopted some time before.
        is_idle
            Whether the engine reports that an adapter has no requests.
        """
        for slot in self._slots:
            if (
                slot.adopted_at_s is not None
                and requested_at_s
                >= slot.adopted_at_s + self._max_report_lag_s
                and is_idle(slot.name)
            ):
                slot.adopted_at_s = None
                self._release(slot)

    def limit_slot_count(self, slot_count: int) -> None:
        """Use no more slots than the engine reports."""
        # If the settings name more slots than the engine has, loads into
        # the missing slots would fail, and their requests with them.
        if slot_count > 0:
            self._slots.slot_count = min(self._slots.slot_count, slot_count)

    async def close(self) -> None:
        """Cancel the loads in progress and start no more."""
        self._is_closed = True
        for load_task in self._load_tasks:
            load_task.cancel()
        await asyncio.gather(*self._load_tasks, return_exceptions=True)

    async def _acquire(
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
        remaining_s = self._backoffs.remaining_s(name)
        if remaining_s > 0:
            raise errors.RefusalError(
                errors.ErrorKind.ADAPTER_UNAVAILABLE,
                'the adapter failed to load recently',
                retry_after_s=remaining_s,
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
            return await self._await_slot(name, waiter, deadline_s)
        except (errors.RefusalError, asyncio.CancelledError):
            self._abandon(name, waiter)
            raise

    async def _await_slot(
        self, name: str, waiter: _Waiter, deadline_s: float
    ) -> slot_module.Slot:
        # The expected wait can grow after arrival: the store slows down,
        # or adapters with more waiting requests go first.  Without this
        # recheck, callers would be refused only at their deadline.
        until_s = waiter.since_s + deadline_s
        while not waiter.future.done():
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
                [waiter.future], timeout=min(_RECHECK_INTERVAL_S, left_s)
            )
        return waiter.future.result()

    def _abandon(self, name: str, waiter: _Waiter) -> None:
        # A waiter can be assigned its slot and be cancelled in the same
        # iteration of the event loop.  Its use of the slot is released
        # here; otherwise the slot would never be idle again.
        if waiter.future.done() and not waiter.future.cancelled():
            if waiter.future.exception() is None:
                self._release(waiter.future.result())
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
        start_count = min(
            len(self._adapters_to_load()),
            self._slots.available_count,
            self._max_pending_permits,
            self._max_concurrent_loads - self._slots.loading_count,
        )
        for _ in range(start_count - self._pending_permits):
            self._pending_permits += 1
            load_task = asyncio.create_task(self._load_next())
            self._load_tasks.add(load_task)
            load_task.add_done_callback(self._load_tasks.discard)
        self._close_slot_if_needed()

    def _adapters_to_load(self) -> list[str]:
        return [name for name in self._waiters if name not in self._slots]

    def _highest_cost(self) -> float:
        return max(
            map(self._waiters.cost, self._adapters_to_load()), default=0.0
        )

    async def _load_next(self) -> None:
        started_s = self._clock.monotonic_s()
        pause_count = self._pause_count
        is_pending = True
        try:
            async with self._pacer.permit(self._highest_cost):
                self._pending_permits -= 1
                is_pending = False
                names = self._adapters_to_load()
                if not names or self._slots.available_count < 1:
                    return
                name = max(names, key=self._waiters.cost)
                if not await self._load(name):
                    return
                took_s = self._clock.monotonic_s() - started_s
                if pause_count != self._pause_count:
                    self._load_times.record_use(name)
                else:
                    self._load_times.record_load(name, took_s)
        finally:
            self._pending_permits -= is_pending
            self._start_loads()

    async def _load(self, name: str) -> bool:
        """Load an adapter; return whether the engine holds it now."""
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
                self._fail_waiters(name, error)
            return False
        except BaseException:
            self._slots.discard(slot)
            raise
        return self._finish_load(slot, generation)

    def _finish_load(self, slot: slot_module.Slot, generation: int) -> bool:
        # If the engine restarted during the load, it may have received
        # the order before or after the restart.  The requests stay
        # queued and the load is ordered again; an engine that holds the
        # adapter answers at once.
        if generation != self._generation:
            return False
        slot.state = slot_module.SlotState.READY
        self.load_count += 1
        self._backoffs.reset(slot.name)
        self._serve_waiters(slot)
        return True

    def _serve_waiters(self, slot: slot_module.Slot) -> None:
        slot.used_at_s = self._clock.monotonic_s()
        for waiter in self._waiters.pop_all(slot.name):
            slot.serve(slot.used_at_s, waiter.use_s)
            waiter.future.set_result(slot)

    async def _evict(self, victims: list[slot_module.Slot]) -> None:
        for victim in victims:
            try:
                await self._engine.evict_adapter(
                    victim.name, self._fence.token
                )
                self._fence.mark_accepted()
            except errors.PlatformError:
                # The adapter may or may not have been evicted.  If it
                # was, the engine refuses its next request, and `remove`
                # corrects the table.
                self._restore_victims(victims)
                raise
            self._slots.discard(victim)
            self._load_times.record_use(victim.name)
            self._evicted_at_s[victim.name] = self._clock.monotonic_s()
            self.eviction_count += 1

    def _restore_victims(self, victims: list[slot_module.Slot]) -> None:
        for victim in victims:
            if self._slots.get(victim.name) is victim:
                victim.state = slot_module.SlotState.READY
                self._serve_waiters(victim)

    def _fail_waiters(self, name: str, error: errors.PlatformError) -> None:
        log.warning('load failed', adapter=name, error=str(error))
        self.failed_load_count += 1
        delay_s = self._backoffs.record_failure(name)
        for waiter in self._waiters.pop_all(name):
            waiter.future.set_exception(
                errors.RefusalError(
                    errors.ErrorKind.ADAPTER_UNAVAILABLE,
                    'the adapter failed to load',
                    retry_after_s=delay_s,
                )
            )

    def _close_slot_if_needed(self) -> None:
        # Slots whose requests overlap without a gap are never idle, and
        # a waiting adapter would never be loaded.  The slot least in
        # demand accepts no new requests until it has been evicted.
        if self._slots.available_count > 0 or self._slots.is_freeing:
            return
        if not any(
            self._waiters.longest_wait_s(name) >= self._close_after_s
            for name in self._adapters_to_load()
        ):
            return
        self._slots.close_least_wanted()

    def _reopen_slots(self) -> None:
        if self._adapters_to_load():
            return
        for slot in self._slots:
            if slot.is_closing:
                slot.is_closing = False
                self._serve_waiters(slot)
