"""Counts events of the recent past in constant memory."""

import collections

from lacewingpitch import clock as clock_module

_SLOTS = 20


class RecentCount:
    """Counts events within a sliding window, never too many.

    Parameters
    ----------
    window_s
        Length of the window.  Events are forgotten up to a twentieth of it
        too early.
    """

    def __init__(self, window_s: float, clock: clock_module.Clock) -> None:
        self._slot_s = window_s / _SLOTS
        self._clock = clock
        # Number of each slot with its events, the oldest first.
        self._slots: collections.deque[tuple[int, int]] = collections.deque()
        self._total = 0

    def add(self) -> None:
        """Count an event that happens now."""
        slot = self._forget_old()
        count = 1
        if self._slots and self._slots[-1][0] == slot:
            count += self._slots.pop()[1]
        self._slots.append((slot, count))
        self._total += 1

    @property
    def count(self) -> int:
        """Return how many events the window holds."""
        self._forget_old()
        return self._total

    def _forget_old(self) -> int:
        """Forget events before the window; return the number of the slot."""
        slot = int(self._clock.monotonic_s() / self._slot_s)
        while self._slots and self._slots[0][0] <= slot - _SLOTS:
            self._total -= self._slots.popleft()[1]
        return slot
