"""What others get at one engine while an organisation floods it."""

import asyncio
import random

from benchmarks import virtual_time
from lacewingpitch import crash_record
from lacewingpitch import fair_queue
from lacewingpitch import metrics
from lacewingpitch import prefill_pacer
from lacewingpitch import slot_simulation
from lacewingpitch import turn_granter
from lacewingpitch import turn_messages
from lacewingpitch import turn_metrics
from lacewingpitch import turn_queue

TURNS = 32
PROMPT_TOKENS = 600
RUN_S = 1.5
TARGET_S = 0.8
LENGTH_S = 20.0
OTHERS = tuple(f'organisation-{n}' for n in range(6))
USUAL_PER_S = 2.5
FLOOD_RATIO = 8.0


class Adapters:
    """Every adapter is held, and none takes a place."""

    adapters = ()
    spare_slot_count = 9
    cached_copy_load_s = 0.0
    cached_copy_count = 0

    def expected_wait(self, name=''):
        return slot_simulation.AdapterWait()


class Engine:
    is_serving = True
    is_leaving = False
    is_starting = False
    remaining_start_s = 0.0
    backend_server = 'i-1'
    started_at_ms = 0


class Scene:
    """One engine's desk, and callers who follow what they are told."""

    def __init__(self):
        clock = virtual_time.LoopClock()
        queue = turn_queue.TurnQueue(
            TURNS,
            8,
            512,
            fair_queue.FairQueue(TURNS, lambda _order: True, clock),
            clock,
            lambda _order: 0.0,
        )
        self.clock = clock
        self.granter = turn_granter.TurnGranter(
            queue,
            Adapters(),
            Engine(),
            prefill_pacer.PrefillPacer(clock),
            clock,
            lambda: 1,
            random.Random(1),
            turn_metrics.TurnMetrics(queue, metrics.Metrics('s', 'zone-a')),
            crash_record.CrashRecord(clock, random.Random(2)),
        )
        self.asked = dict.fromkeys(OTHERS, 0)
        self.on_time = dict.fromkeys(OTHERS, 0)
        self.numbers = iter(range(1_000_000))

    def request(self, organisation, left_s):
        number = next(self.numbers)
        return turn_messages.TurnRequest(
            entry='edge-1',
            turn_id=f'r{number}.1',
            run_id=f'r{number}',
            model='m',
            adapter='',
            version=0,
            route='chat',
            rank=1,
            prompt_tokens=PROMPT_TOKENS,
            max_tokens=100,
            wait_ms=10_000,
            start_within_ms=3000,
            target_ms=int(left_s * 1000),
            deadline_ms=12_000,
            organisation=organisation,
        )

    async def call(self, organisation):
        began_s = self.clock.monotonic_s()
        self.asked[organisation] += 1
        for _ in range(2):
            left_s = TARGET_S - (self.clock.monotonic_s() - began_s)
            request = self.request(organisation, left_s)
            reply = await self.granter.request_turn(request)
            if reply.refusal is None:
                break
            await asyncio.sleep(reply.retry_after_ms / 1000)
        else:
            return
        waited_s = self.clock.monotonic_s() - began_s
        self.on_time[organisation] += waited_s <= TARGET_S
        await asyncio.sleep(RUN_S)
        await self.granter.end_turns([request.turn_id])

    async def load(self, organisation, per_s, seed):
        source = random.Random(seed)
        until_s = self.clock.monotonic_s() + LENGTH_S
        calls = []
        while self.clock.monotonic_s() < until_s:
            await asyncio.sleep(source.expovariate(per_s))
            calls.append(asyncio.create_task(self.call(organisation)))
        await asyncio.gather(*calls)


def play(flood_ratio):
    """Return the share on time, of the others and of the one that floods."""

    async def main():
        scene = Scene()
        await asyncio.gather(
            *(
                scene.load(
                    name,
                    USUAL_PER_S * (flood_ratio if not number else 1.0),
                    seed=number,
                )
                for number, name in enumerate(OTHERS)
            )
        )
        others = OTHERS[1:]
        on_time = sum(scene.on_time[name] for name in others)
        asked = sum(scene.asked[name] for name in others)
        flooder = OTHERS[0]
        return on_time / asked, scene.on_time[flooder] / scene.asked[flooder]

    return virtual_time.run(main())


class TestFlood:
    def test_others_are_on_time_as_without_it(self):
        """Guards against one organisation's flood that makes others late."""
        usual, _ = play(1.0)
        flooded, flooder = play(FLOOD_RATIO)
        assert usual > 0.95
        assert flooded >= usual - 0.05
        # It gets what the others leave, and is not starved.
        assert flooder > 0.3
