"""The backend servers that take requests, as far as this process knows."""

from collections.abc import Callable, Iterable, Mapping
import dataclasses

import reactivex
import reactivex.subject
import structlog

from lacewingpitch import clock as clock_module
from lacewingpitch import departed_servers
from lacewingpitch import lapsed_servers

_CONTACT_S = 3.0
log = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """One incarnation of a backend server.

    Parameters
    ----------
    name
        Names this incarnation and no other.
    adapters
        Versions of the adapters that it holds, by MODEL/ADAPTER.
    is_leaving
        Whether it is to get no new requests.
    created_revision
        Grows with each entry of the list that is made.
    started_at_ms
        Unix time of its start; 0 if it does not say.  A server may start
        again under its name, and then holds nothing of before.
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

    @property
    def start_id(self) -> str:
        """Return what names this start of it and no other."""
        return f'{self.name}@{self.started_at_ms}'


class BackendList:
    """Follows the published list, across times when it is away.

    Parameters
    ----------
    is_service
        Whether the configuration names a service.
    contact_s
        How long after an outage of the list this process counts as in
        touch.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        is_service: Callable[[str], bool] = lambda _service: True,
        contact_s: float = _CONTACT_S,
    ) -> None:
        self._clock = clock
        self._is_service = is_service
        self._restarts: reactivex.subject.Subject[str] = (
            reactivex.subject.Subject()
        )
        self._ends: reactivex.subject.Subject[BackendServer] = (
            reactivex.subject.Subject()
        )
        self._servers: dict[str, BackendServer] = {}
        self._lapsed: lapsed_servers.LapsedServers[BackendServer] = (
            lapsed_servers.LapsedServers(clock, contact_s)
        )
        self._departed = departed_servers.DepartedServers(clock)
        self._is_new_epoch = False
        # Revisions of the entries that were listed as an outage began.
        self._before_outage: dict[str, int] = {}
        self._confirmed_at_s = clock.monotonic_s()
        self._confirmed_before_s = self._confirmed_at_s
        self._by_service: dict[str, tuple[BackendServer, ...]] = {}
        self.is_known = False

    @property
    def age_s(self) -> float:
        """Return how long ago the list was known to be current."""
        return self._clock.monotonic_s() - self._confirmed_at_s

    @property
    def restarts(self) -> reactivex.Observable[str]:
        """Return the names of servers that start again under their name.

        What was known of them before holds no more.
        """
        return self._restarts

    @property
    def ends(self) -> reactivex.Observable[BackendServer]:
        """Return the starts of servers that ended without leaving."""
        return self._ends

    def note_away(self, asked_at_s: float | None = None) -> None:
        """Take note that the list cannot be read.

        Parameters
        ----------
        asked_at_s
            When the read began that failed; just now if left out.
        """
        if not self._lapsed.is_away:
            self._before_outage = {
                server.name: server.created_revision
                for server in self._servers.values()
            }
        if asked_at_s is None:
            asked_at_s = self._clock.monotonic_s()
        self._lapsed.note_away(asked_at_s)

    def note_read(self, is_new_epoch: bool = False) -> None:
        """Take note that the list was read, or that nothing changed.

        What the answer holds is taken over after it.

        Parameters
        ----------
        is_new_epoch
            Whether the list has come back from a copy since.
        """
        self._is_new_epoch = is_new_epoch
        if is_new_epoch:
            self._departed.note_new_epoch(
                {server.start_id for server in self._lapsed.all_kept()}
            )
        self._confirmed_before_s = self._confirmed_at_s
        self._confirmed_at_s = self._clock.monotonic_s()
        self._lapsed.note_read()

    def settle(self) -> None:
        """Take note that all of an answer was taken over."""
        if self._is_new_epoch:
            # A copy lacks what was written after it, whatever else it has.
            self._lapsed.settle_new_epoch()
            return
        self._lapsed.settle(
            any(
                self._before_outage.get(server.name) == server.created_revision
                for server in self._servers.values()
            )
        )

    def replace_all(self, servers: Iterable[BackendServer]) -> None:
        """Take over a whole list."""
        found = {server.name: server for server in servers}
        for name in self._servers.keys() - found.keys():
            self._lapse(name)
        for server in found.values():
            self.put(server)
        self.is_known = True
        self.settle()

    def adopt(self, servers: Iterable[BackendServer], age_s: float) -> None:
        """Take over the list of another process, in place of none.

        Parameters
        ----------
        age_s
            How long ago that list was known to be current.
        """
        self.replace_all(servers)
        self.note_away()
        self._confirmed_at_s = self._clock.monotonic_s() - age_s

    def all(self) -> tuple[BackendServer, ...]:
        """Return all servers that are listed."""
        return tuple(self._servers.values())

    def put(self, server: BackendServer) -> None:
        """Take over one entry."""
        before = self._known(server.name)
        if before and server.started_at_ms < before.started_at_ms:
            # What a server wrote before its restart can come late.  Taken
            # over, it would name adapters that are not there any more.
            log.info('entry of an earlier start', backend_server=server.name)
            return
        if server.is_leaving:
            self._departed.note_leaving(server.start_id)
        elif self._departed.is_barred(server.start_id):
            server = dataclasses.replace(server, is_leaving=True)
        else:
            self._departed.note_listed(server.start_id)
        self._lapsed.discard(server.name)
        self._servers[server.name] = server
        if before and server.started_at_ms > before.started_at_ms:
            self._ends.on_next(before)
            self._tell_restart(server)
        if before is None or before.is_leaving != server.is_leaving:
            log.info(
                'backend server listed',
                backend_server=server.name,
                service=server.service,
                address=f'{server.ip}:{server.port}',
                leaving=server.is_leaving,
            )
        self._by_service.clear()

    def remove(self, name: str) -> None:
        """Take note that an entry is listed no more."""
        if name in self._servers:
            self._lapse(name)

    def reject(self, name: str) -> None:
        """Take note that an entry cannot be read: it names no server."""
        if name in self._servers:
            del self._servers[name]
            self._by_service.clear()

    def note_start(self, name: str, started_at_ms: int) -> bool:
        """Take note of a server's start, as its own instance tells it.

        Returns
        -------
        bool
            Whether what comes with it is not of an earlier start.
        """
        server = self._servers.get(name)
        if server is None or not started_at_ms:
            return True
        if started_at_ms == server.started_at_ms:
            return True
        if started_at_ms < server.started_at_ms:
            return False
        self._servers[name] = dataclasses.replace(
            server, started_at_ms=started_at_ms, adapters={}
        )
        self._by_service.clear()
        self._ends.on_next(server)
        self._tell_restart(self._servers[name])
        return True

    def get(self, name: str) -> BackendServer | None:
        """Return a server that is listed."""
        return self._servers.get(name)

    def find(self, service: str, name: str) -> BackendServer | None:
        """Return a server that may get new requests of a service."""
        for server in self.serving(service):
            if server.name == name:
                return server
        return None

    def serving(self, service: str) -> tuple[BackendServer, ...]:
        """Return the servers of a service that may get new requests.

        The same object as before if nothing has changed.
        """
        if self._lapsed:
            return self._with_lapsed(service)
        found = self._by_service.get(service)
        if found is None:
            found = self._listed(service)
            self._by_service[service] = found
        return found

    def _listed(self, service: str) -> tuple[BackendServer, ...]:
        # The entry of a server that restarted stands beside that of its
        # last incarnation until the latter lapses.
        newest: dict[tuple[str, int], BackendServer] = {}
        for server in self._servers.values():
            # An entry of another writer may name the address of a server
            # that is well, which must not lose its requests by that.
            if not self._is_service(server.service):
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
            if server.service == service and not server.is_leaving
        )

    def _with_lapsed(self, service: str) -> tuple[BackendServer, ...]:
        listed = self._listed(service)
        found = listed + _elsewhere(self._lapsed.kept(service), listed)
        return found or self._lapsed.last_resort(service)

    def _known(self, name: str) -> BackendServer | None:
        return self._servers.get(name) or self._lapsed.get(name)

    def _tell_restart(self, server: BackendServer) -> None:
        log.info(
            'backend server restarted',
            backend_server=server.name,
            started_at_ms=server.started_at_ms,
        )
        self._restarts.on_next(server.name)

    def _lapse(self, name: str) -> None:
        server = self._servers.pop(name)
        self._by_service.clear()
        log.info(
            'backend server unlisted',
            backend_server=name,
            service=server.service,
            was_leaving=server.is_leaving,
        )
        if not server.is_leaving:
            self._lapsed.add(server, self._confirmed_before_s)
        self._departed.note_removed(server.start_id)
        if not self._is_new_epoch and not self._lapsed.is_after_outage:
            self._ends.on_next(server)


def _elsewhere(
    servers: Iterable[BackendServer], listed: Iterable[BackendServer]
) -> tuple[BackendServer, ...]:
    """Return the servers whose address no listed one has."""
    addresses = {(server.ip, server.port) for server in listed}
    return tuple(s for s in servers if (s.ip, s.port) not in addresses)
