"""Exponential backoff between attempts to load a failing adapter."""

import dataclasses

from lacewingpitch import clock as clock_module

_INITIAL_DELAY_S = 1.0
_MAX_DELAY_S = 30.0
_MAX_KEPT = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class _Backoff:
    until_s: float
    delay_s: float


class LoadBackoffs:
    """Backoff delays of the adapters that failed to load.

    Without a backoff, the requests for an adapter that cannot be loaded
    would start load after load, and take the store and a slot from other
    adapters.  Each failure doubles the delay, from 1 s to 30 s.

    Parameters
    ----------
    clock
        Source of time.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._backoffs: dict[str, _Backoff] = {}

    def __len__(self) -> int:
        """Return how many adapters failed and were not loaded since."""
        return len(self._backoffs)

    def remaining_s(self, name: str) -> float:
        """Return the rest of an adapter's delay; 0 if it may be loaded."""
        backoff = self._backoffs.get(name)
        if backoff is None:
            return 0.0
        return max(0.0, backoff.until_s - self._clock.monotonic_s())

    def record_failure(self, name: str) -> float:
        """Record a failed load; return the delay before the next attempt."""
        earlier = self._backoffs.pop(name, None)
        delay_s = _INITIAL_DELAY_S
        if earlier is not None:
            delay_s = min(earlier.delay_s * 2, _MAX_DELAY_S)
        until_s = self._clock.monotonic_s() + delay_s
        self._backoffs[name] = _Backoff(until_s, delay_s)
        if len(self._backoffs) > _MAX_KEPT:
            del self._backoffs[next(iter(self._backoffs))]
        return delay_s

    def reset(self, name: str) -> None:
        """Record a successful load."""
        self._backoffs.pop(name, None)
