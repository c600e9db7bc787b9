"""Entries that can't read the list hear from others which servers left."""

import asyncio
import dataclasses
import time

import pytest

from benchmarks import virtual_time
from lacewingpitch import backend_list
from lacewingpitch import leaving_news
from lacewingpitch import turn_messages
from tests import entry_load
from tests import fault_matrix
from tests import notice_checks
from tests import platform_processes
from tests import store_faults
from tests import test_backend_list
from tests import test_engine_controller
from tests import test_left_servers
from tests import test_turn_client

Fault = fault_matrix.Fault
Promise = fault_matrix.Promise
Step = fault_matrix.Step

EPOCH = 3
# Number of the entry that is cut off from the store.
CUT_OFF = 1
clock = test_backend_list.clock
names = test_backend_list.names
server = test_backend_list.server
REMOVAL = leaving_news.ServerRemoval('a@0', EPOCH, 8)


@pytest.fixture
def servers(clock):
    found = backend_list.BackendList(clock)
    found.record_read(epoch=EPOCH, revision=5)
    found.replace_all([server('a'), server('b', port=2)])
    return found


class TestHeard:
    def test_a_removed_server_gets_nothing(self, servers):
        """Guards against use of a server by a list that is outdated."""
        assert servers.record_removal(REMOVAL)
        assert names(servers) == {'b'}
        assert servers.is_known_leaving(server('a'))

    def test_it_stays_out_of_use_after_the_outage(self, servers, clock):
        servers.record_read_failure()
        servers.record_removal(REMOVAL)
        clock.now_s += 1.0
        servers.record_read_failure()
        servers.record_read(epoch=EPOCH, revision=9)
        servers.replace_all([])
        assert names(servers) == {'b'}

    @pytest.mark.parametrize(
        'removal',
        [
            leaving_news.ServerRemoval('a@0', EPOCH, 5),
            leaving_news.ServerRemoval('a@0', EPOCH - 1, 8),
            leaving_news.ServerRemoval('a@0', EPOCH + 1, 8),
            leaving_news.ServerRemoval('a@77', EPOCH, 8),
            leaving_news.ServerRemoval('c@0', EPOCH, 8),
            leaving_news.ServerRemoval('', EPOCH, 8),
        ],
    )
    def test_what_the_list_does_not_need_is_ignored(self, servers, removal):
        """Guards against late news that hides a healthy server."""
        assert not servers.record_removal(removal)
        assert names(servers) == {'a', 'b'}

    def test_a_later_read_decides(self, servers):
        """Guards against a returned server that is never used again."""
        servers.record_removal(REMOVAL)
        servers.record_read(epoch=EPOCH, revision=7)
        servers.finish_update()
        assert names(servers) == {'b'}
        servers.record_read(epoch=EPOCH, revision=8)
        servers.finish_update()
        assert names(servers) == {'a', 'b'}

    def test_a_peer_s_list_is_as_new_as_its_position(self, servers):
        servers.replace_from_peer([server('a')], 0.5, (EPOCH, 8))
        assert not servers.record_removal(REMOVAL)
        assert servers.position == (EPOCH, 8)


class TestAdoptedList:
    """A process starts with the list of another one."""

    @pytest.fixture
    def adopted(self, clock, servers):
        servers.record_removal(REMOVAL)
        found = backend_list.BackendList(clock)
        found.replace_from_peer(
            [
                dataclasses.replace(
                    listed, is_leaving=servers.is_known_leaving(listed)
                )
                for listed in servers.all()
            ],
            0.5,
            servers.position,
        )
        return found

    def test_a_server_that_is_listed_again_is_used(self, adopted):
        """Guards against a server that is taken as leaving for good."""
        assert names(adopted) == {'b'}
        adopted.record_read(epoch=EPOCH, revision=12)
        adopted.replace_all([server('a'), server('b', port=2)])
        assert names(adopted) == {'a', 'b'}

    def test_others_are_not_told_what_it_has_not_read(self, adopted):
        assert adopted.recent_removals() == ()


class TestTold:
    def test_a_removed_and_a_leaving_server(self, servers):
        servers.record_read(epoch=EPOCH, revision=8)
        servers.remove('a')
        servers.put(server('b', port=2, is_leaving=True))
        assert set(servers.recent_removals()) == {
            REMOVAL,
            leaving_news.ServerRemoval('b@0', EPOCH, 8),
        }

    def test_not_for_ever(self, servers, clock):
        servers.remove('a')
        clock.now_s += 6.0
        assert servers.recent_removals() == ()

    @pytest.mark.parametrize('later_s', [0.0, 1.0])
    def test_not_for_entries_that_may_have_expired(
        self, servers, clock, later_s
    ):
        """Guards against healthy servers that others take for gone."""
        servers.record_read_failure()
        servers.record_read(epoch=EPOCH, revision=8)
        clock.now_s += later_s
        servers.record_read(epoch=EPOCH, revision=9)
        servers.remove('a')
        servers.finish_update()
        assert servers.recent_removals() == ()


