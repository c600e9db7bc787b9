"""The published list of backend servers, followed across outages."""

from collections.abc import Callable, Collection, Iterable, Mapping
import dataclasses

import reactivex
import reactivex.subject
import structlog

from lacewingpitch import clock as clock_module
from lacewingpitch import deferred_entries
from lacewingpitch import departed_servers
from lacewingpitch import leaving_news
from lacewingpitch import leaving_servers
from lacewingpitch import list_removals
from lacewingpitch import overwritten_servers
from lacewingpitch import owed_fields
from lacewingpitch import server_starts
from lacewingpitch import unlisted_servers

_CONTACT_S = 3.0
log = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """One incarnation of a backend server.

    An incarnation is a server under a name that is never used for another;
    its process may restart several times under that name.

    Parameters
    ----------
    name
        Unique name of the incarnation.
    adapters
        Versions of the adapters that it holds, by MODEL/ADAPTER.
    is_leaving
        Whether it must get no new requests.
    created_revision
        Revision at which its entry was created; increases with each new
        entry of the list.
    started_at_ms
        Unix time of its start; 0 if unknown.  A server may restart under
        the same name, and then holds nothing from before.
    leaves_in_s
        Time until it ends, as it was listed; 0 if it states none.
    software_version, stated_fields
        Version of its software, and the optional fields of its entry.
    """

    name: str
    service: str
    ip: str
    port: int
    availability_zone: str
    is_leaving: bool = False
    max_running: int = 1
    adapters: Mapping[str, int] = dataclasses.field(default_factory=dict)
    created_revision: int = 0
    started_at_ms: int = 0
    leaves_in_s: float = 0.0
    software_version: str = ''
    stated_fields: frozenset[str] = frozenset()

    @property
    def start_id(self) -> str:
        """Return the unique id of this start of the server."""
        return start_id(self.name, self.started_at_ms)


def start_id(name: str, started_at_ms: int) -> str:
    """Return the unique id of one start of a server."""
    return f'{name}@{started_at_ms}'


def split_start_id(text: str) -> tuple[str, int]:
    """Return the name of a server and the time of its start.

    Raises
    ------
    ValueError
        It is no id of a start.
    """
    name, separator, started_at_ms = text.rpartition('@')
    if not separator:
        raise ValueError(f'no start id: {text!r}')
    return name, int(started_at_ms)


