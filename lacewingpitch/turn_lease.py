"""Lease of one turn at a model engine, from its request to its end."""

import asyncio
import contextlib
import dataclasses
import itertools
import math

from lacewingpitch import errors
from lacewingpitch import turn_decision
from lacewingpitch import turn_messages
from lacewingpitch import wait_estimator

_MS_PER_S = 1000
# Number of completed steps: a queue reservation, the adapter, a turn in the
# batch, the engine's request rate limit.
_RESERVED_STEPS = 1
_PREPARED_STEPS = 2
_TURN_STEPS = 3
_STEP_NAMES = ('place_ms', 'adapter_ms', 'turn_ms', 'limit_ms', 'prompt_ms')
# A granted run shows in the engine's report only after the entry has sent
# the request: the transfer, the body, and the engine's own queue take time.
# A turn whose run is missing for longer belongs to an entry that has died or
# is partitioned, and its capacity is free.
_MISSING_AFTER_S = 1.5
# Time in which a request normally reaches the engine after its turn was
# granted.
_SEND_DELAY_S = 0.2
# An engine that reports nothing for longer is silent: its runs go on, but no
# answer ends.
_SILENT_AFTER_S = 1.0

# An entry that waits for a turn asks for it again at once.  One that has not
# after this time is frozen or has died.
_ASK_AGAIN_WITHIN_S = 1.0


@dataclasses.dataclass(slots=True, eq=False)
class TurnLease:
    """A turn, from the time it is requested.

    Parameters
    ----------
    deadline_at_s
        Deadline of the request.
    wait_estimate
        Estimate made when the request was admitted.
    run_s
        Expected duration of the run.
    last_reported_s
        When a report that showed the run was requested; None before.
    paused_s
        For how long the engine reported nothing while the run lasted.
    decision
        Decision by which it was admitted.
    is_put_off
        Whether it still waits until it delays no other request.
    asked_until_s
        Time until which its entry should have asked for it again.
    put_off_s
        How long it waited for that.
    expected_work
        Closed once its prompt and its turn no longer count as expected by
        their pacers.
    resources
        Queue reservation, adapter and turn, released together.
    """

    request: turn_messages.TurnRequest
    requested_at_s: float
    deadline_at_s: float
    wait_estimate: wait_estimator.WaitEstimate
    run_s: float = 0.0
    task: asyncio.Task[turn_messages.TurnReply] | None = None
    refusal: errors.RefusalError | None = None
    decision: turn_decision.Decision = turn_decision.Decision()
    is_put_off: bool = False
    asked_until_s: float = math.inf
    put_off_s: float = 0.0
    granted_at_s: float | None = None
    last_reported_s: float | None = None
    paused_s: float = 0.0
    expected_work: contextlib.ExitStack = dataclasses.field(
        default_factory=contextlib.ExitStack
    )
    resources: contextlib.AsyncExitStack = dataclasses.field(
        default_factory=contextlib.AsyncExitStack
    )
    _steps_at_s: list[float] = dataclasses.field(default_factory=list)

    @property
    def start_by_s(self) -> float:
        """Return the time after which the turn is of no use."""
        return self.requested_at_s + self.request.start_within_ms / _MS_PER_S

    @property
    def has_reservation(self) -> bool:
        """Whether it has left the queue, and prepares or runs."""
        return len(self._steps_at_s) >= _RESERVED_STEPS

    @property
    def is_prepared(self) -> bool:
        """Whether it has its adapter and waits only for a turn."""
        return len(self._steps_at_s) == _PREPARED_STEPS

    @property
    def has_turn(self) -> bool:
        """Whether it occupies a slot of the engine's batch."""
        return len(self._steps_at_s) >= _TURN_STEPS

    def record_ask(self, now_s: float, wait_s: float) -> None:
        """Record that its entry waits for it for a time."""
        self.asked_until_s = now_s + wait_s + _ASK_AGAIN_WITHIN_S

    def record_reported(self, polled_at_s: float, now_s: float) -> None:
        """Record a report that shows the run, requested at `polled_at_s`."""
        since_s = self.last_reported_s or self.granted_at_s
        if since_s is not None and now_s - since_s > _SILENT_AFTER_S:
            self.paused_s += now_s - since_s
        self.last_reported_s = polled_at_s

    def run_time_s(self, now_s: float) -> float:
        """Return how long the run has lasted, without pauses."""
        if self.granted_at_s is None:
            return 0.0
        return max(0.0, now_s - self.granted_at_s - self.paused_s)

    def record_step(self, now_s: float) -> None:
        """Record that the next step is completed."""
        self._steps_at_s.append(now_s)

    def may_be_unsent(self, now_s: float) -> bool:
        """Whether its request may still be on the way to the engine."""
        return (
            self.granted_at_s is not None
            and self.last_reported_s is None
            and now_s - self.granted_at_s < _SEND_DELAY_S
        )

    def remaining_s(self, now_s: float) -> float:
        """Return how much longer the turn is expected to last."""
        if self.granted_at_s is None:
            return self.run_s
        # An overdue run is expected to last as long again as it is overdue,
        # so that a stalled engine worsens every estimate.
        return abs(self.run_s - self.run_time_s(now_s))

    def is_missing(self, polled_at_s: float) -> bool:
        """Whether a report as of `polled_at_s` should show the run.

        To be called for a report that doesn't show it.
        """
        if self.granted_at_s is None:
            return False
        since_s = self.granted_at_s
        if self.last_reported_s is not None:
            since_s = max(since_s, self.last_reported_s)
        return polled_at_s - since_s >= _MISSING_AFTER_S

    def waits_ms(self, granted_at_s: float) -> dict[str, int]:
        """Return the wait of a granted turn for each of its steps."""
        times_s = [self.requested_at_s, *self._steps_at_s, granted_at_s]
        return {
            name: round((after_s - before_s) * _MS_PER_S)
            for name, (before_s, after_s) in zip(
                _STEP_NAMES, itertools.pairwise(times_s), strict=True
            )
        }
