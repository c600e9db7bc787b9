"""Contact to an engine: whether it answers, is silent, or is lost."""

import structlog

from lacewingpitch import clock as clock_module
from lacewingpitch import errors

# After this time without a report other engines are preferred: three
# consecutive reports are missing.
_SILENT_AFTER_S = 1.0
# A sound engine goes on before this.
_LOST_AFTER_S = 2.5
# Expected length of a silence, and remainder of one that is longer.
_EXPECTED_SILENCE_S = 1.5
_MIN_REMAINING_S = 0.2
log = structlog.get_logger(__name__)


class EngineContact:
    """Tells an engine that is silent for a moment from one that is lost.

    A sound engine may write nothing for a second or so and go on.  A report
    that fails in any other way, as by a refused connection, shows that the
    engine has ended.

    Attributes
    ----------
    is_lost
        Whether the engine may have been replaced since its last report.
    is_unanswered
        Whether the last request for a report was not answered in time.
    pause_s
        Length of the silence that the last report has ended; 0 if none.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._reported_at_s = 0.0
        self.is_lost = True
        self.is_unanswered = False
        self.pause_s = 0.0

    @property
    def report_age_s(self) -> float:
        """Return the age of the last report."""
        return self._clock.monotonic_s() - self._reported_at_s

    @property
    def is_current(self) -> bool:
        """Whether the last report is recent."""
        return self.report_age_s < _SILENT_AFTER_S

    @property
    def is_silent(self) -> bool:
        """Whether the engine is expected to go on within a second or so."""
        return not (
            self.is_lost
            or self.is_current
            or self.report_age_s >= _LOST_AFTER_S
        )

    @property
    def is_up(self) -> bool:
        """Whether the engine answers, or is expected to."""
        return self.is_current or self.is_silent

    @property
    def remaining_silence_s(self) -> float:
        """Return the expected time until a silent engine goes on."""
        return max(_MIN_REMAINING_S, _EXPECTED_SILENCE_S - self.report_age_s)

    def record_report(self) -> None:
        """Record a report of the engine."""
        self.pause_s = self.report_age_s if self.is_unanswered else 0.0
        if self.pause_s:
            log.info('engine goes on', silent_s=round(self.pause_s, 3))
        self._reported_at_s = self._clock.monotonic_s()
        self.is_unanswered = False

    def record_attached(self) -> None:
        """Record that the engine's incarnation is known."""
        self.is_lost = False
        self.is_unanswered = False

    def record_failure(self, error: errors.PlatformError) -> None:
        """Record that a request for a report has failed."""
        was_unanswered = self.is_unanswered
        self.is_unanswered = isinstance(error, errors.SilentError)
        if self.is_lost:
            return
        if self.is_unanswered and self.report_age_s < _LOST_AFTER_S:
            if not was_unanswered:
                log.info('engine silent', error=str(error))
            return
        self.is_lost = True
        log.warning('dependency lost', dependency='engine', error=str(error))
