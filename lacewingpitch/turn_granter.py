"""Grants the turns of one engine to requests of entries.

A turn is a lease on one of a backend server's concurrent execution slots.
"""

import asyncio
from collections.abc import Callable, Collection, Iterable
import math
import random

import structlog

from lacewingpitch import active_entries
from lacewingpitch import admission as admission_module
from lacewingpitch import answer_deadline
from lacewingpitch import batch_forecast
from lacewingpitch import caller_loss
from lacewingpitch import clock as clock_module
from lacewingpitch import crash_record
from lacewingpitch import engine_state
from lacewingpitch import errors
from lacewingpitch import fair_share
from lacewingpitch import hint_builder
from lacewingpitch import isolation
from lacewingpitch import pace_watch as pace_watch_module
from lacewingpitch import parts as parts_module
from lacewingpitch import prefill_pacer
from lacewingpitch import put_off_queue
from lacewingpitch import run_duration
from lacewingpitch import slots as slots_module
from lacewingpitch import start_wait
from lacewingpitch import turn_decision
from lacewingpitch import turn_lease
from lacewingpitch import turn_messages
from lacewingpitch import turn_metrics
from lacewingpitch import turn_order
from lacewingpitch import turn_pacer as turn_pacer_module
from lacewingpitch import turn_queue
from lacewingpitch import wait_estimator

_MS_PER_S = 1000
log = structlog.get_logger(__name__)


