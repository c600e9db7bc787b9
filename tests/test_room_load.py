"""What callers get while some engines are full or down, and others free."""

import asyncio
import collections
import contextlib
import random

import structlog

from benchmarks import virtual_time
from lacewingpitch import errors
from lacewingpitch import room_search
from tests import room_scene

ENGINES = 27
ENTRIES = 29
TURNS = 8
ADAPTERS = 60
DURATION_S = 8.0
OVERLOAD_DURATION_S = 4.0
DOWN_COUNT = 7
DOWN = (3.0, 5.0)
NOT_DOWN = (0.0, 0.0)
SEEDS = (1, 2)


async def call(fleet, entry, name, adapter, results):
    """Send a request, and once more at the time that a refusal names."""
    target_at_s = fleet.clock.monotonic_s() + room_scene.TARGET_S
    for attempt in (1, 2):
        spec = fleet.spec(
            name, adapter, attempt=attempt, target_at_s=target_at_s
        )
        try:
            async with entry.client.acquire(spec, ()):
                is_late = fleet.clock.monotonic_s() > target_at_s
                results['late' if is_late else 'on time'] += 1
                await asyncio.sleep(room_scene.RUN_S)
                return
        except errors.RefusalError as error:
            results['refusals'] += 1
            await asyncio.sleep(error.retry_after_s)
    results['refused'] += 1


async def load(fleet, seed, results, load_ratio, duration_s):
    source = random.Random(seed)
    weights = [1.0 / rank for rank in range(1, ADAPTERS + 1)]
    per_s = load_ratio * ENGINES * TURNS / room_scene.RUN_S
    calls = []
    while fleet.clock.monotonic_s() < duration_s:
        await asyncio.sleep(source.expovariate(per_s))
        number = len(calls)
        (adapter,) = source.choices(range(ADAPTERS), weights)
        calls.append(
            asyncio.create_task(
                call(
                    fleet,
                    source.choice(fleet.entries),
                    f'r{number}',
                    f'a{adapter}',
                    results,
                )
            )
        )
    await asyncio.gather(*calls)
    results['requests'] += len(calls)


def play(seed, new_search, load_ratio, down=DOWN, duration_s=DURATION_S):
    """Return what callers got."""
    results = collections.Counter()

    async def main():
        fleet = room_scene.Fleet(ENGINES, ENTRIES, TURNS, new_search)
        source = random.Random(seed)
        for sidecar in source.sample(
            sorted(fleet.sidecars.values(), key=lambda s: s.server.name),
            DOWN_COUNT,
        ):
            sidecar.down = down
        async with contextlib.AsyncExitStack() as exits:
            for task in (
                fleet.publish(),
                *(entry.client.run() for entry in fleet.entries),
            ):
                exits.callback(asyncio.create_task(task).cancel)
            await load(fleet, seed, results, load_ratio, duration_s)
        results['asks'] = fleet.ask_count
        results['loads'] = sum(s.load_count for s in fleet.sidecars.values())

    virtual_time.run(main())
    return results


def no_search(_source):
    return None


def play_seeds(new_search, **options):
    """Return what callers got, over all seeds."""
    total = collections.Counter()
    for seed in SEEDS:
        total += play(seed, new_search, **options)
    return total


class TestOutage:
    """A quarter of the engines is down for two seconds."""

    def test_nobody_is_refused_while_half_of_the_turns_are_free(self):
        """Guards against refusals while other engines have room."""
        found = play_seeds(room_search.RoomSearch, load_ratio=0.5)
        assert found['refused'] == 0
        assert found['on time'] == found['requests']

    def test_callers_get_more_for_as_many_messages(self):
        """Guards against a search that costs more than it finds."""
        before = play_seeds(no_search, load_ratio=0.75)
        found = play_seeds(room_search.RoomSearch, load_ratio=0.75)
        assert found['requests'] == before['requests']
        assert found['refused'] < before['refused'] / 2
        assert found['late'] < before['late'] / 2
        assert found['asks'] <= 1.1 * before['asks']


class TestOverload:
    """More load than all engines can run."""

    def test_no_fewer_are_on_time(self):
        """Guards against asks that take the turns of others."""
        options = {
            'load_ratio': 1.4,
            'down': NOT_DOWN,
            'duration_s': OVERLOAD_DURATION_S,
        }
        before = play_seeds(no_search, **options)
        found = play_seeds(room_search.RoomSearch, **options)
        assert found['on time'] >= before['on time']
        assert found['refused'] <= before['refused']
        # Two more asks for each of two attempts.
        assert found['asks'] - before['asks'] <= 4 * found['requests']


class TestSpread:
    """Many entries search at the same moment, while most engines are full."""

    FULL_COUNT = 20
    ENTRY_COUNT = 30

    def play(self, new_search):
        """Return the most asks of an engine, by the log and in all."""

        async def main():
            fleet = room_scene.Fleet(
                ENGINES, self.ENTRY_COUNT, TURNS, new_search
            )
            sidecars = list(fleet.sidecars.values())
            for sidecar in sidecars[: self.FULL_COUNT]:
                sidecar.fill()
            results = collections.Counter()
            calls = [
                call(fleet, entry, f'r{number}', 'a', results)
                for number, entry in enumerate(fleet.entries)
            ]
            with structlog.testing.capture_logs() as lines:
                await asyncio.gather(*calls)
            searched = collections.Counter(
                line['backend_server']
                for line in lines
                if line['event'] == 'further engine asked'
            )
            most_asked = max(len(s.asks) for s in sidecars)
            return searched, most_asked, results['on time']

        return virtual_time.run(main())

    def test_searching_entries_do_not_all_ask_the_same_engine(self):
        """Guards against a rush on the engine that has room."""
        searched, most_asked, on_time = self.play(room_search.RoomSearch)
        _, most_asked_before, on_time_before = self.play(no_search)
        assert searched.total() >= self.ENTRY_COUNT
        assert max(searched.values()) <= self.ENTRY_COUNT / 3
        assert most_asked <= most_asked_before
        assert on_time > on_time_before
