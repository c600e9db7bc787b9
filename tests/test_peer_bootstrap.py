"""What an entry that starts learns from others, in virtual time."""

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
    """What one entry knows, and how it shares it."""

    def __init__(self, link=None, peers=()):
        clock = virtual_time.LoopClock()
        self.is_copy = False
        self.servers = backend_list.BackendList(clock)
        self.versions = adapter_versions.AdapterVersions()
        self.table = routing.RoutingTable(random.Random(1))
        self.exchange = configuration_exchange.ConfigurationExchange(
            None, self.table, decode, clock
        )
        self.age = configuration_age.ConfigurationAge(clock)
        self.state = peer_bootstrap.PeerBootstrap(
            link,
            peers,
            self.servers,
            self.versions,
            self.exchange,
            self.age,
            clock,
            lambda: self.is_copy,
        )

    def read_store(self, content=b'5'):
        self.exchange.apply(content, 'store')
        self.servers.record_read()
        self.servers.replace_all([SERVER])


class FakeLink:
    """Entries by their address; those that are not here are down."""

    def __init__(self):
        self.entries = {}
        self.asked = []

    async def ask_state(self, entry, message, timeout_s):
        endpoint = f'{entry.ip}:{entry.port}'
        self.asked.append(endpoint)
        if endpoint not in self.entries:
            await asyncio.sleep(timeout_s)
            raise errors.NoReplyError(endpoint)
        found = self.entries[endpoint]
        if isinstance(found, peer_bootstrap.StateReply):
            return found
        return await found.state.answer(message)


class Scene:
    def __init__(self):
        self.link = FakeLink()
        self.other = Entry()
        self.starting = Entry(self.link, ADDRESSES)


def play(story):
    async def main():
        await story(Scene())

    virtual_time.run(main())


class TestPeerBootstrap:
    def test_an_entry_serves_although_the_store_is_down(self):
        """Guards against a restart that serves nobody without the store."""

        async def story(scene):
            scene.other.read_store()
            scene.other.versions.record('m', 'a', 4)
            scene.link.entries = {B: Entry(), C: scene.other}
            await asyncio.sleep(20.0)
            await scene.starting.state.run()
            assert scene.starting.table.version == 5
            assert scene.starting.versions.required_version('m', 'a') == 4
            (found,) = scene.starting.servers.serving('chat')
            assert (found.name, found.adapters) == ('i-1', {})
            assert scene.starting.servers.age_s >= 20.0

        play(story)

    def test_a_route_that_a_peer_does_not_know_is_not_denied(self):
        """Guards against "not found" from the old state of a peer."""

        async def story(scene):
            scene.other.read_store()
            scene.link.entries = {A: scene.other}
            await scene.starting.state.run()
            assert scene.starting.table.is_store_unreachable

        play(story)

    def test_a_store_that_works_is_enough(self):
        async def story(scene):
            scene.starting.read_store()
            await scene.starting.state.run()
            assert scene.link.asked == []

        play(story)

    def test_a_store_that_may_be_a_copy_is_not(self):
        """Guards against a restart that brings a lost version back."""

        async def story(scene):
            scene.other.read_store(b'6')
            scene.other.versions.record('m', 'a', 4)
            scene.link.entries = {B: scene.other}
            scene.starting.is_copy = True
            scene.starting.read_store(b'5')
            await scene.starting.state.run()
            assert scene.starting.table.version == 6
            assert scene.starting.versions.required_version('m', 'a') == 4
            assert not scene.starting.table.is_store_unreachable
            assert scene.link.asked == [A, B]

        play(story)

    def test_the_store_goes_before_a_late_reply(self):
        """Guards against a peer's old list that replaces the store's."""

        async def story(scene):
            scene.other.read_store()
            scene.other.servers.put(
                backend_list.BackendServer('gone', 'chat', 'x', 1, 'z')
            )
            running = asyncio.create_task(scene.starting.state.run())
            await asyncio.sleep(0.4)
            scene.starting.read_store(b'6')
            scene.link.entries = {B: scene.other}
            await running
            assert scene.starting.servers.get('gone') is None
            assert not scene.starting.table.is_store_unreachable

        play(story)

    def test_all_are_asked_until_one_knows(self):
        async def story(scene):
            running = asyncio.create_task(scene.starting.state.run())
            await asyncio.sleep(10.0)
            assert set(scene.link.asked) == {A, B, C}
            assert len(scene.link.asked) < 20
            scene.other.read_store()
            scene.link.entries = {A: scene.other}
            async with asyncio.timeout(3.0):
                await running

        play(story)

    def test_what_cannot_be_read_is_not_taken(self):
        async def story(scene):
            scene.other.read_store()
            scene.link.entries = {
                A: peer_bootstrap.StateReply(
                    is_known=True, configuration=b'x', servers=(SERVER,)
                ),
                B: scene.other,
            }
            await scene.starting.state.run()
            assert scene.starting.table.version == 5

        play(story)

    def test_the_store_is_believed_once_it_is_back(self):
        """Guards against a server kept that left while the store was away."""

        async def story(scene):
            scene.other.read_store()
            scene.link.entries = {A: scene.other}
            await scene.starting.state.run()
            scene.starting.servers.record_read()
            scene.starting.servers.replace_all([])
            assert scene.starting.servers.serving('chat')
            await asyncio.sleep(3.0)
            assert not scene.starting.servers.serving('chat')

        play(story)


class TestAge:
    def test_a_configuration_is_as_old_as_the_peer_knows(self):
        """Guards against a restart that makes an old configuration new."""

        async def story(scene):
            scene.other.read_store()
            scene.other.age.confirm(0.0)
            scene.link.entries = {A: scene.other}
            await asyncio.sleep(20.0)
            await scene.starting.state.run()
            assert scene.starting.table.version == 5
            assert scene.starting.age.age_s >= 20.0

        play(story)
