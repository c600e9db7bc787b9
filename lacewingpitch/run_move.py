"""Decides the steps of the move of one run to another engine.

The run continues at its target only after the source has said that it
stopped and that the copy is complete.  Until the source is asked to stop, any
failure leaves the run where it is.  After that, whatever is unclear ends the
move: the stream goes on if the source still runs it, and otherwise breaks off
visibly.
"""

import dataclasses
import enum

from lacewingpitch import run_memory

# Runs that are about to end are not worth a copy of their memory.
MIN_REMAINDER_S = 0.15
# Runs move this long before their engine is expected to end: enough for their
# target to load an adapter.  Many have ended by themselves until then.
LEAD_S = 1.0
# A copy whose answer was lost, or that found no room, is asked for again.
_MAX_STOPS = 2

_Outcome = run_memory.CopyOutcome


class Phase(enum.StrEnum):
    """What a move does next, or how it has ended."""

    TURN = 'turn'
    COPY = 'copy'
    STOP = 'stop'
    # The source has stopped, and the copy is complete.
    READY = 'ready'
    MOVED = 'moved'
    # The source was not asked to stop, or the run has ended there.
    KEPT = 'kept'
    # It is unknown whether the source has stopped.
    UNCLEAR = 'unclear'
    # The source has stopped, and no engine continues the run.
    CUT = 'cut'
    # The caller has disconnected, or the stream has ended.
    ABANDONED = 'abandoned'


_ENDS = frozenset(
    {Phase.MOVED, Phase.KEPT, Phase.UNCLEAR, Phase.CUT, Phase.ABANDONED}
)


@dataclasses.dataclass(frozen=True, slots=True)
class MoveState:
    """State of one move; each method returns the state that follows.

    Parameters
    ----------
    handle
        Name of the copy; empty while unknown, and once it is used.
    stop_count
        How often the source was asked to stop.
    reason
        Why the move has ended.
    """

    phase: Phase = Phase.TURN
    handle: str = ''
    stop_count: int = 0
    reason: str = ''

    @property
    def has_ended(self) -> bool:
        """Whether nothing follows."""
        return self.phase in _ENDS

    @property
    def may_have_stopped(self) -> bool:
        """Whether the source may have stopped the run."""
        return self.stop_count > 0

    def with_turn(self) -> 'MoveState':
        """Return the state once the target has granted a turn."""
        return dataclasses.replace(self, phase=Phase.COPY)

    def without(self, reason: str) -> 'MoveState':
        """Return the state of a move that is given up before the stop."""
        return self._ended(Phase.KEPT, reason)

    def copied(self, answer: run_memory.CopyAnswer) -> 'MoveState':
        """Return the state after the copy of the run that goes on."""
        handle = answer.handle or self.handle
        found = dataclasses.replace(self, handle=handle)
        if answer.outcome is not _Outcome.COPIED:
            return found._ended(Phase.KEPT, f'copy {answer.outcome}')
        return dataclasses.replace(found, phase=Phase.STOP)

    def stopping(self) -> 'MoveState':
        """Return the state just before the source is asked to stop."""
        return dataclasses.replace(self, stop_count=self.stop_count + 1)

    def stopped(self, answer: run_memory.CopyAnswer) -> 'MoveState':
        """Return the state after the source was asked to stop."""
        handle = answer.handle or self.handle
        found = dataclasses.replace(self, handle=handle)
        reason = f'stop {answer.outcome}'
        if answer.outcome is _Outcome.COPIED:
            return dataclasses.replace(found, phase=Phase.READY)
        if self._may_repeat(answer):
            return found
        if answer.outcome is _Outcome.NO_ROOM and answer.handle:
            return found._ended(Phase.CUT, reason)
        is_first = self.stop_count == 1
        if is_first and answer.outcome in (_Outcome.ENDED, _Outcome.BUSY):
            return found._ended(Phase.KEPT, reason)
        return found._ended(Phase.UNCLEAR, reason)

    def continued(self) -> 'MoveState':
        """Return the state once the target runs the request."""
        found = dataclasses.replace(self, handle='')
        return found._ended(Phase.MOVED, '')

    def not_continued(self, reason: str) -> 'MoveState':
        """Return the state if the target does not run the request."""
        return self._ended(Phase.CUT, reason)

    def abandoned(self) -> 'MoveState':
        """Return the state once nobody waits for the move."""
        return self._ended(Phase.ABANDONED, f'in phase {self.phase}')

    def _may_repeat(self, answer: run_memory.CopyAnswer) -> bool:
        if self.stop_count >= _MAX_STOPS:
            return False
        if answer.outcome is _Outcome.LOST:
            return True
        return answer.outcome is _Outcome.NO_ROOM and bool(answer.handle)

    def _ended(self, phase: Phase, reason: str) -> 'MoveState':
        return dataclasses.replace(self, phase=phase, reason=reason)


def is_due(remainder_s: float, left_s: float) -> bool:
    """Whether a run should move now.

    Parameters
    ----------
    remainder_s
        Expected time until the run ends.
    left_s
        Time for which its engine is certain to serve.
    """
    return left_s <= LEAD_S and remainder_s > max(MIN_REMAINDER_S, left_s)
