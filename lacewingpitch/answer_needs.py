"""What a caller needs of the engine that writes its answer."""

import dataclasses

from lacewingpitch import engine_pace


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerNeeds:
    """What a caller needs of the engine that writes its answer.

    Parameters
    ----------
    tokens
        Expected length of the answer.
    within_s
        Time until the whole answer is due; infinite if it never is.
    has_gap_limit
        Whether the caller limits the pauses between events.
    """

    tokens: int
    within_s: float
    has_gap_limit: bool

    def loss_probability(self, pace: engine_pace.EnginePace) -> float:
        """Return the probability that an engine's pace fails the caller."""
        if pace.run_s(self.tokens) > self.within_s:
            return 1.0
        if not self.has_gap_limit:
            return 0.0
        return pace.stall_probability(self.tokens)
