"""What a caller needs of the engine that writes its answer."""

import dataclasses


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
