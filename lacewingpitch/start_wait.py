"""Waits of requests until their engine has started, or goes on."""

import asyncio
import contextlib
from typing import Protocol

from lacewingpitch import admission as admission_module
from lacewingpitch import turn_messages

_MS_PER_S = 1000


class StartingEngine(Protocol):
    """Engine that may be starting."""

    @property
    def is_starting(self) -> bool:
        """Whether the engine is up, and expected to serve within seconds."""
        ...

    async def next_report(self) -> None:
        """Wait for the next report of the engine."""
        ...


class StartWait:
    """Holds requests while their engine starts, or is silent."""

    def __init__(
        self, engine: StartingEngine, admission: admission_module.Admission
    ) -> None:
        self._engine = engine
        self._admission = admission
        self._waiting_count = 0

    async def wait(self, request: turn_messages.TurnRequest) -> bool:
        """Wait until the engine has started, for the request's `wait_ms`.

        Returns
        -------
        bool
            Whether the request is to go on waiting.
        """
        if not self._must_wait(request):
            return False
        await self._await_start(request.wait_ms / _MS_PER_S)
        return self._must_wait(request)

    def _must_wait(self, request: turn_messages.TurnRequest) -> bool:
        return self._admission.must_await_start(request, self._waiting_count)

    async def _await_start(self, limit_s: float) -> None:
        self._waiting_count += 1
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(limit_s):
                    while self._engine.is_starting:
                        await self._engine.next_report()
        finally:
            self._waiting_count -= 1
