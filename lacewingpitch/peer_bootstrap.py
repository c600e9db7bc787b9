"""What a process that starts learns from others while the store is away."""

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

# A store that works gives all that is published within this time of the
# start, and is asked alone for so long.
_STORE_FIRST_S = 0.3
# A process that has the answer gives it at once, unless its core is busy.
_TIMEOUT_S = 0.5
# All peers are down, or know nothing either: the store is tried by others
# meanwhile, so that asking more often finds nothing sooner.
_PAUSE_S = 0.5
log = structlog.get_logger(__name__)


class StateRequest(link_module.Message, frozen=True):
    """Asks for all that is published."""


class StateReply(link_module.Message, frozen=True):
    """All that is published, as far as the sender knows.

    Parameters
    ----------
    is_known
        Whether the sender has a configuration and a list at all.
    configuration
        Published bytes of the configuration.
    versions
        Adapter versions that were published.
    servers
        Backend servers, without the adapters that they hold: at the
        target's size these are nine tenths of the list, and the replies
        of sidecars tell them anew.
    list_age_s
        How long ago the list was known to be current.
    configuration_age_s
        How long ago the configuration was known to be the newest.
    """

    is_known: bool = False
    configuration: bytes = b''
    versions: tuple[adapter_versions.AdapterVersion, ...] = ()
    servers: tuple[backend_list.BackendServer, ...] = ()
    list_age_s: float = 0.0
    configuration_age_s: float = math.inf


class StateLink(Protocol):
    """Messages to other processes, by their address."""

    async def ask_state(
        self,
        entry: settings.Address,
        message: StateRequest,
        timeout_s: float,
    ) -> StateReply:
        """Ask what a process knows."""
        ...


class PeerBootstrap:
    """Brings up a process that starts while the store is away.

    Failure it answers: a process restarts, or is added, as the store is
    down or turns it away.  It would refuse every request until the store
    is back, while the others serve on with what they know.

    A store that may have come back from a copy lacks what was accepted
    after that.  A process that starts on it learns that from a peer.

    It is asked for at the start only, of three peers at most, so that its
    messages do not grow with the number of instances.

    Parameters
    ----------
    peers
        Control addresses of other processes, some perhaps down.
    may_be_copy
        Whether what the store holds may lack what was accepted.
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
        may_be_copy: Callable[[], bool] = lambda: False,
    ) -> None:
        self._may_be_copy = may_be_copy
        self._has_reply = False
        self._age = age
        self._clock = clock
        self._link = link
        self._peers = peers
        self._servers = servers
        self._versions = versions
        self._exchange = exchange

    async def answer(self, _message: StateRequest) -> StateReply:
        """Answer a process that starts."""
        configuration = self._exchange.configuration
        if configuration is None or not self._servers.is_known:
            return StateReply()
        return StateReply(
            is_known=True,
            configuration=configuration.content,
            versions=self._versions.all(),
            servers=tuple(
                dataclasses.replace(server, adapters={})
                for server in self._servers.all()
            ),
            list_age_s=self._servers.age_s,
            configuration_age_s=self._age.age_s,
        )

    async def run(self) -> None:
        """Ask the peers until this process knows what is published."""
        if not self._peers:
            return
        await asyncio.sleep(_STORE_FIRST_S)
        while not self._servers.is_known:
            for peer in self._peers:
                if self._servers.is_known:
                    break
                await self._ask(peer)
            else:
                await asyncio.sleep(_PAUSE_S)
        if not self._may_be_copy():
            return
        for peer in self._peers:
            if not self._has_reply:
                await self._ask(peer)

    async def _ask(self, peer: settings.Address) -> None:
        asked_at_s = self._clock.boot_s()
        try:
            reply = await self._link.ask_state(
                peer, StateRequest(), _TIMEOUT_S
            )
        except errors.LinkError as error:
            log.info('state not fetched', peer=peer.ip, error=str(error))
            return
        if not reply.is_known:
            return
        # The store may have answered while the peer did, and knows more.
        if not self._servers.is_known:
            self._take(reply, peer, asked_at_s)
        elif self._may_be_copy():
            self._take_published(reply, peer)

    def _take(
        self, reply: StateReply, peer: settings.Address, asked_at_s: float
    ) -> None:
        if not self._take_published(reply, peer):
            return
        # The peer's age is as of its answer, which came later than the
        # question was sent.
        self._age.confirm(asked_at_s - reply.configuration_age_s)
        # A route that the peer does not know may be in force.
        self._exchange.record_store_state(is_away=True)
        self._servers.replace_from_peer(reply.servers, reply.list_age_s)
        log.info(
            'state taken over',
            peer=peer.ip,
            backend_servers=len(reply.servers),
            list_age_s=round(reply.list_age_s, 1),
        )

    def _take_published(
        self, reply: StateReply, peer: settings.Address
    ) -> bool:
        """Put in force what operators published; return whether it is."""
        try:
            self._exchange.apply(reply.configuration, source=peer.ip)
        except errors.PlatformError as error:
            log.error('state rejected', peer=peer.ip, error=str(error))
            return False
        for found in reply.versions:
            self._versions.record(found.model, found.adapter, found.version)
        self._has_reply = True
        return True
