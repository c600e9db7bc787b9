"""Bootstrap of a starting process from its peers while the store is down."""

import asyncio
from collections.abc import Callable, Sequence
import dataclasses
import math
from typing import Protocol

import structlog

from lacewingpitch import adapter_versions
from lacewingpitch import backend_list
from lacewingpitch import clock as clock_module
from lacewingpitch import configuration_age
from lacewingpitch import configuration_exchange
from lacewingpitch import errors
from lacewingpitch import link as link_module
from lacewingpitch import settings

# For this time after the start, only the store is asked: a working store
# delivers everything that is published within it.
_STORE_ONLY_S = 0.3
# A peer answers at once, unless its CPU core is busy.
_REQUEST_TIMEOUT_S = 0.5
# All peers are down or have no state either.  They retry the store meanwhile,
# so a shorter interval would not bring the state any sooner.
_RETRY_INTERVAL_S = 0.5
log = structlog.get_logger(__name__)


class StateRequest(link_module.Message, frozen=True):
    """Request for everything that is published."""


class StateReply(link_module.Message, frozen=True):
    """Everything that is published, as far as the sender knows.

    Parameters
    ----------
    is_known
        Whether the sender has a configuration and a list at all.
    configuration
        Configuration, in its published encoding.
    versions
        Published adapter versions.
    servers
        Backend servers, without the adapters that they hold.  In a
        deployment of the target size the adapters are nine tenths of the
        list, and the replies of sidecars report them again.
    list_age_s
        Seconds since the list was last known to be current.
    configuration_age_s
        Seconds since the configuration was last known to be the newest.
    list_position
        Epoch and revision up to which the list is known.
    """

    is_known: bool = False
    configuration: bytes = b''
    versions: tuple[adapter_versions.AdapterVersion, ...] = ()
    servers: tuple[backend_list.BackendServer, ...] = ()
    list_age_s: float = 0.0
    configuration_age_s: float = math.inf
    list_position: tuple[int, int] = (0, 0)


class StateLink(Protocol):
    """Sends state requests to other processes."""

    async def request_state(
        self,
        entry: settings.Address,
        message: StateRequest,
        timeout_s: float,
    ) -> StateReply:
        """Request the state of the process at an address.

        Raises
        ------
        LinkError
            There is no usable reply within `timeout_s`.
        """
        ...


class PeerBootstrap:
    """Gets the published state from a peer when a process starts.

    A process may restart, or be added, while the store is down or refuses
    its requests.  Without this, it would refuse every request until the
    store recovers, while the other processes continue to serve with the
    state that they have.

    A store that was restored from a backup lacks writes that it accepted
    after the backup.  A process that starts then gets these from a peer.

    State is requested only at the start, and from three peers at most, so
    that the number of messages does not grow with that of instances.

    Parameters
    ----------
    peers
        Control addresses of other processes; some may be down.
    may_be_restored
        Returns whether the store may lack writes that it has accepted.
    """

    def __init__(
        self,
        link: StateLink,
        peers: Sequence[settings.Address],
        servers: backend_list.BackendList,
        versions: adapter_versions.AdapterVersions,
        exchange: configuration_exchange.ConfigurationExchange,
        age: configuration_age.ConfigurationAge,
        clock: clock_module.Clock,
        may_be_restored: Callable[[], bool] = lambda: False,
    ) -> None:
        self._may_be_restored = may_be_restored
        self._has_applied_reply = False
        self._age = age
        self._clock = clock
        self._link = link
        self._peers = peers
        self._servers = servers
        self._versions = versions
        self._exchange = exchange

    async def answer(self, _message: StateRequest) -> StateReply:
        """Return the state of this process to a starting one."""
        configuration = self._exchange.configuration
        if configuration is None or not self._servers.is_known:
            return StateReply()
        return StateReply(
            is_known=True,
            configuration=configuration.content,
            versions=self._versions.all(),
            servers=tuple(
                dataclasses.replace(
                    server,
                    adapters={},
                    is_leaving=self._servers.is_known_leaving(server),
                )
                for server in self._servers.all()
            ),
            list_age_s=self._servers.age_s,
            configuration_age_s=self._age.age_s,
            list_position=self._servers.position,
        )

    async def run(self) -> None:
        """Request state from the peers until this process has it."""
        if not self._peers:
            return
        await asyncio.sleep(_STORE_ONLY_S)
        while not self._servers.is_known:
            for peer in self._peers:
                if self._servers.is_known:
                    break
                await self._request_state(peer)
            else:
                await asyncio.sleep(_RETRY_INTERVAL_S)
        if not self._may_be_restored():
            return
        for peer in self._peers:
            if not self._has_applied_reply:
                await self._request_state(peer)

    async def _request_state(self, peer: settings.Address) -> None:
        requested_at_s = self._clock.boot_s()
        try:
            reply = await self._link.request_state(
                peer, StateRequest(), _REQUEST_TIMEOUT_S
            )
        except errors.LinkError as error:
            log.info('peer state not fetched', peer=peer.ip, error=str(error))
            return
        if not reply.is_known:
            return
        # The store may have answered in the meantime; it is more recent.
        if not self._servers.is_known:
            self._apply(reply, peer, requested_at_s)
        elif self._may_be_restored():
            self._apply_published(reply, peer)

    def _apply(
        self, reply: StateReply, peer: settings.Address, requested_at_s: float
    ) -> None:
        if not self._apply_published(reply, peer):
            return
        # The peer reports the age at the time of its reply, which is later
        # than that of the request; this rounds the age up.
        self._age.confirm(requested_at_s - reply.configuration_age_s)
        # Routes unknown to the peer may be in force.
        self._exchange.record_store_state(is_unreachable=True)
        self._servers.replace_from_peer(
            reply.servers, reply.list_age_s, reply.list_position
        )
        log.info(
            'peer state applied',
            peer=peer.ip,
            backend_servers=len(reply.servers),
            list_age_s=round(reply.list_age_s, 1),
        )

    def _apply_published(
        self, reply: StateReply, peer: settings.Address
    ) -> bool:
        """Apply what operators published; return whether it was valid."""
        try:
            self._exchange.apply(reply.configuration, source=peer.ip)
        except errors.PlatformError as error:
            log.error('peer state rejected', peer=peer.ip, error=str(error))
            return False
        for version in reply.versions:
            self._versions.record(
                version.model, version.adapter, version.version
            )
        self._has_applied_reply = True
        return True
