"""Moves runs from engines that leave to others.

Answers the load that an engine runs when it leaves: streams that their callers
cannot resume, and that last longer than the engine does.
"""

import asyncio
import collections
from collections.abc import AsyncIterator, Callable
import contextlib
import dataclasses
import math

import structlog

from lacewingpitch import answer_reading
from lacewingpitch import backend_call
from lacewingpitch import backend_list
from lacewingpitch import clock as clock_module
from lacewingpitch import ejection
from lacewingpitch import moving_run
from lacewingpitch import request_history
from lacewingpitch import request_turns
from lacewingpitch import run_duration
from lacewingpitch import run_memory
from lacewingpitch import run_move
from lacewingpitch import run_transfer
from lacewingpitch import service_budgets
from lacewingpitch import standby_turn

# Moves of one entry at once, so that copies queue only briefly.
_MAX_FROM_ENGINE = 4
_MAX_TO_ENGINE = 2
# Moves of one run that were tried without stopping it.
_MAX_TRIES = 3
_CHECK_INTERVAL_S = 0.05
# Engines serve for some time after their expected end.
_MAX_OVERTIME_S = 10.0
# Time to wait for a turn, which includes the load of an adapter.  The stream
# goes on meanwhile.
_TURN_WITHIN_S = 0.9
# A run that stayed is tried again after this time.
_RETRY_INTERVAL_S = 0.2
# Turns of moves differ in their ids from those of attempts.
_FIRST_TURN = 1000
_CLOSE_TIMEOUT_S = 1.0
log = structlog.get_logger(__name__)


