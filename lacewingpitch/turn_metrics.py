"""Logs and metrics of the turns at one engine."""

import collections

import structlog

from lacewingpitch import errors
from lacewingpitch import metrics as metrics_module
from lacewingpitch import turn_lease
from lacewingpitch import turn_messages
from lacewingpitch import turn_queue
from lacewingpitch import wait_estimator

_MS_PER_S = 1000
log = structlog.get_logger(__name__)


class TurnMetrics:
    """Logs and counts the outcomes of turns."""

    def __init__(
        self, queue: turn_queue.TurnQueue, metrics: metrics_module.Metrics
    ) -> None:
        self._queue = queue
        self._wait_times = metrics.duration_histogram(
            'turn_wait_seconds', 'Time that granted turns were waited for.'
        )
        self._wait_errors = metrics.duration_histogram(
            'wait_error_seconds',
            'Difference between expected and real wait, by its part.',
        )
        self.granted_by_tier: collections.Counter[str] = collections.Counter()
        self.refused_by_reason: collections.Counter[str] = (
            collections.Counter()
        )
        self.returned_count = 0
        self.granted_count = 0
        self.refused_count = 0
        self.lapsed_count = 0

    def record_granted(
        self, turn: turn_lease.TurnLease, adapter: str, version: int
    ) -> None:
        """Record a turn that is granted now."""
        assert turn.granted_at_s is not None
        self.granted_count += 1
        decision = turn.decision
        self.granted_by_tier[decision.tier.value] += 1
        self.returned_count += decision.is_return
        request = turn.request
        estimate = turn.wait_estimate
        waited_s = turn.granted_at_s - turn.requested_at_s
        waits_ms = turn.waits_ms(turn.granted_at_s)
        self._wait_times.observe('route', request.route, waited_s)
        self._observe_errors(estimate, waits_ms)
        log.info(
            'turn granted',
            request_id=request.run_id,
            organisation=request.organisation,
            adapter=adapter,
            version=version,
            wanted_version=request.version,
            prompt_tokens=request.prompt_tokens,
            expected_tokens=request.expected_tokens,
            rank=request.rank,
            tier=decision.tier,
            is_return=decision.is_return,
            put_off_ms=round(turn.put_off_s * _MS_PER_S),
            waited_ms=round(waited_s * _MS_PER_S),
            expected_ms=round(estimate.total_s * _MS_PER_S),
            expected_place_ms=round(estimate.slot_s * _MS_PER_S),
            expected_load_ms=round(estimate.load_s * _MS_PER_S),
            expected_turn_ms=round(estimate.turn_s * _MS_PER_S),
            expected_limit_ms=round(estimate.limit_s * _MS_PER_S),
            **waits_ms,
            running=self._queue.running,
            queued=self._queue.queued,
        )

    def record_refused(
        self,
        request: turn_messages.TurnRequest,
        error: errors.RefusalError,
        is_above_share: bool,
        is_return: bool = False,
    ) -> None:
        """Record a refused turn."""
        self.refused_count += 1
        is_asked_for_sooner = request.accept_within_ms > 0
        reason = _refusal_reason(
            is_asked_for_sooner, is_return, is_above_share
        )
        self.refused_by_reason[reason] += 1
        log.info(
            'turn refused',
            request_id=request.run_id,
            organisation=request.organisation,
            rank=request.rank,
            target_ms=request.target_ms,
            start_within_ms=request.start_within_ms,
            is_above_share=is_above_share,
            is_return=is_return,
            kind=error.kind,
            detail=error.detail,
            retry_after_s=error.retry_after_s,
            prompt_tokens=request.prompt_tokens,
            expected_tokens=request.expected_tokens,
            is_asked_for_sooner=is_asked_for_sooner,
            running=self._queue.running,
            queued=self._queue.queued,
        )

    def record_lapsed(self, turn: turn_lease.TurnLease, now_s: float) -> None:
        """Record a turn past its deadline, or whose run is missing."""
        self.lapsed_count += 1
        log.info(
            'turn lapsed',
            request_id=turn.request.run_id,
            age_s=round(now_s - turn.requested_at_s, 3),
            past_deadline=now_s >= turn.deadline_at_s,
        )

    def _observe_errors(
        self, estimate: wait_estimator.WaitEstimate, waits_ms: dict[str, int]
    ) -> None:
        for part, expected_s, waited_ms in (
            ('adapter', estimate.adapter_s, waits_ms['adapter_ms']),
            ('turn', estimate.turn_s, waits_ms['turn_ms']),
            ('limit', estimate.limit_s, waits_ms['limit_ms']),
            ('prompt', estimate.prompt_s, waits_ms['prompt_ms']),
        ):
            error_s = abs(waited_ms / _MS_PER_S - expected_s)
            self._wait_errors.observe('part', part, error_s)


def _refusal_reason(
    is_asked_for_sooner: bool, is_return: bool, is_above_share: bool
) -> str:
    """Return the first of the reasons that applies."""
    if is_asked_for_sooner:
        return 'asked for sooner'
    if is_return:
        return 'return'
    return 'above share' if is_above_share else 'other'
