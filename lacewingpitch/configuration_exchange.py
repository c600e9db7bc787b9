"""Exchange of the newest configuration between entries and sidecars."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

import structlog

from lacewingpitch import clock as clock_module
from lacewingpitch import errors
from lacewingpitch import routing
from lacewingpitch import turn_messages

_REQUEST_TIMEOUT_S = 1.0
# A peer that can read the store gets the newer version from there within a
# second, so that an offer is not needed.
_OFFER_DELAY_S = 1.0
_MAX_PEERS = 2048
log = structlog.get_logger(__name__)


class PeerLink(Protocol):
    """Sends messages about the configuration to sidecars."""

    async def request_configuration(
        self,
        ip: str,
        message: turn_messages.ConfigurationRequest,
        timeout_s: float,
    ) -> turn_messages.ConfigurationReply:
        """Request a newer configuration."""
        ...

    async def offer_configuration(
        self,
        ip: str,
        message: turn_messages.ConfigurationOffer,
        timeout_s: float,
    ) -> None:
        """Send a newer configuration."""
        ...


class ConfigurationExchange:
    """Keeps the configuration of entries and sidecars at the same version.

    The store may serve some instances and refuse others.  Without this,
    an entry that the store refuses would reject routes that are in force
    everywhere else.  Every reply of a sidecar states its version, so that
    comparing versions needs no message of its own.

    Parameters
    ----------
    link
        Connection to the sidecars; ``None`` at a sidecar, which only
        answers.
    decode
        Decodes a published configuration; raises `errors.PlatformError`.
    """

    def __init__(
        self,
        link: PeerLink | None,
        table: routing.RoutingTable,
        decode: Callable[[bytes], routing.Configuration],
        clock: clock_module.Clock,
    ) -> None:
        self._link = link
        self._table = table
        self._decode = decode
        self._clock = clock
        self._offer_at_s: dict[str, float] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    @property
    def configuration(self) -> routing.Configuration | None:
        """Return the configuration in force."""
        return self._table.configuration

    @property
    def version(self) -> int:
        """Return the version in force; 0 if none is known."""
        return self._table.version

    def reconcile(self, ip: str, version: int) -> None:
        """Compare versions with a sidecar; fetch or offer the newer one.

        The exchange runs in the background, one per sidecar at a time.
        """
        if version == self._table.version:
            self._offer_at_s.pop(ip, None)
            return
        if ip in self._tasks:
            return
        if version > self._table.version:
            self._start(ip, self._fetch(ip))
        elif self._is_offer_due(ip):
            self._start(ip, self._offer(ip))

    def record_store_state(self, is_unreachable: bool) -> None:
        """Record whether the last read of the store failed."""
        self._table.is_store_unreachable = is_unreachable

    def apply(self, content: bytes, source: str) -> int:
        """Apply a published configuration if newer; return its version.

        Raises
        ------
        PlatformError
            It cannot be decoded.
        """
        configuration = self._decode(content)
        before = self._table.version
        if not self._table.apply(configuration):
            return configuration.version
        log.info(
            'configuration in force',
            version=configuration.version,
            version_before=before,
            routes=len(configuration.routes),
            source=source,
        )
        return configuration.version

    async def answer(
        self, message: turn_messages.ConfigurationRequest
    ) -> turn_messages.ConfigurationReply:
        """Return the configuration if it is newer than that of an entry."""
        configuration = self._table.configuration
        if configuration is None:
            return turn_messages.ConfigurationReply()
        if configuration.version <= message.above_version:
            return turn_messages.ConfigurationReply()
        return turn_messages.ConfigurationReply(content=configuration.content)

    async def accept(
        self, message: turn_messages.ConfigurationOffer
    ) -> turn_messages.ConfigurationTaken:
        """Apply the configuration that an entry offers."""
        self.apply(message.content, source='entry')
        return turn_messages.ConfigurationTaken()

    def close(self) -> None:
        """Cancel the exchanges in progress."""
        for task in self._tasks.values():
            task.cancel()

    def _is_offer_due(self, ip: str) -> bool:
        now_s = self._clock.monotonic_s()
        if len(self._offer_at_s) > _MAX_PEERS:
            self._offer_at_s.clear()
        return now_s >= self._offer_at_s.setdefault(ip, now_s + _OFFER_DELAY_S)

    def _start(self, ip: str, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks[ip] = task
        task.add_done_callback(lambda _: self._tasks.pop(ip, None))

    async def _fetch(self, ip: str) -> None:
        assert self._link is not None
        message = turn_messages.ConfigurationRequest(
            above_version=self._table.version
        )
        try:
            reply = await self._link.request_configuration(
                ip, message, _REQUEST_TIMEOUT_S
            )
            if reply.content:
                self.apply(reply.content, source=ip)
        except (errors.LinkError, errors.PlatformError) as error:
            log.info('configuration not fetched', ip=ip, error=str(error))

    async def _offer(self, ip: str) -> None:
        self._offer_at_s.pop(ip, None)
        configuration = self._table.configuration
        if configuration is None:
            return
        assert self._link is not None
        message = turn_messages.ConfigurationOffer(
            content=configuration.content
        )
        try:
            await self._link.offer_configuration(
                ip, message, _REQUEST_TIMEOUT_S
            )
        except errors.LinkError as error:
            log.info('configuration not offered', ip=ip, error=str(error))
