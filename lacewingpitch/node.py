"""What every process of the system has: links, peers, a view of others."""

import asyncio
from collections.abc import Coroutine
import contextlib
from typing import Any, Self

import aiohttp
import pynng
import structlog

from lacewingpitch import clock as clock_module
from lacewingpitch import config_service
from lacewingpitch import contract_gossip
from lacewingpitch import contract_registry
from lacewingpitch import errors
from lacewingpitch import link
from lacewingpitch import live_list
from lacewingpitch import membership
from lacewingpitch import published_contracts
from lacewingpitch import settings as settings_module

_SIDECAR_CONTRACTS = 1024
_WATCH_CHECK_S = 1.0
log = structlog.get_logger(__name__)
_LONGEST_WATCH_S = 30.0


class Node:
    """One process among the others of its deployment.

    It owns the HTTP session, the control server and the links to peers,
    follows the published list and contracts, and closes it all.

    Parameters
    ----------
    settings
        Checked settings.
    clock
        Source of time.
    """

    def __init__(
        self,
        settings: settings_module.ProcessSettings,
        clock: clock_module.Clock,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.started_at_s = clock.wall_s()
        self.signer = link.MessageSigner(
            settings.deployment, settings.secret, settings.instance
        )
        self.control = link.ControlServer(self.signer)
        self.peers = link.PeerPool(self.signer)
        self.membership = membership.Membership(clock, settings.deployment)
        # A sidecar decides by revision alone; of the contracts it keeps
        # those that changed last, for entries that missed the change.
        self.contract_registry = contract_registry.ContractRegistry(
            _SIDECAR_CONTRACTS
            if isinstance(settings, settings_module.SidecarSettings)
            else None
        )
        self.contract_gossip = contract_gossip.ContractGossip(
            self.contract_registry,
            self.membership,
            self.peers,
            clock,
            settings.instance,
        )
        self.session: aiohttp.ClientSession
        self._exits = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Open the session and the links."""
        async with contextlib.AsyncExitStack() as exits:
            self.session = await exits.enter_async_context(
                aiohttp.ClientSession(
                    connector=aiohttp.TCPConnector(limit=0),
                    auto_decompress=False,
                )
            )
            exits.callback(self.peers.close)
            self.contract_gossip.register(self.control)
            await self._listen()
            exits.push_async_callback(self.control.close)
            self._exits = exits.pop_all()
        return self

    async def _listen(self) -> None:
        ip = self.settings.ip
        port = self.settings.control_port
        try:
            await self.control.start(ip, port)
        except pynng.NNGException as error:
            # An address of another machine, or a port that is taken, would
            # end in a trace that names neither: pynng's errors are not
            # those of the system, for which the command line has a line.
            raise OSError(f'control port {port} of {ip}: {error}') from error

    async def __aexit__(self, *exception: object) -> None:
        """Close everything, in the opposite order."""
        await self._exits.aclose()

    def follow_platform(self) -> None:
        """Follow the published list and contracts from now on."""
        instances = live_list.HttpLiveList(
            self.session, self.settings.live_list.url
        )
        service = config_service.HttpConfigService(
            self.session, self.settings.config_service.url
        )
        # A list is known to be current as often as a watch ends, which
        # must be well within the time after which it counts as stale.
        watch_s = min(_LONGEST_WATCH_S, self.settings.list_lag_s / 3)
        self.run(self.membership.follow(instances, watch_s))
        if self.contract_registry.holds_all:
            published = published_contracts.PublishedContracts(
                service, self.contract_registry, self.clock
            )
            self.run(self._follow_contracts(published))
        else:
            self.run(self.contract_gossip.run())

    async def _follow_contracts(
        self, published: published_contracts.PublishedContracts
    ) -> None:
        # What the service holds is read first, so that peers need to send
        # only what it lacks.
        try:
            await published.read_once()
        except errors.PlatformError as error:
            log.warning('contracts not read', error=str(error))
        self.contract_gossip.record_read(published.read_at_s)
        self.run(self.contract_gossip.run())
        while True:
            if self.contract_gossip.must_watch:
                await published.poll()
                self.contract_gossip.record_read(published.read_at_s)
            else:
                await asyncio.sleep(_WATCH_CHECK_S)

    def run(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a task for as long as this process works."""
        task = asyncio.create_task(work)
        self._exits.callback(task.cancel)
