"""The request rate limit of an engine, as known to its sidecar."""

import math

import structlog

from lacewingpitch import clock as clock_module
from lacewingpitch import named_limit

log = structlog.get_logger(__name__)


class EngineLimit:
    """Follows the limit that the local engine names.

    The engine names it in its answers, which only the entries read, and may
    name it in its reports, which only the sidecar reads.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._limit = named_limit.NamedLimit()
        self._is_in_reports = False

    @property
    def per_s(self) -> float | None:
        """Return the limit; ``None`` if there is none."""
        return self._limit.per_s

    @property
    def is_known(self) -> bool:
        """Whether the engine has named a limit since its start."""
        return self._limit.is_known

    def reset(self) -> None:
        """Forget the limit, as the engine has restarted."""
        self._limit = named_limit.NamedLimit()
        self._is_in_reports = False

    def record_report(self, per_s: float | None, asked_at_s: float) -> None:
        """Record whether a report names a limit.

        Parameters
        ----------
        asked_at_s
            When the report was requested, by the boot clock.
        """
        self._is_in_reports |= per_s is not None
        # A report without a limit means nothing if the engine names limits
        # in its answers to requests only.
        if self._is_in_reports:
            self._record(per_s, asked_at_s, 'report')

    def record_answer(
        self, per_s: float | None, asked_at_s: float, entry: str
    ) -> None:
        """Record whether an answer to an entry names a limit.

        Parameters
        ----------
        asked_at_s
            When the entry sent its request, by the boot clock.
        """
        self._record(per_s, asked_at_s, entry)

    def adopt(self, per_s: float | None, entry: str) -> None:
        """Adopt what an entry knows, unless something is known here.

        A restarted sidecar knows nothing of the limit.
        """
        if per_s is not None and not self._limit.is_known:
            self._record(per_s, -math.inf, entry)

    def _record(
        self, per_s: float | None, asked_at_s: float, source: str
    ) -> None:
        before = self.per_s
        now_s = self._clock.boot_s()
        if self._limit.record(per_s, asked_at_s, now_s):
            log.info(
                'engine limit changed',
                limit_per_s=self.per_s,
                limit_before_per_s=before,
                source=source,
            )
