"""Times at which refused callers should return."""

import random

from lacewingpitch import clock as clock_module

# Callers don't wait longer than this for another attempt.
_MAX_RETURN_S = 10.0


class ReturnTimes:
    """Spreads the return of callers that a rate limit refuses.

    Each of them gets the next free time at which the rate allows a request.
    If all returned when the first request is allowed, all but one would be
    refused again.

    Parameters
    ----------
    source
        Source of jitter once all times within the maximum are taken.
    """

    def __init__(
        self, clock: clock_module.Clock, source: random.Random
    ) -> None:
        self._clock = clock
        self._random = source
        self._next_at_s = 0.0

    def reset(self) -> None:
        """Forget the times that were given, as the rate has changed."""
        self._next_at_s = 0.0

    def next_s(self, earliest_s: float, interval_s: float) -> float:
        """Return the time until the next caller should return.

        Parameters
        ----------
        earliest_s
            Time until the rate allows a request.
        interval_s
            Time from one request to the next at the limited rate.
        """
        now_s = self._clock.monotonic_s()
        return_at_s = max(now_s + earliest_s, self._next_at_s)
        if return_at_s - now_s > _MAX_RETURN_S:
            return self._random.uniform(_MAX_RETURN_S / 2.0, _MAX_RETURN_S)
        self._next_at_s = return_at_s + interval_s
        return return_at_s - now_s
