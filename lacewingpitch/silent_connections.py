"""Connections of callers that never send a request."""

from collections.abc import Hashable, Iterable
from typing import Generic, TypeVar

from lacewingpitch import clock as clock_module

_Connection = TypeVar('_Connection', bound=Hashable)


class SilentConnections(Generic[_Connection]):
    """Finds connections on which no whole head came in time.

    Failure it answers: a caller opens connections and sends nothing, or a
    head byte by byte.  The HTTP library limits the idle time between two
    requests alone; such connections would stay for ever, until the
    process has no descriptor left and takes nobody any more.

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
        """Take note that a whole head has come."""
        self._used.add(connection)

    def overdue(
        self, connections: Iterable[_Connection], limit_s: float
    ) -> list[_Connection]:
        """Return those that have been silent for longer than a limit.

        Parameters
        ----------
        connections
            All that are open now; others are forgotten.
        """
        now_s = self._clock.monotonic_s()
        found = set(connections)
        self._used &= found
        self._silent_since_s = {
            connection: self._silent_since_s.get(connection, now_s)
            for connection in found - self._used
        }
        return [
            connection
            for connection, since_s in self._silent_since_s.items()
            if now_s - since_s > limit_s
        ]
