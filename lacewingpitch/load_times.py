"""Estimates how long adapters take to load."""

import collections

from lacewingpitch import clock as clock_module

_SMOOTHING_RATIO = 0.2
# The estimate decays to the initial one.  Without that, after some slow
# loads every request that needs a load would be refused, and no load would
# show that they have become fast again.
_HALF_LIFE_S = 4.0
# A cached copy loads about ten times as fast as an adapter from the store.
# A load that takes less than a third of the time of one from the store
# counts as the load of a copy; the difference exceeds the noise.
_COPY_RATIO = 1.0 / 3.0
_INITIAL_COPY_COUNT = 8
_MAX_TRACKED = 512


class _DecayingMean:
    """An exponential moving average that decays to its initial value."""

    def __init__(self, clock: clock_module.Clock, initial: float) -> None:
        self._clock = clock
        self._initial = initial
        self._mean = initial
        self._updated_at_s = clock.monotonic_s()

    @property
    def value(self) -> float:
        age_s = self._clock.monotonic_s() - self._updated_at_s
        kept_ratio = 0.5 ** (age_s / _HALF_LIFE_S)
        return self._initial + kept_ratio * (self._mean - self._initial)

    def update(self, value: float) -> None:
        mean = self.value
        self._mean = mean + _SMOOTHING_RATIO * (value - mean)
        self._updated_at_s = self._clock.monotonic_s()


class LoadTimes:
    """Predicts load times from earlier loads.

    An engine caches copies of adapters that it evicted, and loads these
    much faster than the others.  It does not report how many it caches;
    the number is inferred from which loads were fast.

    Parameters
    ----------
    initial_s
        Assumed duration of a load from the store before the first is
        measured.
    """

    def __init__(self, clock: clock_module.Clock, initial_s: float) -> None:
        self._initial_s = initial_s
        self._from_store_s = _DecayingMean(clock, initial_s)
        self._from_copy_s = _DecayingMean(clock, initial_s * _COPY_RATIO)
        # Adapters that the engine held, the most recent last.
        self._recent: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._copy_count = _INITIAL_COPY_COUNT

    @property
    def copy_count(self) -> int:
        """Return the estimated number of copies that the engine caches."""
        return self._copy_count

    @property
    def copy_s(self) -> float:
        """Return the expected load time of a cached copy."""
        return self._from_copy_s.value

    def expected_s(self, name: str = '', is_probe: bool = False) -> float:
        """Return the expected load time of adapter `name`.

        Parameters
        ----------
        is_probe
            Whether this load serves as a probe, because few others are
            in progress.  A probe shows whether loads are fast again, and
            is not expected to take longer than the initial estimate;
            otherwise an idle engine would refuse every request for an
            adapter that it does not hold.
        """
        if self._recency_rank(name) <= self._copy_count:
            return self._from_copy_s.value
        expected_s = self._from_store_s.value
        return min(expected_s, self._initial_s) if is_probe else expected_s

    def record_load(self, name: str, took_s: float) -> None:
        """Record how long a load took."""
        rank = self._recency_rank(name)
        is_copy = took_s < _COPY_RATIO * self._from_store_s.value
        if rank <= _MAX_TRACKED:
            self._update_copy_count(rank, is_copy)
        if is_copy:
            self._from_copy_s.update(took_s)
        else:
            self._from_store_s.update(took_s)
        self.record_use(name)

    def record_use(self, name: str) -> None:
        """Record that the engine holds, or just held, an adapter."""
        self._recent[name] = None
        self._recent.move_to_end(name)
        if len(self._recent) > _MAX_TRACKED:
            self._recent.popitem(last=False)

    def clear_copies(self) -> None:
        """Forget the cached copies; the engine restarted empty."""
        self._recent.clear()

    def _update_copy_count(self, rank: int, is_copy: bool) -> None:
        if is_copy:
            self._copy_count = max(self._copy_count, rank)
        elif rank <= self._copy_count:
            self._copy_count = max(1, rank - 1)

    def _recency_rank(self, name: str) -> int:
        """Return the adapter's rank by how recently it was held, from 1."""
        if name not in self._recent:
            return _MAX_TRACKED + 1
        for rank, other in enumerate(reversed(self._recent), 1):
            if other == name:
                return rank
        return _MAX_TRACKED + 1
