"""What has happened to one request so far."""

import dataclasses

from lacewingpitch import backend_call
from lacewingpitch import errors
from lacewingpitch import event_splitter

# From a turn to the first event: the prompt's own reading, and its way.
_TO_FIRST_EVENT_S = 0.4
# A request that crashes a backend server does so as it begins to run, which
# may be just after its first event.
_JUST_BEGUN_S = 0.5


@dataclasses.dataclass(slots=True)
class RequestHistory:
    """What has happened to one request so far.

    Parameters
    ----------
    sent_count
        Backend servers that the request was sent to.
    may_have_run
        Whether one of them may have run it.
    first_event_s
        Time from the arrival of the request to the first event.
    longest_gap_s
        Longest pause between events since.
    run_began_at_s
        When the first event of the last sending came; 0 before.
    """

    splitter: event_splitter.EventSplitter
    sent_count: int = 0
    unreached_count: int = 0
    may_have_run: bool = False
    servers: list[str] = dataclasses.field(default_factory=list)
    status: int = 0
    turn_wait_s: float = 0.0
    first_event_s: float = 0.0
    longest_gap_s: float = 0.0
    last_event_at_s: float = 0.0
    run_began_at_s: float = 0.0
    first_answer: backend_call.BackendAnswer | None = None

    def note_events(
        self, request: backend_call.CallerRequest, now_s: float
    ) -> None:
        """Take note that events have come."""
        if not self.last_event_at_s:
            self.first_event_s = now_s - request.arrived_at_s
        else:
            gap_s = now_s - self.last_event_at_s
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        self.last_event_at_s = now_s
        self.run_began_at_s = self.run_began_at_s or now_s

    def has_just_begun(self, now_s: float) -> bool:
        """Whether the last sending has hardly begun to run, or not yet."""
        if not self.run_began_at_s:
            return True
        return now_s - self.run_began_at_s < _JUST_BEGUN_S

    def start_by_s(self, request: backend_call.CallerRequest) -> float:
        """Return when its caller gives up on its next event."""
        waits_since_s = self.last_event_at_s or request.arrived_at_s
        patience_s = request.route.patience_s - _TO_FIRST_EVENT_S
        return min(request.deadline_at_s, waits_since_s + patience_s)

    def target_at_s(self, request: backend_call.CallerRequest) -> float:
        """Return until when a turn is worth waiting for.

        A first attempt gives way to others where it would be late.  What
        was sent before has cost an engine's work, and its caller cannot be
        told that it has not run: it is worth all the time that its caller
        waits.
        """
        if self.sent_count:
            return self.start_by_s(request)
        return request.arrived_at_s + request.route.target_latency_s

    def whole_truth(
        self, error: errors.RefusalError, has_begun: bool
    ) -> errors.RefusalError:
        """Return a refusal that is true of all attempts together.

        Parameters
        ----------
        error
            What the last attempt ended with.
        has_begun
            Whether the caller has got a part of an answer.
        """
        if has_begun:
            return errors.RefusalError(
                errors.ErrorKind.ANSWER_CUT, error.detail
            )
        if self.may_have_run and error.outcome is errors.Outcome.NOT_RUN:
            # A refusal speaks of the last attempt; an earlier one may have
            # run, and the caller would take this for a promise.
            return errors.RefusalError(
                errors.ErrorKind.OUTCOME_UNKNOWN,
                f'an earlier attempt may have run; the last: {error.detail}',
            )
        return error
