"""The last check of each request before its first byte is sent."""

import structlog

from lacewingpitch import backend_call
from lacewingpitch import blame
from lacewingpitch import crash_record
from lacewingpitch import server_gate

log = structlog.get_logger(__name__)


class RequestGate:
    """Stops requests to closed servers, and those that crash servers.

    Each sending passes it, with a turn of a sidecar or without, on its first
    attempt or a later one.  What is known may have changed since the request
    got its turn.

    Parameters
    ----------
    servers
        Tells which servers must get no requests of this entry now.
    record
        Record of suspect requests.
    """

    def __init__(
        self,
        servers: server_gate.ServerGate,
        record: crash_record.CrashRecord,
    ) -> None:
        self._servers = servers
        self._record = record

    def admit(self, call: backend_call.BackendCall) -> None:
        """Admit a request that is about to be sent.

        Raises
        ------
        WithheldError
            It must not be sent.
        """
        verdict = self._record.verdict(call.request.suspect_keys)
        if not _may_be_sent(verdict.handling, call.is_isolated):
            log.info(
                'request withheld',
                request_id=call.request.request_id,
                backend_server=call.server.name,
                reason='suspect',
                suspect=verdict.key,
            )
            raise backend_call.WithheldError('servers crash under it')
        self._servers.admit(call.server)


def _may_be_sent(handling: blame.Handling, is_isolated: bool) -> bool:
    if handling is blame.Handling.ISOLATED:
        return is_isolated
    return handling is blame.Handling.FREE
