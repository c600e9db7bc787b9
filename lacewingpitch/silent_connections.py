"""Detection of callers' connections that never send a request."""

from collections.abc import Hashable, Iterable
from typing import Generic, TypeVar

from lacewingpitch import clock as clock_module

_Connection = TypeVar('_Connection', bound=Hashable)


class SilentConnections(Generic[_Connection]):
    """Finds connections on which no complete request head arrived in time.

    Guards against callers that open connections and send nothing, or a head
    byte by byte.  The HTTP library only limits the idle time between two
    requests.  Such connections would stay open until the process has no
    file descriptor left and accepts no more connections.

    Parameters
    ----------
    clock
        Source of time.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._silent_since_s: dict[_Connection, float] = {}
        self._used: set[_Connection] = set()

    def record_request(self, connection: _Connection) -> None:
        """Record that a complete request head has arrived."""
        self._used.add(connection)

    def has_sent(self, connection: _Connection) -> bool:
        """Whether a complete request head has arrived."""
        return connection in self._used

    def overdue(
        self, connections: Iterable[_Connection], limit_s: float
    ) -> list[_Connection]:
        """Return the connections without a request for longer than a limit.

        Parameters
        ----------
        connections
            All open connections; others are forgotten.
        """
        now_s = self._clock.monotonic_s()
        open_connections = set(connections)
        self._used &= open_connections
        self._silent_since_s = {
            connection: self._silent_since_s.get(connection, now_s)
            for connection in open_connections - self._used
        }
        return [
            connection
            for connection, since_s in self._silent_since_s.items()
            if now_s - since_s > limit_s
        ]
