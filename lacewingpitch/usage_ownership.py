"""Maps limits to the sidecars that own them."""

from collections.abc import Callable
from typing import Protocol

from lacewingpitch import backend_list
from lacewingpitch import clock as clock_module
from lacewingpitch import rendezvous

# The server list changes with each adapter load, so it is read at intervals.
_REFRESH_INTERVAL_S = 0.5
# An engine that restarts is listed again within seconds, and its sidecar
# may keep running in the meantime.
_UNLISTED_RETENTION_S = 20.0


class ServerList(Protocol):
    """The backend servers that are listed."""

    def all(self) -> tuple[backend_list.BackendServer, ...]:
        """Return all listed servers."""
        ...


class UsageOwnership:
    """Finds the owner of a limit among the sidecars.

    Limits are those of organisations, by their names, and those that
    servers name, by the ids of their starts.

    Sidecars own the limits because every entry knows them.  All entries
    with the same list find the same owner, by rendezvous hash of the
    sidecars' addresses, which stay the same when an engine restarts.

    Parameters
    ----------
    has_sidecar
        Whether the servers of a service have sidecars.
    """

    def __init__(
        self,
        servers: ServerList,
        has_sidecar: Callable[[str], bool],
        clock: clock_module.Clock,
    ) -> None:
        self._servers = servers
        self._has_sidecar = has_sidecar
        self._clock = clock
        self._listed_at_s: dict[str, float] = {}
        # Listed and not leaving.
        self._listed: set[str] = set()
        # Leaving, or no longer listed, and not answering.
        self._ended: set[str] = set()
        self._owners: dict[str, str] = {}
        self._refresh_at_s = 0.0

    def owner(self, name: str) -> str:
        """Return the owner's address; empty if there is no owner."""
        now_s = self._clock.monotonic_s()
        if now_s >= self._refresh_at_s or not self._listed_at_s:
            self._refresh(now_s)
        found = self._owners.get(name)
        if found is None:
            found = max(
                self._listed_at_s,
                key=lambda ip: rendezvous.score(f'usage/{name}', ip),
                default='',
            )
            self._owners[name] = found
        return found

    def mark_unresponsive(self, ip: str) -> None:
        """Replace a process that did not answer, unless it is listed.

        If its engine is still listed, the process may be paused, and go on
        as the owner when it resumes.  A second owner beside it would grant
        its limits twice.  If its engine leaves, the process has ended with
        it.
        """
        if ip in self._listed_at_s and ip not in self._listed:
            del self._listed_at_s[ip]
            self._ended.add(ip)
            self._owners.clear()

    def _refresh(self, now_s: float) -> None:
        self._refresh_at_s = now_s + _REFRESH_INTERVAL_S
        previous = self._listed_at_s.keys()
        found = [
            s for s in self._servers.all() if self._has_sidecar(s.service)
        ]
        self._listed = {s.ip for s in found if not s.is_leaving}
        leaving = {s.ip for s in found} - self._listed
        self._ended &= leaving
        listed_at_s = {
            ip: at_s
            for ip, at_s in self._listed_at_s.items()
            if now_s - at_s < _UNLISTED_RETENTION_S
        }
        # A new owner grants a burst of its own.  A sidecar whose engine
        # leaves therefore stays the owner until it no longer answers.
        present = self._listed | (leaving - self._ended)
        listed_at_s.update((ip, now_s) for ip in present)
        if listed_at_s.keys() != previous:
            self._owners.clear()
        self._listed_at_s = listed_at_s
