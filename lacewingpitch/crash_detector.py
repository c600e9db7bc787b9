"""Detection of backend-server crashes from broken connections."""

import collections
from collections.abc import Iterable
import dataclasses

from lacewingpitch import backend_list
from lacewingpitch import clock as clock_module
from lacewingpitch import crash_record

# Within this time of a crash, another request, the server's sidecar or the
# published list shows that the server has ended.
_CONFIRMATION_TIMEOUT_S = 5.0
_MAX_SERVERS = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class _Disconnect:
    """One connection that ended before, or soon after, its first event."""

    keys: Iterable[str]
    at_s: float


class CrashDetector:
    """Tells crashes of backend servers from answers lost on the way.

    Either of them breaks the connection.  A broken connection counts as a
    crash once the end of the server is confirmed: its sidecar reports it,
    the server accepts no connections, or the list no longer contains it.

    Parameters
    ----------
    record
        Receives the crashes that are confirmed.
    """

    def __init__(
        self,
        record: crash_record.CrashRecord,
        clock: clock_module.Clock,
    ) -> None:
        self._record = record
        self._clock = clock
        self._disconnects: collections.defaultdict[str, list[_Disconnect]] = (
            collections.defaultdict(list)
        )
        self._ended_at_s: dict[str, float] = {}

    def record_disconnect(
        self, keys: Iterable[str], server: backend_list.BackendServer
    ) -> None:
        """Record that a connection ended as its request began to run.

        It counts as a crash at once if the server has ended recently.
        Beyond `_MAX_SERVERS` servers it is ignored.

        Parameters
        ----------
        keys
            Keys of the request, which can be iterated more than once; see
            `suspect_keys`.
        """
        self._expire()
        if server.start_id in self._ended_at_s:
            self._record.record_crashes(keys, server.start_id)
            return
        if len(self._disconnects) < _MAX_SERVERS:
            disconnect = _Disconnect(keys, self._clock.boot_s())
            self._disconnects[server.start_id].append(disconnect)

    def has_pending(self, server: backend_list.BackendServer) -> bool:
        """Whether disconnects of a server wait for confirmation."""
        return server.start_id in self._disconnects

    def record_exit(self, server: backend_list.BackendServer) -> None:
        """Record that this start of a server has ended.

        Disconnects that wait for confirmation become crashes.
        """
        self._expire()
        self._ended_at_s.setdefault(server.start_id, self._clock.boot_s())
        for disconnect in self._disconnects.pop(server.start_id, ()):
            self._record.record_crashes(disconnect.keys, server.start_id)

    def record_running(self, server: backend_list.BackendServer) -> None:
        """Record that a server is running, so that it has not crashed."""
        self._disconnects.pop(server.start_id, None)

    def _expire(self) -> None:
        since_s = self._clock.boot_s() - _CONFIRMATION_TIMEOUT_S
        for start_id, disconnects in list(self._disconnects.items()):
            recent = [d for d in disconnects if d.at_s > since_s]
            if recent:
                self._disconnects[start_id] = recent
            else:
                del self._disconnects[start_id]
        for start_id, at_s in list(self._ended_at_s.items()):
            if at_s <= since_s:
                del self._ended_at_s[start_id]
