"""Maps limits to the sidecars that own them."""

from collections.abc import Callable, Iterable
import heapq
from typing import Protocol

from lacewingpitch import backend_list
from lacewingpitch import clock as clock_module
from lacewingpitch import limit_tenure
from lacewingpitch import rendezvous

# The server list changes with each adapter load, so it is read at intervals.
_REFRESH_INTERVAL_S = 0.5
# An engine that restarts is listed again within seconds, and its sidecar
# may keep running in the meantime.
_UNLISTED_RETENTION_S = 20.0
# More than the limits that are in use at the same time.
_MAX_LIMITS = 8192
# The owner and the one that follows it may leave together.
_FOLLOWING_COUNT = 2


class ServerList(Protocol):
    """The backend servers that are listed."""

    def all(self) -> tuple[backend_list.BackendServer, ...]:
        """Return all listed servers."""
        ...

    @property
    def position(self) -> limit_tenure.Position:
        """Return epoch and revision up to which the list is known."""
        ...


class UsageOwnership:
    """Finds the owner of a limit among the sidecars.

    Limits are those of organisations, by their names, and those that
    servers name, by the ids of their starts.

    Sidecars own the limits because every entry knows them.  All entries
    with the same list find the same owner, by rendezvous hash of the
    sidecars' addresses, which stay the same when an engine restarts.
    Entries with different lists may find two; `limit_tenure` decides which
    of them grants the limit.

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
        self._position = limit_tenure.UNKNOWN_POSITION
        # Revisions at which sidecars were listed first, by address.
        self._created: dict[str, int] = {}
        # By name: the last owner by the list, and the one before.
        self._changes: dict[str, tuple[str, str]] = {}
        # By name: the owner by a newer list, and the position of that.
        self._heard: dict[str, tuple[str, limit_tenure.Position]] = {}

    def owner(self, name: str) -> str:
        """Return the owner's address; empty if there is no owner."""
        self._refresh_if_due()
        heard = self._heard.get(name)
        if heard is not None:
            ip, position = heard
            if self._position <= position:
                return ip
            del self._heard[name]
        return self._listed_owner(name)

    def claim(self, name: str) -> limit_tenure.Claim:
        """Return the claim that names the position of the list."""
        self._refresh_if_due()
        return limit_tenure.Claim(*self._position)

    def previous_owners(self, name: str) -> frozenset[str]:
        """Return the addresses of those that may have owned it before.

        They are the owners by earlier lists, as far as this entry has read
        them, or as the times at which sidecars were listed show them; and
        those that follow if the owner is no longer listed.  They keep who
        the owner is for entries that start then.
        """
        self._refresh_if_due()
        owner = self._listed_owner(name)
        before = self._changes.get(name, ('', ''))[1]
        following = heapq.nlargest(
            _FOLLOWING_COUNT,
            self._listed_at_s.keys() - {owner},
            key=lambda ip: _score(name, ip),
        )
        found = {before, *following} | self._earlier_owners(name)
        return frozenset(found - {'', owner})

    def record_owner(
        self, name: str, ip: str, position: limit_tenure.Position
    ) -> None:
        """Record the owner by a list at least as new as this entry's."""
        if len(self._heard) >= _MAX_LIMITS:
            self._heard.clear()
        self._heard[name] = ip, position

    def _listed_owner(self, name: str) -> str:
        found = self._owners.get(name)
        if found is None:
            found = _first(name, self._listed_at_s)
            self._owners[name] = found
            self._record_change(name, found)
        return found

    def _record_change(self, name: str, owner: str) -> None:
        last, _ = self._changes.get(name, ('', ''))
        if last == owner:
            return
        if len(self._changes) >= _MAX_LIMITS:
            self._changes.clear()
        self._changes[name] = owner, last

    def _earlier_owners(self, name: str) -> set[str]:
        """Return the owners as sidecars were added one after the other."""
        found: set[str] = set()
        best = -1
        by_age = sorted(
            self._listed_at_s, key=lambda ip: self._created.get(ip, 0)
        )
        for ip in by_age:
            score = _score(name, ip)
            if score > best:
                best = score
                found.add(ip)
        return found

    def mark_unresponsive(self, ip: str) -> None:
        """Replace a process that did not answer, unless it is listed.

        If its engine is still listed, the process may be paused, and go on
        as the owner when it resumes.  A second owner beside it would grant
        its limits twice.  If its engine leaves, the process has ended with
        it.
        """
        self._heard = {
            name: (heard_ip, position)
            for name, (heard_ip, position) in self._heard.items()
            if heard_ip != ip
        }
        if ip in self._listed_at_s and ip not in self._listed:
            del self._listed_at_s[ip]
            self._ended.add(ip)
            self._owners.clear()

    def _refresh_if_due(self) -> None:
        now_s = self._clock.monotonic_s()
        if now_s >= self._refresh_at_s or not self._listed_at_s:
            self._refresh(now_s)

    def _refresh(self, now_s: float) -> None:
        self._refresh_at_s = now_s + _REFRESH_INTERVAL_S
        self._position = self._servers.position
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
        self._created = {
            ip: at for ip, at in self._created.items() if ip in listed_at_s
        }
        for server in found:
            # The sidecar may be older than the last start of its engine.
            first = self._created.get(server.ip, server.created_revision)
            self._created[server.ip] = min(first, server.created_revision)


def _score(name: str, ip: str) -> int:
    return rendezvous.score(f'usage/{name}', ip)


def _first(name: str, ips: Iterable[str]) -> str:
    """Return the address that ranks first; empty if there is none."""
    return max(ips, key=lambda ip: _score(name, ip), default='')
