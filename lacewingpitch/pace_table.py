"""The known paces of a set of engines, and what callers lose by them."""

import math

from lacewingpitch import answer_needs
from lacewingpitch import engine_pace

# A smaller probability to lose than this is noise of the measurement.
_MIN_LOSS_PROBABILITY = 0.02
# Engines differ in pace if the second slowest takes this many times as long
# for a token as the second fastest.  A single engine may falter or be
# measured wrongly.
_UNEVEN_RATIO = 2.0
_MIN_COMPARED = 4


class PaceTable:
    """Known paces by column.

    Finds the few engines that are too slow for a request without computing
    the loss at each of the others.
    """

    def __init__(self) -> None:
        self._told: dict[int, engine_pace.ToldPace] = {}
        self._stalls_per_token: dict[int, float] = {}
        self._token_s: dict[int, float] = {}
        self._is_uneven: bool | None = None

    @property
    def is_uneven(self) -> bool:
        """Whether several engines are much slower than several others."""
        if self._is_uneven is None:
            self._is_uneven = self._compare()
        return self._is_uneven

    def put(self, column: int, told: engine_pace.ToldPace | None) -> None:
        """Set the pace of an engine; ``None`` if it isn't known."""
        self._is_uneven = None
        if told is None:
            self._told.pop(column, None)
            self._stalls_per_token.pop(column, None)
            self._token_s.pop(column, None)
            return
        pace = told.pace
        self._told[column] = told
        self._stalls_per_token[column] = pace.stalls_per_s * pace.token_s
        self._token_s[column] = pace.token_s

    def told_at_s(self, column: int) -> float:
        """Return when the pace of an engine was told."""
        return self._told[column].told_at_s

    def losses(self, needs: answer_needs.AnswerNeeds) -> dict[int, float]:
        """Return the losses above that of the best known engine, by column.

        Leaves out the engines that are about as good as the best one.
        """
        if not self._told or needs.tokens <= 0:
            return {}
        losses = self._stall_probabilities(needs)
        for column in self._late_columns(needs):
            losses[column] = 1.0
        least = self._least_loss(needs, losses)
        return {
            column: probability - least
            for column, probability in losses.items()
            if probability > least
        }

    def _compare(self) -> bool:
        if len(self._token_s) < _MIN_COMPARED:
            return False
        times_s = sorted(self._token_s.values())
        return times_s[-2] > _UNEVEN_RATIO * times_s[1]

    def _stall_probabilities(
        self, needs: answer_needs.AnswerNeeds
    ) -> dict[int, float]:
        """Return those that are clearly above the least one, by column."""
        if not needs.has_gap_limit:
            return {}
        tokens = needs.tokens
        rates = self._stalls_per_token
        limit = min(rates.values()) + _MIN_LOSS_PROBABILITY / tokens
        return {
            column: -math.expm1(-rate * tokens)
            for column, rate in rates.items()
            if rate > limit
        }

    def _late_columns(self, needs: answer_needs.AnswerNeeds) -> list[int]:
        """Return the engines that can't end the answer in time."""
        limit_s = needs.within_s / needs.tokens
        if max(self._token_s.values()) <= limit_s:
            return []
        return [
            column
            for column, token_s in self._token_s.items()
            if token_s > limit_s
        ]

    def _least_loss(
        self, needs: answer_needs.AnswerNeeds, losses: dict[int, float]
    ) -> float:
        if len(losses) == len(self._told):
            return min(losses.values())
        if not needs.has_gap_limit:
            return 0.0
        least = min(self._stalls_per_token.values())
        return -math.expm1(-least * needs.tokens)
