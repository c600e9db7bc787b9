"""Logs the changes of an engine's pace that change decisions."""

import structlog

from lacewingpitch import engine_pace

_MS_PER_S = 1000
_STALL_PERIOD_S = 1000
# A smaller change is within the variation of an engine.
_MIN_CHANGE_RATIO = 1.5
log = structlog.get_logger(__name__)


class PaceLog:
    """Logs when a pace becomes known, and when it has changed clearly."""

    def __init__(self) -> None:
        self._logged_token_s = 0.0

    def record(
        self, pace: engine_pace.EnginePace, run_count: int, age_s: float
    ) -> None:
        """Log the pace if it differs clearly from the one logged last.

        Parameters
        ----------
        run_count
            Number of runs that the pace rests on.
        age_s
            Time since runs were measured last.
        """
        if not pace.is_known:
            return
        before_s = self._logged_token_s
        if before_s and not _differs(pace.token_s, before_s):
            return
        self._logged_token_s = pace.token_s
        log.info(
            'engine pace',
            token_ms=round(pace.token_s * _MS_PER_S, 2),
            token_ms_before=round(before_s * _MS_PER_S, 2),
            prompt_tokens_per_s=round(pace.prompt_tokens_per_s),
            stalls_per_1000s=round(pace.stalls_per_s * _STALL_PERIOD_S),
            runs=run_count,
            age_s=round(age_s, 2),
        )


def _differs(token_s: float, before_s: float) -> bool:
    ratio = token_s / before_s
    return not 1.0 / _MIN_CHANGE_RATIO < ratio < _MIN_CHANGE_RATIO
