"""Passes what backend servers say about themselves to those who act on it."""

import structlog

from lacewingpitch import backend_list
from lacewingpitch import clock as clock_module
from lacewingpitch import server_limits
from lacewingpitch import server_notice

log = structlog.get_logger(__name__)


class NoticeRouter:
    """Receives the notices of all answers to one entry.

    Attributes
    ----------
    leaving_count
        Answers that announced that their server leaves.
    backoff_count
        Answers that asked this entry to back off.
    """

    def __init__(
        self,
        limits: server_limits.ServerLimits,
        clock: clock_module.Clock,
    ) -> None:
        self._limits = limits
        self._clock = clock
        self.leaving_count = 0
        self.backoff_count = 0

    def record_answer(
        self,
        server: backend_list.BackendServer,
        notice: server_notice.ServerNotice,
        asked_at_s: float,
    ) -> None:
        """Record what an answer says; see `backend_call.AnswerObserver`."""
        self._limits.record_answer(server, notice.limit_per_s, asked_at_s)
        age_s = round(self._clock.boot_s() - asked_at_s, 3)
        if notice.is_leaving:
            self.leaving_count += 1
            log.info(
                'backend server announced that it leaves',
                backend_server=server.name,
                answer_age_s=age_s,
            )
        if notice.backoff_s:
            self.backoff_count += 1
            log.info(
                'backend server asked for backoff',
                backend_server=server.name,
                backoff_s=notice.backoff_s,
                answer_age_s=age_s,
            )
