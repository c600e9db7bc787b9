"""Learns how long adapters take to load."""

import collections

from lacewingpitch import clock as clock_module

_SMOOTHING_RATIO = 0.2
# What loads took fades to the first guess.  Without that, some slow loads
# would have every request refused that needs one, and nothing would show
# that they are quick again.
_HALF_LIFE_S = 4.0
# A copy that the engine kept loads about ten times as fast as one from the
# store; less than a third of the store's time is no noise.
_COPY_RATIO = 1.0 / 3.0
_FIRST_COPY_COUNT = 8
_MAX_REMEMBERED = 512


class _FadingMean:
    """A moving mean that fades to its first guess."""

    def __init__(self, clock: clock_module.Clock, first_guess: float) -> None:
        self._clock = clock
        self._first_guess = first_guess
        self._mean = first_guess
        self._learned_at_s = clock.monotonic_s()

    @property
    def value(self) -> float:
        age_s = self._clock.monotonic_s() - self._learned_at_s
        kept_ratio = 0.5 ** (age_s / _HALF_LIFE_S)
        return self._first_guess + kept_ratio * (
            self._mean - self._first_guess
        )

    def learn(self, value: float) -> None:
        mean = self.value
        self._mean = mean + _SMOOTHING_RATIO * (value - mean)
        self._learned_at_s = self._clock.monotonic_s()


class LoadTimes:
    """Predicts loads from what earlier ones took.

    An engine keeps copies of adapters that it held, and loads these much
    faster than the others.  How many it keeps is learned from which loads
    were fast; it is not told.

    Parameters
    ----------
    first_guess_s
        How long a load from the store takes until some were seen.
    """

    def __init__(
        self, clock: clock_module.Clock, first_guess_s: float
    ) -> None:
        self._first_guess_s = first_guess_s
        self._from_store_s = _FadingMean(clock, first_guess_s)
        self._from_copy_s = _FadingMean(clock, first_guess_s * _COPY_RATIO)
        # Adapters that were held, the last one at the end.
        self._held: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._copy_count = _FIRST_COPY_COUNT

    @property
    def copy_count(self) -> int:
        """Return how many copies the engine seems to keep."""
        return self._copy_count

    @property
    def copy_s(self) -> float:
        """Return how long the load of a copy would take."""
        return self._from_copy_s.value

    def expected_s(self, name: str = '', is_trial: bool = False) -> float:
        """Return how long a load of adapter `name` would take.

        Parameters
        ----------
        is_trial
            Whether few loads are under way here.  It then tells whether
            loads are quick again, and is not expected to be slow: an idle
            engine would refuse all that it does not hold.
        """
        if self._age_rank(name) <= self._copy_count:
            return self._from_copy_s.value
        expected_s = self._from_store_s.value
        return min(expected_s, self._first_guess_s) if is_trial else expected_s

    def loaded(self, name: str, took_s: float) -> None:
        """Take note of how long a load took."""
        rank = self._age_rank(name)
        is_copy = took_s < _COPY_RATIO * self._from_store_s.value
        if rank <= _MAX_REMEMBERED:
            self._learn_count(rank, is_copy)
        if is_copy:
            self._from_copy_s.learn(took_s)
        else:
            self._from_store_s.learn(took_s)
        self.used(name)

    def used(self, name: str) -> None:
        """Take note that the engine holds an adapter now."""
        self._held[name] = None
        self._held.move_to_end(name)
        if len(self._held) > _MAX_REMEMBERED:
            self._held.popitem(last=False)

    def forget_copies(self) -> None:
        """Forget what the engine held: it has restarted empty."""
        self._held.clear()

    def _learn_count(self, rank: int, is_copy: bool) -> None:
        if is_copy:
            self._copy_count = max(self._copy_count, rank)
        elif rank <= self._copy_count:
            self._copy_count = max(1, rank - 1)

    def _age_rank(self, name: str) -> int:
        """Return how many adapters were held later, and itself."""
        if name not in self._held:
            return _MAX_REMEMBERED + 1
        for rank, held in enumerate(reversed(self._held), 1):
            if held == name:
                return rank
        return _MAX_REMEMBERED + 1
