"""Sends reports to sidecars in the background."""

import asyncio
from collections.abc import Awaitable, Callable

import structlog

from lacewingpitch import errors

# Reports in progress; further answers of the same servers say the same.
_MAX_REPORTS = 64
log = structlog.get_logger(__name__)


class SidecarReporter:
    """Sends reports whose loss costs little, without waiting for them."""

    def __init__(self) -> None:
        self._reports: set[asyncio.Task[None]] = set()

    def start(self, ip: str, send: Callable[[], Awaitable[None]]) -> None:
        """Send a report to a sidecar, unless too many are in progress."""
        if len(self._reports) >= _MAX_REPORTS:
            return
        task = asyncio.create_task(self._send(ip, send))
        self._reports.add(task)
        task.add_done_callback(self._reports.discard)

    async def close(self) -> None:
        """Cancel the reports in progress."""
        for task in self._reports:
            task.cancel()
        if self._reports:
            await asyncio.wait(self._reports)

    async def _send(
        self, ip: str, send: Callable[[], Awaitable[None]]
    ) -> None:
        try:
            await send()
        except errors.LinkError as error:
            log.info('server notice not reported', ip=ip, error=str(error))
