"""Which process owns the limit of an organisation."""

from collections.abc import Callable
from typing import Protocol

from lacewingpitch import backend_list
from lacewingpitch import clock as clock_module
from lacewingpitch import rendezvous

# The list changes with each adapter that is loaded.
_LOOK_INTERVAL_S = 0.5
# An engine that restarts is listed again within seconds, and the process
# beside it may be well all the while.
_KEPT_S = 20.0


class Listed(Protocol):
    """The backend servers that are listed."""

    def all(self) -> tuple[backend_list.BackendServer, ...]:
        """Return all servers that are listed."""
        ...


class UsageOwnership:
    """Finds the owner of a limit among the sidecars.

    Sidecars are the processes of the system that every entry knows.  All
    entries with the same list find the same owner, by rendezvous hash of
    the instance's address, which stays while its engine restarts.

    Parameters
    ----------
    has_sidecar
        Whether the servers of a service have sidecars.
    """

    def __init__(
        self,
        servers: Listed,
        has_sidecar: Callable[[str], bool],
        clock: clock_module.Clock,
    ) -> None:
        self._servers = servers
        self._has_sidecar = has_sidecar
        self._clock = clock
        self._seen_at_s: dict[str, float] = {}
        self._listed: set[str] = set()
        self._owners: dict[str, str] = {}
        self._look_at_s = 0.0

    def owner(self, organisation: str) -> str:
        """Return the address of the owner; empty if there is none."""
        now_s = self._clock.monotonic_s()
        if now_s >= self._look_at_s or not self._seen_at_s:
            self._look(now_s)
        found = self._owners.get(organisation)
        if found is None:
            found = max(
                self._seen_at_s,
                key=lambda ip: rendezvous.score(f'usage/{organisation}', ip),
                default='',
            )
            self._owners[organisation] = found
        return found

    def note_silent(self, ip: str) -> None:
        """Take note that a process does not answer.

        One whose engine is listed may be frozen, and go on as owner when
        it wakes: a second owner beside it would give its limits twice.
        """
        if ip in self._seen_at_s and ip not in self._listed:
            del self._seen_at_s[ip]
            self._owners.clear()

    def _look(self, now_s: float) -> None:
        self._look_at_s = now_s + _LOOK_INTERVAL_S
        before = self._seen_at_s.keys()
        found = [
            s for s in self._servers.all() if self._has_sidecar(s.service)
        ]
        self._listed = {s.ip for s in found if not s.is_leaving}
        # The process beside an engine that leaves ends soon after it.
        leaving = {s.ip for s in found} - self._listed
        seen = {
            ip: at_s
            for ip, at_s in self._seen_at_s.items()
            if now_s - at_s < _KEPT_S and ip not in leaving
        }
        seen.update((ip, now_s) for ip in self._listed)
        if seen.keys() != before:
            self._owners.clear()
        self._seen_at_s = seen
