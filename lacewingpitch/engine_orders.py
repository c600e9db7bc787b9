"""Orders to an engine, and those that its last report may not show.

An order is a command that changes which model or adapters an engine holds.
"""

import dataclasses
import enum
import math
from typing import Protocol

from lacewingpitch import engine_snapshot


class OrderResult(enum.Enum):
    """Answer of an engine to an order."""

    ACCEPTED = enum.auto()
    DONE = enum.auto()
    BUSY = enum.auto()
    FENCED = enum.auto()
    OTHER_INCARNATION = enum.auto()
    REJECTED = enum.auto()


class EngineOrders(Protocol):
    """Client for the calls that change what an engine holds."""

    async def load_model(
        self, model: str, fencing: int, incarnation: str
    ) -> OrderResult:
        """Order the engine to load a model."""
        ...

    async def load(
        self,
        model: str,
        adapter: str,
        version: int,
        fencing: int,
        incarnation: str,
    ) -> OrderResult:
        """Order the engine to load an adapter; version 0 is the newest."""
        ...

    async def unload(
        self, model: str, adapter: str, fencing: int, incarnation: str
    ) -> OrderResult:
        """Order the engine to unload an adapter that is not in use."""
        ...


@dataclasses.dataclass(slots=True, eq=False)
class LoadOrder:
    """A load that occupies a slot, whether or not a report shows it.

    Parameters
    ----------
    key
        MODEL/ADAPTER.
    finished_at_s
        When it was answered, or its answer was lost; infinite until then.
    """

    key: str
    finished_at_s: float = math.inf


class UnconfirmedOrders:
    """Adapter orders that the last report may not show.

    Guards against ordering an engine to hold more adapters than it has
    slots, at which it crashes with all its runs.  Neither a report that is
    older than an order nor a lost answer shows whether it was carried out.
    """

    def __init__(self) -> None:
        self._loads: list[LoadOrder] = []
        # Times at which unloads were answered, by MODEL/ADAPTER.
        self._unloaded_at_s: dict[str, float] = {}

    def has_unconfirmed(self, key: str) -> bool:
        """Whether the last report may be older than an order for the key."""
        return key in self._unloaded_at_s or key in self._load_keys()

    def occupied_slots(
        self, snapshot: engine_snapshot.EngineSnapshot | None
    ) -> set[str]:
        """Return the adapters that occupy a slot, or may do so.

        Parameters
        ----------
        snapshot
            The last report of the current start; None before the first.
        """
        if snapshot is None:
            return self._load_keys()
        shown = set(snapshot.held) | set(snapshot.pending)
        return (shown - set(self._unloaded_at_s)) | self._load_keys()

    def begin_load(self, key: str) -> LoadOrder:
        """Reserve a slot for a load that is about to be ordered."""
        order = LoadOrder(key)
        self._loads.append(order)
        return order

    def finish_load(self, order: LoadOrder, now_s: float) -> None:
        """Record that a load was answered, or its answer was lost."""
        order.finished_at_s = now_s
        self._unloaded_at_s.pop(order.key, None)

    def record_unload(self, key: str, now_s: float) -> None:
        """Record that an unload is completed."""
        self._unloaded_at_s[key] = now_s

    def restart(self) -> None:
        """Discard the unloads of the previous start.

        Loads in flight still occupy a slot: if the engine restarted under
        the same name, it may accept an order meant for its previous start.
        """
        self._unloaded_at_s.clear()

    def apply_report(self, polled_at_s: float) -> None:
        """Discard the orders that a report requested at a time must show."""
        self._loads = [
            order
            for order in self._loads
            if order.finished_at_s >= polled_at_s
        ]
        self._unloaded_at_s = {
            key: at_s
            for key, at_s in self._unloaded_at_s.items()
            if at_s >= polled_at_s
        }

    def _load_keys(self) -> set[str]:
        return {order.key for order in self._loads}
