"""A stream whose run may move to another engine while it is read."""

import asyncio
from collections.abc import AsyncGenerator, Callable
import contextlib
import dataclasses

from lacewingpitch import answer_reading
from lacewingpitch import backend_call
from lacewingpitch import cuttable_chunks
from lacewingpitch import ejection
from lacewingpitch import errors
from lacewingpitch import request_history
from lacewingpitch import run_move
from lacewingpitch import run_transfer

# Events that the source sent before it stopped arrive within this time.
_LAST_EVENTS_S = 0.1
_OK = 200


class MovingRun:
    """One run, at one engine after another, as one stream.

    Parameters
    ----------
    call
        The attempt that the current engine runs.
    answer
        Its answer.
    on_placed
        Called each time that the run has begun at another engine, with the
        server that it was on before.

    Attributes
    ----------
    transfer
        The move in progress, if any.
    try_count
        Moves that were tried.
    next_try_at_s
        Monotonic time before which no other move is tried.
    may_move
        Whether another move may be tried.
    """

    def __init__(
        self,
        call: backend_call.BackendCall,
        answer: backend_call.BackendAnswer,
        history: request_history.RequestHistory,
        client: backend_call.BackendClient,
        ejector: ejection.Ejector,
        on_placed: Callable[['MovingRun', backend_call.BackendCall], None],
    ) -> None:
        self.call = call
        self.history = history
        self.transfer: run_transfer.RunTransfer | None = None
        self.try_count = 0
        self.next_try_at_s = 0.0
        self.may_move = True
        self._client = client
        self._ejector = ejector
        self._on_placed = on_placed
        self._answer = answer
        self._chunks = cuttable_chunks.CuttableChunks(answer.chunks)
        self._exits = contextlib.AsyncExitStack()

    async def close(self) -> None:
        """Give up a move in progress, and end the run where it is."""
        if self.transfer is not None:
            await self.transfer.abandon()
        await self._exits.aclose()

    async def events(self) -> AsyncGenerator[bytes, None]:
        """Yield the events of the stream, in their order.

        Raises
        ------
        AnswerLostError
            The stream broke off, and the run does not continue elsewhere.
        """
        request = self.call.request
        splitter = self.history.splitter
        while True:
            answer = dataclasses.replace(self._answer, chunks=self._chunks)
            try:
                async for events in answer_reading.read_events(
                    request, answer, splitter
                ):
                    yield events
                if await self._is_whole():
                    return
                lost = backend_call.AnswerLostError('the run was stopped')
            except backend_call.AnswerLostError as error:
                lost = error
            await self._continue_elsewhere(lost)

    def cut_soon(self) -> None:
        """Stop to wait for events of an engine that has stopped the run."""
        loop = asyncio.get_running_loop()
        loop.call_later(_LAST_EVENTS_S, self._chunks.cut)

    async def _is_whole(self) -> bool:
        """Whether a body that has ended is complete.

        An engine that stops a run closes its connection, which looks like
        the end of a body that does not mark its own.
        """
        transfer = self.transfer
        if self._answer.is_framed or transfer is None:
            return True
        if not transfer.state.may_have_stopped:
            return True
        await transfer.wait_until_decided()
        return transfer.state.phase is run_move.Phase.KEPT

    async def _continue_elsewhere(
        self, lost: backend_call.AnswerLostError
    ) -> None:
        """Have the target of the move continue the run.

        Raises
        ------
        AnswerLostError
            There is no move, or it has failed.
        """
        transfer = self.transfer
        if transfer is None or not transfer.state.may_have_stopped:
            raise lost
        if not await transfer.wait_until_decided():
            raise lost
        assert transfer.turn is not None
        self.history.splitter.drop_partial_event()
        call = dataclasses.replace(
            self.call,
            server=transfer.turn.server,
            last_event_id=self.history.splitter.last_id,
            memory=transfer.handle(),
        )
        self._exits.push_async_callback(transfer.exits.aclose)
        try:
            self._answer = await self._send(call)
        except errors.PlatformError as error:
            await transfer.end(transfer.state.not_continued(str(error)))
            raise backend_call.AnswerLostError(
                f'the run did not continue: {error}'
            ) from error
        await transfer.end(transfer.state.continued())
        before, self.call = self.call, call
        self._chunks = cuttable_chunks.CuttableChunks(self._answer.chunks)
        self.transfer = None
        self._on_placed(self, before)

    async def _send(
        self, call: backend_call.BackendCall
    ) -> backend_call.BackendAnswer:
        name = call.server.name
        self.history.servers.append(name)
        self._ejector.record_start(name)
        self._exits.callback(self._ejector.record_end, name)
        answer = await self._exits.enter_async_context(self._client.send(call))
        if answer.status != _OK:
            raise backend_call.AnswerLostError(f'status {answer.status}')
        return answer
