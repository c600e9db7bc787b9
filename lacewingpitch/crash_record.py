"""Record of backend-server crashes by request, merged across processes."""

from collections.abc import Callable, Collection, Iterable, Mapping
import dataclasses
import enum
import random
import types

import msgspec
import structlog

from lacewingpitch import clock as clock_module

# A request that is repeated after a longer time may crash servers again.
_RETENTION_S = 1800.0
# Time for all processes to learn that the request was answered.
_ANSWERED_RETENTION_S = 60.0
_MAX_REQUESTS = 1024
# Crashes of one request that are kept and sent to other processes.  Crashes
# from before an answer stay for the processes that still count them.
_MAX_CRASHES = 8
_MAX_STATES_PER_MESSAGE = 32
_EPOCH_BITS = 31
_COUNT_BITS = 32
_NO_EVIDENCE: Mapping[str, object] = types.MappingProxyType({})
log = structlog.get_logger(__name__)


class Handling(enum.Enum):
    """How a request is scheduled, given its crashes."""

    FREE = 'free'
    # Sent to one server only, and to it one such request at a time.
    ISOLATED = 'isolated'
    REFUSED = 'refused'


@dataclasses.dataclass(frozen=True, slots=True)
class Thresholds:
    """Numbers of crashes from which a request is isolated or refused.

    A single crash can have any cause, and interrupts every request that
    runs on the server.  An isolated request is the only suspect on its
    server, so that a crash there is evidence against it.
    """

    isolated_from: int = 2
    refused_from: int = 3

    def handling(self, crash_count: int) -> Handling:
        """Return how a request with this many crashes is scheduled."""
        if crash_count >= self.refused_from:
            return Handling.REFUSED
        if crash_count >= self.isolated_from:
            return Handling.ISOLATED
        return Handling.FREE


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """One crash of a backend server as a request began to run on it.

    Parameters
    ----------
    server
        Start id of the backend server; see `backend_list.BackendServer`.
    is_void
        Whether a backend server has answered the request since, so that
        the crash no longer counts against it.
    """

    server: str
    is_void: bool


class SuspectState(msgspec.Struct, frozen=True, array_like=True):
    """All crashes that one process has recorded for one request.

    Parameters
    ----------
    fingerprint
        Fingerprint of the request; see `request_fingerprint`.
    """

    fingerprint: str
    crashes: tuple[Crash, ...]


_THRESHOLDS = Thresholds()


@dataclasses.dataclass(slots=True)
class _Suspect:
    """Crashes of one request by start id; the value is `True` if void."""

    crashes: dict[str, bool] = dataclasses.field(default_factory=dict)
    changed_at: int = 0
    used_at_s: float = 0.0

    @property
    def count(self) -> int:
        """Return the number of crashes that are not void."""
        return sum(not is_void for is_void in self.crashes.values())


