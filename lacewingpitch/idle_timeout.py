"""One timer for the many short waits of a stream."""

import asyncio
from types import TracebackType
from typing import Any


class IdleTimeout:
    """Ends a wait that takes too long, as `asyncio.timeout` would.

    It is entered again for each wait.  It keeps its timer from wait to
    wait, since one for each token costs too much, and looks only when it
    fires how long the wait in progress has lasted.  One that is dropped
    lives for `limit_s` more at most, and holds no task.

    Parameters
    ----------
    limit_s
        How long a wait may last.
    """

    __slots__ = (
        '_began_s',
        '_cancelling_count',
        '_is_expired',
        '_limit_s',
        '_loop',
        '_task',
        '_timer',
    )

    def __init__(self, limit_s: float) -> None:
        self._limit_s = limit_s
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[Any] | None = None
        self._cancelling_count = 0
        self._began_s = 0.0
        self._is_expired = False

    def __enter__(self) -> None:
        """Begin a wait."""
        # With the loop given, nothing has to be looked up.
        task = asyncio.current_task(self._loop)
        assert task is not None
        assert self._task is None
        self._task = task
        self._cancelling_count = task.cancelling()
        self._began_s = self._loop.time()
        if self._timer is None:
            self._timer = self._loop.call_later(self._limit_s, self._look)

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End the wait.

        Raises
        ------
        TimeoutError
            It took too long.
        """
        if not self._is_expired:
            self._task = None
            return
        task, self._task = self._task, None
        self._is_expired = False
        assert task is not None
        # Somebody else may have cancelled the task as well: that one
        # must not be lost.
        others = task.uncancel() > self._cancelling_count
        if kind is asyncio.CancelledError and not others:
            raise TimeoutError from error

    def close(self) -> None:
        """Drop the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _look(self) -> None:
        self._timer = None
        if self._task is None:
            return
        left_s = self._began_s + self._limit_s - self._loop.time()
        if left_s > 0:
            self._timer = self._loop.call_later(left_s, self._look)
            return
        self._is_expired = True
        self._task.cancel()
