"""Decides who waits and who is refused, by what callers lose."""

import dataclasses
import random

from lacewingpitch import admission as admission_module
from lacewingpitch import clock as clock_module
from lacewingpitch import errors
from lacewingpitch import put_off_queue
from lacewingpitch import refused_callers
from lacewingpitch import return_times
from lacewingpitch import service_ratios
from lacewingpitch import turn_decision
from lacewingpitch import turn_messages
from lacewingpitch import wait_estimator

_MS_PER_S = 1000
# Share of the time until the first event is due that is kept for reading the
# own prompt and for errors of the estimate, and its maximum.
_MARGIN_RATIO = 0.4
_MAX_MARGIN_S = 0.4
# A wait of at most this long, about the load of an adapter, is allowed to
# each request whose first event can still be on time after it.
_MIN_WAIT_LIMIT_S = 0.4
_FIRST_EVENT_S = 0.1
# Shares of the allowed wait that others may cause, for an organisation above
# its fair share and for a less urgent rank, so that the others find a short
# queue.
_ABOVE_SHARE_WAIT_RATIO = 0.25
_LESS_URGENT_WAIT_RATIO = 0.5
# Organisations keep to their shares while prompts are read this much later.
_CONTENTION_PROMPT_S = 0.2
# Share of the time until its caller gives up that a request may be expected
# to be put off; the rest is for errors of the estimate.  A caller that
# returns loses all if it is refused again.
_PUT_OFF_RATIO = 0.5
_RETURN_PUT_OFF_RATIO = 1.0
# A caller that returns within this share of the allowed wait can still be on
# time.  Others are told when those that are put off are expected to be
# served, as they may return only once.
_EARLY_RETURN_RATIO = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class _Arrival:
    """A request as it arrives.

    Parameters
    ----------
    target_s
        Time left until its first event is late, since the caller's first
        attempt.
    give_up_at_s
        Monotonic time after which its turn is of no use.
    put_off_order_s
        Orders it while it is put off, the lowest first.
    is_return
        Whether its caller was refused here before.
    """

    request: turn_messages.TurnRequest
    now_s: float
    target_s: float
    give_up_at_s: float
    put_off_order_s: float
    is_return: bool

    @property
    def due_at_s(self) -> float:
        """Return the time by which it should have its turn."""
        if self.target_s <= 0.0:
            return self.give_up_at_s
        return self.now_s + self.target_s - _margin_s(self.target_s)

    @property
    def allowed_s(self) -> float:
        """Return how long it may wait and still be on time."""
        least_s = min(_MIN_WAIT_LIMIT_S, self.target_s - _FIRST_EVENT_S)
        most_s = max(0.0, least_s, self.target_s - _margin_s(self.target_s))
        accept_s = self.request.accept_within_ms / _MS_PER_S
        return min(most_s, accept_s) if accept_s else most_s


