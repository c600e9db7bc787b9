"""Backoff between failed reads of a store."""

import random

_FIRST_PAUSE_S = 0.05
# Longest time between the starts of two attempts.  A process must read what
# changed soon after the store's return.
_MAX_INTERVAL_S = 1.0
_MAX_DOUBLINGS = 8
# The same before the first read succeeds.
_START_INTERVAL_S = 0.4


class ReadBackoff:
    """Computes the pauses between reads of a store that fails.

    The store may be down while all processes restart.  A process serves no
    requests before its first successful read, so it retries soon after each
    failure.  After the first read it keeps serving with what it has read,
    and backs off exponentially.

    Parameters
    ----------
    source
        Draws the jitter for processes that failed together.
    """

    def __init__(self, source: random.Random) -> None:
        self._random = source
        self._has_read = False
        self.failure_count = 0

    def record_success(self) -> None:
        """Record a successful read."""
        self._has_read = True
        self.failure_count = 0

    def record_failure(self, took_s: float) -> float:
        """Record a failed read; return the pause before the next, in seconds.

        Parameters
        ----------
        took_s
            Time from the start of the read to its failure.
        """
        self.failure_count += 1
        doublings = min(self.failure_count, _MAX_DOUBLINGS)
        interval_s = min(_FIRST_PAUSE_S * 2**doublings, _MAX_INTERVAL_S)
        if not self._has_read:
            interval_s = _START_INTERVAL_S
        limit_s = max(_FIRST_PAUSE_S, interval_s - took_s)
        return limit_s * self._random.uniform(0.5, 1.0)
