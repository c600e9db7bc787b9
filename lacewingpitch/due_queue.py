"""Serves the request first whose turn is due first."""

import bisect
from collections.abc import Iterator

from lacewingpitch import turn_queue


class DueQueue:
    """Queue discipline by the order that requests bring with them.

    It keeps no shares: an organisation above its share must be given a late
    order, or be refused, before its requests get here.
    """

    def __init__(self) -> None:
        self._waiting: list[turn_queue.Waiter] = []

    def add(self, waiter: turn_queue.Waiter) -> None:
        """Enqueue a request."""
        bisect.insort(self._waiting, waiter, key=_position)

    def remove(self, waiter: turn_queue.Waiter) -> None:
        """Remove a request that leaves without a reservation."""
        self._waiting.remove(waiter)

    def pop(self) -> turn_queue.Waiter:
        """Remove and return the next request; one must be queued."""
        return self._waiting.pop(0)

    def finish(self, waiter: turn_queue.Waiter, used_s: float) -> None:
        """Release a reservation; usage has no effect here."""

    def forecast(self) -> Iterator[turn_queue.Waiter]:
        """Yield the queued requests in order, as if no more arrived."""
        yield from self._waiting


def _position(waiter: turn_queue.Waiter) -> float:
    return waiter.order_s
