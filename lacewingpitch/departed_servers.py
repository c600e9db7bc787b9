"""Record of backend servers that left, against entries that are outdated."""

from collections.abc import Collection

from lacewingpitch import clock as clock_module

# The copy that a store is restored from is some seconds old, and contains no
# entry that was removed longer ago than this.
_RETENTION_S = 60.0
# In the copy, entries of servers that are gone expire within this time.  A
# server that is listed later is alive.
_BARRED_S = 30.0
_MAX_STARTS = 4096


class DepartedServers:
    """Remembers which starts of servers have left or announced it.

    A write that the store takes late, or a store that is restored from a
    copy, may list such a server as ready.  Its entry is then barred: the
    server gets no requests.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        # Monotonic times by start id; the oldest comes first.
        self._leaving_at_s: dict[str, float] = {}
        self._removed_at_s: dict[str, float] = {}
        self._barred_until_s: dict[str, float] = {}

    def record_leaving(self, start_id: str) -> None:
        """Record a server that announces that it leaves."""
        self._record(self._leaving_at_s, start_id)

    def record_removed(self, start_id: str) -> None:
        """Record a server that is no longer listed."""
        self._record(self._removed_at_s, start_id)

    def record_listed(self, start_id: str) -> None:
        """Record a server that is listed, and may be listed again."""
        self._removed_at_s.pop(start_id, None)

    def bar_departed(self, retained: Collection[str]) -> None:
        """Bar the entries of departed servers after a restore from a copy.

        Parameters
        ----------
        retained
            Start ids of servers that are in use although not listed.
        """
        now_s = self._clock.monotonic_s()
        self._barred_until_s = {
            start_id: now_s + _BARRED_S
            for start_id, at_s in self._removed_at_s.items()
            if now_s - at_s < _RETENTION_S and start_id not in retained
        }

    def is_barred(self, start_id: str) -> bool:
        """Whether an entry of a start dates from before it left."""
        # A start that has announced that it leaves never serves again.
        if start_id in self._leaving_at_s:
            return True
        until_s = self._barred_until_s.get(start_id, 0.0)
        return self._clock.monotonic_s() < until_s

    def _record(self, times_s: dict[str, float], start_id: str) -> None:
        if start_id not in times_s and len(times_s) >= _MAX_STARTS:
            del times_s[next(iter(times_s))]
        times_s.setdefault(start_id, self._clock.monotonic_s())
