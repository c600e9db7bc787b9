"""Whether an engine's reports are of the incarnation that is known."""

from typing import Protocol

import msgspec
import structlog

from lacewingpitch import engine_snapshot
from lacewingpitch import errors
from lacewingpitch import turn_messages

log = structlog.get_logger(__name__)


class IncarnationSource(Protocol):
    """Names the incarnation of an engine."""

    async def incarnation(self) -> str:
        """Return the name of the engine's incarnation."""
        ...


class IncarnationCheck:
    """Confirms the incarnation of an engine whose connection is new.

    A report does not name the incarnation.  Reports on one connection are of
    the same process; what accepts a new one may be a start after a crash,
    whose reports look the same if no orders had been accepted.

    Attributes
    ----------
    has_changed
        Whether another incarnation has taken the engine's place.
    """

    def __init__(self, source: IncarnationSource) -> None:
        self._source = source
        # Number of new connections so far, and how many of them the last
        # confirmation covers.
        self._connection_count = 0
        self._confirmed_count = 0
        self.has_changed = False

    def record_report(self, snapshot: engine_snapshot.EngineSnapshot) -> None:
        """Record whether a report came after a new connection."""
        self._connection_count += snapshot.follows_new_connection

    def record_confirmed(self) -> None:
        """Record that the incarnation has been asked for since."""
        self._confirmed_count = self._connection_count
        self.has_changed = False

    async def checked(
        self, reply: turn_messages.TurnEndsReply
    ) -> turn_messages.TurnEndsReply:
        """Return what is known of the engine, after asking it if needed.

        The time of its start, if it reports that, is proof enough.
        """
        is_in_doubt = self._connection_count > self._confirmed_count
        is_claimed = reply.is_known and reply.is_running
        if not is_claimed or reply.started_at_ms or not is_in_doubt:
            return reply
        connection_count = self._connection_count
        try:
            name = await self._source.incarnation()
        except errors.PlatformError as error:
            log.info('incarnation not confirmed', error=str(error))
            return turn_messages.TurnEndsReply()
        if name != reply.backend_server:
            self.has_changed = True
            return msgspec.structs.replace(reply, backend_server=name)
        self._confirmed_count = max(self._confirmed_count, connection_count)
        return reply
