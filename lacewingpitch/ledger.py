"""What one sidecar knows of each attempt, and whether it can still run."""

import collections
import dataclasses
import enum

from lacewingpitch import clock as clock_module
from lacewingpitch import errors


class RunState(enum.StrEnum):
    """How far a request got at this sidecar."""

    QUEUED = 'queued'
    VOID = 'void'
    STARTED = 'started'
    FINISHED = 'finished'


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """The state of one request and when it changed."""

    state: RunState
    changed_at_s: float


class RunLedger:
    """States of the requests that this sidecar met of late.

    Memory is bounded by the request rate times `window_s`; an entry that
    waits or runs is kept however old it is.
    """

    def __init__(
        self, clock: clock_module.Clock, window_s: float = 600.0
    ) -> None:
        self._clock = clock
        self._window_s = window_s
        self._entries: collections.OrderedDict[str, Entry] = (
            collections.OrderedDict()
        )

    def admit(self, request_id: str) -> None:
        """Record a request that arrived.

        Raises
        ------
        RefusalError
            It was voided, so it must not run; or it is here already.
        """
        self._forget_old()
        found = self._entries.get(request_id)
        if found is None:
            self._set(request_id, RunState.QUEUED)
            return
        if found.state is RunState.VOID:
            raise errors.RefusalError(
                errors.ErrorKind.NO_BACKEND_SERVER,
                'this attempt was withdrawn',
            )
        raise errors.RefusalError(
            errors.ErrorKind.KEY_IN_USE, 'this request is here already'
        )

    def start(self, request_id: str) -> None:
        """Record that the request is now passed on.

        Raises
        ------
        RefusalError
            It was voided while it waited.
        """
        found = self._entries.get(request_id)
        # An entry instance that gave up may have answered "not run" on
        # the strength of the void; passing the work on would break it.
        if found is None or found.state is not RunState.QUEUED:
            raise errors.RefusalError(
                errors.ErrorKind.NO_BACKEND_SERVER,
                'this attempt was withdrawn',
            )
        self._set(request_id, RunState.STARTED)

    def finish(self, request_id: str) -> None:
        """Record that the request's work is over."""
        self._set(request_id, RunState.FINISHED)

    def void(self, request_id: str) -> RunState:
        """Promise never to run a request, unless it has started.

        The promise holds also if the request arrives afterwards.
        """
        found = self._entries.get(request_id)
        if found is None or found.state is RunState.QUEUED:
            self._set(request_id, RunState.VOID)
            return RunState.VOID
        return found.state

    def _set(self, request_id: str, state: RunState) -> None:
        self._entries[request_id] = Entry(state, self._clock.monotonic_s())
        self._entries.move_to_end(request_id)

    def _forget_old(self) -> None:
        oldest_s = self._clock.monotonic_s() - self._window_s
        while self._entries:
            request_id, entry = next(iter(self._entries.items()))
            if entry.changed_at_s > oldest_s:
                return
            if entry.state in (RunState.QUEUED, RunState.STARTED):
                self._set(request_id, entry.state)
                continue
            del self._entries[request_id]
