"""Timeout that is reused for the many short waits of a stream."""

import asyncio
from collections.abc import Callable
from types import TracebackType
from typing import Any, Protocol


class Alternative(Protocol):
    """What a wait that takes too long may be given up for."""

    def start(self, waiting_s: float, on_left: Callable[[], None]) -> None:
        """Look for it; call `on_left` once it is there."""
        ...

    def stop(self, error_kind: type[BaseException] | None) -> None:
        """Stop looking, as the wait has ended, by an error or without."""
        ...


class IdleTimeout:
    """Limits the length of each wait, as `asyncio.timeout` does.

    The same object is entered for each wait.  It keeps its timer between
    waits, since a new timer for each token would cost too much, and checks
    the length of the current wait only when the timer fires.  The timer of
    an object that was not closed fires within `limit_s`, and does not
    reference a task.

    Parameters
    ----------
    limit_s
        Maximum length of a wait.
    alternative
        A longer wait goes on until there is this; ``None`` to end it.
    """

    __slots__ = (
        '_alternative',
        '_began_s',
        '_cancelling_count',
        '_is_expired',
        '_limit_s',
        '_loop',
        '_task',
        '_timer',
    )

    def __init__(
        self, limit_s: float, alternative: Alternative | None = None
    ) -> None:
        self._limit_s = limit_s
        self._alternative = alternative
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[Any] | None = None
        self._cancelling_count = 0
        self._began_s = 0.0
        self._is_expired = False

    def __enter__(self) -> None:
        """Begin a wait."""
        # Passing the loop saves a lookup of the running loop.
        task = asyncio.current_task(self._loop)
        assert task is not None
        assert self._task is None
        self._task = task
        self._cancelling_count = task.cancelling()
        self._began_s = self._loop.time()
        if self._timer is None:
            self._timer = self._loop.call_later(self._limit_s, self._check)

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
            The wait took longer than the limit.
        """
        if self._alternative is not None:
            self._alternative.stop(kind)
        if not self._is_expired:
            self._task = None
            return
        task, self._task = self._task, None
        self._is_expired = False
        assert task is not None
        # Another cancellation of the task must not be lost.
        was_cancelled = task.uncancel() > self._cancelling_count
        if kind is asyncio.CancelledError and not was_cancelled:
            raise TimeoutError from error

    def close(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self) -> None:
        self._timer = None
        if self._task is None:
            return
        left_s = self._began_s + self._limit_s - self._loop.time()
        if left_s > 0:
            self._timer = self._loop.call_later(left_s, self._check)
        elif self._alternative is None:
            self._expire()
        else:
            self._alternative.start(self._limit_s - left_s, self._expire)

    def _expire(self) -> None:
        if self._task is not None:
            self._is_expired = True
            self._task.cancel()
