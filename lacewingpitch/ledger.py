"""What one sidecar knows of each attempt, and whether it can still run."""

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
    """How far an attempt got at this sidecar.

    ``FORGOTTEN`` says that this process cannot know: the attempt is
    older than its memory.
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
    """States of the attempts that this sidecar met of late.

    Memory is bounded by the request rate times `window_s`; an entry that
    waits or runs is kept however old it is.

    Parameters
    ----------
    clock
        Source of time.
    window_s
        How long a state is remembered after its last change.
    skew_s
        How far the clock of an entry instance may be from this one's.
        Attempts from further ahead are refused.
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
        self._began_at_s = clock.wall_s()
        self._began_monotonic_s = clock.monotonic_s()
        self._entries: collections.OrderedDict[str, Entry] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return how many attempts are remembered."""
        return len(self._entries)

    def state(self, attempt_id: str) -> RunState | None:
        """Return the state of an attempt, if it is remembered."""
        found = self._entries.get(attempt_id)
        return None if found is None else found.state

    def admit(self, attempt_id: str) -> None:
        """Record an attempt that arrived.

        Raises
        ------
        RefusalError
            It was voided, so it must not run; or it is here already; or
            it is too old, or from a clock too far ahead.
        """
        self._forget_old()
        found = self.state(attempt_id)
        if found is None:
            self._check_age(attempt_id)
            self._set(attempt_id, RunState.QUEUED)
            return
        if found is RunState.VOID:
            raise _withdrawn()
        raise errors.RefusalError(
            errors.ErrorKind.KEY_IN_USE, 'this request is here already'
        )

    def start(self, attempt_id: str) -> None:
        """Record that the attempt is now passed on.

        Raises
        ------
        RefusalError
            It was voided while it waited.
        """
        # An entry instance that gave up may have answered "not run" on
        # the strength of the void; passing the work on would break it.
        if self.state(attempt_id) is not RunState.QUEUED:
            raise _withdrawn()
        self._set(attempt_id, RunState.STARTED)

    def resume(self, attempt_id: str) -> None:
        """Record that the stream of an attempt is taken up again.

        The attempt may be one that an earlier process started.

        Raises
        ------
        RefusalError
            It was voided, so there is nothing to take up.
        """
        if self.state(attempt_id) is RunState.VOID:
            raise _withdrawn()
        self._set(attempt_id, RunState.STARTED)

    def close(self, attempt_id: str, did_not_run: bool = False) -> None:
        """Record that nothing more happens to the attempt here.

        One that never started, or of which the backend server says that
        it did not run, is as good as voided.
        """
        found = self.state(attempt_id)
        if found is RunState.QUEUED or did_not_run:
            self._set(attempt_id, RunState.VOID)
        elif found is RunState.STARTED:
            self._set(attempt_id, RunState.FINISHED)

    def void(self, attempt_id: str) -> RunState:
        """Promise never to run an attempt, unless it has started.

        The promise holds also if the attempt arrives afterwards.
        """
        self._forget_old()
        found = self.state(attempt_id)
        if found is None and not self._would_remember(attempt_id):
            return RunState.FORGOTTEN
        if found is None or found is RunState.QUEUED:
            self._set(attempt_id, RunState.VOID)
            return RunState.VOID
        return found

    def _would_remember(self, attempt_id: str) -> bool:
        # A sidecar that was killed may have passed the attempt on; its
        # successor on the same port knows nothing of it, and a void
        # from its empty memory would make a "not run" that ran.  Every
        # sidecar refuses attempts from more than the skew ahead of its
        # clock, so one made later than our start plus the skew cannot
        # have been admitted before we started.
        created_at_s = _created_at_s(attempt_id)
        if created_at_s <= self._began_at_s + self._skew_s:
            return False
        return self._in_window(created_at_s)

    def _check_age(self, attempt_id: str) -> None:
        # A void is forgotten after the window.  An attempt that sat in
        # the buffer of a socket, or in a frozen entry instance, for that
        # long would then run after its caller was told "not run".
        if not self._in_window(_created_at_s(attempt_id)):
            raise errors.RefusalError(
                errors.ErrorKind.ATTEMPT_OUT_OF_WINDOW,
                'made too long ago, or by a clock that is ahead',
            )

    def _in_window(self, created_at_s: float) -> bool:
        age_s = self._now_s() - created_at_s
        return -self._skew_s <= age_s < self._window_s - self._skew_s

    def _now_s(self) -> float:
        # A wall clock that is set back would make old attempts young
        # again, after their voids were forgotten by the monotonic one.
        elapsed_s = self._clock.monotonic_s() - self._began_monotonic_s
        return max(self._clock.wall_s(), self._began_at_s + elapsed_s)

    def _set(self, attempt_id: str, state: RunState) -> None:
        self._entries[attempt_id] = Entry(state, self._clock.monotonic_s())
        self._entries.move_to_end(attempt_id)

    def _forget_old(self) -> None:
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
    """Return when the UUIDv7 in an attempt's name was made."""
    try:
        request_id = uuid.UUID(attempt_id.partition('.')[0])
    except ValueError:
        return 0.0
    return (request_id.int >> _TIMESTAMP_SHIFT_BITS) / _MS_PER_S


def _withdrawn() -> errors.RefusalError:
    return errors.RefusalError(
        errors.ErrorKind.ATTEMPT_WITHDRAWN, 'this attempt was withdrawn'
    )
