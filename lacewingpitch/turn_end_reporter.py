"""Reports ended turns to the sidecars that granted them."""

import asyncio
import collections
import dataclasses
from typing import Protocol

import structlog

from lacewingpitch import backend_list
from lacewingpitch import crash_detector
from lacewingpitch import errors
from lacewingpitch import server_state
from lacewingpitch import turn_messages

# Ends of turns are batched: fewer messages, while a turn stays occupied
# hardly longer.
_SEND_INTERVAL_S = 0.01
_SEND_TIMEOUT_S = 1.0
_MAX_QUEUED_ENDS = 1024
log = structlog.get_logger(__name__)


class TurnEndLink(Protocol):
    """Messages to the sidecars of engines."""

    async def end_turns(
        self, ip: str, message: turn_messages.TurnEnds, timeout_s: float
    ) -> turn_messages.TurnEndsReply:
        """Report ended turns."""
        ...


@dataclasses.dataclass(slots=True)
class _EndBatch:
    """Ended turns of one sidecar, and the engines to be checked."""

    turn_ids: list[str] = dataclasses.field(default_factory=list)
    servers: dict[str, backend_list.BackendServer] = dataclasses.field(
        default_factory=dict
    )


class TurnEndReporter:
    """Collects ended turns, and sends them to their sidecars in batches.

    Parameters
    ----------
    detector
        Needs the state of engines whose connections were lost.
    """

    def __init__(
        self, link: TurnEndLink, detector: crash_detector.CrashDetector
    ) -> None:
        self._link = link
        self._detector = detector
        self._batches: collections.defaultdict[str, _EndBatch] = (
            collections.defaultdict(_EndBatch)
        )
        self._tasks: set[asyncio.Task[None]] = set()

    def record(
        self,
        ip: str,
        turn_id: str,
        server: backend_list.BackendServer | None = None,
    ) -> None:
        """Record that a turn has ended, or is no longer needed.

        Parameters
        ----------
        server
            The engine at which the turn was used, if any.
        """
        batch = self._batches[ip]
        if len(batch.turn_ids) < _MAX_QUEUED_ENDS:
            batch.turn_ids.append(turn_id)
        if server is not None and self._detector.has_pending(server):
            batch.servers[server.start_id] = server

    async def run(self) -> None:
        """Send the collected turns until cancelled."""
        while True:
            await asyncio.sleep(_SEND_INTERVAL_S)
            if not self._batches:
                continue
            batches, self._batches = (
                self._batches,
                collections.defaultdict(_EndBatch),
            )
            for ip, batch in batches.items():
                # Each sidecar has its own task: a frozen one must not delay
                # the release of turns at the others.
                task = asyncio.create_task(self._send(ip, batch))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _send(self, ip: str, batch: _EndBatch) -> None:
        message = turn_messages.TurnEnds(
            turn_ids=tuple(batch.turn_ids), asks_state=bool(batch.servers)
        )
        try:
            reply = await self._link.end_turns(ip, message, _SEND_TIMEOUT_S)
        except errors.LinkError as error:
            # The sidecar finds ended turns by the engine's reports as well.
            log.info(
                'ended turns not reported',
                ip=ip,
                count=len(batch.turn_ids),
                error=str(error),
            )
            return
        for server in batch.servers.values():
            state = state_of(server, reply)
            if state is server_state.ServerState.RUNNING:
                self._detector.record_running(server)
            elif state is server_state.ServerState.ENDED:
                self._detector.record_exit(server)


def state_of(
    server: backend_list.BackendServer, reply: turn_messages.TurnEndsReply
) -> server_state.ServerState:
    """Return what the reply of its sidecar says about a start of an engine."""
    if not reply.is_known:
        return server_state.ServerState.UNKNOWN
    if not reply.is_running or reply.backend_server != server.name:
        return server_state.ServerState.ENDED
    starts_ms = {reply.started_at_ms, server.started_at_ms}
    if len(starts_ms) == 1 or 0 in starts_ms:
        return server_state.ServerState.RUNNING
    return server_state.ServerState.ENDED