class TurnGranter:
    """Grants and ends the turns of one engine.

    A turn ends when its entry ends it, when the engine no longer runs its
    request, or at the request's deadline, whichever comes first.

    Parameters
    ----------
    configuration_version
        Returns the configuration version in force in this process.
    outcomes
        Logs and counts the outcomes of turns.
    watch
        Knows the engine's pace; nothing is known by default.
    """

    def __init__(
        self,
        queue: turn_queue.TurnQueue,
        adapters: slots_module.AdapterSlots,
        engine: engine_state.EngineState,
        pacer: prefill_pacer.PrefillPacer,
        clock: clock_module.Clock,
        configuration_version: Callable[[], int],
        source: random.Random,
        outcomes: turn_metrics.TurnMetrics,
        crashes: crash_record.CrashRecord,
        watch: pace_watch_module.PaceWatch | None = None,
        parts: Collection[parts_module.Part] = (),
    ) -> None:
        self._outcomes = outcomes
        self._isolation = isolation.Isolation(crashes)
        self._queue = queue
        self._adapters = adapters
        self._engine = engine
        self._pacer = pacer
        self._watch = watch or pace_watch_module.NoPaceWatch()
        self._turn_pacer = turn_pacer_module.TurnPacer(clock, source)
        self._limit_per_s: float | None = None
        # A predecessor may have granted a turn just before.
        self._last_granted_at_s = clock.monotonic_s()
        self._clock = clock
        self._configuration_version = configuration_version
        self._turns: dict[str, turn_lease.TurnLease] = {}
        self._entries = active_entries.ActiveEntries(clock)
        self._wait_estimator = wait_estimator.WaitEstimator(
            adapters,
            batch_forecast.BatchForecast(self._turns, queue.turn_count, clock),
            pacer,
            self._turn_pacer,
        )
        self._hint_builder = hint_builder.HintBuilder(
            queue, adapters, pacer, self._turn_pacer, self._watch
        )
        self._admission = admission_module.Admission(
            engine, source, self._turn_pacer
        )
        self._put_off = put_off_queue.PutOffQueue(clock, self._has_room)
        self._decider: turn_decision.TurnDecider = self._admission
        if parts_module.Part.CALLER_LOSS in parts:
            self._decider = caller_loss.CallerLoss(
                self._admission, engine, self._put_off, clock, source
            )
        self._run_durations = run_duration.RunDurationEstimator()
        self._start_wait = start_wait.StartWait(engine, self._admission)

    def __len__(self) -> int:
        """Return the number of granted and pending turns."""
        return len(self._turns)

    async def request_turn(
        self, request: turn_messages.TurnRequest
    ) -> turn_messages.TurnReply:
        """Grant or refuse a turn, or reply that it is still pending."""
        self._entries.record(request.entry)
        if await self._start_wait.wait(request):
            return self._reply(True, is_silent=self._engine.is_silent)
        turn = self._turns.get(request.turn_id)
        if turn is None:
            refusal = self._isolation.refusal(
                request, self._turns.values(), self._clock.monotonic_s()
            )
            if refusal is not None:
                return self._refused(request, refusal)
            name = self._slot_name(request)
            wait = self._wait_estimator.estimate(
                request, name, self._decider.order_s(request)
            )
            is_above_share = self._exceeds_fair_share(request, wait)
            run_s = self._expected_run_s(request)
            decision = self._decider.decide(
                request, wait, run_s, is_above_share
            )
            if decision.refusal is not None:
                return self._refused(
                    request,
                    decision.refusal,
                    wait.total_s,
                    is_above_share,
                    decision.is_return,
                )
            refusal = answer_deadline.refusal(
                request, wait, self._watch.deciding_pace
            )
            if refusal is not None:
                return self._refused(request, refusal)
            turn = self._add_turn(request, wait, run_s, decision)
        assert turn.task is not None
        wait_s = request.wait_ms / _MS_PER_S
        turn.record_ask(self._clock.monotonic_s(), wait_s)
        done, _ = await asyncio.wait([turn.task], timeout=wait_s)
        if not done:
            return self._reply(is_pending=True)
        if turn.task.cancelled():
            refusal = turn.refusal or errors.RefusalError(
                errors.ErrorKind.CALLER_GONE,
                'the turn ended before it was granted',
            )
            return self._refused(request, refusal)
        return turn.task.result()

    async def end_turns(self, turn_ids: Iterable[str]) -> None:
        """End turns that are finished or no longer needed."""
        for turn_id in turn_ids:
            turn = self._turns.get(turn_id)
            if turn is not None:
                self._record_run_time(turn)
            await self._end(turn_id)

    async def end_stale(
        self, run_ids: Collection[str], polled_at_s: float, is_queueing: bool
    ) -> None:
        """End expired turns and those whose runs the engine doesn't report.

        Parameters
        ----------
        run_ids
            Runs in progress at the engine, as of `polled_at_s`.
        is_queueing
            Whether the engine has accepted requests that it has not
            started, and whose runs it does not report.
        """
        now_s = self._clock.monotonic_s()
        for turn_id, turn in list(self._turns.items()):
            if turn.request.run_id in run_ids:
                turn.record_reported(polled_at_s, now_s)
            if now_s >= turn.deadline_at_s or (
                not is_queueing and turn.is_missing(polled_at_s)
            ):
                self._outcomes.record_lapsed(turn, now_s)
                await self._end(turn_id)

    async def end_all(self) -> None:
        """End every turn, after the engine has restarted."""
        await self.refuse_pending()
        for turn_id in list(self._turns):
            await self._end(turn_id)

    async def refuse_pending(self) -> None:
        """Refuse the pending turns and keep the granted ones.

        A leaving engine must get no new work, and one that is down can't
        run any.  Otherwise a request that waits for its adapter would be
        sent long after the engine has announced that it is leaving.
        """
        for turn_id, turn in list(self._turns.items()):
            if turn.granted_at_s is None:
                turn.refusal = self._admission.not_serving_refusal()
                await self._end(turn_id)

    async def apply_limit(self, per_s: float | None) -> None:
        """Apply the request rate limit that the engine names.

        Parameters
        ----------
        per_s
            Requests per second; ``None`` for no limit.
        """
        if per_s == self._limit_per_s:
            return
        self._limit_per_s = per_s
        now_s = self._clock.monotonic_s()
        unsent_count = sum(
            turn.may_be_unsent(now_s) for turn in self._turns.values()
        )
        self._turn_pacer.apply_limit(
            per_s, unsent_count, now_s - self._last_granted_at_s
        )
        if per_s is not None:
            await self._refuse_unreachable()

    async def _refuse_unreachable(self) -> None:
        """Refuse the pending turns that the limit allows too late."""
        now_s = self._clock.monotonic_s()
        pending_count = 0
        for turn_id, turn in list(self._turns.items()):
            if turn.granted_at_s is not None:
                continue
            wait_s = self._turn_pacer.wait_behind_s(pending_count)
            if now_s + wait_s <= turn.start_by_s:
                pending_count += 1
                continue
            turn.refusal = errors.RefusalError(
                errors.ErrorKind.SERVER_LIMITED,
                'the engine accepts fewer requests now',
                retry_after_s=self._turn_pacer.next_return_s(wait_s),
            )
            await self._end(turn_id)

    def _exceeds_fair_share(
        self,
        request: turn_messages.TurnRequest,
        wait: wait_estimator.WaitEstimate,
    ) -> bool:
        if not self._decider.has_contention(wait):
            return False
        return fair_share.is_exceeded(
            request,
            (t.request for t in self._turns.values() if not t.is_put_off),
        )

    def _add_turn(
        self,
        request: turn_messages.TurnRequest,
        wait: wait_estimator.WaitEstimate,
        run_s: float,
        decision: turn_decision.Decision,
    ) -> turn_lease.TurnLease:
        now_s = self._clock.monotonic_s()
        deadline_at_s = now_s + request.deadline_ms / _MS_PER_S
        turn = turn_lease.TurnLease(
            request, now_s, deadline_at_s, wait, run_s, decision=decision
        )
        turn.is_put_off = decision.tier is turn_decision.Tier.PUT_OFF
        self._turns[request.turn_id] = turn
        if not turn.is_put_off:
            self._expect_work(turn)
        turn.task = asyncio.create_task(self._acquire(turn))
        return turn

    def _expect_work(self, turn: turn_lease.TurnLease) -> None:
        turn.expected_work.enter_context(
            self._pacer.expecting(turn.request.prompt_tokens)
        )
        turn.expected_work.enter_context(self._turn_pacer.expecting())

    async def _acquire(
        self, turn: turn_lease.TurnLease
    ) -> turn_messages.TurnReply:
        request = turn.request
        try:
            await self._acquire_resources(turn)
        except errors.RefusalError as error:
            self._decider.record_refused(
                request, error, self._clock.monotonic_s() - turn.requested_at_s
            )
            await self._end(request.turn_id, from_task=True)
            return self._refused(request, error)
        except BaseException:
            await self._end(request.turn_id, from_task=True)
            raise
        turn.granted_at_s = self._clock.monotonic_s()
        self._last_granted_at_s = turn.granted_at_s
        self._watch.record_granted(request)
        name = self._slot_name(request)
        version = self._engine.held_version(name) if name else 0
        self._outcomes.record_granted(turn, name, version)
        return self._reply(version=version)

    async def _acquire_resources(self, turn: turn_lease.TurnLease) -> None:
        request = turn.request
        if turn.is_put_off:
            await self._put_off.wait(turn)
            self._expect_work(turn)
        name = self._slot_name(request)
        order = turn_order.work_order(turn, name)
        order_s = turn.decision.order_s
        reservation = await turn.resources.enter_async_context(
            self._queue.reserve(order, order_s or 0.0)
        )
        turn.record_step(self._clock.monotonic_s())
        if name:
            waited_s = self._clock.monotonic_s() - turn.requested_at_s
            remaining_s = request.start_within_ms / _MS_PER_S - waited_s
            await turn.resources.enter_async_context(
                self._adapters.hold(
                    name, remaining_s, use_s=self._expected_slot_use_s(request)
                )
            )
        turn.record_step(self._clock.monotonic_s())
        await turn.resources.enter_async_context(reservation.turn())
        turn.record_step(self._clock.monotonic_s())
        turn.expected_work.close()
        place = (request.flow, request.rank, request.weight, order_s)
        await self._turn_pacer.admit(*place)
        turn.record_step(self._clock.monotonic_s())
        await self._pacer.admit(request.prompt_tokens, *place)

    def _has_room(self, request: turn_messages.TurnRequest) -> bool:
        """Whether a request could start now without delaying another one."""
        name = self._slot_name(request)
        wait = self._wait_estimator.estimate(request, name, math.inf)
        return wait.is_unhindered

    def _expected_slot_use_s(
        self, request: turn_messages.TurnRequest
    ) -> float:
        """Return how long a request is expected to use its adapter slot."""
        prompt_s = self._pacer.wait_s(
            request.prompt_tokens,
            request.flow,
            request.rank,
            weight=request.weight,
        )
        return prompt_s + self._expected_run_s(request)

    def _expected_run_s(self, request: turn_messages.TurnRequest) -> float:
        return self._run_durations.expected_s(request.length_tokens)

    def _record_run_time(self, turn: turn_lease.TurnLease) -> None:
        if turn.granted_at_s is None:
            return
        request = turn.request
        run_s = turn.run_time_s(self._clock.monotonic_s())
        self._run_durations.record(request.length_tokens, run_s)

    async def _end(self, turn_id: str, from_task: bool = False) -> None:
        turn = self._turns.pop(turn_id, None)
        if turn is None:
            return
        if not from_task and turn.task is not None:
            if not turn.task.done():
                turn.task.cancel()
                await asyncio.wait([turn.task])
        turn.expected_work.close()
        await turn.resources.aclose()

    def _slot_name(self, request: turn_messages.TurnRequest) -> str:
        if not request.adapter:
            return ''
        return self._engine.slot_name(
            request.model, request.adapter, request.version
        )

    def _refused(
        self,
        request: turn_messages.TurnRequest,
        error: errors.RefusalError,
        wait_s: float = 0.0,
        is_above_share: bool = False,
        is_return: bool = False,
    ) -> turn_messages.TurnReply:
        self._outcomes.record_refused(
            request, error, is_above_share, is_return
        )
        return self._reply(
            refusal=error.kind,
            detail=error.detail,
            retry_after_ms=int((error.retry_after_s or 0.0) * _MS_PER_S),
            wait_ms=int(wait_s * _MS_PER_S),
            is_silent=self._engine.is_silent,
        )

    def _reply(
        self,
        is_pending: bool = False,
        version: int = 0,
        refusal: errors.ErrorKind | None = None,
        detail: str = '',
        retry_after_ms: int = 0,
        wait_ms: int = 0,
        is_silent: bool = False,
    ) -> turn_messages.TurnReply:
        return turn_messages.TurnReply(
            backend_server=self._engine.backend_server,
            version=version,
            is_pending=is_pending,
            refusal=refusal,
            detail=detail,
            retry_after_ms=retry_after_ms,
            configuration_version=self._configuration_version(),
            entry_count=self._entries.estimate(),
            hint=self._hint_builder.build(),
            started_at_ms=self._engine.started_at_ms,
            wait_ms=wait_ms,
            is_silent=is_silent,
        )
