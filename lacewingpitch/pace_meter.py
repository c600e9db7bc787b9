"""Measures how fast an engine runs."""

from lacewingpitch import engine_pace
from lacewingpitch import run_progress
from lacewingpitch import stall_rate
from lacewingpitch import token_regression

# What a single run shows may be its own delay.
_MIN_RUNS = 2
_MIN_MEASURED_S = 0.5
# Exponential decay per second: a change shows within a second.
_RECENT_DECAY_PER_S = 0.135
# Weight of the usual pace, as seconds of measurement.
_USUAL_WEIGHT_S = 0.02
_MAX_COUNTED_RUNS = 64
# An engine outside of these doesn't serve, or its reports are wrong.
_MIN_TOKEN_S = 1e-5
_MAX_TOKEN_S = 1.0


class PaceMeter:
    """Measures the pace of one start of an engine.

    The usual pace covers twenty seconds of work, and separates tokens from
    prompts.  It is multiplied by the slowdown of the last second.  While
    nothing runs, the slowdown decays and the usual pace stays, so that an
    engine that is always slow never appears fast.
    """

    def __init__(self) -> None:
        self._usual = token_regression.TokenRegression()
        self._stall_rate = stall_rate.StallRate()
        self._recent_s = 0.0
        self._recent_expected_s = 0.0
        self._run_ids: set[str] = set()
        self._measured_s = 0.0
        self.measured_at_s = 0.0

    @property
    def run_count(self) -> int:
        """Return on how many runs the pace rests, up to a bound."""
        return len(self._run_ids)

    def record(
        self,
        interval: run_progress.Interval,
        tokens_per_event: int,
        now_s: float,
    ) -> None:
        """Record what the runs of the engine did between two reports."""
        self._stall_rate.record(interval.stalls, interval.stream_s, now_s)
        if len(interval.run_ids) < _MIN_RUNS:
            return
        tokens = interval.events * tokens_per_event
        self._usual.record(interval.duration_s, tokens, interval.prompt_tokens)
        if len(self._run_ids) < _MAX_COUNTED_RUNS:
            self._run_ids |= interval.run_ids
        self._measured_s += interval.duration_s
        if not self._usual.is_known:
            return
        ratio = self._decay_ratio(now_s)
        self.measured_at_s = now_s
        self._recent_s = self._recent_s * ratio + interval.duration_s
        self._recent_expected_s = (
            self._recent_expected_s * ratio
            + self._usual.expected_s(tokens, interval.prompt_tokens)
        )

    def pace(
        self, gap_s: float, tokens_per_event: int, now_s: float
    ) -> engine_pace.EnginePace:
        """Return the pace.

        Parameters
        ----------
        gap_s
            Longest pause between events that callers allow; 0 if unknown.
        """
        if self._measured_s < _MIN_MEASURED_S or not self._usual.is_known:
            return engine_pace.UNKNOWN_PACE
        slowdown = self._slowdown(now_s)
        token_s = min(
            max(self._usual.token_s * slowdown, _MIN_TOKEN_S), _MAX_TOKEN_S
        )
        return engine_pace.EnginePace(
            token_s,
            self._usual.prompt_tokens_per_s / slowdown,
            self._stall_rate.per_s(token_s * tokens_per_event, gap_s, now_s),
        )

    def _slowdown(self, now_s: float) -> float:
        ratio = self._decay_ratio(now_s)
        return (self._recent_s * ratio + _USUAL_WEIGHT_S) / (
            self._recent_expected_s * ratio + _USUAL_WEIGHT_S
        )

    def _decay_ratio(self, now_s: float) -> float:
        age_s = max(0.0, now_s - self.measured_at_s)
        return _RECENT_DECAY_PER_S**age_s
