"""Carries out the move of one run to another engine."""

import asyncio
from collections.abc import Callable, Collection
import contextlib
import dataclasses
from typing import Protocol

import structlog

from lacewingpitch import backend_list
from lacewingpitch import clock as clock_module
from lacewingpitch import errors
from lacewingpitch import run_memory
from lacewingpitch import run_move
from lacewingpitch import turn_spec

# Time for a copy beyond that of its bytes: setup, copies queued before it on
# the same links, and the round trip.
_COPY_MARGIN_S = 0.5
# A sound source may be silent for this long.  Nothing is gained by giving up
# its answer sooner in the last try, or once it may have stopped the run.
_SILENCE_S = 2.0
# As a multiple of the expected duration of a copy.
_COPY_TIMEOUT_RATIO = 4.0
_MS_PER_S = 1000
log = structlog.get_logger(__name__)


class TurnSource(Protocol):
    """Grants turns at engines."""

    def acquire(
        self, spec: turn_spec.TurnSpec, excluded: Collection[str]
    ) -> contextlib.AbstractAsyncContextManager[turn_spec.Turn]:
        """Acquire a turn and hold it while the context is open."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class Services:
    """What carries out the steps of moves.

    Parameters
    ----------
    try_withdraw
        Withdraws one retry from the budget of a service; returns whether
        there was one.
    free
        Frees an unused copy, in the background.
    """

    memory: run_memory.RunMemory
    turns: TurnSource
    clock: clock_module.Clock
    try_withdraw: Callable[[str], bool]
    free: Callable[[run_memory.MemoryHandle, backend_list.BackendServer], None]


@dataclasses.dataclass(frozen=True, slots=True)
class TransferSpec:
    """Which run moves, and what its next engine must provide.

    Parameters
    ----------
    turn
        Requirements for a turn at the target.
    excluded
        Engines that are no targets.
    link
        How the engines copy memory.
    tokens
        Expected number of tokens in memory.
    events
        Events that were passed on when the move began.
    remainder_s
        Expected time until the run ends.
    is_last_try
        Whether the run stays where it is if this move fails.
    """

    source: backend_list.BackendServer
    turn: turn_spec.TurnSpec
    excluded: frozenset[str]
    link: run_memory.MemoryLink
    tokens: int
    events: int
    remainder_s: float
    is_last_try: bool = False


class RunTransfer:
    """One move of one run, from the first turn to its end.

    Parameters
    ----------
    on_stopped
        Called once the source has stopped the run.
    on_end
        Called once with the state in which the move ends.

    Attributes
    ----------
    turn
        Turn at the target; ``None`` before it is granted.
    exits
        Holds the turn.
    """

    def __init__(
        self,
        spec: TransferSpec,
        services: Services,
        on_stopped: Callable[[], None],
        on_end: Callable[['RunTransfer'], None],
    ) -> None:
        self.spec = spec
        self.state = run_move.MoveState()
        self.turn: turn_spec.Turn | None = None
        self.exits = contextlib.AsyncExitStack()
        self._services = services
        self._on_stopped = on_stopped
        self._on_end = on_end
        self._began_at_s = services.clock.monotonic_s()
        self._is_abandoned = False
        self._task: asyncio.Task[None] | None = None

    def start(self) -> asyncio.Task[None]:
        """Start the move, which waits for nobody."""
        self._task = asyncio.create_task(self._run())
        return self._task

    async def wait_until_decided(self) -> bool:
        """Wait until the target may be asked, or the move has ended.

        Returns
        -------
        bool
            Whether the source has stopped and the target may be asked.
        """
        assert self._task is not None
        await asyncio.wait([self._task])
        return self.state.phase is run_move.Phase.READY

    def handle(self) -> run_memory.MemoryHandle:
        """Return the handle with which the run continues."""
        return run_memory.MemoryHandle(self.spec.source, self.state.handle)

    async def abandon(self) -> None:
        """End the move, as nobody waits for the run any more."""
        self._is_abandoned = True
        assert self._task is not None
        if self.state.phase is run_move.Phase.TURN:
            self._task.cancel()
            await asyncio.wait([self._task])
        if self._task.done():
            await self.end(self.state.abandoned())

    async def end(self, state: run_move.MoveState) -> None:
        """Record how the move has ended; free what it does not use."""
        if self.state.has_ended:
            return
        self.state = state
        self._log()
        if state.handle and self.turn is not None:
            self._services.free(self.handle(), self.turn.server)
        self._on_end(self)
        if state.phase is not run_move.Phase.MOVED:
            await self.exits.aclose()

    async def _run(self) -> None:
        try:
            await self._prepare()
        except errors.RefusalError as error:
            await self.end(self.state.without(f'no turn: {error.kind}'))
        except asyncio.CancelledError:
            await self.end(self.state.abandoned())
            raise
        if self._is_abandoned:
            await self.end(self.state.abandoned())

    async def _prepare(self) -> None:
        """Copy the memory, and have the source stop."""
        spec = self.spec
        self.turn = await self.exits.enter_async_context(
            self._services.turns.acquire(spec.turn, spec.excluded)
        )
        if self.turn.version != spec.turn.version:
            # A run must end on the version that it began on.
            await self.end(self.state.without('other version'))
            return
        self.state = self.state.with_turn()
        self.state = await self._apply(
            self.state.copied(await self._copy(is_last=False))
        )
        if self.state.phase is not run_move.Phase.STOP or self._is_abandoned:
            return
        if not self._services.try_withdraw(spec.turn.service):
            await self.end(self.state.without('retry budget exhausted'))
            return
        while self.state.phase is run_move.Phase.STOP:
            if self._is_abandoned:
                return
            self.state = self.state.stopping()
            self.state = await self._apply(
                self.state.stopped(await self._copy(is_last=True))
            )
        if self.state.phase is run_move.Phase.READY:
            self._on_stopped()

    async def _apply(self, state: run_move.MoveState) -> run_move.MoveState:
        if state.has_ended:
            await self.end(state)
        return state

    async def _copy(self, is_last: bool) -> run_memory.CopyAnswer:
        assert self.turn is not None
        spec = self.spec
        timeout_s = _COPY_MARGIN_S
        timeout_s += _COPY_TIMEOUT_RATIO * spec.link.copy_s(spec.tokens)
        if spec.is_last_try or self.state.stop_count > 1:
            timeout_s += _SILENCE_S
        return await self._services.memory.copy(
            spec.source,
            self.turn.server,
            spec.turn.run_id,
            is_last,
            timeout_s,
        )

    def _log(self) -> None:
        now_s = self._services.clock.monotonic_s()
        log.info(
            'run move ended',
            request_id=self.spec.turn.run_id,
            source=self.spec.source.name,
            target=self.turn.server.name if self.turn else '',
            outcome=self.state.phase.value,
            reason=self.state.reason,
            events=self.spec.events,
            remainder_ms=round(self.spec.remainder_s * _MS_PER_S),
            took_ms=round((now_s - self._began_at_s) * _MS_PER_S),
        )
