"""The requests that a process is serving, by their connections."""

import asyncio
from collections.abc import Iterator
import contextlib
from typing import Any

from lacewingpitch import request_end


class RequestsInProgress:
    """Tracks requests from their heads to their answers, and ends them."""

    def __init__(self) -> None:
        self._tasks: dict[asyncio.BaseTransport, asyncio.Task[Any]] = {}

    def __len__(self) -> int:
        """Return how many requests are in progress."""
        return len(self._tasks)

    def __contains__(self, connection: object) -> bool:
        """Whether a request is in progress on a connection."""
        return connection in self._tasks

    @contextlib.contextmanager
    def track(self, connection: asyncio.BaseTransport) -> Iterator[None]:
        """Track the request that the current task serves."""
        task = asyncio.current_task()
        assert task is not None
        self._tasks[connection] = task
        try:
            yield
        finally:
            self._tasks.pop(connection, None)

    async def end(self, limit_s: float) -> None:
        """End all requests, and wait a moment for their last answers."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel(request_end.DRAIN_ENDED)
        loop = asyncio.get_running_loop()
        until_s = loop.time() + limit_s
        while self._tasks and loop.time() < until_s:
            await asyncio.sleep(0.01)
