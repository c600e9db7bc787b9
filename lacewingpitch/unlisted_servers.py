"""Use of backend servers whose entries are gone after a store outage."""

from collections.abc import Callable, Collection
import dataclasses
import math
from typing import Generic, Protocol, TypeVar

import structlog

from lacewingpitch import clock as clock_module

# A server whose entry expired in an outage writes it again within 2 s of the
# store's return; 0.5 s more is for the change to reach this process.
RELISTED_WITHIN_S = 2.5
# Without any other backend server, one that has just left the list may still
# be tried: it may serve for up to 2 s more, and a request that it refuses
# has not run.
_LAST_RESORT_S = 1.5
# Time between the last use of a server and the moment from which this
# process must act on what it could have read.
_CONTACT_MARGIN_S = 0.3
# A broken connection fails a single read; an outage also fails the next one.
_MIN_OUTAGE_FAILURES = 2
log = structlog.get_logger(__name__)


class Server(Protocol):
    """A backend server with a name and a service."""

    @property
    def name(self) -> str:
        """Return the name of the server."""
        ...

    @property
    def service(self) -> str:
        """Return the name of its service."""
        ...


_Server = TypeVar('_Server', bound=Server)


@dataclasses.dataclass(slots=True)
class _Record(Generic[_Server]):
    """One server that is no longer listed.

    Parameters
    ----------
    retained_until_s
        Monotonic time until which it is used beside listed servers.
    last_resort_until_s
        Monotonic time until which it is used if no server is listed.
    """

    server: _Server
    unlisted_at_s: float
    retained_until_s: float
    last_resort_until_s: float


