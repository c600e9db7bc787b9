"""Backend servers whose entries may have lapsed around an outage."""

import dataclasses
import math
from typing import Generic, Protocol, TypeVar

import structlog

from lacewingpitch import clock as clock_module

# An entry that lapsed in an outage is listed again within two seconds of
# the list's return; half a second is for the way of that news to here.
_RELISTED_WITHIN_S = 2.5
# Without any other backend server, one that has just vanished from the
# list may still be tried: it may serve on for up to two seconds, and a
# request that it refuses has not run.
_LAST_RESORT_S = 1.5
# Between the last use of a server and the moment from which this process
# is bound by what it could have read.
_CONTACT_MARGIN_S = 0.3
# A single read fails where a connection is cut; an outage fails the next.
_LEAST_FAILURES = 2
log = structlog.get_logger(__name__)


class Server(Protocol):
    """What is known of a server."""

    @property
    def name(self) -> str:
        """Return its name."""
        ...

    @property
    def service(self) -> str:
        """Return the service that it serves."""
        ...


_Server = TypeVar('_Server', bound=Server)


@dataclasses.dataclass(slots=True)
class _Record(Generic[_Server]):
    """One server that is listed no more.

    Parameters
    ----------
    kept_until_s
        Until when it is used beside those that are listed.
    last_resort_until_s
        Until when it is used where no other is listed.
    """

    server: _Server
    unlisted_at_s: float
    kept_until_s: float
    last_resort_until_s: float


class LapsedServers(Generic[_Server]):
    """Decides how long a server that is listed no more may be used.

    Load it answers: a list that cannot be read for seconds.  Where the
    list itself was down, entries of servers that work well have lapsed,
    and requests would find no server.  Where it only turned this process
    away, the server has left, and must get nothing once this process
    counts as in touch.  The first list after the outage tells which:
    entries that were there before survive only the latter.

    A server that was seen leaving is not kept, and a later outage brings
    back none.

    Parameters
    ----------
    contact_s
        How long after an outage this process counts as in touch.
    """

    def __init__(self, clock: clock_module.Clock, contact_s: float) -> None:
        self._clock = clock
        self._contact_s = contact_s
        self._records: dict[str, _Record[_Server]] = {}
        self._unsettled: set[str] = set()
        self._failure_count = 0
        self._away_since_s = 0.0
        self._asked_at_s = -math.inf
        self.is_away = False

    def __bool__(self) -> bool:
        """Whether there are any."""
        return bool(self._records)

    @property
    def is_after_outage(self) -> bool:
        """Whether the last answer is the first one after a failed read."""
        return self._failure_count > 0

    def note_away(self, asked_at_s: float) -> None:
        """Take note of a read that failed.

        Parameters
        ----------
        asked_at_s
            When it began; the list came back later than that.
        """
        if not self.is_away:
            self._away_since_s = self._clock.monotonic_s()
            self._failure_count = 0
        self.is_away = True
        self._failure_count += 1
        self._asked_at_s = asked_at_s

    def note_read(self) -> None:
        """Take note that the list was read, or that nothing changed."""
        if not self.is_away:
            self._failure_count = 0
            return
        self.is_away = False
        # In this time no server could be listed again.
        away_s = max(0.0, self._asked_at_s - self._away_since_s)
        for record in self._records.values():
            record.kept_until_s += away_s

    def add(self, server: _Server, listed_at_s: float) -> None:
        """Take note of a server that is listed no more.

        Parameters
        ----------
        listed_at_s
            When it was last known to be listed.
        """
        self._records[server.name] = _Record(
            server=server,
            unlisted_at_s=self._clock.monotonic_s(),
            kept_until_s=-math.inf,
            last_resort_until_s=listed_at_s + _LAST_RESORT_S,
        )
        self._unsettled.add(server.name)

    def discard(self, name: str) -> None:
        """Take note of a server that is listed again."""
        self._records.pop(name, None)
        self._unsettled.discard(name)

    def settle(self, has_survivors: bool) -> None:
        """Decide on all that were added since one answer came.

        Parameters
        ----------
        has_survivors
            Whether entries of before the last outage are listed still.
        """
        if not self._unsettled:
            return
        self._settle(self._kept_until_s(has_survivors), has_survivors)

    def settle_new_epoch(self) -> None:
        """Decide on all that a list lacks that came back from a copy.

        They write their entries again, also those that an outage before
        had made lapse.
        """
        self._unsettled.update(server.name for server in self.all_kept())
        if self._unsettled:
            self._settle(self._relisted_by_s, has_survivors=False)

    def _settle(self, kept_until_s: float, has_survivors: bool) -> None:
        for name in self._unsettled:
            self._records[name].kept_until_s = kept_until_s
        log.info(
            'backend servers lapsed',
            backend_servers=sorted(self._unsettled),
            failed_reads=self._failure_count,
            entries_survived=has_survivors,
            kept_s=round(max(0.0, kept_until_s - self._now_s()), 3),
        )
        self._unsettled.clear()

    def get(self, name: str) -> _Server | None:
        """Return a server that is not forgotten yet."""
        record = self._records.get(name)
        return record.server if record else None

    def all_kept(self) -> tuple[_Server, ...]:
        """Return all that are used beside the servers that are listed."""
        now_s = self._now_s()
        return tuple(
            record.server
            for record in self._records.values()
            if now_s < record.kept_until_s
        )

    def kept(self, service: str) -> tuple[_Server, ...]:
        """Return those of a service to use beside the listed ones."""
        self._forget()
        return tuple(s for s in self.all_kept() if s.service == service)

    def last_resort(self, service: str) -> tuple[_Server, ...]:
        """Return those to use where no server is listed."""
        now_s = self._clock.monotonic_s()
        return tuple(
            record.server
            for record in self._records.values()
            if record.server.service == service
            and now_s < record.last_resort_until_s
        )

    def _kept_until_s(self, has_survivors: bool) -> float:
        if not self.is_after_outage:
            return -math.inf
        if not has_survivors:
            return self._relisted_by_s
        if self._failure_count < _LEAST_FAILURES:
            return -math.inf
        return self._asked_at_s + self._contact_s - _CONTACT_MARGIN_S

    @property
    def _relisted_by_s(self) -> float:
        return self._clock.monotonic_s() + _RELISTED_WITHIN_S

    def _now_s(self) -> float:
        """Return the time, which stands still while the list is away."""
        if self.is_away:
            return self._away_since_s
        return self._clock.monotonic_s()

    def _forget(self) -> None:
        now_s = self._now_s()
        for name, record in list(self._records.items()):
            if now_s < max(record.kept_until_s, record.last_resort_until_s):
                continue
            del self._records[name]
            log.info(
                'backend server given up',
                backend_server=name,
                unlisted_for_s=round(now_s - record.unlisted_at_s, 3),
            )
