"""Exchange of crash records without turns, in virtual time."""

import asyncio
import random

import pytest

from benchmarks import virtual_time
from lacewingpitch import blame
from lacewingpitch import crash_record
from lacewingpitch import errors
from lacewingpitch import suspect_exchange
from lacewingpitch import suspect_sync
from lacewingpitch import suspects

REFUSED = blame.Handling.REFUSED
CONTACT_S = 3.0
MESSAGE_S = 0.002
# A fifth of what a process may receive in a second, at 100 bytes each.
MOST_PER_S = 8.0


class Entry:
    """An entry that exchanges its crashes with relays."""

    def __init__(self, network, number):
        source = random.Random(number)
        clock = virtual_time.LoopClock()
        self.suspects = suspects.Suspects(clock, source)
        self.sync = suspect_sync.SuspectSync(
            self.suspects,
            network.owner,
            network.send,
            lambda: network.entry_count,
            lambda: network.is_list_known,
            clock,
            source,
        )
        self.task = asyncio.create_task(self.sync.run())

    @property
    def knows(self):
        return self.suspects.record.handling('f') is REFUSED

    def crash(self, count=3):
        for number in range(count):
            self.suspects.record.record_crash('f', f'i-{number}')


class Network:
    """Entries and sidecars; each name is mapped to one of the sidecars."""

    def __init__(self, entry_count, sidecar_count):
        self.entry_count = entry_count
        self.is_list_known = True
        self.silent = set()
        self.counts = [0] * sidecar_count
        clock = virtual_time.LoopClock()
        self.records = [
            crash_record.CrashRecord(clock, random.Random(1000 + n))
            for n in range(sidecar_count)
        ]
        self.entries = [Entry(self, number) for number in range(entry_count)]

    def owner(self, name):
        if not self.records:
            return ''
        return str(random.Random(name).randrange(len(self.records)))

    async def send(self, ip, message, timeout_s):
        if ip in self.silent:
            await asyncio.sleep(timeout_s)
            raise errors.NoReplyError(ip)
        await asyncio.sleep(MESSAGE_S)
        self.counts[int(ip)] += 1
        answerer = suspect_exchange.CrashNewsAnswerer(self.records[int(ip)])
        return await answerer.answer(message)

    def close(self):
        for entry in self.entries:
            entry.task.cancel()


def play(entry_count, sidecar_count, story):
    async def main():
        network = Network(entry_count, sidecar_count)
        await asyncio.sleep(1.0)
        await story(network)
        network.close()
        return network

    return virtual_time.run(main())


class TestSpread:
    @pytest.mark.parametrize(('entries', 'sidecars'), [(4, 5), (380, 1000)])
    def test_all_entries_know_it_within_contact_without_turns(
        self, entries, sidecars
    ):
        """Guards against crashes that only messages about turns carry."""

        async def story(network):
            network.entries[0].crash()
            await asyncio.sleep(CONTACT_S)
            assert all(entry.knows for entry in network.entries)

        play(entries, sidecars, story)

    def test_messages_to_a_relay_do_not_grow_with_the_deployment(self):
        """Guards against a sidecar that all entries ask."""

        async def story(network):
            await asyncio.sleep(10.0)

        assert max(play(380, 1000, story).counts) / 11.0 <= MOST_PER_S

    def test_a_silent_relay_delays_no_other(self):
        async def story(network):
            network.silent.add(network.owner('suspects/0'))
            network.entries[0].crash()
            await asyncio.sleep(CONTACT_S)
            assert all(entry.knows for entry in network.entries)

        play(8, 5, story)

    def test_without_sidecars_nothing_is_sent(self):
        async def story(network):
            network.entries[0].crash()
            await asyncio.sleep(1.0)
            assert network.entries[0].sync.message_count == 0

        play(2, 0, story)


class TestStart:
    def test_a_starting_entry_knows_before_its_first_request(self):
        """Guards against a start that forgets what crashes servers."""

        async def story(network):
            network.entries[0].crash()
            await asyncio.sleep(1.0)
            entry = Entry(network, 77)
            await entry.sync.wait_until_informed()
            assert entry.knows
            entry.task.cancel()

        play(2, 5, story)

    @pytest.mark.parametrize('is_list_known', [True, False])
    def test_a_request_waits_only_for_a_moment(self, is_list_known):
        """Guards against requests that wait for sidecars that are down."""

        async def story(network):
            network.silent = {str(number) for number in range(5)}
            network.is_list_known = is_list_known
            entry = Entry(network, 77)
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            await entry.sync.wait_until_informed()
            assert loop.time() - began_s <= 0.61
            entry.task.cancel()

        play(2, 5, story)
