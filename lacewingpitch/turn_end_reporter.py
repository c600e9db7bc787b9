"""Tells sidecars which turns have ended."""

import asyncio
import collections
import dataclasses
from typing import Protocol

import structlog

from lacewingpitch import backend_list
from lacewingpitch import crash_detector
from lacewingpitch import errors
from lacewingpitch import turn_messages

# Ends of turns are sent together: fewer messages, while a place stays
# taken hardly longer.
_ENDS_INTERVAL_S = 0.01
_ENDS_TIMEOUT_S = 1.0
_MAX_KEPT_ENDS = 1024
log = structlog.get_logger(__name__)


class EndsLink(Protocol):
    """Messages to the sidecars of engines."""

    async def end_turns(
        self, ip: str, message: turn_messages.TurnEnds, timeout_s: float
    ) -> turn_messages.TurnEndsReply:
        """Say that turns have ended."""
        ...


@dataclasses.dataclass(slots=True)
class _Ends:
    """Turns that ended at one sidecar, and the engines they were for."""

    turn_ids: list[str] = dataclasses.field(default_factory=list)
    servers: dict[str, backend_list.BackendServer] = dataclasses.field(
        default_factory=dict
    )


class TurnEndReporter:
    """Gathers the turns that ended, and sends them to their sidecars.

    Parameters
    ----------
    crashes
        Waits to know whether an engine has crashed.
    """

    def __init__(
        self, link: EndsLink, crashes: crash_detector.CrashDetector
    ) -> None:
        self._link = link
        self._crashes = crashes
        self._ends: collections.defaultdict[str, _Ends] = (
            collections.defaultdict(_Ends)
        )
        self._tasks: set[asyncio.Task[None]] = set()

    def note(
        self,
        ip: str,
        turn_id: str,
        server: backend_list.BackendServer | None = None,
    ) -> None:
        """Take note that a turn has ended, or is not wanted any more.

        Parameters
        ----------
        server
            The engine that it was used at, if it was.
        """
        ends = self._ends[ip]
        if len(ends.turn_ids) < _MAX_KEPT_ENDS:
            ends.turn_ids.append(turn_id)
        if server is not None and self._crashes.has_pending(server):
            ends.servers[server.start_id] = server

    async def run(self) -> None:
        """Send what has gathered, for ever."""
        while True:
            await asyncio.sleep(_ENDS_INTERVAL_S)
            if not self._ends:
                continue
            ends, self._ends = self._ends, collections.defaultdict(_Ends)
            for ip, found in ends.items():
                # Each sidecar in a task of its own: one that is frozen
                # must not hold up the places at all others.
                task = asyncio.create_task(self._send(ip, found))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _send(self, ip: str, ends: _Ends) -> None:
        message = turn_messages.TurnEnds(
            turn_ids=tuple(ends.turn_ids), asks_state=bool(ends.servers)
        )
        try:
            reply = await self._link.end_turns(ip, message, _ENDS_TIMEOUT_S)
        except errors.LinkError as error:
            # The sidecar finds out by the engine's report.
            log.info(
                'ends of turns not delivered',
                ip=ip,
                count=len(ends.turn_ids),
                error=str(error),
            )
            return
        if not reply.is_known:
            return
        for server in ends.servers.values():
            if _is_running(server, reply):
                self._crashes.record_running(server)
            else:
                self._crashes.record_exit(server)


def _is_running(
    server: backend_list.BackendServer, reply: turn_messages.TurnEndsReply
) -> bool:
    if not reply.is_running or reply.backend_server != server.name:
        return False
    starts_ms = {reply.started_at_ms, server.started_at_ms}
    return len(starts_ms) == 1 or 0 in starts_ms
