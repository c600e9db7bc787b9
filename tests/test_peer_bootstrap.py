"""Bootstrap of a starting entry from its peers, in virtual time."""

import asyncio
import random

from benchmarks import virtual_time
from lacewingpitch import adapter_versions
from lacewingpitch import backend_list
from lacewingpitch import configuration_age
from lacewingpitch import configuration_exchange
from lacewingpitch import errors
from lacewingpitch import peer_bootstrap
from lacewingpitch import routing
from lacewingpitch import settings

SERVER = backend_list.BackendServer(
    'i-1', 'chat', '10.0.0.7', 80, 'zone-a', adapters={'m/a': 3}
)
A, B, C = ('10.0.1.1:81', '10.0.1.2:81', '10.0.1.3:81')
ADDRESSES = [
    settings.Address(ip=f'10.0.1.{number}', port=81) for number in (1, 2, 3)
]


def decode(content):
    if not content.isdigit():
        raise errors.PlatformError('not a configuration')
    return routing.Configuration(int(content), (), {}, None, content)


class Entry:
    """The published state of one entry, and its exchange with peers."""

    def __init__(self, link=None, peers=()):
        clock = virtual_time.LoopClock()
        self.is_restored = False
        self.servers = backend_list.BackendList(clock)
        self.versions = adapter_versions.AdapterVersions()
        self.table = routing.RoutingTable(random.Random(1))
        self.exchange = configuration_exchange.ConfigurationExchange(
            None, self.table, decode, clock
        )
        self.age = configuration_age.ConfigurationAge(clock)
        self.bootstrap = peer_bootstrap.PeerBootstrap(
            link,
            peers,
            self.servers,
            self.versions,
            self.exchange,
            self.age,
            clock,
            lambda: self.is_restored,
        )

    def read_store(self, content=b'5'):
        self.exchange.apply(content, 'store')
        self.servers.record_read()
        self.servers.replace_all([SERVER])


class FakeLink:
    """Entries by address; an address that is missing is down."""

    def __init__(self):
        self.entries = {}
        self.requested = []

    async def request_state(self, entry, message, timeout_s):
        endpoint = f'{entry.ip}:{entry.port}'
        self.requested.append(endpoint)
        if endpoint not in self.entries:
            await asyncio.sleep(timeout_s)
            raise errors.NoReplyError(endpoint)
        found = self.entries[endpoint]
        if isinstance(found, peer_bootstrap.StateReply):
            return found
        return await found.bootstrap.answer(message)


class Scene:
    def __init__(self):
        self.link = FakeLink()
        self.other = Entry()
        self.starting = Entry(self.link, ADDRESSES)


def play(scenario):
    async def main():
        await scenario(Scene())

    virtual_time.run(main())


class TestPeerBootstrap:
    def test_an_entry_gets_its_state_while_the_store_is_down(self):
        """Guards against an entry that serves nothing after a restart."""

        async def scenario(scene):
            scene.other.read_store()
            scene.other.versions.record('m', 'a', 4)
            scene.link.entries = {B: Entry(), C: scene.other}
            await asyncio.sleep(20.0)
            await scene.starting.bootstrap.run()
            assert scene.starting.table.version == 5
            assert scene.starting.versions.required_version('m', 'a') == 4
            (found,) = scene.starting.servers.serving('chat')
            assert (found.name, found.adapters) == ('i-1', {})
            assert scene.starting.servers.age_s >= 20.0

        play(scenario)

    def test_a_route_unknown_to_the_peer_may_be_retried(self):
        """Guards against a final "not found" from a peer's old state."""

        async def scenario(scene):
            scene.other.read_store()
            scene.link.entries = {A: scene.other}
            await scene.starting.bootstrap.run()
            assert scene.starting.table.is_store_unreachable

        play(scenario)

    def test_no_peer_is_asked_if_the_store_works(self):
        async def scenario(scene):
            scene.starting.read_store()
            await scene.starting.bootstrap.run()
            assert scene.link.requested == []

        play(scenario)

    def test_a_peer_is_asked_if_the_store_may_be_restored(self):
        """Guards against a restarted entry with an outdated configuration.

        The store was restored from a backup and lacks the newest version.
        """

        async def scenario(scene):
            scene.other.read_store(b'6')
            scene.other.versions.record('m', 'a', 4)
            scene.link.entries = {B: scene.other}
            scene.starting.is_restored = True
            scene.starting.read_store(b'5')
            await scene.starting.bootstrap.run()
            assert scene.starting.table.version == 6
            assert scene.starting.versions.required_version('m', 'a') == 4
            assert not scene.starting.table.is_store_unreachable
            assert scene.link.requested == [A, B]

        play(scenario)

    def test_the_store_overrides_a_late_reply(self):
        """Guards against a peer's old list replacing that of the store."""

        async def scenario(scene):
            scene.other.read_store()
            scene.other.servers.put(
                backend_list.BackendServer('gone', 'chat', 'x', 1, 'z')
            )
            running = asyncio.create_task(scene.starting.bootstrap.run())
            await asyncio.sleep(0.4)
            scene.starting.read_store(b'6')
            scene.link.entries = {B: scene.other}
            await running
            assert scene.starting.servers.get('gone') is None
            assert not scene.starting.table.is_store_unreachable

        play(scenario)

    def test_all_peers_are_asked_until_one_has_the_state(self):
        async def scenario(scene):
            running = asyncio.create_task(scene.starting.bootstrap.run())
            await asyncio.sleep(10.0)
            assert set(scene.link.requested) == {A, B, C}
            assert len(scene.link.requested) < 20
            scene.other.read_store()
            scene.link.entries = {A: scene.other}
            async with asyncio.timeout(3.0):
                await running

        play(scenario)

    def test_a_malformed_reply_is_not_applied(self):
        async def scenario(scene):
            scene.other.read_store()
            scene.link.entries = {
                A: peer_bootstrap.StateReply(
                    is_known=True, configuration=b'x', servers=(SERVER,)
                ),
                B: scene.other,
            }
            await scene.starting.bootstrap.run()
            assert scene.starting.table.version == 5

        play(scenario)

    def test_the_store_is_authoritative_once_it_recovers(self):
        """Guards against keeping a server that left during the outage."""

        async def scenario(scene):
            scene.other.read_store()
            scene.link.entries = {A: scene.other}
            await scene.starting.bootstrap.run()
            scene.starting.servers.record_read()
            scene.starting.servers.replace_all([])
            assert scene.starting.servers.serving('chat')
            await asyncio.sleep(3.0)
            assert not scene.starting.servers.serving('chat')

        play(scenario)


class TestAge:
    def test_the_age_of_the_configuration_is_that_of_the_peer(self):
        """Guards against a restart that resets the configuration's age."""

        async def scenario(scene):
            scene.other.read_store()
            scene.other.age.confirm(0.0)
            scene.link.entries = {A: scene.other}
            await asyncio.sleep(20.0)
            await scene.starting.bootstrap.run()
            assert scene.starting.table.version == 5
            assert scene.starting.age.age_s >= 20.0

        play(scenario)
