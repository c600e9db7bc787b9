"""Record of backend-server crashes by suspect, merged across processes."""

from collections.abc import Callable, Collection, Iterable, Mapping
import random
import types

import structlog

from lacewingpitch import blame
from lacewingpitch import clock as clock_module
from lacewingpitch import sound_runs
from lacewingpitch import suspect as suspect_module
from lacewingpitch import suspect_keys
from lacewingpitch import suspect_log

_EXPIRY_INTERVAL_S = 1.0
# Several times the parts that the head of one request can list.
_MAX_SUSPECTS = 16384
_SUSPECTS_AFTER_EVICTION = 15360
# Requests for turns carry the first few changes; the others go in messages
# of their own.
MAX_STATES_PER_TURN = 32
MAX_STATES_PER_MESSAGE = 512
_EPOCH_BITS = 31
_COUNT_BITS = 32
_NO_EVIDENCE: Mapping[str, object] = types.MappingProxyType({})
log = structlog.get_logger(__name__)


_POLICY = blame.Policy()


_FREE = blame.Verdict()


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
    three crashes it is refused.  Parts that no crash tells apart are refused
    together only: a request with some of them runs isolated; see `blame`.

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
        # Computed again when it is needed.
        self._assessment = blame.Assessment()
        self._is_assessment_stale = False
        self._crashed_at_s: dict[blame.Group, float] = {}

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
        """Return how requests with one key alone are scheduled."""
        return self.verdict((key,)).handling

    def verdict(self, keys: Iterable[str]) -> blame.Verdict:
        """Return how a request with several keys is scheduled, and why."""
        if not self._repeated:
            return _FREE
        self._expire()
        assessment = self._current_assessment()
        held = assessment.keys.intersection(keys).difference(self._released())
        if not held:
            return _FREE
        for key in held:
            self._touch(key, self._suspects[key])
        found = _FREE
        for group in assessment.groups:
            verdict = self._group_verdict(group, held)
            if verdict.handling is blame.Handling.REFUSED:
                return verdict
            if not found.key:
                found = verdict
        isolated = held & assessment.isolated
        if found.key or not isolated:
            return found
        return blame.Verdict(
            blame.Handling.ISOLATED, self._most_crashed(isolated)
        )

    def _group_verdict(
        self, group: blame.Group, held: frozenset[str]
    ) -> blame.Verdict:
        """Return what a group of keys means for a request.

        Parameters
        ----------
        held
            Keys of the request that are not free.
        """
        held_here = group.keys & held
        if not held_here:
            return _FREE
        released = group.keys.intersection(self._released())
        delay_s = self._policy.trial_delay_s(
            group, len(held_here) + len(released) == len(group.keys)
        )
        handling = blame.Handling.REFUSED
        if self._clock.boot_s() - self._crashed_at_s[group] >= delay_s:
            handling = blame.Handling.ISOLATED
        return blame.Verdict(handling, self._most_crashed(held_here), group)

    def _most_crashed(self, keys: Iterable[str]) -> str:
        """Return the key to report for several."""
        return min(keys, key=lambda k: (-len(self._suspects[k].counted), k))

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
        assessment = self._current_assessment()
        refused = assessment.refused
        found = refused
        if handling is not blame.Handling.REFUSED:
            found = assessment.isolated - refused
        return sum(suspect_keys.is_part(key) is is_part for key in found)

    def record_crashes(self, keys: Iterable[str], server: str) -> None:
        """Record a crash that occurred as a request began to run.

        Parameters
        ----------
        keys
            Keys of the request; see `suspect_keys`.
        server
            Start id of the backend server that crashed.
        """
        crash = (suspect_module.Crash(server, False),)
        changed = [
            key
            for key in dict.fromkeys(keys)
            if not self._is_sound(key) and self._add(key, crash)
        ]
        self._evict()
        repeated = [key for key in changed if key in self._repeated]
        for key in changed:
            if not suspect_keys.is_part(key):
                log.warning(
                    'crash under request',
                    fingerprint=key,
                    backend_server=server,
                    crashes=len(self.crashed_servers(key)),
                    suspects=suspect_log.shown(repeated),
                    suspect_count=len(repeated),
                )

    def record_crash(self, key: str, server: str) -> None:
        """Record a crash under one key."""
        self.record_crashes((key,), server)

    def record_run(
        self,
        keys: Iterable[str],
        evidence: Mapping[str, object] = _NO_EVIDENCE,
    ) -> None:
        """Mark crashes as void: a backend server has run the request.

        Parameters
        ----------
        keys
            Keys of the request; see `suspect_keys`.
        evidence
            What the run was, for the log.
        """
        self._sound_runs.record(filter(suspect_keys.is_part, keys))
        if not self._suspects:
            return
        cleared = {
            key: self._suspects[key].counted
            for key in keys
            if key in self._suspects and self._suspects[key].counted
        }
        if not cleared:
            return
        self.answered_count += len(cleared)
        log.info(
            'suspect answered',
            suspects=suspect_log.shown(cleared),
            suspect_count=len(cleared),
            crashes=max(map(len, cleared.values())),
            **evidence,
        )
        for key in cleared:
            self._add(key, _voided(self._suspects[key].crashes))

    def merge(self, states: Iterable[suspect_module.SuspectState]) -> None:
        """Merge crashes that another process has recorded."""
        for state in states:
            self._add(state.key, self._judged(state))
        self._evict()

    def _judged(
        self, state: suspect_module.SuspectState
    ) -> Iterable[suspect_module.Crash]:
        """Return another process's crashes, void if this one knows better."""
        if not self._is_sound(state.key):
            return state.crashes
        return _voided(state.crashes)

    def _is_sound(self, key: str) -> bool:
        return suspect_keys.is_part(key) and self._sound_runs.has_recent(key)

    def _current_assessment(self) -> blame.Assessment:
        if self._is_assessment_stale:
            before = self._assessment
            self._assessment = blame.assess(
                {key: self._suspects[key].counted for key in self._repeated},
                self._policy,
            )
            self._crashed_at_s = {
                group: max(self._suspects[k].crashed_at_s for k in group.keys)
                for group in self._assessment.groups
            }
            self._is_assessment_stale = False
            suspect_log.log_changes(before, self._assessment)
        return self._assessment

    def changes_since(
        self, revision: int, max_count: int = MAX_STATES_PER_TURN
    ) -> tuple[tuple[suspect_module.SuspectState, ...], int]:
        """Return what changed since a revision, and the revision reached.

        Returns everything if the revision is of another start of the
        process.  The revision reached is below the current one if the
        changes are more than `max_count`.
        """
        since = 0
        if revision >> _COUNT_BITS == self._epoch:
            since = revision & ((1 << _COUNT_BITS) - 1)
        changed = sorted(
            (suspect.changed_at, key)
            for key, suspect in self._suspects.items()
            if suspect.changed_at > since
        )
        if len(changed) <= max_count:
            return self._states(changed), self.revision
        sent = changed[:max_count]
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
        counted_before = suspect.counted
        has_changed = suspect.add(crashes)
        if suspect.counted - counted_before:
            suspect.crashed_at_s = self._clock.boot_s()
        if has_changed:
            self._change_count += 1
            suspect.changed_at = self._change_count
            self._touch(key, suspect)
            self._record_repeated(key, suspect)
        return has_changed

    def _record_repeated(
        self, key: str, suspect: suspect_module.Suspect
    ) -> None:
        was_repeated = key in self._repeated
        self._repeated.discard(key)
        if len(suspect.counted) >= self._policy.least_count:
            self._repeated.add(key)
        if was_repeated or key in self._repeated:
            self._is_assessment_stale = True

    def _touch(self, key: str, suspect: suspect_module.Suspect) -> None:
        suspect.used_at_s = self._clock.boot_s()
        self._suspects.pop(key, None)
        self._suspects[key] = suspect

    def _expire(self) -> None:
        """Drop what was not used for long."""
        now_s = self._clock.boot_s()
        if now_s - self._expired_at_s < _EXPIRY_INTERVAL_S:
            return
        self._expired_at_s = now_s
        for group in self._current_assessment().groups:
            self._use_together(group)
        for key, suspect in list(self._suspects.items()):
            if self._is_expired(suspect):
                self._remove(key)

    def _use_together(self, group: blame.Group) -> None:
        """Keep a group for as long as one of its keys is used."""
        suspects = [self._suspects[key] for key in group.keys]
        used_at_s = max(suspect.used_at_s for suspect in suspects)
        for suspect in suspects:
            suspect.used_at_s = used_at_s

    def _evict(self) -> None:
        """Drop what has expired, and what exceeds the bound.

        Those with a single crash go first, and those that are refused last:
        one request may have thousands of parts.
        """
        self._expire()
        if len(self._suspects) <= _MAX_SUSPECTS:
            return
        evicted_count = len(self._suspects) - _SUSPECTS_AFTER_EVICTION
        refused = self._current_assessment().refused
        ranked = sorted(
            self._suspects, key=lambda k: (k in self._repeated, k in refused)
        )
        for key in ranked[:evicted_count]:
            self._remove(key)
        log.warning('suspects evicted', suspect_count=evicted_count)

    def _remove(self, key: str) -> None:
        del self._suspects[key]
        if key in self._repeated:
            self._repeated.discard(key)
            self._is_assessment_stale = True

    def _is_expired(self, suspect: suspect_module.Suspect) -> bool:
        return suspect.is_expired(self._clock.boot_s())


def _voided(
    crashes: Iterable[suspect_module.Crash],
) -> list[suspect_module.Crash]:
    return [suspect_module.Crash(crash.server, True) for crash in crashes]


def is_same_start(revision: int, other: int) -> bool:
    """Whether two revisions are of the same start of a process."""
    return revision >> _COUNT_BITS == other >> _COUNT_BITS
