"""Requests under which backend servers crashed, as all processes know them."""

from collections.abc import Callable, Collection, Iterable
import dataclasses
import enum
import random

import msgspec
import structlog

from lacewingpitch import clock as clock_module

# A request that comes again after a longer time may crash servers again.
_KEPT_S = 1800.0
# Until all processes know that the request was answered.
_ANSWERED_KEPT_S = 60.0
_MAX_REQUESTS = 1024
# Crashes of one request that are told; those of before an answer are kept
# for processes that still count them.
_MAX_CRASHES = 8
_MAX_STATES_TOLD = 32
_EPOCH_BITS = 31
_COUNT_BITS = 32
log = structlog.get_logger(__name__)


class Handling(enum.Enum):
    """What may be done with a request."""

    FREE = 'free'
    # Sent to one server only, alone among such requests.
    ISOLATED = 'isolated'
    REFUSED = 'refused'


@dataclasses.dataclass(frozen=True, slots=True)
class Thresholds:
    """Crashes from which a request is handled otherwise.

    One crash may have any cause, and cuts all that runs there; the last
    one comes while the request runs alone among the suspects.
    """

    isolated_from: int = 2
    refused_from: int = 3

    def handling(self, crash_count: int) -> Handling:
        """Return what may be done with a request."""
        if crash_count >= self.refused_from:
            return Handling.REFUSED
        if crash_count >= self.isolated_from:
            return Handling.ISOLATED
        return Handling.FREE


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """One crash of a backend server while a request began to run there.

    Parameters
    ----------
    server
        Names this start of the backend server.
    is_void
        Whether the request was answered since.
    """

    server: str
    is_void: bool


class SuspectState(msgspec.Struct, frozen=True, array_like=True):
    """All that one process knows of one request.

    Parameters
    ----------
    fingerprint
        Of the request; see `request_fingerprint`.
    """

    fingerprint: str
    crashes: tuple[Crash, ...]


_THRESHOLDS = Thresholds()


@dataclasses.dataclass(slots=True)
class _Suspect:
    """Crashes under one request, by start; `True` where void."""

    crashes: dict[str, bool] = dataclasses.field(default_factory=dict)
    changed_at: int = 0
    used_at_s: float = 0.0

    @property
    def count(self) -> int:
        """Return the crashes that count."""
        return sum(not is_void for is_void in self.crashes.values())


class CrashRecord:
    """Counts crashes of backend servers by the request that ran there.

    Failure it answers: a request crashes each server that begins to run
    it, and comes again at any entry, under another id each time.

    A crash cuts all that runs, and one request is to blame.  Those that
    bring answers elsewhere are innocent, and their crashes are void.  What
    was there at two crashes runs isolated, and at the third it is refused.

    Crashes only ever are added or become void, so that processes merge
    what they know in any order, any number of times.

    Parameters
    ----------
    source
        Tells this start of the process from others.
    released
        Returns fingerprints that an operator lets through.
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
        # The one used longest ago comes first.
        self._suspects: dict[str, _Suspect] = {}

    @property
    def revision(self) -> int:
        """Return a number that changes with the record; 0 if it is empty.

        It rises while the process lives, and those of two starts of a
        process differ.
        """
        if not self._change_count:
            return 0
        return (self._epoch << _COUNT_BITS) + self._change_count

    def handling(self, fingerprint: str) -> Handling:
        """Return what may be done with a request."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or self._is_old(suspect):
            return Handling.FREE
        handling = self._thresholds.handling(suspect.count)
        if handling is Handling.FREE or fingerprint in self._released():
            return Handling.FREE
        self._use(fingerprint, suspect)
        return handling

    def servers(self, fingerprint: str) -> tuple[str, ...]:
        """Return the starts that crashed under a request, and count."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return ()
        return tuple(
            server
            for server, is_void in suspect.crashes.items()
            if not is_void
        )

    def count_of(self, handling: Handling) -> int:
        """Return how many requests are handled so."""
        return sum(
            self._thresholds.handling(suspect.count) is handling
            for suspect in self._suspects.values()
        )

    def note_crash(self, fingerprint: str, server: str) -> None:
        """Take note of a crash while a request began to run.

        Parameters
        ----------
        server
            Names the start of the backend server that crashed.
        """
        if self._add(fingerprint, (Crash(server, False),)):
            log.warning(
                'crash under request',
                fingerprint=fingerprint,
                backend_server=server,
                crashes=len(self.servers(fingerprint)),
            )

    def note_answered(self, fingerprint: str) -> None:
        """Take note that a backend server answered a request."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.count:
            return
        log.info(
            'suspect answered',
            fingerprint=fingerprint,
            crashes=suspect.count,
        )
        self._add(
            fingerprint,
            [Crash(server, True) for server in suspect.crashes],
        )

    def merge(self, states: Iterable[SuspectState]) -> None:
        """Take over what another process knows."""
        for state in states:
            before = self.handling(state.fingerprint)
            if not self._add(state.fingerprint, state.crashes):
                continue
            after = self.handling(state.fingerprint)
            if after is not before:
                log.info(
                    'suspect learned',
                    fingerprint=state.fingerprint,
                    handling=after.value,
                    backend_servers=self.servers(state.fingerprint),
                )

    def changes_since(
        self, revision: int
    ) -> tuple[tuple[SuspectState, ...], int]:
        """Return what is new since a revision, and the one after it.

        The latter is not the newest where not all fits in a message.
        """
        since = 0
        if revision >> _COUNT_BITS == self._epoch:
            since = revision & ((1 << _COUNT_BITS) - 1)
        changed = sorted(
            (suspect.changed_at, fingerprint)
            for fingerprint, suspect in self._suspects.items()
            if suspect.changed_at > since
        )
        if len(changed) <= _MAX_STATES_TOLD:
            return self._states(changed), self.revision
        told = changed[:_MAX_STATES_TOLD]
        return self._states(told), (self._epoch << _COUNT_BITS) + told[-1][0]

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
        """Add crashes; return whether anything is new."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or self._is_old(suspect):
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
            self._use(fingerprint, suspect)
            self._forget()
        return has_changed

    def _use(self, fingerprint: str, suspect: _Suspect) -> None:
        suspect.used_at_s = self._clock.boot_s()
        self._suspects.pop(fingerprint, None)
        self._suspects[fingerprint] = suspect

    def _forget(self) -> None:
        for fingerprint, suspect in list(self._suspects.items()):
            is_full = len(self._suspects) > _MAX_REQUESTS
            if is_full or self._is_old(suspect):
                del self._suspects[fingerprint]

    def _is_old(self, suspect: _Suspect) -> bool:
        kept_s = _KEPT_S if suspect.count else _ANSWERED_KEPT_S
        return self._clock.boot_s() - suspect.used_at_s > kept_s

    def _make_room(self, suspect: _Suspect, crash: Crash) -> bool:
        """Return whether a crash that is new has a place."""
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
    """Whether two revisions are of one start of a process."""
    return revision >> _COUNT_BITS == other >> _COUNT_BITS