class TestMessages:
    def test_a_sidecar_tells_other_entries(self):
        async def main():
            async with test_engine_controller.Scene() as scene:
                await scene.request_turn('one', removals=(REMOVAL,))
                told = await scene.request_turn('two')
                knowing = await scene.request_turn(
                    'three', removals=(REMOVAL,)
                )
                return told.removals, knowing.removals

        assert virtual_time.run(main()) == ((REMOVAL,), ())

    def test_an_entry_tells_and_hears(self):
        async def story(scene):
            scene.servers.record_read(epoch=EPOCH, revision=8)
            scene.servers.remove('a')
            told = leaving_news.ServerRemoval('b@0', EPOCH, 9)
            for number in (1, 2, 3):
                scene.sidecars.replies[f'10.0.0.{number}'] = (
                    turn_messages.TurnReply(removals=(told,))
                )
            await scene.acquire()
            turn = await scene.acquire('two')
            assert turn.server.name == 'c'

        scene = test_turn_client.play(story)
        assert scene.sidecars.requests[0][1].removals == (REMOVAL,)


class TestCutOffEntry:
    """Of two entries, one can't read the store."""

    def play(self, seed, length_s, story):
        """Return the result of a story with both entries."""

        async def main():
            outage = store_faults.Outage(6.0, 6.0 + length_s, 'silent')
            cut_off = test_left_servers.Scene(seed, (outage,))
            other = test_left_servers.Scene(seed, ())

            async def tell():
                while True:
                    for removal in other.servers.recent_removals():
                        cut_off.servers.record_removal(removal)
                    await asyncio.sleep(0.2)

            telling = asyncio.create_task(tell())
            try:
                return await story(cut_off, other)
            finally:
                telling.cancel()

        return virtual_time.run(main())

    def used(self, scene):
        return test_left_servers.LEFT in scene.names()

    @pytest.mark.proves(Promise.LEAVING, Fault.CONFIG_DOWN, Step.ANY)
    @pytest.mark.parametrize('how', ['removed', 'draining'])
    def test_a_server_that_leaves_gets_nothing_more(self, how):
        """Guards against use of a server that no other entry uses."""

        async def story(cut_off, other):
            for scene in (cut_off, other):
                test_left_servers.leave(scene, how, 8.0)
            await asyncio.sleep(8.0 + test_left_servers.DRAIN_S)
            during = self.used(cut_off)
            await asyncio.sleep(12.0)
            return during, self.used(cut_off)

        assert self.play(1, 9.0, story) == (False, False)

    def test_a_server_that_returns_is_used(self):
        async def story(cut_off, other):
            for scene in (cut_off, other):
                name = test_left_servers.LEFT
                scene.write_at(8.0, name, None)
                scene.write_at(10.0, name, test_left_servers.entry(name))
            await asyncio.sleep(9.9)
            during = self.used(cut_off)
            await asyncio.sleep(8.1)
            return during, self.used(cut_off)

        assert self.play(1, 9.0, story) == (False, True)


def arrivals_from(scene, server, entry, since_s=0.0):
    """Return how many requests of an entry reached a server."""
    sent = {a.request_id for a in scene.answers if a.entry == entry}
    return sum(
        request_id in sent and at_s > since_s
        for request_id, at_s, _ in server.arrivals
    )


class CutOffPlatform(platform_processes.Platform):
    """A platform whose second entry reaches the store through a relay."""

    async def _start(self, role, ip, ports, settings):
        if role == 'entry' and ip == self._entry_ips[-1]:
            self._is_relayed = True
            address = await self._relayed(
                'store-link', settings['address'], '127.0.0.1'
            )
            self._is_relayed = False
            settings = {**settings, 'address': address}
        return await super()._start(role, ip, ports, settings)


class TestProcesses:
    @pytest.mark.proves(Promise.LEAVING, Fault.LINK_CUT, Step.ANY)
    async def test_a_cut_off_entry_hears_that_a_plain_server_left(
        self, tmp_path
    ):
        """Guards against requests by the last list that was read."""
        async with CutOffPlatform(tmp_path, entry_count=2) as platform:
            scene = entry_load.Scene(platform)
            await asyncio.gather(
                scene.send('/lookup/x', 1.0), scene.send_model_requests(1.0)
            )
            platform.relays['store-link'].half_open()
            left = max(
                platform.services,
                key=lambda found: arrivals_from(scene, found, CUT_OFF),
            )
            await platform.store.delete(f'servers/{left.name}')
            since_s = time.monotonic()
            await asyncio.gather(
                scene.send('/lookup/x', 5.0), scene.send_model_requests(5.0)
            )
        late_s = since_s + notice_checks.DRAIN_S
        assert not arrivals_from(scene, left, CUT_OFF, late_s)
        served = [a.status for a in scene.answers if a.started_s > since_s]
        assert set(served) == {200}
