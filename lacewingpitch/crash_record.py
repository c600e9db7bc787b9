"""Record of backend-server crashes by suspect, merged across processes."""

from collections.abc import Callable, Collection, Iterable, Mapping
import dataclasses
import random
import types

import structlog

from lacewingpitch import blame
from lacewingpitch import clock as clock_module
from lacewingpitch import sound_runs
from lacewingpitch import suspect as suspect_module
from lacewingpitch import suspect_keys

_EXPIRY_INTERVAL_S = 1.0
_MAX_SUSPECTS = 1024
MAX_STATES_PER_MESSAGE = 32
_EPOCH_BITS = 31
_COUNT_BITS = 32
_NO_EVIDENCE: Mapping[str, object] = types.MappingProxyType({})
log = structlog.get_logger(__name__)


_POLICY = blame.Policy()


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """How a request is scheduled, and the suspect that decides it.

    Parameters
    ----------
    key
        Key of the suspect; empty if the request is free.
    """

    handling: blame.Handling = blame.Handling.FREE
    key: str = ''


class CrashRecord:
    """Counts crashes of backend servers by what ran on them.

    A suspect is a request, or a part of prompts, that was beginning to run
    on a server when the server crashed.

    Guards against a request that crashes every server that begins to run
    it, and that its caller sends again to any entry under a new id, and
    against such a part of many different requests.

    A crash interrupts all requests on the server, and one of them causes
    it.  What runs soundly on another server is innocent, and its crashes
    become void; a part that ran soundly a moment ago is not suspected.  By
    default, a request that was running at two crashes is isolated, and at
    three crashes it is refused; see `blame`.

    Crashes are only added or marked void, so that merging is commutative
    and idempotent: processes may exchange records in any order, any number
    of times.

    Parameters
    ----------
    source
        Draws the number that identifies this start of the process.
    released
        Returns keys that the operator exempts from isolation and refusal.

    Attributes
    ----------
    answered_count
        How often a sound run made crashes void in this process.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        source: random.Random,
        released: Callable[[], Collection[str]] = tuple,
        policy: blame.Policy = _POLICY,
    ) -> None:
        self._policy = policy
        self._clock = clock
        self._released = released
        self._epoch = source.getrandbits(_EPOCH_BITS) + 1
        self._change_count = 0
        self.answered_count = 0
        self._sound_runs = sound_runs.SoundRuns(clock)
        # In the order of use; the least recently used comes first.
        self._suspects: dict[str, suspect_module.Suspect] = {}
        # Keys with several crashes that count; others are always free.
        self._repeated: set[str] = set()
        self._expired_at_s = clock.boot_s()
        # What is not free; computed again when it is needed.
        self._handlings: dict[str, blame.Handling] = {}
        self._are_handlings_stale = False

    @property
    def revision(self) -> int:
        """Return a number that changes with the record; 0 if it is empty.

        It increases for as long as the process runs.  Revisions of two
        starts of a process differ.
        """
        if not self._change_count:
            return 0
        return (self._epoch << _COUNT_BITS) + self._change_count

    def handling(self, key: str) -> blame.Handling:
        """Return how requests with one key are scheduled."""
        handling = self._current_handlings().get(key, blame.Handling.FREE)
        if handling is blame.Handling.FREE or key in self._released():
            return blame.Handling.FREE
        suspect = self._suspects.get(key)
        if suspect is None or self._is_expired(suspect):
            return blame.Handling.FREE
        self._touch(key, suspect)
        return handling

    def verdict(self, keys: Iterable[str]) -> Verdict:
        """Return how a request with several keys is scheduled, and why."""
        found = Verdict()
        for key in keys:
            handling = self.handling(key)
            if handling is blame.Handling.REFUSED:
                return Verdict(handling, key)
            if handling is blame.Handling.ISOLATED and not found.key:
                found = Verdict(handling, key)
        return found

    def crashed_servers(self, key: str) -> tuple[str, ...]:
        """Return start ids of servers whose crash counts for a suspect."""
        suspect = self._suspects.get(key)
        if suspect is None:
            return ()
        return tuple(
            crash.server for crash in suspect.crashes if not crash.is_void
        )

    def suspect_count(
        self, handling: blame.Handling, *, is_part: bool = False
    ) -> int:
        """Return how many requests, or parts, have a given handling."""
        return sum(
            found is handling and suspect_keys.is_part(key) is is_part
            for key, found in self._current_handlings().items()
        )

    def record_crash(self, key: str, server: str) -> None:
        """Record a crash that occurred as a suspect began to run.

        Parameters
        ----------
        server
            Start id of the backend server that crashed.
        """
        if self._is_sound(key):
            return
        if not self._add(key, (suspect_module.Crash(server, False),)):
            return
        count = len(self.crashed_servers(key))
        # Each crash interrupts many requests, with several parts each.
        if count > 1 or not suspect_keys.is_part(key):
            log.warning(
                'crash under request',
                fingerprint=key,
                backend_server=server,
                crashes=count,
            )

    def record_answer(
        self, key: str, evidence: Mapping[str, object] = _NO_EVIDENCE
    ) -> None:
        """Mark a suspect's crashes as void: a backend server has run it.

        Parameters
        ----------
        evidence
            What the run was, for the log.
        """
        if suspect_keys.is_part(key):
            self._sound_runs.record(key)
        suspect = self._suspects.get(key)
        if suspect is None or not suspect.counted:
            return
        self.answered_count += 1
        log.info(
            'suspect answered',
            fingerprint=key,
            crashes=len(suspect.counted),
            **evidence,
        )
        self._add(key, _voided(suspect.crashes))

    def merge(self, states: Iterable[suspect_module.SuspectState]) -> None:
        """Merge crashes that another process has recorded."""
        changed = [
            state.key
            for state in states
            if self._add(state.key, self._judged(state))
        ]
        if not changed:
            return
        before = self._handlings
        after = self._current_handlings()
        for key in before.keys() | after.keys():
            if before.get(key) is not after.get(key):
                log.info(
                    'suspect handling changed',
                    fingerprint=key,
                    handling=after.get(key, blame.Handling.FREE).value,
                    backend_servers=self.crashed_servers(key),
                )

    def _judged(
        self, state: suspect_module.SuspectState
    ) -> Iterable[suspect_module.Crash]:
        """Return another process's crashes, void if this one knows better."""
        if not self._is_sound(state.key):
            return state.crashes
        return _voided(state.crashes)

    def _is_sound(self, key: str) -> bool:
        return suspect_keys.is_part(key) and self._sound_runs.has_recent(key)

    def _current_handlings(self) -> Mapping[str, blame.Handling]:
        if self._are_handlings_stale:
            self._handlings = blame.handlings(
                {key: self._suspects[key].counted for key in self._repeated},
                self._policy,
            )
            self._are_handlings_stale = False
        return self._handlings

    def changes_since(
        self, revision: int
    ) -> tuple[tuple[suspect_module.SuspectState, ...], int]:
        """Return what changed since a revision, and the revision reached.

        Returns everything if the revision is of another start of the
        process.  The revision reached is below the current one if the
        changes do not fit into one message.
        """
        since = 0
        if revision >> _COUNT_BITS == self._epoch:
            since = revision & ((1 << _COUNT_BITS) - 1)
        changed = sorted(
            (suspect.changed_at, key)
            for key, suspect in self._suspects.items()
            if suspect.changed_at > since
        )
        if len(changed) <= MAX_STATES_PER_MESSAGE:
            return self._states(changed), self.revision
        sent = changed[:MAX_STATES_PER_MESSAGE]
        return self._states(sent), (self._epoch << _COUNT_BITS) + sent[-1][0]

    def _states(
        self, changed: Iterable[tuple[int, str]]
    ) -> tuple[suspect_module.SuspectState, ...]:
        return tuple(
            suspect_module.SuspectState(key, self._suspects[key].crashes)
            for _, key in changed
        )

    def _add(self, key: str, crashes: Iterable[suspect_module.Crash]) -> bool:
        """Add crashes, or mark them void; return whether any changed."""
        suspect = self._suspects.get(key)
        if suspect is None or self._is_expired(suspect):
            suspect = suspect_module.Suspect()
        has_changed = suspect.add(crashes)
        if has_changed:
            self._change_count += 1
            suspect.changed_at = self._change_count
            self._touch(key, suspect)
            self._record_repeated(key, suspect)
            self._evict()
        return has_changed

    def _record_repeated(
        self, key: str, suspect: suspect_module.Suspect
    ) -> None:
        was_repeated = key in self._repeated
        self._repeated.discard(key)
        if len(suspect.counted) >= self._policy.least_count:
            self._repeated.add(key)
        if was_repeated or key in self._repeated:
            self._are_handlings_stale = True

    def _touch(self, key: str, suspect: suspect_module.Suspect) -> None:
        suspect.used_at_s = self._clock.boot_s()
        self._suspects.pop(key, None)
        self._suspects[key] = suspect

    def _evict(self) -> None:
        """Drop what has expired, and what exceeds the bound.

        Suspects that are refused go last: others may be many under crashes.
        """
        now_s = self._clock.boot_s()
        if now_s - self._expired_at_s >= _EXPIRY_INTERVAL_S:
            self._expired_at_s = now_s
            for key, suspect in list(self._suspects.items()):
                if self._is_expired(suspect):
                    self._remove(key)
        if len(self._suspects) <= _MAX_SUSPECTS:
            return
        refused = {
            key
            for key, handling in self._handlings.items()
            if handling is blame.Handling.REFUSED
        }
        oldest = next((k for k in self._suspects if k not in refused), None)
        self._remove(oldest or next(iter(self._suspects)))

    def _remove(self, key: str) -> None:
        del self._suspects[key]
        if key in self._repeated:
            self._repeated.discard(key)
            self._are_handlings_stale = True

    def _is_expired(self, suspect: suspect_module.Suspect) -> bool:
        return suspect.is_expired(self._clock.boot_s())


def _voided(
    crashes: Iterable[suspect_module.Crash],
) -> list[suspect_module.Crash]:
    return [suspect_module.Crash(crash.server, True) for crash in crashes]


def is_same_start(revision: int, other: int) -> bool:
    """Whether two revisions are of the same start of a process."""
    return revision >> _COUNT_BITS == other >> _COUNT_BITS
