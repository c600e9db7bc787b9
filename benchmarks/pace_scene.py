"""Callers of one engine whose sidecar may measure its pace, in virtual time.

Callers send streams and short answers to one engine, some of them together.
The whole path of a sidecar's decisions runs: admission, the prefill pacer,
the pace that is measured from the engine's reports.
"""

import asyncio
import collections
import dataclasses
import random

from benchmarks import batch_engine
from benchmarks import virtual_time
from lacewingpitch import crash_record
from lacewingpitch import fair_queue
from lacewingpitch import metrics
from lacewingpitch import pace_watch
from lacewingpitch import prefill_pacer
from lacewingpitch import slot_simulation
from lacewingpitch import turn_granter
from lacewingpitch import turn_messages
from lacewingpitch import turn_metrics
from lacewingpitch import turn_queue

TURNS = 32
TOKENS_PER_EVENT = 8
GAP_S = 0.3
TARGET_S = 0.5
DEADLINE_S = 12.0
# Prompt and answer tokens, and the share of the requests.
STREAM = (826, 288)
SUMMARY = (2368, 24)
STREAM_RATIO = 0.8
LONGEST_ANSWER_RATIO = 1.7
GROUP_INTERVAL_S = 2.0
GROUP_COUNT = 5
LOAD_S = 40.0
NETWORK_S = (0.003, 0.03)
IDLE_POLL_S = 0.2
RETRIES = 1


@dataclasses.dataclass(frozen=True)
class Speed:
    """Speed of an engine while nothing slows it."""

    token_s: float
    prompt_tokens_per_s: float


FAST = Speed(0.0035, 58_000.0)
SLOW = Speed(0.0086, 24_000.0)


class HeldAdapters:
    """All adapters are held, and none needs a slot."""

    adapters = ()
    spare_slot_count = 9
    cached_copy_load_s = 0.0
    cached_copy_count = 0

    def expected_wait(self, name=''):
        return slot_simulation.AdapterWait()


class EngineState:
    is_serving = True
    is_leaving = False
    is_starting = False
    is_silent = False
    remaining_start_s = 0.0
    backend_server = 'i-1'
    started_at_ms = 0


def constant(_clock):
    """Return a watch that leaves the rates constant."""
    return pace_watch.NoPaceWatch()


def measured(clock):
    """Return a watch that measures the engine."""
    return pace_watch.MeasuringPaceWatch(clock, lambda: TOKENS_PER_EVENT)


class Scene:
    """The turn granter of one engine, and its callers."""

    def __init__(self, speed, new_watch, falter_ratio, seed):
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
        self.random = random.Random(seed)
        self.watch = new_watch(clock)
        self.pacer = prefill_pacer.PrefillPacer(clock, self.watch.rates)
        self.granter = turn_granter.TurnGranter(
            queue,
            HeldAdapters(),
            EngineState(),
            self.pacer,
            clock,
            lambda: 1,
            random.Random(seed),
            turn_metrics.TurnMetrics(queue, metrics.Metrics('s', 'zone-a')),
            crash_record.CrashRecord(clock, random.Random(seed)),
            self.watch,
        )
        self.engine = batch_engine.BatchEngine(
            speed.token_s,
            speed.prompt_tokens_per_s,
            TOKENS_PER_EVENT,
            TURNS,
            falter_ratio=falter_ratio,
            seed=seed,
        )
        self.outcomes = collections.Counter()
        self.first_s = []
        self.gaps_s = []
        self._numbers = iter(range(1_000_000))

    async def poll(self):
        while True:
            self.watch.record_report(
                self.engine.snapshot(), self.clock.monotonic_s()
            )
            self.pacer.update_rates()
            await asyncio.sleep(self.watch.poll_interval_s(IDLE_POLL_S))

    def request(self, prompt_tokens, tokens, remaining_s):
        number = next(self._numbers)
        return turn_messages.TurnRequest(
            entry='edge-1',
            turn_id=f'r{number}.1',
            run_id=f'r{number}',
            model='m',
            adapter='',
            version=0,
            route='chat',
            rank=0,
            prompt_tokens=prompt_tokens,
            max_tokens=2 * tokens,
            expected_tokens=tokens,
            wait_ms=10_000,
            start_within_ms=3000,
            target_ms=int(remaining_s * 1000),
            deadline_ms=int(DEADLINE_S * 1000),
            gap_ms=int(GAP_S * 1000),
        )

    async def call(self):
        is_stream = self.random.random() < STREAM_RATIO
        prompt_tokens, tokens = STREAM if is_stream else SUMMARY
        started_s = self.clock.monotonic_s()
        for _ in range(1 + RETRIES):
            remaining_s = TARGET_S - (self.clock.monotonic_s() - started_s)
            request = self.request(prompt_tokens, tokens, remaining_s)
            reply = await self.granter.request_turn(request)
            if reply.refusal is None:
                break
            await asyncio.sleep(reply.retry_after_ms / 1000)
        else:
            self.outcomes['refused'] += 1
            return
        await asyncio.sleep(self.random.uniform(*NETWORK_S))
        length = tokens * self.random.uniform(0.3, LONGEST_ANSWER_RATIO)
        run = await self.engine.serve(
            request.run_id, prompt_tokens, max(1, int(length))
        )
        self.first_s.append(run.events_at_s[0] - started_s)
        self.gaps_s.append(run.longest_gap_s)
        await self.granter.end_turns([request.turn_id])
        if self.first_s[-1] > TARGET_S:
            self.outcomes['late first event'] += 1
        elif run.longest_gap_s > GAP_S:
            self.outcomes['late by a pause'] += 1
        else:
            self.outcomes['on time'] += 1

    async def send(self, per_s):
        calls = []
        group_at_s = GROUP_INTERVAL_S
        while self.clock.monotonic_s() < LOAD_S:
            await asyncio.sleep(self.random.expovariate(per_s))
            count = 1
            if self.clock.monotonic_s() > group_at_s:
                group_at_s += GROUP_INTERVAL_S
                count = GROUP_COUNT
            calls += [asyncio.create_task(self.call()) for _ in range(count)]
        await asyncio.gather(*calls)


def play(speed, new_watch, per_s, falter_ratio=0.0, seed=1):
    """Return the scene after its load."""

    async def main():
        scene = Scene(speed, new_watch, falter_ratio, seed)
        tasks = [
            asyncio.create_task(scene.engine.work()),
            asyncio.create_task(scene.poll()),
        ]
        await scene.send(per_s)
        for task in tasks:
            if task.done():
                task.result()
            task.cancel()
        return scene

    return virtual_time.run(main())
