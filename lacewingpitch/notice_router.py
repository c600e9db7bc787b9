"""Passes what backend servers say about themselves to those who act on it."""

from collections.abc import Callable
from typing import Protocol

from lacewingpitch import backend_list
from lacewingpitch import server_gate
from lacewingpitch import server_limits
from lacewingpitch import server_notice
from lacewingpitch import sidecar_reporter
from lacewingpitch import turn_messages

_REPORT_TIMEOUT_S = 1.0


class SidecarLink(Protocol):
    """Messages to sidecars."""

    async def report_leaving(
        self, ip: str, message: turn_messages.AnsweredLeaving, timeout_s: float
    ) -> None:
        """Tell a sidecar that its engine announced that it leaves."""
        ...


class NoticeRouter:
    """Receives the notices of all answers to one entry.

    Parameters
    ----------
    instance
        Name of this entry.
    has_sidecar
        Whether the servers of a service have sidecars.
    reporter
        Sends what answers say to the sidecars.

    Attributes
    ----------
    leaving_count
        Answers that announced that their server leaves.
    backoff_count
        Answers that asked this entry to back off.
    """

    def __init__(
        self,
        instance: str,
        limits: server_limits.ServerLimits,
        gate: server_gate.ServerGate,
        link: SidecarLink,
        has_sidecar: Callable[[str], bool],
        reporter: sidecar_reporter.SidecarReporter,
    ) -> None:
        self._instance = instance
        self._limits = limits
        self._gate = gate
        self._link = link
        self._has_sidecar = has_sidecar
        self._reporter = reporter
        self.leaving_count = 0
        self.backoff_count = 0

    def record_answer(
        self,
        server: backend_list.BackendServer,
        notice: server_notice.ServerNotice,
        asked_at_s: float,
    ) -> None:
        """Record what an answer says; see `backend_call.AnswerObserver`."""
        self.leaving_count += notice.is_leaving
        self.backoff_count += notice.backoff_s > 0.0
        self._limits.record_answer(server, notice.limit_per_s, asked_at_s)
        is_news = self._gate.record_answer(server, notice, asked_at_s)
        if is_news and self._has_sidecar(server.service):
            self._report_leaving(server)

    def _report_leaving(self, server: backend_list.BackendServer) -> None:
        message = turn_messages.AnsweredLeaving(
            entry=self._instance, server_start_id=server.start_id
        )
        self._reporter.start(
            server.ip,
            lambda: self._link.report_leaving(
                server.ip, message, _REPORT_TIMEOUT_S
            ),
        )