class CrashRecord:
    """Counts crashes of backend servers by the request that ran on them.

    A suspect is a request that was beginning to run on a server when the
    server crashed.

    Guards against a request that crashes every server that begins to run
    it, and that its caller sends again to any entry under a new id.

    A crash interrupts all requests on the server, and one of them causes
    it.  A request that another server answers is innocent, and its crashes
    become void.  By default, a request that was running at two crashes is
    isolated, and at three crashes it is refused.

    Crashes are only added or marked void, so that merging is commutative
    and idempotent: processes may exchange records in any order, any number
    of times.

    Parameters
    ----------
    source
        Draws the number that identifies this start of the process.
    released
        Returns fingerprints that the operator exempts from isolation and
        refusal.

    Attributes
    ----------
    answered_count
        How often an answer made crashes void in this process.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        source: random.Random,
        released: Callable[[], Collection[str]] = tuple,
        thresholds: Thresholds = _THRESHOLDS,
    ) -> None:
        self._thresholds = thresholds
        self._clock = clock
        self._released = released
        self._epoch = source.getrandbits(_EPOCH_BITS) + 1
        self._change_count = 0
        self.answered_count = 0
        # In the order of use; the least recently used comes first.
        self._suspects: dict[str, _Suspect] = {}

    @property
    def revision(self) -> int:
        """Return a number that changes with the record; 0 if it is empty.

        It increases for as long as the process runs.  Revisions of two
        starts of a process differ.
        """
        if not self._change_count:
            return 0
        return (self._epoch << _COUNT_BITS) + self._change_count

    def handling(self, fingerprint: str) -> Handling:
        """Return how a request is scheduled."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or self._is_expired(suspect):
            return Handling.FREE
        handling = self._thresholds.handling(suspect.count)
        if handling is Handling.FREE or fingerprint in self._released():
            return Handling.FREE
        self._touch(fingerprint, suspect)
        return handling

    def crashed_servers(self, fingerprint: str) -> tuple[str, ...]:
        """Return start ids of servers whose crash counts for a request."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return ()
        return tuple(
            server
            for server, is_void in suspect.crashes.items()
            if not is_void
        )

    def request_count(self, handling: Handling) -> int:
        """Return how many requests have a given handling."""
        return sum(
            self._thresholds.handling(suspect.count) is handling
            for suspect in self._suspects.values()
        )

    def record_crash(self, fingerprint: str, server: str) -> None:
        """Record a crash that occurred as a request began to run.

        Parameters
        ----------
        server
            Start id of the backend server that crashed.
        """
        if self._add(fingerprint, (Crash(server, False),)):
            log.warning(
                'crash under request',
                fingerprint=fingerprint,
                backend_server=server,
                crashes=len(self.crashed_servers(fingerprint)),
            )

    def record_answer(
        self, fingerprint: str, evidence: Mapping[str, object] = _NO_EVIDENCE
    ) -> None:
        """Mark a request's crashes as void: a backend server answered it.

        Parameters
        ----------
        evidence
            What the answer was, for the log.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.count:
            return
        self.answered_count += 1
        log.info(
            'suspect answered',
            fingerprint=fingerprint,
            crashes=suspect.count,
            **evidence,
        )
        self._add(
            fingerprint,
            [Crash(server, True) for server in suspect.crashes],
        )

    def merge(self, states: Iterable[SuspectState]) -> None:
        """Merge crashes that another process has recorded."""
        for state in states:
            before = self.handling(state.fingerprint)
            if not self._add(state.fingerprint, state.crashes):
                continue
            after = self.handling(state.fingerprint)
            if after is not before:
                log.info(
                    'suspect handling changed',
                    fingerprint=state.fingerprint,
                    handling=after.value,
                    backend_servers=self.crashed_servers(state.fingerprint),
                )

    def changes_since(
        self, revision: int
    ) -> tuple[tuple[SuspectState, ...], int]:
        """Return what changed since a revision, and the revision reached.

        Returns everything if the revision is of another start of the
        process.  The revision reached is below the current one if the
        changes do not fit into one message.
        """
        since = 0
        if revision >> _COUNT_BITS == self._epoch:
            since = revision & ((1 << _COUNT_BITS) - 1)
        changed = sorted(
            (suspect.changed_at, fingerprint)
            for fingerprint, suspect in self._suspects.items()
            if suspect.changed_at > since
        )
        if len(changed) <= _MAX_STATES_PER_MESSAGE:
            return self._states(changed), self.revision
        sent = changed[:_MAX_STATES_PER_MESSAGE]
        return self._states(sent), (self._epoch << _COUNT_BITS) + sent[-1][0]

    def _states(
        self, changed: Iterable[tuple[int, str]]
    ) -> tuple[SuspectState, ...]:
        return tuple(
            SuspectState(
                fingerprint,
                tuple(
                    Crash(server, is_void)
                    for server, is_void in self._suspects[
                        fingerprint
                    ].crashes.items()
                ),
            )
            for _, fingerprint in changed
        )

    def _add(self, fingerprint: str, crashes: Iterable[Crash]) -> bool:
        """Add crashes, or mark them void; return whether any changed."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or self._is_expired(suspect):
            suspect = _Suspect()
        has_changed = False
        for crash in crashes:
            known = suspect.crashes.get(crash.server)
            if known is True or known is crash.is_void:
                continue
            if known is None and not self._make_room(suspect, crash):
                continue
            suspect.crashes[crash.server] = crash.is_void
            has_changed = True
        if has_changed:
            self._change_count += 1
            suspect.changed_at = self._change_count
            self._touch(fingerprint, suspect)
            self._evict()
        return has_changed

    def _touch(self, fingerprint: str, suspect: _Suspect) -> None:
        suspect.used_at_s = self._clock.boot_s()
        self._suspects.pop(fingerprint, None)
        self._suspects[fingerprint] = suspect

    def _evict(self) -> None:
        for fingerprint, suspect in list(self._suspects.items()):
            is_full = len(self._suspects) > _MAX_REQUESTS
            if is_full or self._is_expired(suspect):
                del self._suspects[fingerprint]

    def _is_expired(self, suspect: _Suspect) -> bool:
        retention_s = _RETENTION_S if suspect.count else _ANSWERED_RETENTION_S
        return self._clock.boot_s() - suspect.used_at_s > retention_s

    def _make_room(self, suspect: _Suspect, crash: Crash) -> bool:
        """Make room for a new crash; return whether it may be stored.

        A crash that counts is not stored for a request that is refused
        already.  At the limit, the oldest void crash is evicted.
        """
        if not crash.is_void:
            handling = self._thresholds.handling(suspect.count)
            if handling is Handling.REFUSED:
                return False
        if len(suspect.crashes) < _MAX_CRASHES:
            return True
        void = [s for s, is_void in suspect.crashes.items() if is_void]
        if not void:
            return False
        del suspect.crashes[void[0]]
        return True


def is_same_start(revision: int, other: int) -> bool:
    """Whether two revisions are of the same start of a process."""
    return revision >> _COUNT_BITS == other >> _COUNT_BITS
