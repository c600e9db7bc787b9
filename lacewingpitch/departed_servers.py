"""Starts of backend servers that were seen leaving."""

from collections.abc import Collection

from lacewingpitch import clock as clock_module

# A copy that the list comes back from is some seconds old.  An entry that
# was removed longer ago is not in it.
_REMEMBERED_S = 60.0
# Entries in the copy of servers that are gone lapse within this time; one
# that is listed later is alive.
_BARRED_S = 30.0
_MAX_REMEMBERED = 4096


class DepartedServers:
    """Remembers who has left, for a list that forgets it.

    Failure it answers: the list comes back from a copy in which a server
    that has left, or said that it leaves, is listed as ready.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        # By start, when it was seen; the oldest comes first.
        self._leaving_at_s: dict[str, float] = {}
        self._removed_at_s: dict[str, float] = {}
        self._barred_until_s: dict[str, float] = {}

    def note_leaving(self, start_id: str) -> None:
        """Take note of a server that said that it leaves."""
        self._remember(self._leaving_at_s, start_id)

    def note_removed(self, start_id: str) -> None:
        """Take note of a server that is listed no more."""
        self._remember(self._removed_at_s, start_id)

    def note_listed(self, start_id: str) -> None:
        """Take note of a server that is listed, and may be again."""
        self._removed_at_s.pop(start_id, None)

    def note_new_epoch(self, kept: Collection[str]) -> None:
        """Take note that the list has come back from a copy.

        Parameters
        ----------
        kept
            Starts of servers that are not listed, and in use all the same.
        """
        now_s = self._clock.monotonic_s()
        self._barred_until_s = {
            start_id: now_s + _BARRED_S
            for start_id, at_s in self._removed_at_s.items()
            if now_s - at_s < _REMEMBERED_S and start_id not in kept
        }
        # None of these takes requests again.
        self._barred_until_s.update(
            (start_id, float('inf')) for start_id in self._leaving_at_s
        )

    def is_barred(self, start_id: str) -> bool:
        """Whether an entry of that start is of before it left."""
        if not self._barred_until_s:
            return False
        until_s = self._barred_until_s.get(start_id, 0.0)
        return self._clock.monotonic_s() < until_s

    def _remember(self, seen_at_s: dict[str, float], start_id: str) -> None:
        if start_id not in seen_at_s and len(seen_at_s) >= _MAX_REMEMBERED:
            del seen_at_s[next(iter(seen_at_s))]
        seen_at_s.setdefault(start_id, self._clock.monotonic_s())
