"""Whether an organisation takes more of an engine than its share."""

import collections
from collections.abc import Iterable

from lacewingpitch import turn_messages

# Tolerance for random arrivals.
_ALLOWED_RATIO = 1.5


def is_above(
    request: turn_messages.TurnRequest,
    others: Iterable[turn_messages.TurnRequest],
) -> bool:
    """Whether its organisation would have more than its share of turns.

    The turns that are granted or waited for are shared by weight between
    the organisations that have any.

    Parameters
    ----------
    others
        Requests whose turns are granted or waited for.
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
    allowed = _ALLOWED_RATIO * share * (1 + counts.total())
    return counts[request.organisation] + 1 > allowed
