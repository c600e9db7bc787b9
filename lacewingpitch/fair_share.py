"""Detects organisations that exceed their fair share of an engine."""

import collections
from collections.abc import Iterable

from lacewingpitch import turn_messages

# Tolerance for random arrivals.
_TOLERANCE_RATIO = 1.5


def is_exceeded(
    request: turn_messages.TurnRequest,
    others: Iterable[turn_messages.TurnRequest],
) -> bool:
    """Whether a request takes its organisation above its share of turns.

    Granted and pending turns are shared by weight between the
    organisations that have any.

    Parameters
    ----------
    others
        Requests with granted or pending turns.
    """
    if not request.organisation:
        return False
    counts: collections.Counter[str] = collections.Counter()
    weights = {request.organisation: request.weight}
    for other in others:
        counts[other.organisation] += 1
        weights[other.organisation] = other.weight
    if len(weights) == 1:
        return False
    share = request.weight / sum(weights.values())
    allowed = _TOLERANCE_RATIO * share * (1 + counts.total())
    return counts[request.organisation] + 1 > allowed
