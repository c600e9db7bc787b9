"""When a read that failed is tried again."""

import random

_FIRST_PAUSE_S = 0.05
_MAX_PAUSE_S = 1.0
_MAX_DOUBLINGS = 8
# Between the beginnings of two tries, by a process that knows nothing yet.
_START_INTERVAL_S = 0.4


class ReadBackoff:
    """Pauses between reads of a store that fails.

    Load it answers: a store that is away as all processes restart.  None
    of them serves until it has read what is published once, so that those
    that know nothing try again soon after each failure.  Those that know
    something serve on with it, and wait longer each time.

    Parameters
    ----------
    source
        Spreads the tries of processes that failed together.
    """

    def __init__(self, source: random.Random) -> None:
        self._random = source
        self._has_read = False
        self.failure_count = 0

    def record_success(self) -> None:
        """Take note of a read that was answered."""
        self._has_read = True
        self.failure_count = 0

    def record_failure(self, took_s: float) -> float:
        """Take note of a read that failed; return how long to wait.

        Parameters
        ----------
        took_s
            How long it took to fail.
        """
        self.failure_count += 1
        if not self._has_read:
            limit_s = max(_FIRST_PAUSE_S, _START_INTERVAL_S - took_s)
        else:
            doublings = min(self.failure_count, _MAX_DOUBLINGS)
            limit_s = min(_FIRST_PAUSE_S * 2**doublings, _MAX_PAUSE_S)
        return limit_s * self._random.uniform(0.5, 1.0)
