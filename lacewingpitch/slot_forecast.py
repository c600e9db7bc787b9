"""What a request would wait for its adapter, by the slots of its engine."""

from typing import TypeAlias

from lacewingpitch import adapter_waiters
from lacewingpitch import clock as clock_module
from lacewingpitch import load_times as load_times_module
from lacewingpitch import place_forecast
from lacewingpitch import slot as slot_module
from lacewingpitch import slot_table

_Waiters: TypeAlias = adapter_waiters.AdapterWaiters[slot_module.Slot]


class SlotForecast:
    """Plays forward who gets the slots of an engine, and when.

    Parameters
    ----------
    waiters
        Requests that wait, by adapter; those whose waiting costs most go
        first.
    max_loading
        Loads that may be under way at once.
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

    def wait(self, name: str = '') -> place_forecast.AdapterWait:
        """Return what a request for adapter `name` would wait now."""
        if self._slots.is_open(name):
            return place_forecast.AdapterWait()
        now_s = self._clock.monotonic_s()
        slot = self._slots.get(name)
        if slot is not None and slot.state is slot_module.SlotState.LOADING:
            return place_forecast.AdapterWait(
                load_s=self._load_left_s(slot, now_s)
            )
        forecast = place_forecast.PlaceForecast(
            self._free_in_s(now_s), self._max_loading
        )
        for other in self._loaded_before(name):
            forecast.take(self._occupancy(other))
        return forecast.take(self._occupancy(name))

    def _loaded_before(self, name: str) -> list[str]:
        ahead = [n for n in self._waiters if n not in self._slots]
        if name in self._waiters:
            cost = self._waiters.cost(name)
            ahead = [n for n in ahead if self._waiters.cost(n) > cost]
        return sorted(ahead, key=self._waiters.cost, reverse=True)

    def _occupancy(self, name: str) -> place_forecast.Occupancy:
        is_trial = 2 * self._slots.loading_count < self._max_loading
        return place_forecast.Occupancy(
            self._load_times.expected_s(name, is_trial),
            self._waiters.use_s(name),
        )

    def _load_left_s(self, slot: slot_module.Slot, now_s: float) -> float:
        load_s = self._load_times.expected_s(slot.name)
        return abs(slot.loading_since_s + load_s - now_s)

    def _free_in_s(self, now_s: float) -> list[float]:
        free_in_s = []
        for slot in self._slots:
            if slot.state is slot_module.SlotState.LOADING:
                use_s = self._waiters.use_s(slot.name)
                free_in_s.append(self._load_left_s(slot, now_s) + use_s)
            elif slot.state is slot_module.SlotState.READY:
                busy_s = slot.free_in_s(now_s)
                free_in_s.append(busy_s + self._renewed_s(slot, busy_s))
        spare = self._slots.slot_count - len(free_in_s)
        return free_in_s + [0.0] * spare

    def _renewed_s(self, slot: slot_module.Slot, busy_s: float) -> float:
        """Return for how long requests to come keep a place, too.

        A hot adapter is never idle: its next request comes before the
        last has ended, and begins another busy period.
        """
        if slot.is_closing or not busy_s:
            return 0.0
        rate_per_s = self._slots.demand.rate_per_s(slot.name)
        return place_forecast.renewed_s(busy_s, rate_per_s, slot.mean_use_s)
