"""Exponentially decaying counts, to tell hot adapters from cold ones."""

import collections
import math

from lacewingpitch import clock as clock_module


class DecayedCounts:
    """Recent requests for each key, with exponential decay.

    A count halves every `half_life_s`, so that it combines recency and
    frequency, as in LRFU (Lee et al., 2001).  Beyond `capacity_keys`,
    the least recently counted keys are dropped.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        half_life_s: float,
        capacity_keys: int = 8192,
    ) -> None:
        self._clock = clock
        self._half_life_s = half_life_s
        self._capacity_keys = capacity_keys
        self._counts: collections.OrderedDict[str, tuple[float, float]] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return how many keys have a count."""
        return len(self._counts)

    def add(self, key: str) -> None:
        """Count one more request for `key`."""
        count = self.count(key) + 1.0
        self._counts[key] = (count, self._clock.monotonic_s())
        self._counts.move_to_end(key)
        if len(self._counts) > self._capacity_keys:
            self._counts.popitem(last=False)

    def rate_per_s(self, key: str) -> float:
        """Return the recent request rate of `key`."""
        return self.count(key) * math.log(2.0) / self._half_life_s

    def count(self, key: str) -> float:
        """Return the decayed count of `key`."""
        found = self._counts.get(key)
        if found is None:
            return 0.0
        count, counted_at_s = found
        age_s = self._clock.monotonic_s() - counted_at_s
        return float(count * 0.5 ** (age_s / self._half_life_s))
