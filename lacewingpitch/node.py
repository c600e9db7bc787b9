"""Node: the links, instance list and contracts that every process has."""

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
from lacewingpitch import metrics as metrics_module
from lacewingpitch import published_contracts
from lacewingpitch import reusable_connection
from lacewingpitch import settings as settings_module
from lacewingpitch import single_sending

_SIDECAR_CONTRACT_COUNT = 1024
_WATCH_CHECK_INTERVAL_S = 1.0
log = structlog.get_logger(__name__)
_MAX_WATCH_S = 30.0


class Node:
    """One process of a deployment, connected to the others.

    It owns the HTTP session, the control server and the links to peers, and
    follows the published instance list and contracts.  As a context manager
    it closes them all.

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
        # A sidecar only compares revisions.  It keeps the contracts that
        # changed last for entries that missed a change.
        self.contract_registry = contract_registry.ContractRegistry(
            _SIDECAR_CONTRACT_COUNT
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
        self.backend_session: aiohttp.ClientSession
        self._exits = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Open the sessions and listen for control messages."""
        async with contextlib.AsyncExitStack() as exits:
            self.session = await exits.enter_async_context(
                single_sending.new_session(
                    connector=reusable_connection.new_connector(limit=0),
                    auto_decompress=False,
                )
            )
            self.backend_session = await exits.enter_async_context(
                new_backend_session()
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
            # The command line reports an OSError in one line.  The errors of
            # pynng are none and name neither port nor address, which may be
            # in use or belong to another machine.
            raise OSError(f'control port {port} of {ip}: {error}') from error

    async def __aexit__(self, *exception: object) -> None:
        """Close everything, in reverse order."""
        await self._exits.aclose()

    def add_metrics(self, metrics: metrics_module.Metrics) -> None:
        """Register the metrics of the links to peers."""
        metrics.counter(
            'control_redials_total',
            'New dials of control links that had gone silent.',
            lambda: self.peers.redial_count,
        )

    def follow_platform(self) -> None:
        """Start to follow the published instance list and contracts."""
        instances = live_list.HttpLiveList(
            self.session, self.settings.live_list.url
        )
        service = config_service.HttpConfigService(
            self.session, self.settings.config_service.url
        )
        # Each watch that ends confirms that the list is current.  That must
        # happen well within the time after which a list counts as stale.
        watch_s = min(_MAX_WATCH_S, self.settings.list_lag_s / 3)
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
        # Reading from the service first leaves to the peers only contracts
        # that the service lacks.
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
                await asyncio.sleep(_WATCH_CHECK_INTERVAL_S)

    def run(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a task until the node is closed."""
        task = asyncio.create_task(work)
        self._exits.callback(task.cancel)


def new_backend_session() -> aiohttp.ClientSession:
    """Return a session with a connection of its own for each request.

    The answers of backend servers name no request, so that a late second one
    would be taken for the answer to the next request on its connection.
    """
    return single_sending.new_session(
        connector=reusable_connection.new_connector(limit=0, force_close=True),
        auto_decompress=False,
    )