class RunMover:
    """Follows the streams of one entry, and moves them when engines leave.

    Parameters
    ----------
    memory
        Copies the memory of runs.
    link_of
        Returns how the engines of a service copy memory; ``None`` if they
        do not.
    serving_s
        Time for which an engine serves after it has announced that it
        leaves.
    news_delay_s
        Time after which this entry has heard the announcement.

    Attributes
    ----------
    move_counts
        Moves that have ended, by outcome.
    copied_bytes
        Expected size of the memory of runs that have moved.
    """

    def __init__(
        self,
        memory: run_memory.RunMemory,
        client: backend_call.BackendClient,
        turns: run_transfer.TurnSource,
        budgets: service_budgets.ServiceBudgets,
        ejector: ejection.Ejector,
        servers: backend_list.BackendList,
        link_of: Callable[[str], run_memory.MemoryLink | None],
        clock: clock_module.Clock,
        serving_s: float,
        news_delay_s: float,
    ) -> None:
        self._memory = memory
        self._client = client
        self._ejector = ejector
        self._link_of = link_of
        self._clock = clock
        self._serving_s = serving_s
        self._news_delay_s = news_delay_s
        self._durations = run_duration.RunDurationEstimator()
        self._runs: collections.defaultdict[str, set[moving_run.MovingRun]] = (
            collections.defaultdict(set)
        )
        self._transfers: set[run_transfer.RunTransfer] = set()
        # By start id, of engines that leave.
        self._leaving: dict[str, asyncio.Task[None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._services = run_transfer.Services(
            memory, turns, clock, budgets.try_withdraw, self._free
        )
        self._subscription = servers.leavings.subscribe(self._on_leaving)
        self.move_counts: collections.Counter[str] = collections.Counter()
        self.copied_bytes = 0

    @property
    def run_count(self) -> int:
        """Return how many streams it follows."""
        return sum(len(runs) for runs in self._runs.values())

    @contextlib.asynccontextmanager
    async def open(
        self,
        call: backend_call.BackendCall,
        answer: backend_call.BackendAnswer,
        history: request_history.RequestHistory,
        standby: standby_turn.StandbyTurn | None,
    ) -> AsyncIterator[AsyncIterator[bytes]]:
        """Yield the events of a stream, which may move while it is read."""
        if not self._follows(call):
            yield answer_reading.read_events(
                call.request, answer, history.splitter, standby
            )
            return
        run = moving_run.MovingRun(
            call,
            answer,
            history,
            self._client,
            self._ejector,
            self._on_placed,
        )
        self._runs[call.server.start_id].add(run)
        async with contextlib.AsyncExitStack() as exits:
            exits.push_async_callback(run.close)
            exits.callback(lambda: self._forget(run, run.call))
            yield await exits.enter_async_context(
                contextlib.aclosing(run.events())
            )
            self._record_duration(run)

    async def close(self) -> None:
        """End all moves, after some time to free copies."""
        self._subscription.dispose()
        for task in self._leaving.values():
            task.cancel()
        pending = {*self._tasks, *self._leaving.values()}
        if pending:
            await asyncio.wait(pending, timeout=_CLOSE_TIMEOUT_S)
        for task in self._tasks:
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)

    def _follows(self, call: backend_call.BackendCall) -> bool:
        # Streams that may be resumed read their prompt again elsewhere, and
        # only if their engine does end before them.
        if call.request.route.is_resumable:
            return False
        return self._link_of(call.server.service) is not None

    def _on_placed(
        self, run: moving_run.MovingRun, before: backend_call.BackendCall
    ) -> None:
        self._forget(run, before)
        self._runs[run.call.server.start_id].add(run)

    def _forget(
        self, run: moving_run.MovingRun, call: backend_call.BackendCall
    ) -> None:
        start_id = call.server.start_id
        runs = self._runs[start_id]
        runs.discard(run)
        if not runs:
            del self._runs[start_id]

    def _record_duration(self, run: moving_run.MovingRun) -> None:
        began_at_s = run.history.run_began_at_s
        if began_at_s:
            self._durations.record(
                _expected_tokens(run), self._clock.monotonic_s() - began_at_s
            )

    def _on_leaving(self, server: backend_list.BackendServer) -> None:
        if server.start_id in self._leaving:
            return
        if self._link_of(server.service) is None:
            return
        serving_s = server.leaves_in_s or self._serving_s
        left_s = max(0.0, serving_s - self._news_delay_s)
        end_at_s = self._clock.monotonic_s() + left_s
        task = asyncio.create_task(self._vacate(server, end_at_s))
        self._leaving[server.start_id] = task
        task.add_done_callback(_log_failure)

    async def _vacate(
        self, server: backend_list.BackendServer, end_at_s: float
    ) -> None:
        """Move the runs of an engine that leaves, until it must be gone."""
        try:
            while self._clock.monotonic_s() < end_at_s + _MAX_OVERTIME_S:
                self._move_due(server, end_at_s)
                await asyncio.sleep(_CHECK_INTERVAL_S)
        finally:
            del self._leaving[server.start_id]

    def _move_due(
        self, server: backend_list.BackendServer, end_at_s: float
    ) -> None:
        left_s = end_at_s - self._clock.monotonic_s()
        if left_s > run_move.LEAD_S:
            return
        remainders_s = {
            run: self._remainder_s(run)
            for run in self._runs.get(server.start_id, ())
            if self._is_movable(run)
        }
        due = [
            run
            for run, remainder_s in remainders_s.items()
            if run_move.is_due(remainder_s, left_s)
        ]
        due.sort(key=lambda run: remainders_s[run], reverse=True)
        free_count = _MAX_FROM_ENGINE - self._moves_from(server)
        for run in due[: max(0, free_count)]:
            self._move(run, remainders_s[run])

    def _is_movable(self, run: moving_run.MovingRun) -> bool:
        if run.transfer is not None or not run.may_move:
            return False
        if run.try_count >= _MAX_TRIES:
            return False
        if self._clock.monotonic_s() < run.next_try_at_s:
            return False
        return run.history.splitter.event_count > 0

    def _remainder_s(self, run: moving_run.MovingRun) -> float:
        """Return the expected time until a run ends.

        An overdue run is expected to last as long again as it is overdue.
        """
        elapsed_s = self._clock.monotonic_s() - run.history.run_began_at_s
        expected_s = self._durations.expected_s(_expected_tokens(run))
        return abs(expected_s - elapsed_s)

    def _move(self, run: moving_run.MovingRun, remainder_s: float) -> None:
        spec = self._transfer_spec(run, remainder_s)
        if spec is None:
            return
        run.try_count += 1
        run.next_try_at_s = self._clock.monotonic_s() + _RETRY_INTERVAL_S
        transfer = run_transfer.RunTransfer(
            spec,
            self._services,
            run.cut_soon,
            lambda ended: self._on_end(run, ended),
        )
        run.transfer = transfer
        self._transfers.add(transfer)
        self._track(transfer.start())

    def _transfer_spec(
        self, run: moving_run.MovingRun, remainder_s: float
    ) -> run_transfer.TransferSpec | None:
        call = run.call
        link = self._link_of(call.server.service)
        if link is None:
            return None
        now_s = self._clock.monotonic_s()
        turn = request_turns.new_spec(
            call.request,
            run.history,
            call.server.service,
            call.adapter_version,
        )
        expected_tokens = _expected_tokens(run)
        elapsed_s = now_s - run.history.run_began_at_s
        left_ratio = remainder_s / max(remainder_s + elapsed_s, 1e-9)
        left_tokens = math.ceil(expected_tokens * left_ratio)
        start_by_s = min(now_s + _TURN_WITHIN_S, call.deadline_at_s)
        turn = dataclasses.replace(
            turn,
            attempt=_FIRST_TURN + run.try_count,
            # Nothing of the prompt is read again.
            prompt_tokens=0,
            expected_tokens=max(1, left_tokens),
            start_by_s=start_by_s,
            target_at_s=start_by_s,
        )
        return run_transfer.TransferSpec(
            source=call.server,
            turn=turn,
            excluded=self._busy_targets().union(run.history.servers),
            link=link,
            tokens=(
                call.request.prompt_tokens + expected_tokens - left_tokens
            ),
            events=run.history.splitter.event_count,
            remainder_s=remainder_s,
            is_last_try=run.try_count + 1 >= _MAX_TRIES,
        )

    def _moves_from(self, server: backend_list.BackendServer) -> int:
        return sum(
            transfer.spec.source.start_id == server.start_id
            for transfer in self._transfers
        )

    def _busy_targets(self) -> frozenset[str]:
        """Return the names of engines that get enough runs now."""
        counts = collections.Counter(
            transfer.turn.server.name
            for transfer in self._transfers
            if transfer.turn is not None
        )
        return frozenset(
            name for name, count in counts.items() if count >= _MAX_TO_ENGINE
        )

    def _on_end(
        self, run: moving_run.MovingRun, ended: run_transfer.RunTransfer
    ) -> None:
        state = ended.state
        spec = ended.spec
        self.move_counts[state.phase.value] += 1
        self._transfers.discard(ended)
        if state.phase is run_move.Phase.MOVED:
            self.copied_bytes += round(spec.tokens * spec.link.token_bytes)
        if state.may_have_stopped:
            # The stream must still learn that its end is doubtful.
            run.may_move = state.phase is run_move.Phase.MOVED
        elif run.transfer is ended:
            run.transfer = None

    def _free(
        self,
        handle: run_memory.MemoryHandle,
        target: backend_list.BackendServer,
    ) -> None:
        self._track(asyncio.create_task(self._free_copy(handle, target)))

    async def _free_copy(
        self,
        handle: run_memory.MemoryHandle,
        target: backend_list.BackendServer,
    ) -> None:
        if await self._memory.free(handle.source, handle.text):
            return
        # The source may have ended; the copy is at the target.
        await self._memory.free(target, handle.text)

    def _track(self, task: asyncio.Task[None]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        _log_failure(task)


def _log_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        log.error('run move failed', exc_info=task.exception())


def _expected_tokens(run: moving_run.MovingRun) -> int:
    request = run.call.request
    return request.expected_tokens or request.max_tokens
