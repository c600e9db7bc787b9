"""Which adapters take the slots of an engine, and which may go."""

from collections.abc import Iterable, Iterator

from lacewingpitch import clock as clock_module
from lacewingpitch import demand as demand_module
from lacewingpitch import slot as slot_module

_DEMAND_HALF_LIFE_S = 10.0
_RECENT_USE_S = 5.0
_UNUSED_S = 6.0


class SlotTable:
    """The slots by adapter.

    An adapter is evicted only when nothing runs on it and nothing is about
    to; among these, the one least in demand goes.

    Attributes
    ----------
    slot_count
        Adapters that the engine holds at once.
    demand
        How often adapters were asked for of late.
    """

    def __init__(self, slot_count: int, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._slots: dict[str, slot_module.Slot] = {}
        self.slot_count = slot_count
        self.demand = demand_module.DecayedCounts(clock, _DEMAND_HALF_LIFE_S)

    def __contains__(self, name: str) -> bool:
        """Whether a slot is taken by an adapter."""
        return name in self._slots

    def __iter__(self) -> Iterator[slot_module.Slot]:
        """Iterate over the slots that are taken, as they are now."""
        return iter(tuple(self._slots.values()))

    def get(self, name: str) -> slot_module.Slot | None:
        """Return the slot of an adapter."""
        return self._slots.get(name)

    def put(self, slot: slot_module.Slot) -> None:
        """Give a slot to an adapter."""
        self._slots[slot.name] = slot

    def discard(self, slot: slot_module.Slot) -> None:
        """Free a slot.

        After a restart another slot of the same name may stand here; only
        the one that is meant goes.
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
        """Return how many loads are under way."""
        return sum(
            1
            for slot in self._slots.values()
            if slot.state is slot_module.SlotState.LOADING
        )

    @property
    def free_count(self) -> int:
        """Return how many slots no adapter takes."""
        return self.slot_count - len(self._slots)

    @property
    def room_count(self) -> int:
        """Return how many adapters could be loaded now."""
        return self.free_count + sum(1 for _ in self._idle())

    @property
    def unused_count(self) -> int:
        """Return how many slots can change hands at little cost."""
        now_s = self._clock.monotonic_s()
        return sum(
            1 for slot in self._idle() if now_s - slot.used_at_s >= _UNUSED_S
        )

    @property
    def is_freeing(self) -> bool:
        """Whether a slot is on its way to come free."""
        return any(
            slot.is_closing or slot.state is not slot_module.SlotState.READY
            for slot in self._slots.values()
        )

    def choose_victims(self) -> list[slot_module.Slot]:
        """Mark the adapters that give way to those that were put last."""
        victims: list[slot_module.Slot] = []
        while len(self._slots) - len(victims) > self.slot_count:
            idle = list(self._idle())
            if not idle:
                break
            victim = min(idle, key=self._worth)
            victim.state = slot_module.SlotState.EVICTING
            victims.append(victim)
        return victims

    def close_least_wanted(self) -> None:
        """Have the least wanted adapter take no new requests."""
        ready = [slot for slot in self._slots.values() if slot.is_open]
        if ready:
            min(ready, key=self._worth).is_closing = True

    def _idle(self) -> Iterable[slot_module.Slot]:
        return (
            slot
            for slot in self._slots.values()
            if slot.state is slot_module.SlotState.READY and not slot.serving
        )

    def _worth(
        self, slot: slot_module.Slot
    ) -> tuple[bool, bool, float, float]:
        # A slot used a moment ago stays while another can go: the next
        # request of the same conversation would find it just evicted.
        now_s = self._clock.monotonic_s()
        return (
            not slot.is_closing,
            now_s - slot.used_at_s < _RECENT_USE_S,
            self.demand.value(slot.name),
            slot.used_at_s,
        )