class CallerLoss:
    """Decides which requests may wait for a turn, by what callers lose.

    Designed for more load than an engine can process in time.  Requests
    that can be on time lose most by waiting: they get their turns in the
    order in which these are due.  Requests that will be late lose nothing
    more until their callers give up: they are put off until they delay no
    other request, if that is expected in time, and refused at once
    otherwise.  More urgent ranks find a shorter queue, and no rank is
    served more often than a more urgent one.  A caller that was refused and
    returns goes before the others that are put off.

    Parameters
    ----------
    put_off
        Requests that are put off.
    source
        Source of the jitter of return times.
    """

    def __init__(
        self,
        admission: admission_module.Admission,
        engine: admission_module.EngineStatus,
        put_off: put_off_queue.PutOffQueue,
        clock: clock_module.Clock,
        source: random.Random,
    ) -> None:
        self._admission = admission
        self._engine = engine
        self._put_off = put_off
        self._returns = return_times.ReturnTimes(clock, source)
        self._clock = clock
        self._callers = refused_callers.RefusedCallers(clock)
        self._ratios = service_ratios.ServiceRatios(clock)

    def order_s(self, request: turn_messages.TurnRequest) -> float:
        """Return the time by which a request that arrives now is due."""
        return self._arrival(request).due_at_s

    def record_refused(
        self,
        request: turn_messages.TurnRequest,
        refusal: errors.RefusalError,
        waited_s: float,
    ) -> None:
        """Record that an admitted request is refused after a wait."""
        now_s = self._clock.monotonic_s()
        target_s = request.target_ms / _MS_PER_S
        self._callers.record(
            request.fingerprint,
            refused_callers.RefusedCaller(
                request.run_id,
                now_s - waited_s + target_s,
                now_s + (refusal.retry_after_s or 0.0),
            ),
        )

    def has_contention(self, wait: wait_estimator.WaitEstimate) -> bool:
        """Whether organisations are to keep to their shares."""
        # Prompts are read as they are due, with no shares of their own.
        return (
            self._admission.has_contention(wait)
            or wait.prompt_s > _CONTENTION_PROMPT_S
        )

    def decide(
        self,
        request: turn_messages.TurnRequest,
        wait: wait_estimator.WaitEstimate,
        run_s: float,
        is_above_share: bool,
    ) -> turn_decision.Decision:
        """Return the decision about a request that arrives now."""
        arrival = self._arrival(request)
        if not self._engine.is_serving:
            refusal = self._admission.not_serving_refusal()
            self._record(arrival, refusal)
            return turn_decision.Decision(refusal)
        allowed_s = arrival.allowed_s
        delay_limit_s = self._delay_limit_s(arrival, is_above_share)
        tier = None
        if wait.total_s <= allowed_s and wait.delayed_s <= delay_limit_s:
            tier = turn_decision.Tier.ON_TIME
        elif not request.accept_within_ms:
            # Otherwise the entry compares engines, and asks once more
            # before it refuses its caller.
            tier = self._late_tier(arrival, wait, run_s, is_above_share)
        if tier is None:
            return self._refused(arrival, wait, min(allowed_s, delay_limit_s))
        self._ratios.record(request.rank, True, arrival.is_return)
        self._callers.forget(request.fingerprint)
        # An organisation above its share goes behind the others.
        is_due = tier is turn_decision.Tier.ON_TIME and not is_above_share
        return turn_decision.Decision(
            tier=tier,
            order_s=arrival.due_at_s if is_due else arrival.give_up_at_s,
            put_off_order_s=arrival.put_off_order_s,
            is_return=arrival.is_return,
        )

    def _arrival(self, request: turn_messages.TurnRequest) -> _Arrival:
        now_s = self._clock.monotonic_s()
        target_s = request.target_ms / _MS_PER_S
        give_up_at_s = now_s + request.start_within_ms / _MS_PER_S
        caller = self._callers.find(request.fingerprint, request.run_id)
        if caller is None:
            return _Arrival(
                request, now_s, target_s, give_up_at_s, give_up_at_s, False
            )
        # An entry counts from the attempt that it got.
        target_s = min(target_s, caller.target_at_s - now_s)
        return _Arrival(
            request, now_s, target_s, give_up_at_s, caller.target_at_s, True
        )

    def _delay_limit_s(self, arrival: _Arrival, is_above_share: bool) -> float:
        """Return how much of the allowed wait may be caused by others."""
        rank = arrival.request.rank
        if self._ratios.is_preferred(rank):
            return 0.0
        limit_s = arrival.allowed_s
        if is_above_share:
            limit_s *= _ABOVE_SHARE_WAIT_RATIO
        if rank and not self._ratios.is_neglected(rank):
            limit_s *= _LESS_URGENT_WAIT_RATIO
        return limit_s

    def _late_tier(
        self,
        arrival: _Arrival,
        wait: wait_estimator.WaitEstimate,
        run_s: float,
        is_above_share: bool,
    ) -> turn_decision.Tier | None:
        """Return how a late request is admitted; ``None`` if it is not."""
        if wait.is_unhindered:
            return turn_decision.Tier.SPARE_ROOM
        request = arrival.request
        if self._put_off.is_full:
            return None
        if is_above_share and self._put_off.has_any_of(request.organisation):
            return None
        put_off_s = self._put_off.expected_wait_s(arrival.put_off_order_s)
        start_s = request.start_within_ms / _MS_PER_S
        last_start_s = min(start_s, request.deadline_ms / _MS_PER_S - run_s)
        ratio = _RETURN_PUT_OFF_RATIO if arrival.is_return else _PUT_OFF_RATIO
        if put_off_s + wait.load_s <= ratio * last_start_s:
            return turn_decision.Tier.PUT_OFF
        return None

    def _refused(
        self,
        arrival: _Arrival,
        wait: wait_estimator.WaitEstimate,
        allowed_s: float,
    ) -> turn_decision.Decision:
        put_off_s = self._put_off.expected_wait_s(arrival.put_off_order_s)
        retry_after_s = max(0.0, wait.total_s - allowed_s)
        if retry_after_s > _EARLY_RETURN_RATIO * arrival.allowed_s:
            retry_after_s = max(retry_after_s, put_off_s)
        is_final = not arrival.request.accept_within_ms
        if is_final:
            retry_after_s = self._returns.next_s(
                retry_after_s, self._put_off.interval_s
            )
        kind = errors.ErrorKind.DEADLINE_UNREACHABLE
        if wait.total_s - wait.limit_s <= allowed_s:
            kind = errors.ErrorKind.SERVER_LIMITED
        refusal = errors.RefusalError(
            kind,
            f'the expected wait for a turn is {wait.total_s:.2f} s,'
            f' {allowed_s:.2f} s are allowed;'
            f' it would be put off for {put_off_s:.2f} s',
            retry_after_s=retry_after_s,
        )
        if is_final:
            self._ratios.record(arrival.request.rank, False, arrival.is_return)
            self._record(arrival, refusal)
        return turn_decision.Decision(refusal, is_return=arrival.is_return)

    def _record(self, arrival: _Arrival, refusal: errors.RefusalError) -> None:
        self._callers.record(
            arrival.request.fingerprint,
            refused_callers.RefusedCaller(
                arrival.request.run_id,
                arrival.now_s + arrival.target_s,
                arrival.now_s + (refusal.retry_after_s or 0.0),
            ),
        )


def _margin_s(target_s: float) -> float:
    return min(_MARGIN_RATIO * target_s, _MAX_MARGIN_S)