class UnlistedServers(Generic[_Server]):
    """Decides how long a server that is no longer listed may be used.

    The list may be unreadable for seconds.  If the store was down, the
    entries of healthy servers have expired, and without them requests would
    find no server.  If only this process could not read it, a server whose
    entry is gone has left, and must get no requests once this process
    counts as connected again.  Where entries of the same service are still
    listed after the outage, a missing one has left.

    A failed read does not always mean that the store was out of reach: it
    may also have rejected the read.  Only the former moves a deadline.

    Servers that announced that they leave are not added here.  A server
    whose time is over is dropped, and a later outage does not bring it back.

    Parameters
    ----------
    contact_s
        Time after an outage from which this process counts as connected
        again, in seconds.
    has_sidecar
        Returns whether the servers of a service have a sidecar, which refuses
        requests once its server leaves.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        contact_s: float,
        has_sidecar: Callable[[str], bool] = lambda _service: False,
    ) -> None:
        self._clock = clock
        self._contact_s = contact_s
        self._has_sidecar = has_sidecar
        self._records: dict[str, _Record[_Server]] = {}
        self._pending: set[str] = set()
        self._failure_count = 0
        self._unreachable_count = 0
        self._is_unreachable = False
        self._unreachable_since_s = 0.0
        # Time at which a read began that found the store out of reach.
        self._last_unreachable_at_s = -math.inf
        self._readable_since_s = -math.inf
        self.is_unreadable = False

    def __bool__(self) -> bool:
        """Whether any server is recorded."""
        return bool(self._records)

    @property
    def is_after_outage(self) -> bool:
        """Whether the last successful read was the first after a failure."""
        return self._failure_count > 0

    @property
    def may_have_expired(self) -> bool:
        """Whether a missing entry may have expired in the last outage."""
        readable_s = self._clock.monotonic_s() - self._readable_since_s
        return readable_s < RELISTED_WITHIN_S

    def record_read_failure(
        self, began_at_s: float, is_unreachable: bool = True
    ) -> None:
        """Record a failed read.

        Parameters
        ----------
        began_at_s
            Monotonic time at which the read began; the list became readable
            later than that if the store was out of reach.
        is_unreachable
            Whether the read shows that the store was out of reach.
        """
        if not self.is_unreadable:
            self._failure_count = 0
            self._unreachable_count = 0
            self._last_unreachable_at_s = -math.inf
        self.is_unreadable = True
        self._failure_count += 1
        if not is_unreachable:
            return
        if not self._is_unreachable:
            self._unreachable_since_s = self._clock.monotonic_s()
        self._is_unreachable = True
        self._unreachable_count += 1
        self._last_unreachable_at_s = began_at_s

    def record_read(self) -> None:
        """Record that the list was read, or that nothing has changed.

        Extends the retention of all servers by the length of the outage, in
        which none of them could be listed again.
        """
        if not self.is_unreadable:
            self._failure_count = 0
            return
        self.is_unreadable = False
        self._readable_since_s = self._clock.monotonic_s()
        if not self._is_unreachable:
            return
        self._is_unreachable = False
        unreachable_s = max(
            0.0, self._last_unreachable_at_s - self._unreachable_since_s
        )
        for record in self._records.values():
            record.retained_until_s += unreachable_s
        if self._records and unreachable_s:
            log.info(
                'retention of unlisted backend servers extended',
                backend_servers=sorted(self._records),
                failed_reads=self._failure_count,
                by_s=round(unreachable_s, 3),
            )

    def add(self, server: _Server, listed_at_s: float) -> None:
        """Add a server that is no longer listed.

        Parameters
        ----------
        listed_at_s
            Monotonic time at which it was last known to be listed.
        """
        self._records[server.name] = _Record(
            server=server,
            unlisted_at_s=self._clock.monotonic_s(),
            retained_until_s=-math.inf,
            last_resort_until_s=listed_at_s + _LAST_RESORT_S,
        )
        self._pending.add(server.name)

    def discard(self, name: str) -> None:
        """Remove a server that is listed again."""
        self._records.pop(name, None)
        self._pending.discard(name)

    def set_retention(self, surviving_services: Collection[str]) -> None:
        """Set how long to use the servers that were added since a read.

        Parameters
        ----------
        surviving_services
            Services of which entries from before the last outage are still
            listed.
        """
        dropped = {
            name
            for name in self._pending
            if self._records[name].server.service in surviving_services
            and self._is_dropped_at_once(self._records[name].server)
        }
        self._set_retention(dropped, -math.inf)
        self._set_retention(self._pending - dropped, self._expired_until_s)
        self._pending.clear()

    def _is_dropped_at_once(self, server: _Server) -> bool:
        """Whether a server is not used, if others of its service survive."""
        if self._unreachable_count < _MIN_OUTAGE_FAILURES:
            return True
        # Without a sidecar, nobody refuses requests for a server that left.
        return not self._has_sidecar(server.service)

    def set_retention_after_restore(self) -> None:
        """Set how long to use servers that a restored list lacks.

        The store has been restored from a copy.  All servers write their
        entries again, also those whose entries had expired in an earlier
        outage.
        """
        self._pending.update(server.name for server in self.all_retained())
        self._set_retention(self._pending, self._relisted_by_s)
        self._pending.clear()

    def _set_retention(
        self, names: Collection[str], retained_until_s: float
    ) -> None:
        if not names:
            return
        for name in names:
            self._records[name].retained_until_s = retained_until_s
        log.info(
            'retention of unlisted backend servers set',
            backend_servers=sorted(names),
            failed_reads=self._failure_count,
            kept_s=round(max(0.0, retained_until_s - self._now_s()), 3),
        )

    def get(self, name: str) -> _Server | None:
        """Return a server if it is still recorded."""
        record = self._records.get(name)
        return record.server if record else None

    def all_retained(self) -> tuple[_Server, ...]:
        """Return all servers to use beside the listed ones."""
        now_s = self._now_s()
        return tuple(
            record.server
            for record in self._records.values()
            if now_s < record.retained_until_s
        )

    def retained(self, service: str) -> tuple[_Server, ...]:
        """Return the servers of a service to use beside the listed ones."""
        self._expire()
        return tuple(s for s in self.all_retained() if s.service == service)

    def last_resort(self, service: str) -> tuple[_Server, ...]:
        """Return the servers of a service to use if none is listed."""
        now_s = self._clock.monotonic_s()
        return tuple(
            record.server
            for record in self._records.values()
            if record.server.service == service
            and now_s < record.last_resort_until_s
        )

    @property
    def _expired_until_s(self) -> float:
        """Time until which servers with expired entries are used."""
        if not self.is_after_outage:
            return -math.inf
        connected_at_s = self._last_unreachable_at_s + self._contact_s
        return min(self._relisted_by_s, connected_at_s - _CONTACT_MARGIN_S)

    @property
    def _relisted_by_s(self) -> float:
        return self._clock.monotonic_s() + RELISTED_WITHIN_S

    def _now_s(self) -> float:
        """Return the monotonic time, which stops during an outage."""
        if self._is_unreachable:
            return self._unreachable_since_s
        return self._clock.monotonic_s()

    def _expire(self) -> None:
        now_s = self._now_s()
        for name, record in list(self._records.items()):
            if now_s < max(
                record.retained_until_s, record.last_resort_until_s
            ):
                continue
            del self._records[name]
            log.info(
                'unlisted backend server dropped',
                backend_server=name,
                unlisted_for_s=round(now_s - record.unlisted_at_s, 3),
            )
