"""Execution states of the attempts that reach a sidecar.

The ledger decides whether an attempt may still run.  It also answers
entry instances that ask whether an attempt has run.
"""

import collections
import dataclasses
import enum
import uuid

from lacewingpitch import clock as clock_module
from lacewingpitch import errors

WINDOW_S = 600.0
MAX_CLOCK_SKEW_S = 5.0
_TIMESTAMP_SHIFT_BITS = 80
_MS_PER_S = 1000


class RunState(enum.StrEnum):
    """Execution state of an attempt at this sidecar.

    ``VOID`` is a tombstone: the sidecar promises never to run the
    attempt.  ``FORGOTTEN`` means that this process cannot know the
    state, because its records do not go back far enough.
    """

    QUEUED = 'queued'
    VOID = 'void'
    STARTED = 'started'
    FINISHED = 'finished'
    FORGOTTEN = 'forgotten'


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """The state of one attempt and when it changed."""

    state: RunState
    changed_at_s: float


class RunLedger:
    """States of the attempts that this sidecar handled recently.

    Memory is bounded by the request rate times `window_s`.  Entries of
    attempts that wait or run are kept regardless of their age.

    Parameters
    ----------
    clock
        Source of time.
    window_s
        How long a state is kept after its last change, in seconds.
    skew_s
        Maximum difference between the clocks of an entry instance and
        of this sidecar, in seconds.  Attempts that were created further
        in the future are refused.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        window_s: float = WINDOW_S,
        skew_s: float = MAX_CLOCK_SKEW_S,
    ) -> None:
        self._clock = clock
        self._window_s = window_s
        self._skew_s = skew_s
        self._started_at_s = clock.wall_s()
        self._started_monotonic_s = clock.monotonic_s()
        self._entries: collections.OrderedDict[str, Entry] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of attempts in the ledger."""
        return len(self._entries)

    def state(self, attempt_id: str) -> RunState | None:
        """Return the state of an attempt, ``None`` if it has no entry."""
        entry = self._entries.get(attempt_id)
        return None if entry is None else entry.state

    def admit(self, attempt_id: str) -> None:
        """Record that an attempt has arrived.

        Raises
        ------
        RefusalError
            The attempt was voided and must not run, or it has arrived
            before, or it was created too long ago or by a clock that is
            too far ahead.
        """
        self._expire_old_entries()
        state = self.state(attempt_id)
        if state is None:
            self._check_window(attempt_id)
            self._set(attempt_id, RunState.QUEUED)
            return
        if state is RunState.VOID:
            raise _withdrawn_error()
        raise errors.RefusalError(
            errors.ErrorKind.KEY_IN_USE, 'this attempt has already arrived'
        )

    def start(self, attempt_id: str) -> None:
        """Record that the attempt is sent to the backend server now.

        Raises
        ------
        RefusalError
            The attempt was voided while it waited.
        """
        # An entry instance that gave up may have answered "not run"
        # because of the void.  Running the attempt would make that
        # answer false.
        if self.state(attempt_id) is not RunState.QUEUED:
            raise _withdrawn_error()
        self._set(attempt_id, RunState.STARTED)

    def resume(self, attempt_id: str) -> None:
        """Record that the stream of an attempt is resumed.

        An earlier process may have started the attempt.

        Raises
        ------
        RefusalError
            The attempt was voided, so there is no stream to resume.
        """
        if self.state(attempt_id) is RunState.VOID:
            raise _withdrawn_error()
        self._set(attempt_id, RunState.STARTED)

    def close(self, attempt_id: str, did_not_run: bool = False) -> None:
        """Record that this sidecar has finished with the attempt.

        An attempt that never started becomes void, and so does one of
        which the backend server reports that it did not run.
        """
        state = self.state(attempt_id)
        if state is RunState.QUEUED or did_not_run:
            self._set(attempt_id, RunState.VOID)
        elif state is RunState.STARTED:
            self._set(attempt_id, RunState.FINISHED)

    def void(self, attempt_id: str) -> RunState:
        """Void an attempt unless it has started; return its state.

        An attempt that arrives after it was voided is refused.
        """
        self._expire_old_entries()
        state = self.state(attempt_id)
        if state is None and not self._is_covered(attempt_id):
            return RunState.FORGOTTEN
        if state is None or state is RunState.QUEUED:
            self._set(attempt_id, RunState.VOID)
            return RunState.VOID
        return state

    def _is_covered(self, attempt_id: str) -> bool:
        # An earlier process on the same port may have run the attempt
        # before it was killed.  This process has no record of that, so
        # voiding the attempt could produce a false "not run".  Every
        # sidecar refuses attempts from more than the skew ahead of its
        # clock, so an attempt created later than this process's start
        # plus the skew cannot have been admitted before the start.
        created_at_s = _created_at_s(attempt_id)
        if created_at_s <= self._started_at_s + self._skew_s:
            return False
        return self._in_window(created_at_s)

    def _check_window(self, attempt_id: str) -> None:
        # Voids expire after the window.  An attempt that was held that
        # long in a socket buffer or by a frozen entry instance would
        # run after its caller received "not run".
        if not self._in_window(_created_at_s(attempt_id)):
            raise errors.RefusalError(
                errors.ErrorKind.ATTEMPT_OUT_OF_WINDOW,
                'the attempt was created too long ago, or by a clock that '
                'is ahead',
            )

    def _in_window(self, created_at_s: float) -> bool:
        age_s = self._now_s() - created_at_s
        return -self._skew_s <= age_s < self._window_s - self._skew_s

    def _now_s(self) -> float:
        # Voids expire by the monotonic clock.  If the wall clock is set
        # back, attempts whose voids have expired must not fall within
        # the window again.
        elapsed_s = self._clock.monotonic_s() - self._started_monotonic_s
        return max(self._clock.wall_s(), self._started_at_s + elapsed_s)

    def _set(self, attempt_id: str, state: RunState) -> None:
        self._entries[attempt_id] = Entry(state, self._clock.monotonic_s())
        self._entries.move_to_end(attempt_id)

    def _expire_old_entries(self) -> None:
        oldest_s = self._clock.monotonic_s() - self._window_s
        while self._entries:
            attempt_id, entry = next(iter(self._entries.items()))
            if entry.changed_at_s > oldest_s:
                return
            if entry.state in (RunState.QUEUED, RunState.STARTED):
                self._set(attempt_id, entry.state)
                continue
            del self._entries[attempt_id]


def _created_at_s(attempt_id: str) -> float:
    """Return the creation time in the UUIDv7 of an attempt id.

    The time is 0 if the id contains no UUID.
    """
    try:
        request_id = uuid.UUID(attempt_id.partition('.')[0])
    except ValueError:
        return 0.0
    return (request_id.int >> _TIMESTAMP_SHIFT_BITS) / _MS_PER_S


def _withdrawn_error() -> errors.RefusalError:
    return errors.RefusalError(
        errors.ErrorKind.ATTEMPT_WITHDRAWN, 'this attempt was withdrawn'
    )
