"""How long requests wait for a process that has just started."""

from lacewingpitch import clock as clock_module

# The configuration is read at once, from another entry where the store is
# away, and where all have restarted once the store is back.  Callers that
# are refused before may have no try left.
_START_S = 1.5
# A caller that is refused in the end must have time left to come back.
_MAX_RATIO = 1.0 / 3.0


class StartupGrace:
    """Lets requests wait while their process learns what is published.

    Load it answers: all callers whose connections were cut as processes
    ended come back at once, and most have one try left.  A process that
    knows nothing for longer than a start takes refuses them at once, and
    says when to come back: then the store is down, for seconds.

    Parameters
    ----------
    clock
        Source of time.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self.begin()

    def begin(self) -> None:
        """Take note that the process takes requests from now on."""
        self._until_s = self._clock.monotonic_s() + _START_S

    def left_s(self, caller_s: float) -> float:
        """Return how long a request may wait; 0 if not at all.

        Parameters
        ----------
        caller_s
            Time that its caller waits for the answer; 0 if not known.
        """
        left_s = max(0.0, self._until_s - self._clock.monotonic_s())
        if caller_s:
            return min(left_s, caller_s * _MAX_RATIO)
        return left_s
