"""Forecasts how long a request waits for its adapter to be loaded."""

from typing import TypeAlias

from lacewingpitch import adapter_waiters
from lacewingpitch import clock as clock_module
from lacewingpitch import load_times as load_times_module
from lacewingpitch import slot as slot_module
from lacewingpitch import slot_simulation
from lacewingpitch import slot_table

_Waiters: TypeAlias = adapter_waiters.AdapterWaiters[slot_module.Slot]


class SlotForecast:
    """Simulates which adapters get the slots of an engine, and when.

    Parameters
    ----------
    waiters
        Waiting requests by adapter.  Adapters are loaded in the order of
        their waiting cost, highest first.
    max_loading
        How many loads may run at once.
    """

    def __init__(
        self,
        slots: slot_table.SlotTable,
        waiters: _Waiters,
        load_times: load_times_module.LoadTimes,
        max_loading: int,
        clock: clock_module.Clock,
    ) -> None:
        self._slots = slots
        self._waiters = waiters
        self._load_times = load_times
        self._max_loading = max_loading
        self._clock = clock

    def wait(self, name: str = '') -> slot_simulation.AdapterWait:
        """Return the expected wait of a request for adapter `name`.

        Without a name, the wait is that for an adapter that is neither
        held nor cached.
        """
        if self._slots.is_open(name):
            return slot_simulation.AdapterWait()
        now_s = self._clock.monotonic_s()
        slot = self._slots.get(name)
        if slot is not None and slot.state is slot_module.SlotState.LOADING:
            return slot_simulation.AdapterWait(
                load_s=self._remaining_load_s(slot, now_s)
            )
        simulation = slot_simulation.SlotSimulation(
            self._free_in_s(now_s), self._max_loading
        )
        for other in self._loaded_before(name):
            simulation.assign_next(self._occupancy(other))
        return simulation.assign_next(self._occupancy(name))

    def _loaded_before(self, name: str) -> list[str]:
        """Return the waiting adapters that are loaded before `name`."""
        ahead = [n for n in self._waiters if n not in self._slots]
        if name in self._waiters:
            cost = self._waiters.cost(name)
            ahead = [n for n in ahead if self._waiters.cost(n) > cost]
        return sorted(ahead, key=self._waiters.cost, reverse=True)

    def _occupancy(self, name: str) -> slot_simulation.Occupancy:
        is_probe = 2 * self._slots.loading_count < self._max_loading
        return slot_simulation.Occupancy(
            self._load_times.expected_s(name, is_probe),
            self._waiters.use_s(name),
        )

    def _remaining_load_s(self, slot: slot_module.Slot, now_s: float) -> float:
        load_s = self._load_times.expected_s(slot.name)
        # An overdue load is expected to last as long again as it is
        # overdue.
        return abs(slot.loading_since_s + load_s - now_s)

    def _free_in_s(self, now_s: float) -> list[float]:
        """Return when each slot is expected to come free, from now."""
        free_in_s = []
        for slot in self._slots:
            if slot.state is slot_module.SlotState.LOADING:
                use_s = self._waiters.use_s(slot.name)
                free_in_s.append(self._remaining_load_s(slot, now_s) + use_s)
            elif slot.state is slot_module.SlotState.READY:
                busy_s = slot.free_in_s(now_s)
                free_in_s.append(busy_s + self._extension_s(slot, busy_s))
        spare = self._slots.slot_count - len(free_in_s)
        return free_in_s + [0.0] * spare

    def _extension_s(self, slot: slot_module.Slot, busy_s: float) -> float:
        """Return how much longer future requests keep a slot busy.

        The slot of a hot adapter is never idle: its next request arrives
        before the last has ended, and extends the busy period.
        """
        if slot.is_closing or not busy_s:
            return 0.0
        rate_per_s = self._slots.demand.rate_per_s(slot.name)
        return slot_simulation.busy_extension_s(
            busy_s, rate_per_s, slot.mean_use_s
        )
