"""Costs of engines that are too slow for a request, for its placement.

Answers the load of a fleet whose engines differ in pace: without these
costs, slow engines get as many requests as the others, and pause longer than
callers allow while the others have room.
"""

from collections.abc import Mapping, Sequence
import math

from lacewingpitch import answer_needs
from lacewingpitch import clock as clock_module
from lacewingpitch import pace_table
from lacewingpitch import probe_budget

# A certain loss, such as a stall or a missed deadline, in seconds of waiting.
_LOSS_COST_S = 4.0
# An engine that is likelier to fail the caller is no better than a refusal.
_MAX_FALLBACK_LOSS = 0.9
# News of an engine's pace that is younger needs no probe.
_PROBE_AFTER_S = 5.0


class StallCosts:
    """Adds to expected waits what a caller loses at slow engines.

    An engine whose pace isn't known costs as little as the best known one.

    Parameters
    ----------
    instance
        Name of this entry instance.
    only_uneven
        Whether it adds nothing where engines run about alike.

    Attributes
    ----------
    is_uneven
        Whether the engines ranked last differ in pace.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        instance: str,
        only_uneven: bool = False,
    ) -> None:
        self._clock = clock
        self._probes = probe_budget.ProbeBudget(instance)
        self._only_uneven = only_uneven
        self.is_uneven = False
        self.moved_count = 0
        self.probe_count = 0

    def add(
        self,
        waits_s: list[float],
        ranked: Sequence[int],
        paces: pace_table.PaceTable,
        needs: answer_needs.AnswerNeeds,
    ) -> int | None:
        """Add the costs of a request to its expected waits, by column.

        Returns the best of the avoided engines, unless each would almost
        certainly fail the caller.

        Parameters
        ----------
        ranked
            Columns of the engines in use; of equal ones, the first wins.
        paces
            Known paces of the engines.
        """
        self._probes.record_request()
        self.is_uneven = paces.is_uneven
        if not ranked or (self._only_uneven and not self.is_uneven):
            return None
        losses = paces.losses(needs)
        if not losses:
            return None
        fallback = _best_avoided(waits_s, ranked, losses)
        first = min(ranked, key=waits_s.__getitem__)
        if first in losses and self._may_probe(
            paces.told_at_s(first), losses[first]
        ):
            del losses[first]
            self.probe_count += 1
        for column, probability in losses.items():
            waits_s[column] += probability * _LOSS_COST_S
        if first in losses:
            best = min(ranked, key=waits_s.__getitem__)
            self.moved_count += best != first
        return fallback

    def _may_probe(self, told_at_s: float, loss_probability: float) -> bool:
        if self._clock.monotonic_s() - told_at_s < _PROBE_AFTER_S:
            return False
        return self._probes.try_acquire(loss_probability)


def _best_avoided(
    waits_s: Sequence[float],
    ranked: Sequence[int],
    losses: Mapping[int, float],
) -> int | None:
    """Return the engine with the least wait of those that are avoided."""
    best = None
    best_s = math.inf
    for column in ranked:
        if column in losses and waits_s[column] < best_s:
            if losses[column] < _MAX_FALLBACK_LOSS:
                best, best_s = column, waits_s[column]
    return best
