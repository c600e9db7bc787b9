"""What callers get while some engines are full or down, and others free."""

import asyncio
import collections
import contextlib
import random

from benchmarks import virtual_time
from tests import room_scene

ENGINES = 27
ENTRIES = 29
TURNS = 8
ADAPTERS = 60
DURATION_S = 12.0
# Three quarters of what the engines can run.
LOAD_RATIO = 0.75
DOWN_COUNT = 7
DOWN = (4.0, 6.0)
SEEDS = (1, 2, 3)


async def call(fleet, entry, name, adapter, results):
    """Send a request, and once more at the time that a refusal names."""
    target_at_s = fleet.clock.monotonic_s() + room_scene.TARGET_S
    for attempt in (1, 2):
        spec = fleet.spec(name, adapter, target_at_s, attempt)
        try:
            async with entry.client.acquire(spec, ()):
                is_late = fleet.clock.monotonic_s() > target_at_s
                results['late' if is_late else 'on time'] += 1
                await asyncio.sleep(room_scene.RUN_S)
                return
        except room_scene.errors.RefusalError as error:
            results['refusals'] += 1
            await asyncio.sleep(error.retry_after_s)
    results['refused'] += 1


async def load(fleet, seed, results, load_ratio):
    source = random.Random(seed)
    weights = [1.0 / rank for rank in range(1, ADAPTERS + 1)]
    per_s = load_ratio * ENGINES * TURNS / room_scene.RUN_S
    calls = []
    while fleet.clock.monotonic_s() < DURATION_S:
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


def play(seed, new_search, load_ratio=LOAD_RATIO, down=DOWN):
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
            await load(fleet, seed, results, load_ratio)
        results['asks'] = fleet.ask_count
        results['loads'] = sum(s.load_count for s in fleet.sidecars.values())

    virtual_time.run(main())
    return results
