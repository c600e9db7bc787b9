"""How often the requests of each rank get a turn at one engine."""

import dataclasses
import math

from lacewingpitch import clock as clock_module

# Older requests count less, by a factor of e in this time.
_DECAY_S = 10.0
# With fewer requests, a ratio counts as unknown.
_MIN_COUNT = 8.0
# A less urgent rank may be served more often by this much.
_TOLERANCE_RATIO = 0.03
# A rank that is served less often than this share of another one is
# neglected.
_NEGLECTED_RATIO = 0.7
# Ranks come from the configuration, and are few.
_MAX_RANKS = 16


@dataclasses.dataclass(slots=True)
class _Counts:
    asked: float = 0.0
    served: float = 0.0
    as_of_s: float = 0.0

    def decay(self, now_s: float) -> None:
        factor = math.exp((self.as_of_s - now_s) / _DECAY_S)
        self.asked *= factor
        self.served *= factor
        self.as_of_s = now_s

    @property
    def ratio(self) -> float:
        if self.asked < _MIN_COUNT:
            return 1.0
        return min(1.0, self.served / self.asked)


class ServiceRatios:
    """Compares how often requests are served, by their rank."""

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._counts: dict[int, _Counts] = {}

    def record(self, rank: int, is_served: bool, is_return: bool) -> None:
        """Record a decision about a request.

        Parameters
        ----------
        is_return
            Whether the request was refused and recorded before.
        """
        counts = self._of(rank)
        counts.asked += not is_return
        counts.served += is_served

    def is_preferred(self, rank: int) -> bool:
        """Whether a rank is served more often than a more urgent one."""
        own_ratio = self._of(rank).ratio
        return any(
            own_ratio > self._of(other).ratio + _TOLERANCE_RATIO
            for other in list(self._counts)
            if other < rank
        )

    def is_neglected(self, rank: int) -> bool:
        """Whether a rank is served far less often than another one."""
        own_ratio = self._of(rank).ratio
        return any(
            own_ratio < _NEGLECTED_RATIO * self._of(other).ratio
            for other in list(self._counts)
        )

    def _of(self, rank: int) -> _Counts:
        now_s = self._clock.monotonic_s()
        counts = self._counts.get(rank)
        if counts is None:
            if len(self._counts) >= _MAX_RANKS:
                self._counts.clear()
            counts = self._counts[rank] = _Counts(as_of_s=now_s)
        counts.decay(now_s)
        return counts
