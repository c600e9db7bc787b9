"""Pauses between the tries to load an adapter that fails to load."""

import dataclasses

from lacewingpitch import clock as clock_module

_FIRST_S = 1.0
_MAX_S = 30.0
_MAX_KEPT = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class _Backoff:
    until_s: float
    delay_s: float


class LoadBackoffs:
    """The adapters that failed to load of late.

    Requests for an adapter that cannot be loaded would have it ordered
    again and again, and keep the store and a slot from the others.  Each
    failure doubles the pause, from 1 s to 30 s.

    Parameters
    ----------
    clock
        Source of time.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._backoffs: dict[str, _Backoff] = {}

    def __len__(self) -> int:
        """Return how many adapters failed, and were not loaded since."""
        return len(self._backoffs)

    def left_s(self, name: str) -> float:
        """Return how long an adapter is not to be loaded; 0 if it may."""
        backoff = self._backoffs.get(name)
        if backoff is None:
            return 0.0
        return max(0.0, backoff.until_s - self._clock.monotonic_s())

    def begin(self, name: str) -> float:
        """Note a failure, and return how long the pause is."""
        earlier = self._backoffs.pop(name, None)
        delay_s = _FIRST_S
        if earlier is not None:
            delay_s = min(earlier.delay_s * 2, _MAX_S)
        until_s = self._clock.monotonic_s() + delay_s
        self._backoffs[name] = _Backoff(until_s, delay_s)
        if len(self._backoffs) > _MAX_KEPT:
            del self._backoffs[next(iter(self._backoffs))]
        return delay_s

    def end(self, name: str) -> None:
        """Note that the adapter was loaded."""
        self._backoffs.pop(name, None)
