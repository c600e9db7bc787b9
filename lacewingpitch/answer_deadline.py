"""Refuses answers that can't be complete by their deadline."""

from lacewingpitch import engine_pace
from lacewingpitch import errors
from lacewingpitch import turn_messages
from lacewingpitch import wait_estimator

_MS_PER_S = 1000
# Half of the answers are shorter than expected.  An answer is refused only
# if one that is shorter by this ratio would still miss the deadline.
_SHORTEST_ANSWER_RATIO = 0.7


def refusal(
    request: turn_messages.TurnRequest,
    wait: wait_estimator.WaitEstimate,
    pace: engine_pace.EnginePace,
) -> errors.RefusalError | None:
    """Return why an answer can't be complete in time; ``None`` if it can.

    Designed for long answers at a slow engine, which occupy a turn until
    their deadline and are of no use then.  Another engine may be faster.

    Parameters
    ----------
    wait
        Expected wait for a turn.
    """
    tokens = request.expected_tokens or request.max_tokens
    if not pace.is_known or not tokens:
        return None
    run_s = _SHORTEST_ANSWER_RATIO * pace.run_s(tokens)
    if wait.total_s + run_s <= request.deadline_ms / _MS_PER_S:
        return None
    return errors.RefusalError(
        errors.ErrorKind.DEADLINE_UNREACHABLE,
        f'an answer of {tokens} tokens takes {pace.run_s(tokens):.1f} s here',
    )
