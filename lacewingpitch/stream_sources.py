"""Where the events of a stream come from, while and after it is opened."""

from collections.abc import AsyncIterator
import contextlib
from typing import Protocol

from lacewingpitch import answer_reading
from lacewingpitch import backend_call
from lacewingpitch import request_history
from lacewingpitch import standby_turn


class StreamSource(Protocol):
    """Reads the events of streams."""

    def open(
        self,
        call: backend_call.BackendCall,
        answer: backend_call.BackendAnswer,
        history: request_history.RequestHistory,
        standby: standby_turn.StandbyTurn | None,
    ) -> contextlib.AbstractAsyncContextManager[AsyncIterator[bytes]]:
        """Yield the complete events of a stream, in their order.

        Parameters
        ----------
        standby
            Looks for another server during a long pause; ``None`` to wait.

        Reading them raises `backend_call.AnswerLostError` if the stream
        broke off.
        """
        ...


class DirectStreams:
    """Reads each stream from the one backend server that answers."""

    @contextlib.asynccontextmanager
    async def open(
        self,
        call: backend_call.BackendCall,
        answer: backend_call.BackendAnswer,
        history: request_history.RequestHistory,
        standby: standby_turn.StandbyTurn | None,
    ) -> AsyncIterator[AsyncIterator[bytes]]:
        """Yield the events of a stream; see `StreamSource`."""
        yield answer_reading.read_events(
            call.request, answer, history.splitter, standby
        )
