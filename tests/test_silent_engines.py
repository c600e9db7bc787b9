"""Sound engines that fall silent for a moment, as their sidecars see them."""

import asyncio

import pytest

from lacewingpitch import errors
from lacewingpitch import turn_messages
from tests import silent_engines

ASKS_STATE = turn_messages.TurnEnds(turn_ids=(), asks_state=True)


class TestSilence:
    @pytest.mark.parametrize('silent_s', [1.0, 1.3, 1.6, 2.0])
    @pytest.mark.parametrize('engine_count', [1, 2, 3])
    @pytest.mark.parametrize('adapters', [('',), ('a', 'b')])
    def test_no_caller_is_refused_while_all_engines_are_silent(
        self, silent_s, engine_count, adapters
    ):
        """Guards against refusals although an engine is back in a moment."""

        async def story(scene):
            load = asyncio.create_task(scene.load(14, 6.0, adapters))
            await asyncio.sleep(2.0)
            for engine in scene.engines:
                engine.fall_silent(silent_s)
            await load

        scene = silent_engines.play(
            story, engine_count=engine_count, max_running=64
        )
        assert scene.refused == []

    def test_waiting_callers_leave_an_engine_that_stays_silent(self):
        """Guards against waiting for an engine that hangs beside a sound."""

        async def story(scene):
            for engine, silent_s in zip(scene.engines, (99, 1.4), strict=True):
                engine.fall_silent(silent_s)
            await asyncio.sleep(1.25)
            await scene.load(20, 0.5)

        scene = silent_engines.play(story)
        assert {end for _, end, _, _ in scene.ends} == {'i-1'}
        waits_s = [settled - asked for _, _, asked, settled in scene.ends]
        assert max(waits_s) < 1.2

    def test_silent_engine_is_left_where_another_serves(self):
        """Guards against callers that wait for an engine that hangs."""

        async def story(scene):
            scene.engines[0].fall_silent()
            await asyncio.sleep(1.5)
            await scene.load(14, 4.0)

        scene = silent_engines.play(story)
        assert {end for _, end, _, _ in scene.ends} == {'i-1'}
        waits_s = [settled - asked for _, _, asked, settled in scene.ends]
        assert max(waits_s) < 0.1

    def test_callers_are_refused_once_all_engines_hang(self):
        """Guards against callers that wait until their deadline in vain."""

        async def story(scene):
            for engine in scene.engines:
                engine.fall_silent()
            await asyncio.sleep(1.5)
            await scene.run('one')

        scene = silent_engines.play(story)
        (_, end, asked_at_s, settled_at_s) = scene.ends[0]
        assert end.kind is errors.ErrorKind.DRAINING
        assert settled_at_s - asked_at_s < 2.0

    def test_engine_that_crashes_while_silent_is_down_at_once(self):
        """Guards against waiting for an engine that has ended."""

        async def story(scene):
            (engine,) = scene.engines
            engine.fall_silent()
            await asyncio.sleep(1.5)
            engine.is_up = False
            await scene.run('one')

        scene = silent_engines.play(story, engine_count=1)
        (_, end, asked_at_s, settled_at_s) = scene.ends[0]
        assert end.kind is errors.ErrorKind.DRAINING
        assert settled_at_s - asked_at_s < 0.6


class TestState:
    def test_silent_engine_is_not_reported_as_ended(self):
        """Guards against crashes that are blamed on runs of a sound engine."""

        async def story(scene):
            (engine,) = scene.engines
            engine.fall_silent(1.3)
            await asyncio.sleep(0.3)
            (controller,) = scene.controllers.values()
            reply = await controller.end_turns(ASKS_STATE)
            assert not reply.is_known
            await asyncio.sleep(1.5)
            reply = await controller.end_turns(ASKS_STATE)
            assert reply.is_known and reply.is_running

        silent_engines.play(story, engine_count=1)


class TestOrders:
    """Orders that a silent engine carries out, and answers late."""

    def unavailable(self, scene):
        kind = errors.ErrorKind.ADAPTER_UNAVAILABLE
        return [error for error in scene.refused if error.kind is kind]

    @pytest.mark.parametrize('silent_s', [1.1, 1.6, 2.0])
    @pytest.mark.parametrize('adapters', ['', 'abc'])
    def test_orders_outlast_a_silence(self, silent_s, adapters):
        """Guards against adapters blocked after an order timed out."""

        async def story(scene):
            for adapter in adapters:
                await scene.run(adapter, adapter)
            scene.engines[0].fall_silent(silent_s)
            await asyncio.sleep(0.02)
            await scene.run('new', 'd')
            await scene.run('again', 'd')

        scene = silent_engines.play(story, engine_count=1)
        assert not self.unavailable(scene)
        assert scene.engines[0].crash_count == 0

    @pytest.mark.parametrize('silent_s', [1.1, 1.6, 2.0])
    def test_accepted_unload_outlasts_a_silence(self, silent_s):
        """Guards against adapters blocked after an unload was not seen."""

        async def story(scene):
            (engine,) = scene.engines
            for adapter in 'abc':
                await scene.run(adapter, adapter)
            engine.in_use |= {f'm/{adapter}' for adapter in 'abc'}
            requesting = asyncio.create_task(scene.run('new', 'd'))
            await asyncio.sleep(0.02)
            engine.fall_silent(silent_s)
            await requesting

        scene = silent_engines.play(story, engine_count=1)
        assert not self.unavailable(scene)
        assert scene.engines[0].crash_count == 0

    def test_unload_at_an_engine_that_hangs_is_given_up(self):
        """Guards against a load permit that is held forever."""

        async def story(scene):
            (engine,) = scene.engines
            for adapter in 'abc':
                await scene.run(adapter, adapter)
            engine.fall_silent()
            await asyncio.sleep(0.02)
            await scene.run('new', 'd')
            await asyncio.sleep(3.0)
            engine.fall_silent(0.0)
            await asyncio.sleep(1.5)
            await scene.run('later', 'e')

        scene = silent_engines.play(story, engine_count=1)
        assert scene.ends[-1][1] == 'i-0'


class TestEstimates:
    """Estimates of a sidecar whose engine was silent."""

    @pytest.mark.parametrize('silent_s', [1.1, 1.6, 2.0])
    def test_load_during_a_silence_is_not_taken_for_slow(self, silent_s):
        """Guards against callers refused for a load that has just ended."""

        async def story(scene):
            scene.engines[0].fall_silent(silent_s)
            await asyncio.sleep(0.02)
            await scene.run('new', 'd')
            await scene.run('again', 'd')

        scene = silent_engines.play(story, engine_count=1)
        assert scene.refused == []

    @pytest.mark.parametrize('silent_s', [1.3, 1.6, 2.0])
    def test_runs_of_a_silence_are_not_taken_for_slow(self, silent_s):
        """Guards against callers refused as runs seem to last for long."""

        async def story(scene):
            async with asyncio.TaskGroup() as group:
                for number in range(8):
                    group.create_task(scene.run(f'r{number}'))
                await asyncio.sleep(0.2)
                scene.engines[0].fall_silent(silent_s)
                await asyncio.sleep(1.25)
                group.create_task(scene.run('late'))

        scene = silent_engines.play(story, engine_count=1, max_running=8)
        assert scene.refused == []
