"""A turn at another server, acquired while an attempt still waits."""

import asyncio
from collections.abc import Callable
import contextlib

import structlog

from lacewingpitch import clock as clock_module
from lacewingpitch import ejection
from lacewingpitch import errors
from lacewingpitch import retry_charges
from lacewingpitch import turn_spec

# Between two tries to get a turn elsewhere.
_SEARCH_INTERVAL_S = 0.25
# A sound server goes on before this.  Until then a part of the retry budget
# is kept for attempts that have failed, and no server is tried that may turn
# the request away.
_SOUND_SILENCE_S = 2.5
# No part is kept in the last tries that can still help.
_LAST_TRIES_S = 0.3
_MS_PER_S = 1000
log = structlog.get_logger(__name__)

# Acquires a turn; with `True`, only at a server that is known to serve.
TurnSource = Callable[
    [bool], contextlib.AbstractAsyncContextManager[turn_spec.Turn]
]


class StandbyTurn:
    """Looks for another server while the one of an attempt is silent.

    A sound server may be silent for a moment and go on.  Its attempt is
    abandoned only for a turn that is held and paid for, and otherwise waits
    until the request's deadline.  Designed for servers that run dozens of
    streams as they fall silent: most of these stay, and the retry budget
    lasts for attempts that have no choice.

    Parameters
    ----------
    acquire
        Acquires a turn at another server.
    service
        Service that is charged for the next attempt.
    attempt
        Number of the next attempt.
    server_name
        The server of the current attempt.
    request_id
        Request, for the log.
    may_move
        Whether the request may be sent once more.
    move_by_s
        Returns the latest useful monotonic time for another attempt.
    is_isolated
        Whether the attempt runs as the only suspect.  No second one may
        start beside it, so that it is left as soon as a retry is paid for.
    """

    def __init__(
        self,
        acquire: TurnSource,
        charges: retry_charges.RetryCharges,
        ejector: ejection.Ejector,
        clock: clock_module.Clock,
        *,
        service: str,
        attempt: int,
        server_name: str,
        request_id: str,
        may_move: bool,
        move_by_s: Callable[[], float],
        is_isolated: bool = False,
    ) -> None:
        self._acquire = acquire
        self._charges = charges
        self._ejector = ejector
        self._clock = clock
        self._service = service
        self._attempt = attempt
        self._server_name = server_name
        self._request_id = request_id
        self._may_move = may_move
        self._move_by_s = move_by_s
        self._is_isolated = is_isolated
        self._is_left = False
        self._silent_since_s = 0.0
        self._is_silent = False
        self._is_charged = False
        self._search: asyncio.Task[None] | None = None
        self._ending: set[asyncio.Task[None]] = set()
        self._turn: turn_spec.Turn | None = None
        self._exits = contextlib.AsyncExitStack()

    @property
    def is_left(self) -> bool:
        """Whether the server was left, with the next attempt paid for."""
        return self._is_left

    def start(self, waiting_s: float, on_left: Callable[[], None]) -> None:
        """Look for a turn elsewhere, as the server has not answered in time.

        Parameters
        ----------
        waiting_s
            How long the attempt has waited.
        on_left
            Called once the server is left.
        """
        self._is_silent = True
        self._silent_since_s = self._clock.monotonic_s() - waiting_s
        self._ejector.record_silence(self._server_name)
        if self._may_move:
            self._search = asyncio.create_task(self._find(on_left))

    def stop(self, error_kind: type[BaseException] | None) -> None:
        """Stop looking, as the wait has ended.

        Parameters
        ----------
        error_kind
            What ended it; ``None`` if the server has gone on.
        """
        if not self._is_silent:
            return
        self._is_silent = False
        if self._search is not None:
            self._search.cancel()
            self._ending.add(self._search)
            self._search.add_done_callback(self._ending.discard)
            self._search = None
        if self._is_charged:
            self._charges.refund()
            self._is_charged = False
        if error_kind is asyncio.CancelledError:
            return
        # How the attempt ends counts by itself.
        self._ejector.retract_silence(self._server_name)
        if error_kind is None:
            self._log('backend server goes on')

    async def take(
        self, exits: contextlib.AsyncExitStack
    ) -> turn_spec.Turn | None:
        """Move the turn to `exits` and return it; ``None`` without one."""
        turn, self._turn = self._turn, None
        if turn is not None:
            exits.push_async_exit(self._exits.pop_all())
        return turn

    async def close(self) -> None:
        """Stop looking, and release a turn that was not taken."""
        self.stop(asyncio.CancelledError)
        if self._ending:
            await asyncio.wait(self._ending)
        await self._exits.aclose()

    async def _find(self, on_left: Callable[[], None]) -> None:
        try:
            while not self._try_charge() or not await self._try_acquire():
                await asyncio.sleep(_SEARCH_INTERVAL_S)
        except Exception:
            # The attempt itself goes on.
            log.exception(
                'search for another server failed',
                request_id=self._request_id,
            )
            return
        self._search = None
        self._is_charged = False
        self._is_silent = False
        self._is_left = True
        to = self._turn.server.name if self._turn is not None else ''
        self._log('silent backend server left', to=to)
        on_left()

    @property
    def _may_be_sound(self) -> bool:
        """Whether the silent server may go on in time."""
        return self._clock.monotonic_s() < min(
            self._silent_since_s + _SOUND_SILENCE_S,
            self._move_by_s() - _LAST_TRIES_S,
        )

    def _try_charge(self) -> bool:
        self._is_charged = self._charges.try_charge_early(
            self._service, self._attempt, keeps_part=self._may_be_sound
        )
        return self._is_charged

    async def _try_acquire(self) -> bool:
        """Acquire a turn elsewhere; refund the charge without one."""
        if self._is_isolated:
            return True
        async with contextlib.AsyncExitStack() as exits:
            with contextlib.suppress(errors.RefusalError):
                turn = await exits.enter_async_context(
                    self._acquire(self._may_be_sound)
                )
                if self._charges.try_move(turn.server.service):
                    self._turn = turn
                    self._exits = exits.pop_all()
                    return True
        self._charges.refund()
        self._is_charged = False
        return False

    def _log(self, event: str, **fields: str) -> None:
        silent_s = self._clock.monotonic_s() - self._silent_since_s
        log.info(
            event,
            request_id=self._request_id,
            backend_server=self._server_name,
            silent_ms=round(silent_s * _MS_PER_S),
            **fields,
        )
