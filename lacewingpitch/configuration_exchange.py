"""How processes that the store turns away learn the configuration."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

import structlog

from lacewingpitch import clock as clock_module
from lacewingpitch import errors
from lacewingpitch import routing
from lacewingpitch import turn_messages

_TIMEOUT_S = 1.0
# A peer reads the store itself within a second where it can.
_OFFER_AFTER_S = 1.0
_MAX_PEERS = 2048
log = structlog.get_logger(__name__)


class PeerLink(Protocol):
    """Messages about the configuration to one other process."""

    async def ask_configuration(
        self,
        ip: str,
        message: turn_messages.ConfigurationRequest,
        timeout_s: float,
    ) -> turn_messages.ConfigurationReply:
        """Ask for a newer configuration."""
        ...

    async def offer_configuration(
        self,
        ip: str,
        message: turn_messages.ConfigurationOffer,
        timeout_s: float,
    ) -> None:
        """Bring a newer configuration."""
        ...


class ConfigurationExchange:
    """Keeps the configuration of entries and sidecars equal.

    Failure it answers: the store serves some instances and turns others
    away.  An entry that is turned away would refuse routes that are in
    force everywhere else.  Every reply of a sidecar says its version, so
    that finding out costs no message of its own.

    Parameters
    ----------
    link
        Way to the sidecars; a sidecar itself asks nobody.
    decode
        Reads published bytes; raises `errors.PlatformError`.
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
        """Take note of the version that a sidecar has in force."""
        if version == self._table.version:
            self._offer_at_s.pop(ip, None)
            return
        if ip in self._tasks:
            return
        if version > self._table.version:
            self._begin(ip, self._fetch(ip))
        elif self._is_overdue(ip):
            self._begin(ip, self._offer(ip))

    def record_store_state(self, is_away: bool) -> None:
        """Take note whether the store could be read."""
        self._table.is_store_unreachable = is_away

    def apply(self, content: bytes, source: str) -> int:
        """Put published bytes in force if newer; return their version."""
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
        """Answer what an entry asks."""
        configuration = self._table.configuration
        if configuration is None:
            return turn_messages.ConfigurationReply()
        if configuration.version <= message.above_version:
            return turn_messages.ConfigurationReply()
        return turn_messages.ConfigurationReply(content=configuration.content)

    async def accept(
        self, message: turn_messages.ConfigurationOffer
    ) -> turn_messages.ConfigurationTaken:
        """Take what an entry brings."""
        self.apply(message.content, source='entry')
        return turn_messages.ConfigurationTaken()

    def close(self) -> None:
        """End what is under way."""
        for task in self._tasks.values():
            task.cancel()

    def _is_overdue(self, ip: str) -> bool:
        now_s = self._clock.monotonic_s()
        if len(self._offer_at_s) > _MAX_PEERS:
            self._offer_at_s.clear()
        return now_s >= self._offer_at_s.setdefault(ip, now_s + _OFFER_AFTER_S)

    def _begin(self, ip: str, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks[ip] = task
        task.add_done_callback(lambda _: self._tasks.pop(ip, None))

    async def _fetch(self, ip: str) -> None:
        assert self._link is not None
        message = turn_messages.ConfigurationRequest(
            above_version=self._table.version
        )
        try:
            reply = await self._link.ask_configuration(ip, message, _TIMEOUT_S)
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
            await self._link.offer_configuration(ip, message, _TIMEOUT_S)
        except errors.LinkError as error:
            log.info('configuration not offered', ip=ip, error=str(error))
