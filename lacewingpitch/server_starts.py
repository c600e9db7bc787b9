"""Decides which start of a backend server the entries of the list are of."""

from collections.abc import Collection
import dataclasses

from lacewingpitch import clock as clock_module

# A write of an earlier start that was delayed on its way to the store is
# there within this time of the newest start's last entry.
_LATE_WRITE_S = 8.0
# Servers that are kept although the list no longer has them.
_MAX_UNKNOWN = 256


@dataclasses.dataclass(slots=True)
class _Newest:
    """The newest start of a server, and when the list last showed it."""

    started_at_ms: int
    seen_at_s: float


class ServerStarts:
    """Tells late writes of an earlier start from a start that was wrong.

    An entry of an earlier start is usually one that was written before a
    restart and arrives late.  But an entry of another writer may name any
    start, and the clock of a host may go back.  The server then goes on to
    write its own entries, with a start that seems to be an earlier one.  The
    same holds for reports of an engine.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._newest: dict[str, _Newest] = {}

    def accept(self, name: str, started_at_ms: int) -> bool:
        """Return whether an entry or report of a start is to be believed.

        Parameters
        ----------
        name
            Name of the server; its entry or report was just read.
        """
        now_s = self._clock.monotonic_s()
        newest = self._newest.get(name)
        if newest is not None and started_at_ms < newest.started_at_ms:
            if now_s - newest.seen_at_s < _LATE_WRITE_S:
                return False
        self._newest[name] = _Newest(started_at_ms, now_s)
        return True

    def prune(self, known: Collection[str]) -> None:
        """Forget servers that are no longer known, once there are many."""
        if len(self._newest) <= _MAX_UNKNOWN + len(known):
            return
        self._newest = {
            name: newest
            for name, newest in self._newest.items()
            if name in known
        }
