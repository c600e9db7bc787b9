"""Orders to an engine, in every order that calls and answers can take."""

import asyncio
import random

import pytest

from lacewingpitch import errors
from lacewingpitch import routing
from tests import fake_engine
from tests import test_engine_controller

SLOT_COUNT = 3
STEP_COUNT = 40
PLAYS = 25
ADAPTER_COUNT = 7
# A call may pass others that were made before it.
DELAYS_S = (0.0, 0.0, 0.004, 0.02, 0.1)
FATES = ('answered',) * 6 + ('not taken', 'answer lost', 'busy')


class LossyEngine(fake_engine.FakeEngine):
    """An engine whose calls and answers are late, or lost."""

    def __init__(self, source, **options):
        super().__init__(slot_count=SLOT_COUNT, **options)
        self.source = source

    async def report(self):
        await self._travel()
        found = await super().report()
        await self._travel()
        return found

    async def load(self, *order):
        return await self._call(super().load, order)

    async def unload(self, *order):
        return await self._call(super().unload, order)

    async def _call(self, call, order):
        fate = self.source.choice(FATES)
        if fate == 'busy':
            return fake_engine.Result.BUSY
        await self._travel()
        if fate == 'not taken':
            raise errors.PlatformError('the call is lost')
        result = await call(*order)
        await self._travel()
        if fate == 'answer lost':
            raise errors.PlatformError('the answer is lost')
        return result

    async def _travel(self):
        await asyncio.sleep(self.source.choice(DELAYS_S))


class Callers:
    """Requests that come and go, at an engine that may start again."""

    def __init__(self, scene, source):
        self.scene = scene
        self.source = source
        self.tasks = []
        self.starts = 0

    async def act(self):
        action = self.source.choice(('ask', 'ask', 'ask', 'pause', 'restart'))
        if action == 'ask':
            self.tasks.append(asyncio.create_task(self.ask()))
        elif action == 'restart' and self.source.random() < 0.1:
            self.restart()
        await asyncio.sleep(self.source.choice((0.0, 0.03, 0.2)))

    async def ask(self):
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


class TestLimit:
    @pytest.mark.parametrize('batch', range(8))
    def test_an_engine_is_never_given_one_adapter_too_many(self, batch):
        """All streams of an engine break off.

        It was ordered to hold one adapter more than it has slots, and
        crashed.  Its sidecar had counted a slot as free: a call or its
        answer was lost or late, a report was older than an order, a run
        kept its adapter for longer, or the engine had started again.
        """

        for seed in range(batch * PLAYS, (batch + 1) * PLAYS):
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
