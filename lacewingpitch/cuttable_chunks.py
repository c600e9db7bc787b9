"""A body of an answer whose reading another task may end."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

from lacewingpitch import backend_call


class CuttableChunks:
    """Yields chunks until another task cuts them off.

    The reader then gets an `AnswerLostError`, also in the middle of a wait.
    """

    def __init__(self, chunks: AsyncIterator[bytes]) -> None:
        self._chunks = chunks
        self._reader: asyncio.Task[Any] | None = None
        self._is_cut = False

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Return itself."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next chunk."""
        if self._is_cut:
            raise backend_call.AnswerLostError('the run was stopped')
        task = asyncio.current_task()
        assert task is not None
        cancelling_count = task.cancelling()
        self._reader = task
        try:
            return await anext(self._chunks)
        except asyncio.CancelledError as error:
            # Another cancellation of the task must not be lost.
            if not self._is_cut or task.uncancel() > cancelling_count:
                raise
            raise backend_call.AnswerLostError(
                'the run was stopped'
            ) from error
        finally:
            self._reader = None

    def cut(self) -> None:
        """End the reading; to be called by another task."""
        if self._is_cut:
            return
        self._is_cut = True
        if self._reader is not None:
            self._reader.cancel()
