"""Attempts and progress of one request, across its retries."""

import dataclasses

from lacewingpitch import backend_call
from lacewingpitch import errors
from lacewingpitch import event_splitter
from lacewingpitch import retry_charges

# Time from a turn to the first event: prefill of the prompt and transfer.
_FIRST_EVENT_S = 0.4
# A request that crashes a backend server does so as it begins to run, which
# may be shortly after its first event.
_RUN_START_S = 0.5
_SUCCESSES = range(200, 300)


@dataclasses.dataclass(slots=True)
class RequestHistory:
    """Attempts of one request and the progress of its answer.

    Parameters
    ----------
    charges
        What its retries have cost.
    sent_count
        Number of attempts that reached a backend server.
    unreached_count
        Number of attempts that found no connection.
    may_have_run
        Whether one of the attempts may have run.
    servers
        Names of the backend servers of all attempts, in their order.
    search_count
        Number of searches for another server while an attempt went on.
    turn_wait_s
        Time spent waiting for turns.
    first_event_s
        Time from the arrival of the request to the first event.
    longest_gap_s
        Longest pause between events after the first one.
    run_began_at_s
        Monotonic time of the first event of the current attempt; 0 before.
    is_framed
        Whether the latest answer marks its own end.
    is_run_recorded
        Whether the current attempt has shown that it runs without a crash.
    """

    splitter: event_splitter.EventSplitter
    charges: retry_charges.RetryCharges
    sent_count: int = 0
    unreached_count: int = 0
    may_have_run: bool = False
    servers: list[str] = dataclasses.field(default_factory=list)
    status: int = 0
    search_count: int = 0
    turn_wait_s: float = 0.0
    first_event_s: float = 0.0
    longest_gap_s: float = 0.0
    last_event_at_s: float = 0.0
    run_began_at_s: float = 0.0
    is_framed: bool = True
    is_run_recorded: bool = False
    first_answer: backend_call.BackendAnswer | None = None

    def record_events(
        self, request: backend_call.CallerRequest, now_s: float
    ) -> None:
        """Record that events have arrived."""
        if not self.last_event_at_s:
            self.first_event_s = now_s - request.arrived_at_s
        else:
            gap_s = now_s - self.last_event_at_s
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        self.last_event_at_s = now_s
        self.run_began_at_s = self.run_began_at_s or now_s

    def is_run_starting(self, now_s: float) -> bool:
        """Whether the current attempt began to run a moment ago, or has not.

        A server that crashes at that time may have crashed because of it.
        """
        if not self.run_began_at_s:
            return True
        return now_s - self.run_began_at_s < _RUN_START_S

    def shows_run(self, request: backend_call.CallerRequest) -> bool:
        """Whether the answer of the last attempt shows that it ran.

        A failure or a rejection may come before the run, and the rest of a
        resumed stream may be empty.
        """
        if self.status not in _SUCCESSES:
            return False
        return not request.route.is_stream or self.run_began_at_s > 0.0

    def start_by_s(self, request: backend_call.CallerRequest) -> float:
        """Return the latest useful time for a turn to be granted.

        The first event of the attempt then still arrives before the caller
        gives up waiting.
        """
        waits_since_s = self.last_event_at_s or request.arrived_at_s
        timeout_s = request.route.caller_timeout_s - _FIRST_EVENT_S
        return min(request.deadline_at_s, waits_since_s + timeout_s)

    def next_search(self) -> int:
        """Return the number of a search that begins now."""
        self.search_count += 1
        return self.search_count

    def move_by_s(self, request: backend_call.CallerRequest) -> float:
        """Return the latest useful time to send it to another server."""
        if request.route.is_stream:
            return self.start_by_s(request)
        return request.deadline_at_s - request.route.target_latency_s

    def target_at_s(self, request: backend_call.CallerRequest) -> float:
        """Return the time until which a turn is worth waiting for.

        A first attempt gives way to other requests once it would be late.  A
        later one may wait for as long as its caller does: an engine has
        worked on the request, and its caller cannot be told that it has not
        run.
        """
        if self.sent_count:
            return self.start_by_s(request)
        return request.arrived_at_s + request.route.target_latency_s

    def combined_refusal(
        self, error: errors.RefusalError, has_begun: bool
    ) -> errors.RefusalError:
        """Return a refusal that holds for all attempts together.

        Parameters
        ----------
        error
            Refusal of the last attempt.
        has_begun
            Whether the caller has received a part of an answer.
        """
        if has_begun:
            return errors.RefusalError(
                errors.ErrorKind.ANSWER_CUT, error.detail
            )
        if self.may_have_run and error.outcome is errors.Outcome.NOT_RUN:
            # The error concerns the last attempt only.  An earlier one may
            # have run, and the caller must not be promised otherwise.
            return errors.RefusalError(
                errors.ErrorKind.OUTCOME_UNKNOWN,
                f'an earlier attempt may have run; the last: {error.detail}',
            )
        return error
