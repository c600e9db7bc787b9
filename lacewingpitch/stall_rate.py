"""Rate at which the streams of an engine pause longer than allowed."""

import math

# Exponential decay per second: the rate covers about ten seconds.
_DECAY_PER_S = 0.9
# Weight of the prior, in seconds of a running stream.
_PRIOR_STREAM_S = 5.0
# Mean time, in events, by which a pause exceeds the time of one event.
_MEAN_EXCESS_EVENTS = 0.75


class StallRate:
    """Pauses beyond what callers allow per second of a running stream.

    While few streams run, the rate follows from how much of the allowed
    pause one event takes.
    """

    def __init__(self) -> None:
        self._stalls = 0.0
        self._stream_s = 0.0
        self._at_s = 0.0

    def record(self, stalls: float, stream_s: float, now_s: float) -> None:
        """Record the pauses of streams that ran for some time together."""
        ratio = self._decay_ratio(now_s)
        self._stalls = self._stalls * ratio + stalls
        self._stream_s = self._stream_s * ratio + stream_s
        self._at_s = now_s

    def per_s(self, event_s: float, gap_s: float, now_s: float) -> float:
        """Return the rate for an allowed pause and the time of one event."""
        ratio = self._decay_ratio(now_s)
        prior = _PRIOR_STREAM_S * _expected_per_s(event_s, gap_s)
        return (self._stalls * ratio + prior) / (
            self._stream_s * ratio + _PRIOR_STREAM_S
        )

    def _decay_ratio(self, now_s: float) -> float:
        return _DECAY_PER_S ** max(0.0, now_s - self._at_s)


def _expected_per_s(event_s: float, gap_s: float) -> float:
    if not gap_s:
        return 0.0
    excess_events = max(0.0, gap_s / event_s - 1.0)
    return math.exp(-excess_events / _MEAN_EXCESS_EVENTS) / event_s
