"""What every process of the system has: links, peers, a view of others."""

import asyncio
from collections.abc import Coroutine
import contextlib
from typing import Any, Self

import aiohttp

from lacewingpitch import clock as clock_module
from lacewingpitch import config_service
from lacewingpitch import contract_book
from lacewingpitch import link
from lacewingpitch import live_list
from lacewingpitch import membership
from lacewingpitch import settings as settings_module

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
        self.sealer = link.Sealer(
            settings.deployment, settings.secret, settings.instance
        )
        self.control = link.ControlServer(self.sealer)
        self.peers = link.PeerPool(self.sealer)
        self.membership = membership.Membership(clock)
        self.book = contract_book.ContractBook()
        self.session: aiohttp.ClientSession
        self._exits = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Open the session and the links."""
        self.session = await self._exits.enter_async_context(
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0),
                auto_decompress=False,
            )
        )
        self._exits.callback(self.peers.close)
        await self.control.start(self.settings.ip, self.settings.control_port)
        self._exits.push_async_callback(self.control.close)
        return self

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
        published = contract_book.PublishedContracts(service)
        # A list is known to be current as often as a watch ends, which
        # must be well within the time after which it counts as stale.
        watch_s = min(_LONGEST_WATCH_S, self.settings.list_lag_s / 3)
        self.run(self.membership.follow(instances, watch_s))
        self.run(published.run(self.book))

    def run(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a task for as long as this process works."""
        task = asyncio.create_task(work)
        self._exits.callback(task.cancel)
