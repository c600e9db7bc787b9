"""Orders to an engine, and those that its reports may not show yet."""

import dataclasses
import enum
import math
from typing import Protocol

from lacewingpitch import engine_snapshot


class OrderResult(enum.Enum):
    """What an engine answered to an order."""

    ACCEPTED = enum.auto()
    DONE = enum.auto()
    BUSY = enum.auto()
    FENCED = enum.auto()
    OTHER_INCARNATION = enum.auto()
    REJECTED = enum.auto()


class EngineOrders(Protocol):
    """The calls that change what an engine holds."""

    async def load_model(
        self, model: str, fencing: int, incarnation: str
    ) -> OrderResult:
        """Order a model to be loaded."""
        ...

    async def load(
        self,
        model: str,
        adapter: str,
        version: int,
        fencing: int,
        incarnation: str,
    ) -> OrderResult:
        """Order an adapter to be loaded; version 0 is the newest."""
        ...

    async def unload(
        self, model: str, adapter: str, fencing: int, incarnation: str
    ) -> OrderResult:
        """Order an adapter that nothing uses to be unloaded."""
        ...


@dataclasses.dataclass(slots=True, eq=False)
class LoadOrder:
    """A load that takes a slot, whether or not a report shows it.

    Parameters
    ----------
    key
        MODEL/ADAPTER.
    settled_at_s
        When it was answered, or its answer was lost; infinite before.
    """

    key: str
    settled_at_s: float = math.inf


class OpenOrders:
    """The orders about adapters that the last report may not show.

    Guards against an engine that is ordered to hold one adapter more than it
    has slots: it crashes, with all its runs.  A report that is older than
    an order says nothing about it, and neither does a lost answer.
    """

    def __init__(self) -> None:
        self._loads: list[LoadOrder] = []
        # By MODEL/ADAPTER, when they were answered.
        self._unloads_at_s: dict[str, float] = {}

    def is_open(self, key: str) -> bool:
        """Whether the last report may be older than an order for a key."""
        return key in self._unloads_at_s or key in self._load_keys()

    def taken(
        self, snapshot: engine_snapshot.EngineSnapshot | None
    ) -> set[str]:
        """Return the adapters that take a slot, or may do.

        Parameters
        ----------
        snapshot
            The last report, if there is one of this start.
        """
        if snapshot is None:
            return self._load_keys()
        shown = set(snapshot.held) | set(snapshot.pending)
        return (shown - set(self._unloads_at_s)) | self._load_keys()

    def begin_load(self, key: str) -> LoadOrder:
        """Reserve a slot for a load that is about to be ordered."""
        order = LoadOrder(key)
        self._loads.append(order)
        return order

    def settle_load(self, order: LoadOrder, now_s: float) -> None:
        """Take note that a load was answered, or its answer was lost."""
        order.settled_at_s = now_s
        self._unloads_at_s.pop(order.key, None)

    def note_unload(self, key: str, now_s: float) -> None:
        """Take note that an unload was answered as done."""
        self._unloads_at_s[key] = now_s

    def restart(self) -> None:
        """Forget the unloads of the last start.

        Loads that are on their way still take a slot: under one name, an
        order that was meant for the last start may be taken by this one.
        """
        self._unloads_at_s.clear()

    def shown(self, asked_at_s: float) -> None:
        """Drop the orders that a report shows, by when it was asked for."""
        self._loads = [
            order for order in self._loads if order.settled_at_s >= asked_at_s
        ]
        self._unloads_at_s = {
            key: at_s
            for key, at_s in self._unloads_at_s.items()
            if at_s >= asked_at_s
        }

    def _load_keys(self) -> set[str]:
        return {order.key for order in self._loads}
