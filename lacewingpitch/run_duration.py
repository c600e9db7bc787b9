"""Estimates the duration of runs at an engine by their answer lengths."""

# Exponential decay per run: the estimate covers about fifty runs.
_DECAY_RATIO = 0.98
# Weight of each prior run, in runs.
_PRIOR_WEIGHT = 2.0
# Prior (tokens, seconds): until runs are recorded the engine counts as fast,
# so that it admits more requests.
_PRIOR_RUNS = ((10.0, 0.1), (300.0, 0.1))


class RunDurationEstimator:
    """Linear regression of run durations over the expected tokens.

    Designed for engines that serve answers of a few tokens as well as of
    hundreds.  The length that callers expect predicts the end of a run far
    better than the mean duration of their routes.
    """

    def __init__(self) -> None:
        self._count = 0.0
        self._tokens = 0.0
        self._duration_s = 0.0
        self._squared_tokens = 0.0
        self._product = 0.0
        for tokens, duration_s in _PRIOR_RUNS:
            self._add(tokens, duration_s, _PRIOR_WEIGHT)

    def record(self, tokens: int, duration_s: float) -> None:
        """Record the duration of a run of a number of expected tokens."""
        self._count *= _DECAY_RATIO
        self._tokens *= _DECAY_RATIO
        self._duration_s *= _DECAY_RATIO
        self._squared_tokens *= _DECAY_RATIO
        self._product *= _DECAY_RATIO
        self._add(float(tokens), duration_s, 1.0)

    def expected_s(self, tokens: int) -> float:
        """Return the expected duration of a run."""
        mean_tokens = self._tokens / self._count
        mean_s = self._duration_s / self._count
        expected_s = mean_s + self._slope * (tokens - mean_tokens)
        return max(0.0, expected_s)

    @property
    def _slope(self) -> float:
        variance = self._count * self._squared_tokens - self._tokens**2
        if variance <= 0.0:
            return 0.0
        covariance = (
            self._count * self._product - self._tokens * self._duration_s
        )
        return max(0.0, covariance / variance)

    def _add(self, tokens: float, duration_s: float, weight: float) -> None:
        self._count += weight
        self._tokens += weight * tokens
        self._duration_s += weight * duration_s
        self._squared_tokens += weight * tokens**2
        self._product += weight * tokens * duration_s
