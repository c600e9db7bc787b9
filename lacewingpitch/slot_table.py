"""The table of an engine's adapter slots, and its eviction policy."""

from collections.abc import Iterable, Iterator

from lacewingpitch import clock as clock_module
from lacewingpitch import demand as demand_module
from lacewingpitch import slot as slot_module

_DEMAND_HALF_LIFE_S = 10.0
_RECENT_USE_S = 5.0
# An idle slot counts as unused after this time.
_UNUSED_S = 6.0


class SlotTable:
    """The occupied slots of an engine, by adapter.

    Only an adapter without running or starting requests is evicted; of
    these, the one least in demand.

    Attributes
    ----------
    slot_count
        How many adapters the engine holds at once.
    demand
        Recent requests for each adapter.
    """

    def __init__(self, slot_count: int, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._slots: dict[str, slot_module.Slot] = {}
        self.slot_count = slot_count
        self.demand = demand_module.DecayedCounts(clock, _DEMAND_HALF_LIFE_S)

    def __contains__(self, name: str) -> bool:
        """Whether an adapter occupies a slot."""
        return name in self._slots

    def __iter__(self) -> Iterator[slot_module.Slot]:
        """Iterate over a snapshot of the occupied slots."""
        return iter(tuple(self._slots.values()))

    def get(self, name: str) -> slot_module.Slot | None:
        """Return the slot of an adapter."""
        return self._slots.get(name)

    def put(self, slot: slot_module.Slot) -> None:
        """Add a slot under the name of its adapter."""
        self._slots[slot.name] = slot

    def discard(self, slot: slot_module.Slot) -> None:
        """Free a slot.

        After an engine restart, the table may hold another slot of the
        same name; that one stays.
        """
        if self._slots.get(slot.name) is slot:
            del self._slots[slot.name]

    def clear(self) -> None:
        """Free all slots."""
        self._slots.clear()

    def is_open(self, name: str) -> bool:
        """Whether a request for an adapter can start now."""
        slot = self._slots.get(name)
        return slot is not None and slot.is_open

    @property
    def loading_count(self) -> int:
        """Return how many adapters are being loaded."""
        return sum(
            1
            for slot in self._slots.values()
            if slot.state is slot_module.SlotState.LOADING
        )

    @property
    def free_count(self) -> int:
        """Return how many slots hold no adapter."""
        return self.slot_count - len(self._slots)

    @property
    def available_count(self) -> int:
        """Return how many slots are free or can be freed by eviction."""
        return self.free_count + sum(1 for _ in self._idle())

    @property
    def unused_count(self) -> int:
        """Return how many slots have been idle for some time."""
        now_s = self._clock.monotonic_s()
        return sum(
            1 for slot in self._idle() if now_s - slot.used_at_s >= _UNUSED_S
        )

    @property
    def is_freeing(self) -> bool:
        """Whether a slot is closing, loading or being evicted."""
        return any(
            slot.is_closing or slot.state is not slot_module.SlotState.READY
            for slot in self._slots.values()
        )

    def choose_victims(self) -> list[slot_module.Slot]:
        """Mark idle slots for eviction until the table fits the engine."""
        victims: list[slot_module.Slot] = []
        while len(self._slots) - len(victims) > self.slot_count:
            idle = list(self._idle())
            if not idle:
                break
            victim = min(idle, key=self._retention_key)
            victim.state = slot_module.SlotState.EVICTING
            victims.append(victim)
        return victims

    def close_least_wanted(self) -> None:
        """Close the open slot whose adapter is least in demand."""
        ready = [slot for slot in self._slots.values() if slot.is_open]
        if ready:
            min(ready, key=self._retention_key).is_closing = True

    def _idle(self) -> Iterable[slot_module.Slot]:
        return (
            slot
            for slot in self._slots.values()
            if slot.state is slot_module.SlotState.READY and not slot.serving
        )

    def _retention_key(
        self, slot: slot_module.Slot
    ) -> tuple[bool, bool, float, float]:
        """Return a sort key by which the first slots are evicted first."""
        # A recently used slot is kept if another can be evicted, because
        # the next request of the same conversation may need it.
        now_s = self._clock.monotonic_s()
        return (
            not slot.is_closing,
            now_s - slot.used_at_s < _RECENT_USE_S,
            self.demand.count(slot.name),
            slot.used_at_s,
        )
