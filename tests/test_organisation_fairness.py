"""Waits of organisations at an engine while one of them floods it."""

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
LOAD_DURATION_S = 20.0
OTHERS = tuple(f'organisation-{n}' for n in range(6))
USUAL_PER_S = 2.5
FLOOD_RATIO = 8.0


class HeldAdapters:
    """All adapters are held, and none needs a slot."""

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
    is_silent = False
    remaining_start_s = 0.0
    backend_server = 'i-1'
    started_at_ms = 0


class Scene:
    """The turn granter of one engine, and callers that retry as advised."""

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
            HeldAdapters(),
            Engine(),
            prefill_pacer.PrefillPacer(clock),
            clock,
            lambda: 1,
            random.Random(1),
            turn_metrics.TurnMetrics(queue, metrics.Metrics('s', 'zone-a')),
            crash_record.CrashRecord(clock, random.Random(2)),
        )
        self.request_count = dict.fromkeys(OTHERS, 0)
        self.on_time_count = dict.fromkeys(OTHERS, 0)
        self.numbers = iter(range(1_000_000))

    def request(self, organisation, remaining_s):
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
            target_ms=int(remaining_s * 1000),
            deadline_ms=12_000,
            organisation=organisation,
        )

    async def call(self, organisation):
        started_s = self.clock.monotonic_s()
        self.request_count[organisation] += 1
        for _ in range(2):
            remaining_s = TARGET_S - (self.clock.monotonic_s() - started_s)
            request = self.request(organisation, remaining_s)
            reply = await self.granter.request_turn(request)
            if reply.refusal is None:
                break
            await asyncio.sleep(reply.retry_after_ms / 1000)
        else:
            return
        waited_s = self.clock.monotonic_s() - started_s
        self.on_time_count[organisation] += waited_s <= TARGET_S
        await asyncio.sleep(RUN_S)
        await self.granter.end_turns([request.turn_id])

    async def load(self, organisation, per_s, seed):
        source = random.Random(seed)
        ends_at_s = self.clock.monotonic_s() + LOAD_DURATION_S
        calls = []
        while self.clock.monotonic_s() < ends_at_s:
            await asyncio.sleep(source.expovariate(per_s))
            calls.append(asyncio.create_task(self.call(organisation)))
        await asyncio.gather(*calls)


def play(flood_ratio):
    """Return the share of requests on time, of the others and the flooder."""

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
        on_time_count = sum(scene.on_time_count[name] for name in others)
        request_count = sum(scene.request_count[name] for name in others)
        flooder = OTHERS[0]
        return on_time_count / request_count, scene.on_time_count[
            flooder
        ] / scene.request_count[flooder]

    return virtual_time.run(main())


class TestOrganisationFlood:
    def test_flood_does_not_delay_other_organisations(self):
        """Guards against one organisation's flood that makes others late."""
        usual, _ = play(1.0)
        flooded, flooder = play(FLOOD_RATIO)
        assert usual > 0.95
        assert flooded >= usual - 0.05
        # The flooder gets the remaining capacity, and isn't starved.
        assert flooder > 0.3


class TestOrganisationFloodAtALimitedEngine:
    def served_ratios(self, limit_per_s, flood_per_s, usual_per_s):
        """Return the share of requests on time, of the others and flooder."""

        async def main():
            scene = Scene()
            await scene.granter.apply_limit(limit_per_s)
            flooder, *others = OTHERS
            await asyncio.gather(
                scene.load(flooder, flood_per_s, 0),
                *(
                    scene.load(name, usual_per_s, seed)
                    for seed, name in enumerate(others, 1)
                ),
            )
            on_time = sum(scene.on_time_count[name] for name in others)
            sent = sum(scene.request_count[name] for name in others)
            return (
                on_time / sent,
                scene.on_time_count[flooder] / scene.request_count[flooder],
            )

        return virtual_time.run(main())

    def test_organisations_keep_their_shares_of_the_limit(self):
        """Guards against a flood that takes an engine's whole limit."""
        limit_per_s = 12.0
        share_per_s = limit_per_s / len(OTHERS)
        others, flooder = self.served_ratios(
            limit_per_s, 4.0 * limit_per_s, 0.5 * share_per_s
        )
        assert others > 0.7
        assert 0.05 < flooder < 0.4
