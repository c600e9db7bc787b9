"""Tells sidecars which turns have ended."""

import asyncio
import collections
from typing import Protocol

import structlog

from lacewingpitch import errors
from lacewingpitch import grant

# Ends of turns are sent together: fewer messages, while a place stays
# taken hardly longer.
_ENDS_INTERVAL_S = 0.01
_ENDS_TIMEOUT_S = 1.0
_MAX_KEPT_ENDS = 1024
log = structlog.get_logger(__name__)


class EndsLink(Protocol):
    """Messages to the sidecars of engines."""

    async def end_turns(
        self, ip: str, message: grant.TurnEnds, timeout_s: float
    ) -> None:
        """Say that turns have ended."""
        ...


class EndedTurns:
    """Gathers the turns that ended, and sends them to their sidecars."""

    def __init__(self, link: EndsLink) -> None:
        self._link = link
        self._ends: collections.defaultdict[str, list[str]] = (
            collections.defaultdict(list)
        )
        self._tasks: set[asyncio.Task[None]] = set()

    def note(self, ip: str, turn_id: str) -> None:
        """Take note that a turn has ended, or is not wanted any more."""
        if len(self._ends[ip]) < _MAX_KEPT_ENDS:
            self._ends[ip].append(turn_id)

    async def run(self) -> None:
        """Send what has gathered, for ever."""
        while True:
            await asyncio.sleep(_ENDS_INTERVAL_S)
            if not self._ends:
                continue
            ends, self._ends = self._ends, collections.defaultdict(list)
            for ip, turn_ids in ends.items():
                # Each sidecar in a task of its own: one that is frozen
                # must not hold up the places at all others.
                task = asyncio.create_task(self._send(ip, turn_ids))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _send(self, ip: str, turn_ids: list[str]) -> None:
        try:
            await self._link.end_turns(
                ip, grant.TurnEnds(turn_ids=tuple(turn_ids)), _ENDS_TIMEOUT_S
            )
        except errors.LinkError as error:
            # The sidecar finds out by the engine's report.
            log.info(
                'ends of turns not delivered',
                ip=ip,
                count=len(turn_ids),
                error=str(error),
            )
