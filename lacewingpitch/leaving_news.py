"""Spreads between entries which servers announced that they leave.

A server that leaves soon ends, and breaks off what it runs.  The messages
between entries and sidecars about turns carry the starts of such servers;
without any they carry no extra data.
"""

from collections.abc import Collection, Iterable

from lacewingpitch import clock as clock_module

# Entries that send nothing for longer hear it from the server itself.
_MAX_AGE_S = 5.0
# Most starts of servers in one message.
_MAX_COUNT = 16
# Starts that one process remembers.
_MAX_SERVERS = 256


class HeardLeaving:
    """Starts of servers of which a process has heard lately.

    An entry records what servers told it and nothing that others did, so that
    no announcement is passed on for ever.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        # First time that it was heard, by start id; the oldest comes first.
        self._heard_at_s: dict[str, float] = {}

    def record(self, start_id: str) -> None:
        """Record a start of a server that leaves."""
        if start_id in self._heard_at_s:
            return
        if len(self._heard_at_s) >= _MAX_SERVERS:
            del self._heard_at_s[next(iter(self._heard_at_s))]
        self._heard_at_s[start_id] = self._clock.boot_s()

    def merge(self, start_ids: Iterable[str]) -> None:
        """Record several starts of servers."""
        for start_id in start_ids:
            self.record(start_id)

    def recent(self, known: Collection[str] = ()) -> tuple[str, ...]:
        """Return what was heard lately.

        Parameters
        ----------
        known
            Start ids to leave out.
        """
        if not self._heard_at_s:
            return ()
        since_s = self._clock.boot_s() - _MAX_AGE_S
        found = [
            start_id
            for start_id, heard_at_s in self._heard_at_s.items()
            if heard_at_s > since_s and start_id not in known
        ]
        return tuple(found[-_MAX_COUNT:])
