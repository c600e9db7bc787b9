"""Costs of engines that are too slow for a request, for its placement.

Answers the load of a fleet whose engines differ in pace: without these
costs, slow engines get as many requests as the others, and pause longer than
callers allow while the others have room.
"""

from collections.abc import Sequence

from lacewingpitch import answer_needs
from lacewingpitch import clock as clock_module
from lacewingpitch import pace_table
from lacewingpitch import probe_budget

# A certain loss, such as a stall or a missed deadline, in seconds of waiting.
_LOSS_COST_S = 4.0
# News of an engine's pace that is younger needs no probe.
_PROBE_AFTER_S = 5.0


class StallCosts:
    """Adds to expected waits what a caller loses at slow engines.

    An engine whose pace isn't known costs as little as the best known one.

    Parameters
    ----------
    instance
        Name of this entry instance.
    """

    def __init__(self, clock: clock_module.Clock, instance: str) -> None:
        self._clock = clock
        self._probes = probe_budget.ProbeBudget(instance)
        self.moved_count = 0
        self.probe_count = 0

    def add(
        self,
        waits_s: list[float],
        ranked: Sequence[int],
        paces: pace_table.PaceTable,
        needs: answer_needs.AnswerNeeds,
    ) -> None:
        """Add the costs of a request to its expected waits, by column.

        Parameters
        ----------
        ranked
            Columns of the engines in use; of equal ones, the first wins.
        paces
            Known paces of the engines.
        """
        self._probes.record_request()
        losses = paces.losses(needs)
        if not losses or not ranked:
            return
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

    def _may_probe(self, told_at_s: float, loss_probability: float) -> bool:
        if self._clock.monotonic_s() - told_at_s < _PROBE_AFTER_S:
            return False
        return self._probes.try_acquire(loss_probability)
