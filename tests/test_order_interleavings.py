"""Orders to an engine, under random delays and losses of messages."""

import asyncio
import random

import pytest

from lacewingpitch import errors
from lacewingpitch import routing
from tests import fake_engine
from tests import test_engine_controller

SLOT_COUNT = 3
STEP_COUNT = 40
RUNS_PER_BATCH = 25
ADAPTER_COUNT = 7
# A call may overtake earlier ones.
DELAYS_S = (0.0, 0.0, 0.004, 0.02, 0.1)
OUTCOMES = ('answered',) * 6 + ('not taken', 'answer lost', 'busy')


class LossyEngine(fake_engine.FakeEngine):
    """An engine whose calls and answers are delayed or lost."""

    def __init__(self, source, **options):
        super().__init__(slot_count=SLOT_COUNT, **options)
        self.source = source

    async def report(self):
        await self._delay()
        found = await super().report()
        await self._delay()
        return found

    async def load(self, *order):
        return await self._send(super().load, order)

    async def unload(self, *order):
        return await self._send(super().unload, order)

    async def _send(self, call, order):
        outcome = self.source.choice(OUTCOMES)
        if outcome == 'busy':
            return fake_engine.Result.BUSY
        await self._delay()
        if outcome == 'not taken':
            raise errors.PlatformError('the call is lost')
        result = await call(*order)
        await self._delay()
        if outcome == 'answer lost':
            raise errors.PlatformError('the answer is lost')
        return result

    async def _delay(self):
        await asyncio.sleep(self.source.choice(DELAYS_S))


class Callers:
    """Requests that start and end, at an engine that may restart."""

    def __init__(self, scene, source):
        self.scene = scene
        self.source = source
        self.tasks = []
        self.starts = 0

    async def act(self):
        action = self.source.choice(('ask', 'ask', 'ask', 'pause', 'restart'))
        if action == 'ask':
            self.tasks.append(asyncio.create_task(self.run_request()))
        elif action == 'restart' and self.source.random() < 0.1:
            self.restart()
        await asyncio.sleep(self.source.choice((0.0, 0.03, 0.2)))

    async def run_request(self):
        engine = self.scene.engine
        number = len(self.tasks)
        adapter = f'a{self.source.randrange(ADAPTER_COUNT)}'
        name = f'r{number}'
        reply = await self.scene.request_turn(
            name, adapter=adapter, wait_ms=3000
        )
        if reply.refusal is None and not reply.is_pending:
            key = f'{fake_engine.MODEL}/{adapter}'
            engine.runs.add(name)
            engine.in_use.add(key)
            await asyncio.sleep(self.source.choice((0.0, 0.1, 0.5)))
            engine.runs.discard(name)
        await self.scene.end_turn(name)

    def restart(self):
        self.starts += 1
        name = self.source.choice((self.scene.engine.name, f'i-{self.starts}'))
        self.scene.engine.in_use.clear()
        self.scene.engine.restart(name, started_at_ms=self.starts)


class TestCapacity:
    @pytest.mark.parametrize('batch', range(8))
    def test_engine_capacity_is_never_exceeded(self, batch):
        """Guards against a crash that interrupts all streams of an engine.

        The engine is ordered to hold more adapters than it has slots.  The
        sidecar counts a slot as free although a call or its answer was lost
        or late, a report was older than an order, a run kept its adapter
        for longer, or the engine restarted.
        """

        for seed in range(
            batch * RUNS_PER_BATCH, (batch + 1) * RUNS_PER_BATCH
        ):
            assert not play(seed), f'crashed with seed {seed}'


def play(seed):
    """Return how often the engine crashed."""
    source = random.Random(seed)
    crash_counts = []

    async def story(scene):
        callers = Callers(scene, source)
        for _ in range(STEP_COUNT):
            await callers.act()
        await asyncio.gather(*callers.tasks)
        crash_counts.append(scene.engine.crash_count)

    limits = routing.EngineLimits(16, SLOT_COUNT, (fake_engine.MODEL,))
    test_engine_controller.play(
        story,
        limits=limits,
        new_engine=lambda **options: LossyEngine(source, **options),
    )
    return crash_counts[0]
