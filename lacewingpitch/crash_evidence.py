"""What the end of an attempt shows about crashes of its backend server."""

import structlog

from lacewingpitch import abandoned_runs
from lacewingpitch import backend_call
from lacewingpitch import backend_list
from lacewingpitch import clock as clock_module
from lacewingpitch import errors
from lacewingpitch import request_history
from lacewingpitch import suspect_log
from lacewingpitch import suspects as suspects_module

log = structlog.get_logger(__name__)


class CrashEvidence:
    """Records for and against requests what their attempts show.

    Only a run that is past the point at which a crash would come, on a
    server that still runs, shows that a request is innocent.

    Parameters
    ----------
    abandoned
        Follows attempts that are ended from this side; nobody does if
        ``None``.
    """

    def __init__(
        self,
        suspects: suspects_module.Suspects,
        clock: clock_module.Clock,
        abandoned: abandoned_runs.AbandonedRuns | None = None,
    ) -> None:
        self._suspects = suspects
        self._abandoned = abandoned
        self._clock = clock

    def record_events(
        self,
        call: backend_call.BackendCall,
        history: request_history.RequestHistory,
    ) -> None:
        """Record that events of a stream have arrived."""
        if history.is_run_recorded:
            return
        if not history.is_run_starting(self._clock.monotonic_s()):
            self._record_run(call.request, call.server, history)

    def record_answer(
        self,
        request: backend_call.CallerRequest,
        server: backend_list.BackendServer,
        history: request_history.RequestHistory,
    ) -> None:
        """Record that an answer has ended."""
        if not history.is_run_recorded and history.shows_run(request):
            self._record_run(request, server, history)

    def record_failure(
        self,
        request: backend_call.CallerRequest,
        server: backend_list.BackendServer,
        history: request_history.RequestHistory,
        error: errors.PlatformError,
    ) -> None:
        """Record what a failure shows about a crash of the server."""
        if isinstance(error, backend_call.NotSentError):
            if error.is_refused:
                self._suspects.detector.record_exit(server)
        elif backend_call.is_disconnect(error) and history.is_run_starting(
            self._clock.monotonic_s()
        ):
            self._suspects.detector.record_disconnect(
                request.suspect_keys, server
            )

    def record_abandoned(
        self,
        request: backend_call.CallerRequest,
        server: backend_list.BackendServer,
        history: request_history.RequestHistory,
    ) -> None:
        """Record that an attempt in progress is ended from this side.

        Its end shows neither a crash nor a run without one.
        """
        if self._abandoned is None:
            return
        if history.is_run_starting(self._clock.monotonic_s()):
            self._abandoned.record(request.suspect_keys, server)

    def log_if_barred(
        self, request: backend_call.CallerRequest, error: errors.RefusalError
    ) -> None:
        """Log which suspect a request was refused for, if it was."""
        if error.kind is not errors.ErrorKind.CRASHES_BACKEND_SERVERS:
            return
        record = self._suspects.record
        verdict = record.verdict(request.suspect_keys)
        group = verdict.group.keys if verdict.group else ()
        log.warning(
            'request barred',
            request_id=request.request_id,
            fingerprint=request.fingerprint,
            suspect=verdict.key,
            backend_servers=record.crashed_servers(verdict.key),
            not_told_apart=suspect_log.shown(group),
            not_told_apart_count=len(group),
        )

    def _record_run(
        self,
        request: backend_call.CallerRequest,
        server: backend_list.BackendServer,
        history: request_history.RequestHistory,
    ) -> None:
        """Record that a server has run a request without a crash."""
        evidence = {
            'request_id': request.request_id,
            'backend_server': server.name,
            'status': history.status,
            'events': history.splitter.event_count,
            'is_framed': history.is_framed,
        }
        self._suspects.record.record_run(request.suspect_keys, evidence)
        history.is_run_recorded = True