class BackendList:
    """Holds the published list of servers, also while it cannot be read.

    Parameters
    ----------
    is_service
        Returns whether the configuration names a service.
    contact_s
        Time after an outage of the list from which this process counts as
        connected again, in seconds.
    has_sidecar
        Returns whether the servers of a service have a sidecar, which refuses
        requests once its server leaves.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        is_service: Callable[[str], bool] = lambda _service: True,
        contact_s: float = _CONTACT_S,
        has_sidecar: Callable[[str], bool] = lambda _service: False,
    ) -> None:
        self._clock = clock
        self._is_service = is_service
        self._restarts: reactivex.subject.Subject[str] = (
            reactivex.subject.Subject()
        )
        self._unplanned_ends: reactivex.subject.Subject[BackendServer] = (
            reactivex.subject.Subject()
        )
        self._leavings: reactivex.subject.Subject[BackendServer] = (
            reactivex.subject.Subject()
        )
        self._servers: dict[str, BackendServer] = {}
        self._unlisted: unlisted_servers.UnlistedServers[BackendServer] = (
            unlisted_servers.UnlistedServers(clock, contact_s, has_sidecar)
        )
        self._deferred: deferred_entries.DeferredEntries[BackendServer] = (
            deferred_entries.DeferredEntries(clock)
        )
        self._overwritten = overwritten_servers.OverwrittenServers(clock)
        self._departed = departed_servers.DepartedServers(clock)
        self._leaving = leaving_servers.LeavingServers(
            lambda name: name in self._servers
        )
        self._is_new_epoch = False
        self._starts = server_starts.ServerStarts(clock)
        self._removals = list_removals.ListRemovals(clock)
        # `created_revision` by name, of entries listed as an outage began.
        self._revisions_before_outage: dict[str, int] = {}
        self._confirmed_at_s = clock.monotonic_s()
        self._previously_confirmed_at_s = self._confirmed_at_s
        self._by_service: dict[str, tuple[BackendServer, ...]] = {}
        self.is_known = False

    @property
    def age_s(self) -> float:
        """Return the time since the list was last known to be current."""
        return self._clock.monotonic_s() - self._confirmed_at_s

    @property
    def restarts(self) -> reactivex.Observable[str]:
        """Return an observable of the names of servers that restart.

        A server restarts under the same name.  State recorded for it before
        the restart is no longer valid.
        """
        return self._restarts

    @property
    def unplanned_ends(self) -> reactivex.Observable[BackendServer]:
        """Return an observable of servers that end without leaving first.

        Each is the server with its start that has ended.
        """
        return self._unplanned_ends

    @property
    def leavings(self) -> reactivex.Observable[BackendServer]:
        """Return an observable of servers that begin to leave.

        A server leaves if the list or the server says so, or if it is no
        longer listed without an outage of the list.
        """
        return self._leavings

    def record_read_failure(
        self, asked_at_s: float | None = None, is_unreachable: bool = True
    ) -> None:
        """Record that the list could not be read.

        Parameters
        ----------
        asked_at_s
            Monotonic time at which the failed read began; the current time
            if ``None``.
        is_unreachable
            Whether the read shows that the store was out of reach.
        """
        if not self._unlisted.is_unreadable:
            self._revisions_before_outage = {
                server.name: server.created_revision
                for server in self._servers.values()
            }
        if asked_at_s is None:
            asked_at_s = self._clock.monotonic_s()
        self._unlisted.record_read_failure(asked_at_s, is_unreachable)

    def record_read(
        self,
        is_new_epoch: bool = False,
        epoch: int = 0,
        revision: int = 0,
    ) -> None:
        """Record that the list was read, or that nothing has changed.

        Called before the changes of the read are applied.

        Parameters
        ----------
        is_new_epoch
            Whether the store has been restored from a copy since the last
            read.
        epoch, revision
            Position up to which the list is known with this read.
        """
        self._is_new_epoch = is_new_epoch
        self._removals.position = epoch, revision
        if is_new_epoch:
            self._departed.bar_departed(
                {server.start_id for server in self._unlisted.all_retained()}
            )
        self._previously_confirmed_at_s = self._confirmed_at_s
        self._confirmed_at_s = self._clock.monotonic_s()
        self._unlisted.record_read()

    def finish_update(self) -> None:
        """Complete a read after all its changes have been applied.

        Decides how long servers that are no longer listed may be used.
        """
        self._starts.prune(self._servers.keys())
        self._believe_deferred()
        self._drop_overwritten()
        if self._removals.forget_outdated():
            self._by_service.clear()
        if self._is_new_epoch:
            # A copy lacks all entries that were written after it, also if
            # entries from before the outage are in it.
            self._unlisted.set_retention_after_restore()
            return
        self._unlisted.set_retention(self._surviving_services())

    def _surviving_services(self) -> set[str]:
        """Return the services with entries from before the last outage."""
        return {
            server.service
            for server in self._servers.values()
            if self._revisions_before_outage.get(server.name)
            == server.created_revision
        }

    def replace_all(
        self,
        servers: Iterable[BackendServer],
        undecoded: Collection[str] = (),
    ) -> None:
        """Apply a whole list.

        Parameters
        ----------
        undecoded
            Names of the entries that cannot be decoded.
        """
        self._replace_all(servers, undecoded, is_adopted=False)

    def _replace_all(
        self,
        servers: Iterable[BackendServer],
        undecoded: Collection[str],
        is_adopted: bool,
    ) -> None:
        found = {server.name: server for server in servers}
        for name in self._servers.keys() - found.keys() - set(undecoded):
            self.remove(name)
        for name in undecoded:
            self.discard(name)
        for server in found.values():
            self._put(server, is_adopted)
        self.is_known = True
        self.finish_update()

    @property
    def position(self) -> tuple[int, int]:
        """Return epoch and revision up to which the list is known."""
        return self._removals.position

    def replace_from_peer(
        self,
        servers: Iterable[BackendServer],
        age_s: float,
        position: tuple[int, int] = (0, 0),
    ) -> None:
        """Apply the list of another process, without one of its own.

        Parameters
        ----------
        age_s
            Time since that list was known to be current, in seconds.
        position
            Epoch and revision of that list.
        """
        self._removals.position = position
        self._replace_all(servers, (), is_adopted=True)
        self.record_read_failure()
        self._confirmed_at_s = self._clock.monotonic_s() - age_s

    def all(self) -> tuple[BackendServer, ...]:
        """Return all listed servers."""
        return tuple(self._servers.values())

    def put(self, server: BackendServer) -> None:
        """Apply one entry.

        An entry of an earlier start takes effect once it has stood for some
        seconds, but that it says the server leaves takes effect at once.
        """
        self._put(server, is_adopted=False)

    def _put(self, server: BackendServer, is_adopted: bool) -> None:
        before = self._listed_or_unlisted(server.name)
        if before and self._is_foreign(server, before):
            self.discard(server.name)
            return
        self._overwritten.forget(server.name)
        if before and server.started_at_ms < before.started_at_ms:
            self._defer(server)
            return
        self._deferred.drop(server.name)
        self._apply(server, before, is_adopted)

    def _is_foreign(
        self, server: BackendServer, before: BackendServer
    ) -> bool:
        """Whether an entry is of another writer than its server.

        It lacks a field, or names a service that no configuration has.  A new
        service may be listed before its configuration is known, but no server
        changes to such a one.
        """
        if not self._is_service(server.service):
            return self._is_service(before.service)
        if server.stated_fields >= before.stated_fields:
            return False
        others = {**self._servers, server.name: server}
        return server.name in owed_fields.find_incomplete(others.values())

    def _defer(self, server: BackendServer) -> None:
        log.info(
            'entry of an earlier start deferred',
            backend_server=server.name,
            started_at_ms=server.started_at_ms,
            leaving=server.is_leaving,
        )
        self._deferred.defer(server)
        self._by_service.clear()
        self._believe_deferred()

    def _believe_deferred(self) -> None:
        """Apply the entries that their servers have not written again."""
        for server in self._deferred.due():
            if self._starts.is_reported_later(
                server.name, server.started_at_ms
            ):
                continue
            log.info(
                'deferred entry believed',
                backend_server=server.name,
                started_at_ms=server.started_at_ms,
            )
            self._deferred.drop(server.name)
            before = self._listed_or_unlisted(server.name)
            self._apply(server, before, is_adopted=False)

    def _apply(
        self,
        server: BackendServer,
        before: BackendServer | None,
        is_adopted: bool,
    ) -> None:
        if server.is_leaving:
            # A peer may say so of a server that returns.
            if not is_adopted:
                self._departed.record_leaving(server.start_id)
        elif self._departed.is_barred(server.start_id):
            server = dataclasses.replace(server, is_leaving=True)
        else:
            self._departed.record_listed(server.start_id)
        self._starts.record_listed(server.name, server.started_at_ms)
        self._unlisted.discard(server.name)
        listed_before = self._servers.get(server.name)
        self._servers[server.name] = server
        if before and server.started_at_ms != before.started_at_ms:
            if server.started_at_ms > before.started_at_ms:
                self._unplanned_ends.on_next(before)
            self._announce_restart(server)
        if server.is_leaving and (before is None or not before.is_leaving):
            self._leavings.on_next(server)
            if not is_adopted:
                self._removals.record_read(server.start_id)
        if (
            listed_before is None
            or listed_before.is_leaving != server.is_leaving
        ):
            log.info(
                'backend server listed',
                backend_server=server.name,
                service=server.service,
                address=f'{server.ip}:{server.port}',
                leaving=server.is_leaving,
            )
        self._by_service.clear()

    def remove(self, name: str) -> None:
        """Record that an entry is no longer listed."""
        if name in self._servers:
            self._unlist(name)
        self._deferred.drop(name)
        self._overwritten.forget(name)

    def discard(self, name: str) -> None:
        """Record that an entry cannot be decoded, or is of another writer.

        Its server is used by the entry before for some seconds.
        """
        if name in self._servers and self._overwritten.record(name):
            log.warning('backend server overwritten', backend_server=name)

    def _drop_overwritten(self) -> None:
        for name in self._overwritten.over():
            log.warning(
                'overwritten backend server dropped', backend_server=name
            )
            del self._servers[name]
            self._deferred.drop(name)
            self._overwritten.forget(name)
            self._by_service.clear()

    def record_start(self, name: str, started_at_ms: int) -> bool:
        """Record the start of a server that its own instance reports.

        Returns
        -------
        bool
            Whether the report is current; `False` if it is of an earlier
            start.
        """
        server = self._servers.get(name)
        if server is None or not started_at_ms:
            return True
        if not self._starts.accept_report(name, started_at_ms):
            return False
        if started_at_ms == server.started_at_ms:
            return True
        self._servers[name] = dataclasses.replace(
            server, started_at_ms=started_at_ms, adapters={}
        )
        self._by_service.clear()
        if started_at_ms > server.started_at_ms:
            self._unplanned_ends.on_next(server)
        self._announce_restart(self._servers[name])
        return True

    def record_leaving(self, start_id: str, source: str) -> bool:
        """Record that a start of a server announced that it leaves.

        It gets no requests from now on, whatever the list says of it.

        Parameters
        ----------
        source
            Who said so, for the log.

        Returns
        -------
        bool
            Whether this was unknown.
        """
        try:
            name, started_at_ms = split_start_id(start_id)
        except ValueError as error:
            log.warning('announcement ignored', error=str(error))
            return False
        if not self._leaving.record(name, started_at_ms):
            return False
        known = self._listed_or_unlisted(name)
        unlisted = self._unlisted.get(name)
        if unlisted is not None and self._leaves(unlisted):
            self._unlisted.discard(name)
        self._by_service.clear()
        log.info(
            'backend server leaving',
            backend_server=name,
            started_at_ms=started_at_ms,
            source=source,
        )
        if known is not None and self._leaves(known):
            self._leavings.on_next(known)
        return True

    def recent_removals(self) -> tuple[leaving_news.ServerRemoval, ...]:
        """Return which servers the list has lately ceased to offer."""
        return self._removals.recent()

    def record_removal(self, removal: leaving_news.ServerRemoval) -> bool:
        """Record that a newer list, read elsewhere, does not offer a server.

        The server gets no requests until this process has read that list.

        Returns
        -------
        bool
            Whether the server is listed here, by an older list.
        """
        name = removal.start_id.rpartition('@')[0]
        server = self._servers.get(name)
        if server is None or server.start_id != removal.start_id:
            return False
        if not self._removals.is_newer(removal):
            return False
        if self._removals.record_heard(removal):
            self._by_service.clear()
            log.info(
                'backend server removed by a newer list',
                backend_server=name,
                list_age_s=round(self.age_s, 3),
            )
        return True

    def is_known_leaving(self, server: BackendServer) -> bool:
        """Whether a start of a server leaves, by the list or by itself.

        Only some entries have heard an announcement.  What all of them must
        derive alike, such as owners of limits, follows the list alone.
        """
        if self._leaves(server):
            return True
        listed = self._servers.get(server.name)
        return (
            listed is not None
            and listed.is_leaving
            and listed.started_at_ms == server.started_at_ms
        )

    def get(self, name: str) -> BackendServer | None:
        """Return a listed server."""
        return self._servers.get(name)

    def find_serving(self, service: str, name: str) -> BackendServer | None:
        """Return a server if it may get new requests of a service."""
        for server in self.serving(service):
            if server.name == name:
                return server
        return None

    def serving(self, service: str) -> tuple[BackendServer, ...]:
        """Return the servers of a service that may get new requests.

        Returns the same object while nothing changes.
        """
        if self._unlisted or self._overwritten:
            return self._with_unlisted(service)
        found = self._by_service.get(service)
        if found is None:
            found = self._listed(service)
            self._by_service[service] = found
        return found

    def _listed(self, service: str) -> tuple[BackendServer, ...]:
        # The entry of a restarted server is listed beside that of its last
        # incarnation until the latter expires.
        newest: dict[tuple[str, int], BackendServer] = {}
        incomplete = owed_fields.find_incomplete(self._servers.values())
        for server in self._servers.values():
            # An entry of another writer may contain the address of a
            # healthy server, which must still get its requests.
            if not self._is_service(server.service):
                continue
            if server.name in incomplete:
                continue
            if self._overwritten.is_over(server.name):
                continue
            address = (server.ip, server.port)
            other = newest.get(address)
            if other is None or other.created_revision <= (
                server.created_revision
            ):
                newest[address] = server
        return tuple(
            server
            for server in newest.values()
            if server.service == service and not self._leaves(server)
        )

    def _with_unlisted(self, service: str) -> tuple[BackendServer, ...]:
        listed = self._listed(service)
        found = listed + _at_other_addresses(
            self._unlisted.retained(service), listed
        )
        return found or self._unlisted.last_resort(service)

    def _leaves(self, server: BackendServer) -> bool:
        return (
            server.is_leaving
            or self._deferred.is_leaving(server.name)
            or self._removals.includes(server.start_id)
            or self._leaving.includes(server.name, server.started_at_ms)
        )

    def _listed_or_unlisted(self, name: str) -> BackendServer | None:
        return self._servers.get(name) or self._unlisted.get(name)

    def _announce_restart(self, server: BackendServer) -> None:
        log.info(
            'backend server restarted',
            backend_server=server.name,
            started_at_ms=server.started_at_ms,
        )
        self._restarts.on_next(server.name)

    def _unlist(self, name: str) -> None:
        server = self._servers.pop(name)
        self._by_service.clear()
        log.info(
            'backend server unlisted',
            backend_server=name,
            service=server.service,
            was_leaving=server.is_leaving,
        )
        if not self._leaves(server):
            self._unlisted.add(server, self._previously_confirmed_at_s)
        self._departed.record_removed(server.start_id)
        if not self._is_new_epoch and not self._unlisted.is_after_outage:
            self._unplanned_ends.on_next(server)
            self._leavings.on_next(server)
            if not self._unlisted.may_have_expired:
                self._removals.record_read(server.start_id)


def _at_other_addresses(
    servers: Iterable[BackendServer], listed: Iterable[BackendServer]
) -> tuple[BackendServer, ...]:
    """Return the servers whose address no listed server has."""
    addresses = {(server.ip, server.port) for server in listed}
    return tuple(s for s in servers if (s.ip, s.port) not in addresses)
