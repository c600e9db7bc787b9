"""Client of the control messages from an entry to its peers."""

from lacewingpitch import errors
from lacewingpitch import link
from lacewingpitch import peer_bootstrap
from lacewingpitch import server_permits
from lacewingpitch import settings
from lacewingpitch import suspect_exchange
from lacewingpitch import turn_messages
from lacewingpitch import usage_lease


class ControlClient:
    """Sends control messages to sidecars and to other entries.

    All methods wait up to `timeout_s` for the reply, and raise
    `errors.LinkError` if there is none that is usable.

    Parameters
    ----------
    sidecar_port
        Control port; every sidecar uses the same.
    """

    def __init__(self, pool: link.PeerPool, sidecar_port: int) -> None:
        self._pool = pool
        self._sidecar_port = sidecar_port

    @property
    def redial_count(self) -> int:
        """Return how often links were dialled anew after a silence."""
        return self._pool.redial_count

    async def request_turn(
        self, ip: str, request: turn_messages.TurnRequest, timeout_s: float
    ) -> turn_messages.TurnReply:
        """Request a turn from a sidecar."""
        return await self._sidecar(ip).ask(
            request, turn_messages.TurnReply, timeout_s
        )

    async def end_turns(
        self, ip: str, message: turn_messages.TurnEnds, timeout_s: float
    ) -> turn_messages.TurnEndsReply:
        """Report to a sidecar that turns have ended."""
        return await self._sidecar(ip).ask(
            message, turn_messages.TurnEndsReply, timeout_s
        )

    async def report_limit(
        self, ip: str, message: turn_messages.AnsweredLimit, timeout_s: float
    ) -> None:
        """Tell a sidecar whether an answer of its engine names a limit."""
        await self._sidecar(ip).ask(
            message, turn_messages.AnsweredLimitReply, timeout_s
        )

    async def report_leaving(
        self, ip: str, message: turn_messages.AnsweredLeaving, timeout_s: float
    ) -> None:
        """Tell a sidecar that its engine announced that it leaves."""
        await self._sidecar(ip).ask(
            message, turn_messages.AnsweredLeavingReply, timeout_s
        )

    async def request_permit(
        self, ip: str, message: server_permits.PermitRequest, timeout_s: float
    ) -> server_permits.PermitReply:
        """Request a permit to send to a server that names a limit."""
        return await self._sidecar(ip).ask(
            message, server_permits.PermitReply, timeout_s
        )

    async def request_configuration(
        self,
        ip: str,
        message: turn_messages.ConfigurationRequest,
        timeout_s: float,
    ) -> turn_messages.ConfigurationReply:
        """Request a configuration newer than a version from a sidecar."""
        return await self._sidecar(ip).ask(
            message, turn_messages.ConfigurationReply, timeout_s
        )

    async def offer_configuration(
        self,
        ip: str,
        message: turn_messages.ConfigurationOffer,
        timeout_s: float,
    ) -> None:
        """Send a newer configuration to a sidecar."""
        await self._sidecar(ip).ask(
            message, turn_messages.ConfigurationTaken, timeout_s
        )

    async def request_usage(
        self, ip: str, message: usage_lease.UsageAsk, timeout_s: float
    ) -> usage_lease.UsageReply:
        """Request leases on parts of usage limits from their owner."""
        return await self._sidecar(ip).ask(
            message, usage_lease.UsageReply, timeout_s
        )

    async def exchange_crashes(
        self,
        ip: str,
        message: suspect_exchange.CrashNews,
        timeout_s: float,
    ) -> suspect_exchange.CrashNews:
        """Exchange crash records with a sidecar."""
        return await self._sidecar(ip).ask(
            message, suspect_exchange.CrashNews, timeout_s
        )

    async def request_state(
        self,
        entry: settings.Address,
        message: peer_bootstrap.StateRequest,
        timeout_s: float,
    ) -> peer_bootstrap.StateReply:
        """Request the published state from another entry."""
        return await self._peer(entry.ip, entry.port).ask(
            message, peer_bootstrap.StateReply, timeout_s
        )

    def _sidecar(self, ip: str) -> link.Peer:
        return self._peer(ip, self._sidecar_port)

    def _peer(self, ip: str, port: int) -> link.Peer:
        try:
            return self._pool.peer(ip, port)
        except OSError as error:
            raise errors.NoReplyError(f'{ip}: {error}') from error
