"""Record of the starts of servers that announced that they leave."""

from collections.abc import Callable

# More than leave within the time in which a list may still name them.
_MAX_SERVERS = 4096


class LeavingServers:
    """Remembers which starts of servers announced that they leave.

    Nothing takes an announcement back: a list, a peer or a health check that
    says otherwise is older.  It concerns one start of the server, and those
    before it; a later start under the same name serves again.

    Parameters
    ----------
    is_listed
        Whether a server is listed, by its name; the starts of these are not
        forgotten.
    """

    def __init__(self, is_listed: Callable[[str], bool]) -> None:
        self._is_listed = is_listed
        # Start times by server name; the oldest announcement comes first.
        self._started_at_ms: dict[str, int] = {}

    def record(self, name: str, started_at_ms: int) -> bool:
        """Record an announcement; return whether it was unknown."""
        if self.includes(name, started_at_ms):
            return False
        if len(self._started_at_ms) >= _MAX_SERVERS:
            self._forget_unlisted()
        self._started_at_ms[name] = started_at_ms
        return True

    def includes(self, name: str, started_at_ms: int) -> bool:
        """Whether a start of a server leaves, or has left."""
        known_at_ms = self._started_at_ms.get(name)
        return known_at_ms is not None and started_at_ms <= known_at_ms

    def _forget_unlisted(self) -> None:
        for name in list(self._started_at_ms):
            if not self._is_listed(name):
                del self._started_at_ms[name]
                return
