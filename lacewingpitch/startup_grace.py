"""Grace period in which requests wait for a process that has started."""

from lacewingpitch import clock as clock_module

# The configuration is usually read at once: from the store, or from another
# entry while the store is unreachable.  If all entries have restarted, it is
# read once the store is back.  Callers that are refused before then may have
# no retry left.
_GRACE_PERIOD_S = 1.5
# A caller that is refused in the end must have time left for a retry.
_MAX_CALLER_WAIT_RATIO = 1.0 / 3.0


class StartupGrace:
    """Lets requests wait while their process reads its configuration.

    Designed for callers that all retry at once after processes ended and
    their connections were lost; most of them have one retry left.  If the
    process has no configuration after the grace period, the store is down
    for seconds, and requests are refused at once with a retry time.

    Parameters
    ----------
    clock
        Source of time.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self.begin()

    def begin(self) -> None:
        """Start the grace period as the process begins to serve."""
        self._ends_at_s = self._clock.monotonic_s() + _GRACE_PERIOD_S

    def left_s(self, caller_timeout_s: float) -> float:
        """Return how long a request may wait; 0 if not at all.

        Parameters
        ----------
        caller_timeout_s
            Time that the caller waits for the answer; 0 if unknown.
        """
        left_s = max(0.0, self._ends_at_s - self._clock.monotonic_s())
        if caller_timeout_s:
            return min(left_s, caller_timeout_s * _MAX_CALLER_WAIT_RATIO)
        return left_s
