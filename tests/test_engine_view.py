"""Orders to an engine, and their confirmation by its reports."""

import asyncio

import pytest

from benchmarks import virtual_time
from lacewingpitch import adapter_versions
from lacewingpitch import engine_view
from lacewingpitch import errors
from lacewingpitch import fence
from tests import fake_engine

REPORT_INTERVAL_S = 0.04


class Scene:
    """An engine, its view, and polling at an interval."""

    def __init__(self, **options):
        self.clock = virtual_time.LoopClock()
        self.engine = fake_engine.FakeEngine(**options)
        self.fence = fence.Fence(self.clock)
        self.versions = adapter_versions.AdapterVersions()
        self.view = engine_view.EngineView(
            self.engine, self.fence, self.versions, self.clock
        )
        self.view.slot_count = self.engine.slot_count

    async def __aenter__(self):
        self.view.attach(await self.engine.incarnation())
        self._reports = asyncio.create_task(self._report())
        return self

    async def __aexit__(self, *exception):
        self._reports.cancel()

    async def _report(self):
        while True:
            polled_at_s = self.clock.monotonic_s()
            try:
                self.view.update(await self.engine.report(), polled_at_s)
            except errors.PlatformError:
                pass
            await asyncio.sleep(REPORT_INTERVAL_S)


def play(story, **options):
    async def main():
        async with Scene(**options) as scene:
            await story(scene)
            return scene

    return virtual_time.run(main())


class TestLoad:
    def test_load_completes_when_a_report_shows_it(self):
        async def story(scene):
            started_s = scene.clock.monotonic_s()
            await scene.view.load_adapter('m/a', 0)
            took_s = scene.clock.monotonic_s() - started_s
            assert 0.25 <= took_s <= 0.25 + 2 * REPORT_INTERVAL_S
            assert scene.view.held_version('m/a') == 1

        play(story)

    def test_report_from_before_an_unload_is_ignored(self):
        """Guards against a crash by one adapter too many.

        An adapter is unloaded and ordered again before the next report.
        The last report still shows it; if it counts as loaded, the next
        report shows it missing, and its slot is given to another adapter
        while its load is in progress.
        """

        async def story(scene):
            scene.engine.report_delay_s = 0.02
            for name in 'abc':
                await scene.view.load_adapter(f'm/{name}', 0)
            await scene.view.evict_adapter('m/a', 0)
            started_s = scene.clock.monotonic_s()
            await scene.view.load_adapter('m/a', 0)
            assert scene.clock.monotonic_s() - started_s >= 0.25
            assert 'm/a' in scene.engine.held

        play(story)

    def test_order_with_a_lost_answer_occupies_a_slot(self):
        """Guards against a crash by one adapter too many.

        The engine accepts a load and the answer is lost.  If the slot
        counts as free, another load is ordered.
        """

        async def story(scene):
            await scene.view.load_adapter('m/a', 0)
            await scene.view.load_adapter('m/b', 0)
            scene.engine.lose_answers = 1
            with pytest.raises(errors.PlatformError):
                await scene.view.load_adapter('m/lost', 0)
            other = asyncio.create_task(scene.view.load_adapter('m/c', 0))
            await asyncio.sleep(1.0)
            assert not other.done()
            await scene.view.evict_adapter('m/lost', 0)
            await other

        scene = play(story)
        assert scene.engine.crash_count == 0

    def test_concurrent_loads_do_not_share_one_slot(self):
        async def story(scene):
            await scene.view.load_adapter('m/a', 0)
            await scene.view.load_adapter('m/b', 0)
            loads = [
                asyncio.create_task(scene.view.load_adapter(name, 0))
                for name in ('m/c', 'm/d')
            ]
            await asyncio.sleep(1.0)
            assert sum(load.done() for load in loads) == 1
            await scene.view.evict_adapter('m/a', 0)
            await asyncio.gather(*loads)

        scene = play(story)
        assert scene.engine.crash_count == 0

    def test_load_fails_when_the_engine_restarts(self):
        async def story(scene):
            load = asyncio.create_task(scene.view.load_adapter('m/a', 0))
            await asyncio.sleep(0.1)
            scene.engine.restart('i-2')
            scene.view.attach('i-2')
            with pytest.raises(errors.PlatformError):
                await load
            assert scene.view.occupied_slots() == set()

        play(story)

    def test_required_version_is_loaded(self):
        async def story(scene):
            await scene.view.load_adapter('m/a', 0)
            assert not scene.view.holds('m/a@2')
            await scene.view.load_adapter('m/a@2', 0)
            assert scene.engine.held == {'m/a': 2}
            assert scene.view.holds('m/a@2')

        play(story)


class TestReservation:
    def test_slot_stays_reserved_while_the_engine_is_busy(self):
        """Guards against a crash by one adapter too many.

        The engine is busy when a load is ordered, and the order is retried.
        A report in between doesn't show the load; if another load gets the
        last slot, both are ordered.
        """

        async def story(scene):
            scene.engine.busy_answers = 6
            first = asyncio.create_task(scene.view.load_adapter('m/c', 1))
            await asyncio.sleep(0.1)
            second = asyncio.create_task(scene.view.load_adapter('m/d', 1))
            await asyncio.sleep(1.0)
            assert scene.engine.crash_count == 0
            assert first.done()
            second.cancel()
            await asyncio.wait([second])

        play(story, held={'m/a': 1, 'm/b': 1})


class TestUnload:
    def test_unload_waits_for_a_run_to_end(self):
        """Guards against a crash by one adapter too many.

        A caller has disconnected, and its run ends a moment later.  The
        engine accepts the unload and carries it out when the run has ended.
        """

        async def story(scene):
            for name in 'abc':
                await scene.view.load_adapter(f'm/{name}', 0)
            scene.engine.in_use.add('m/a')
            await scene.view.evict_adapter('m/a', 0)
            assert 'm/a' not in scene.engine.held
            await scene.view.load_adapter('m/d', 0)

        scene = play(story)
        assert scene.engine.crash_count == 0


class TestFencing:
    def test_higher_fencing_token_at_the_engine_is_exceeded(self):
        """Guards against loads that all fail after a sidecar's restart.

        The clock of the previous sidecar was ahead, so that the engine
        refuses each order of this one by its fencing token.
        """

        async def story(scene):
            scene.engine.fence = scene.fence.token + 25_000
            await scene.view.load_adapter('m/a', 0)

        play(story)


class TestServing:
    def test_serving_needs_a_model_and_recent_reports(self):
        async def story(scene):
            await asyncio.sleep(0.1)
            assert scene.view.is_serving
            scene.engine.is_leaving = True
            await asyncio.sleep(0.1)
            assert not scene.view.is_serving
            scene.engine.is_leaving = False
            scene.engine.models.clear()
            await asyncio.sleep(0.1)
            assert not scene.view.is_serving
            scene.engine.models.add('m')
            await asyncio.sleep(0.1)
            scene.engine.is_up = False
            await asyncio.sleep(1.2)
            assert not scene.view.is_serving

        play(story)
