"""Messages of an entry to the sidecars of engines."""

from lacewingpitch import errors
from lacewingpitch import grant
from lacewingpitch import link


class SidecarPeers:
    """The control links of an entry, one to each sidecar it asks.

    Parameters
    ----------
    port
        Control port, the same at every sidecar.
    """

    def __init__(self, pool: link.PeerPool, port: int) -> None:
        self._pool = pool
        self._port = port

    async def ask_turn(
        self, ip: str, request: grant.TurnRequest, timeout_s: float
    ) -> grant.TurnReply:
        """Ask for a turn."""
        return await self._peer(ip).ask(request, grant.TurnReply, timeout_s)

    async def end_turns(
        self, ip: str, message: grant.TurnEnds, timeout_s: float
    ) -> None:
        """Say that turns have ended."""
        await self._peer(ip).ask(message, grant.TurnEndsReply, timeout_s)

    async def ask_configuration(
        self, ip: str, message: grant.ConfigurationRequest, timeout_s: float
    ) -> grant.ConfigurationReply:
        """Ask for a newer configuration."""
        return await self._peer(ip).ask(
            message, grant.ConfigurationReply, timeout_s
        )

    async def offer_configuration(
        self, ip: str, message: grant.ConfigurationOffer, timeout_s: float
    ) -> None:
        """Bring a newer configuration."""
        await self._peer(ip).ask(message, grant.ConfigurationTaken, timeout_s)

    def _peer(self, ip: str) -> link.Peer:
        try:
            return self._pool.peer(ip, self._port)
        except OSError as error:
            raise errors.NoReplyError(f'{ip}: {error}') from error
