"""Learns how long runs take at an engine, by the length of their answers."""

# Some fifty runs count; older ones fade.
_KEPT_RATIO = 0.98
# As if so many runs of the first guess had been seen.
_PRIOR_COUNT = 2.0
# Until some ran, the engine is taken for a quick one, and lets more in.
_PRIOR_RUNS = ((10.0, 0.1), (300.0, 0.1))


class RunDurationEstimator:
    """A straight line through what runs of known length took.

    Load it answers: answers of a few tokens and of hundreds at the same
    engine.  The length that callers expect tells when a place comes free
    far better than what their routes took in the mean.
    """

    def __init__(self) -> None:
        self._count = 0.0
        self._tokens = 0.0
        self._took_s = 0.0
        self._tokens_squared = 0.0
        self._product = 0.0
        for tokens, took_s in _PRIOR_RUNS:
            self._add(tokens, took_s, _PRIOR_COUNT)

    def learn(self, tokens: int, took_s: float) -> None:
        """Take note of a run, by the tokens that were expected of it."""
        self._count *= _KEPT_RATIO
        self._tokens *= _KEPT_RATIO
        self._took_s *= _KEPT_RATIO
        self._tokens_squared *= _KEPT_RATIO
        self._product *= _KEPT_RATIO
        self._add(float(tokens), took_s, 1.0)

    def expected_s(self, tokens: int) -> float:
        """Return how long a run is expected to take."""
        mean_tokens = self._tokens / self._count
        mean_s = self._took_s / self._count
        expected_s = mean_s + self._slope * (tokens - mean_tokens)
        return max(0.0, expected_s)

    @property
    def _slope(self) -> float:
        spread = self._count * self._tokens_squared - self._tokens**2
        if spread <= 0.0:
            return 0.0
        covered = self._count * self._product - self._tokens * self._took_s
        return max(0.0, covered / spread)

    def _add(self, tokens: float, took_s: float, weight: float) -> None:
        self._count += weight
        self._tokens += weight * tokens
        self._took_s += weight * took_s
        self._tokens_squared += weight * tokens**2
        self._product += weight * tokens * took_s
