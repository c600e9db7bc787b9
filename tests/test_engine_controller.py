"""Controller of one engine: turns, adapters, restarts, in virtual time."""

import asyncio
import random

from benchmarks import virtual_time
import pytest

from lacewingpitch import adapter_versions
from lacewingpitch import crash_record
from lacewingpitch import engine_controller
from lacewingpitch import errors
from lacewingpitch import metrics
from lacewingpitch import pace_watch
from lacewingpitch import routing
from lacewingpitch import suspect
from lacewingpitch import suspect_exchange
from lacewingpitch import turn_messages
from tests import fake_engine

SERVICE = 'chat'
ASKS_STATE = turn_messages.TurnEnds(turn_ids=(), asks_state=True)
LIMITS = routing.EngineLimits(
    max_running=4, adapter_slots=3, models=(fake_engine.MODEL,)
)


class Scene:
    """An engine controller that polls a fake engine."""

    def __init__(
        self,
        limits=LIMITS,
        new_engine=fake_engine.FakeEngine,
        measures_pace=False,
        parts=(),
        organisations=None,
        **options,
    ):
        self._organisations = organisations
        self.clock = virtual_time.LoopClock()
        self.engine = new_engine(**options)
        self.versions = adapter_versions.AdapterVersions()
        self.table = routing.RoutingTable(random.Random(1))
        self.crashes = crash_record.CrashRecord(self.clock, random.Random(2))
        if limits is not None:
            self.configure(limits)
        self.controller = engine_controller.EngineController(
            self.engine,
            self.table,
            self.versions,
            SERVICE,
            self.clock,
            metrics.Metrics('side-1', 'zone-a'),
            self.crashes,
            self._pace_watch() if measures_pace else None,
            parts=parts,
        )

    def _pace_watch(self):
        return pace_watch.MeasuringPaceWatch(
            self.clock, lambda: self.table.tokens_per_event(SERVICE)
        )

    def configure(self, limits):
        self.table.apply(
            routing.Configuration(
                7,
                (),
                {SERVICE: limits},
                None,
                organisations=self._organisations,
            )
        )

    async def __aenter__(self):
        self._running = asyncio.create_task(self.controller.run())
        await asyncio.sleep(0.5)
        return self

    async def __aexit__(self, *exception):
        self._running.cancel()
        await self.controller.close()

    async def request_turn(self, name, adapter='a', **fields):
        request = {
            'entry': 'edge-1',
            'turn_id': f'{name}.1',
            'run_id': name,
            'model': fake_engine.MODEL,
            'adapter': adapter,
            'version': 0,
            'route': 'r',
            'rank': 0,
            'prompt_tokens': 100,
            'max_tokens': 100,
            'wait_ms': 1000,
            'start_within_ms': 3000,
            'target_ms': 800,
            'deadline_ms': 12_000,
        }
        return await self.controller.request_turn(
            turn_messages.TurnRequest(**{**request, **fields})
        )

    async def request_until_settled(self, name):
        """Request a turn until settled, as an entry does if none serves."""
        while True:
            reply = await self.request_turn(
                name, waits_for_engine=True, wait_ms=400
            )
            if not reply.is_pending:
                return reply.refusal, reply.backend_server

    async def request_behind_runs(self):
        """Return a pending request while runs occupy all adapter slots."""
        for name in ('a', 'b', 'c'):
            await self.request_turn(name, adapter=name)
            self.engine.runs.add(name)
        waiting = asyncio.create_task(
            self.request_turn('d', adapter='d', wait_ms=3000)
        )
        await asyncio.sleep(0.1)
        return waiting

    async def end_turn(self, name):
        await self.controller.end_turns(
            turn_messages.TurnEnds(turn_ids=(f'{name}.1',))
        )


def play(story, **options):
    async def main():
        async with Scene(**options) as scene:
            await story(scene)
            return scene

    return virtual_time.run(main())


class TestTurn:
    def test_granted_once_the_adapter_is_held(self):
        async def story(scene):
            reply = await scene.request_turn('one')
            assert reply.refusal is None
            assert reply.backend_server == 'i-1'
            assert reply.version == 1
            assert reply.configuration_version == 7
            assert scene.engine.held == {'m/a': 1}

        play(story)

    def test_reports_the_number_of_active_entries(self):
        async def story(scene):
            async def request(*entries):
                for number in range(30):
                    entry = entries[number % len(entries)]
                    turn = f'{number}-{scene.clock.monotonic_s()}'
                    reply = await scene.request_turn(turn, entry=entry)
                return reply.entry_count

            assert await request('edge-1', 'edge-2') == 2
            await asyncio.sleep(11.0)
            assert await request('edge-1') == 1

        play(story)

    def test_repeated_request_is_idempotent(self):
        async def story(scene):
            first, second = await asyncio.gather(
                scene.request_turn('one'), scene.request_turn('one')
            )
            assert first.refusal is None and second.refusal is None
            assert len(scene.controller.granter) == 1

        play(story)

    def test_pending_turn_is_reported_within_the_wait(self):
        async def story(scene):
            reply = await scene.request_turn('one', wait_ms=50)
            assert reply.is_pending
            reply = await scene.request_turn('one')
            assert not reply.is_pending and reply.refusal is None

        play(story)

    def test_the_base_model_needs_no_adapter(self):
        async def story(scene):
            reply = await scene.request_turn('one', adapter='')
            assert reply.refusal is None
            assert scene.engine.held == {}

        play(story)

    def test_late_requests_are_refused_at_once(self):
        """Guards against callers that time out without any answer.

        More prompts arrive than the engine can read; if each waits behind
        all others, all are late.
        """

        async def story(scene):
            waits = [
                asyncio.create_task(
                    scene.request_turn(f'r{n}', adapter='', prompt_tokens=3000)
                )
                for n in range(30)
            ]
            replies = await asyncio.gather(*waits)
            refused = [r for r in replies if r.refusal]
            assert refused
            kinds = {r.refusal for r in refused}
            assert kinds == {errors.ErrorKind.DEADLINE_UNREACHABLE}
            assert all(r.retry_after_ms > 0 for r in refused)

        limits = routing.EngineLimits(64, 3, (fake_engine.MODEL,))
        play(story, limits=limits)

    def test_slow_loads_do_not_refuse_later_requests(self):
        """Guards against an idle engine that refuses adapters for good.

        After some loads took seconds, every request that needs a load is
        refused by their estimate, so that no load shows that they are
        fast again.
        """

        async def story(scene):
            scene.engine.load_s = 3.0
            for name in ('a', 'b'):
                await scene.request_turn(name, adapter=name, wait_ms=4000)
                await scene.end_turn(name)
            scene.engine.load_s = 0.25
            reply = await scene.request_turn('c', adapter='c')
            assert reply.refusal is None

        play(story)


class TestLease:
    def test_ended_turn_frees_its_slot(self):
        async def story(scene):
            for name in ('a', 'b', 'c'):
                await scene.request_turn(name, adapter=name)
            late = await scene.request_turn('d', adapter='d', wait_ms=400)
            assert late.is_pending
            await scene.end_turn('a')
            reply = await scene.request_turn('d', adapter='d')
            assert reply.refusal is None
            assert 'm/d' in scene.engine.held
            assert 'm/a' not in scene.engine.held

        scene = play(story)
        assert scene.engine.crash_count == 0

    def test_turn_of_a_lost_entry_lapses(self):
        """Guards against an idle engine whose turns are all occupied.

        An entry is killed after it was granted turns, and never ends them.
        """

        async def story(scene):
            await scene.request_turn('lost')
            assert len(scene.controller.granter) == 1
            await asyncio.sleep(2.0)
            assert len(scene.controller.granter) == 0

        play(story)

    def test_turn_lasts_while_its_run_is_reported(self):
        async def story(scene):
            await scene.request_turn('long')
            scene.engine.runs.add('long')
            await asyncio.sleep(4.0)
            assert len(scene.controller.granter) == 1
            scene.engine.runs.clear()
            await asyncio.sleep(2.0)
            assert len(scene.controller.granter) == 0

        play(story)

    def test_turns_outlast_a_silence_of_their_engine(self):
        """Guards against turns that end while the engine still runs them."""

        async def story(scene):
            await scene.request_turn('long')
            scene.engine.runs.add('long')
            await asyncio.sleep(0.3)
            scene.engine.fall_silent(2.0)
            await asyncio.sleep(3.0)
            assert len(scene.controller.granter) == 1

        play(story)

    def test_ending_a_pending_turn_frees_its_resources(self):
        async def story(scene):
            requesting = asyncio.create_task(scene.request_turn('one'))
            await asyncio.sleep(0.05)
            await scene.end_turn('one')
            assert (await requesting).refusal is errors.ErrorKind.CALLER_GONE
            assert len(scene.controller.granter) == 0
            assert (await scene.request_turn('two')).refusal is None

        play(story)


class TestEngine:
    def test_refused_as_starting_without_a_configuration(self):
        async def story(scene):
            reply = await scene.request_turn('one')
            assert reply.refusal is errors.ErrorKind.QUEUE_FULL
            scene.configure(LIMITS)
            await asyncio.sleep(0.5)
            assert (await scene.request_turn('two')).refusal is None

        play(story, limits=None)

    def test_request_during_startup_waits_until_ready(self):
        """Guards against refusals for a moment after a common restart.

        Entries and sidecars start together, and the first requests arrive
        while the sidecar still reads its configuration.
        """

        async def story(scene):
            requesting = asyncio.create_task(
                scene.request_turn('one', wait_ms=900)
            )
            await asyncio.sleep(0.1)
            scene.configure(LIMITS)
            reply = await requesting
            assert reply.refusal is None
            assert not reply.is_pending

        play(story, limits=None)

    def test_granting_starts_when_the_limits_are_known(self):
        async def story(scene):
            scene.configure(LIMITS)
            await asyncio.sleep(0.06)
            assert scene.controller.granter is not None

        play(story, limits=None)

    def test_unused_adapters_of_an_earlier_sidecar_are_evicted(self):
        """Guards against long waits after a sidecar has restarted.

        The engine's slots are all occupied by adapters that were loaded
        before, and that no run uses any more.
        """

        async def story(scene):
            scene.configure(LIMITS)
            await asyncio.sleep(0.5)
            reply = await scene.request_turn('one', adapter='d', wait_ms=900)
            assert reply.refusal is None
            assert not reply.is_pending

        held = {'m/a': 1, 'm/b': 1, 'm/c': 1}
        scene = play(story, limits=None, held=held)
        assert scene.engine.crash_count == 0

    def test_restarted_engine_gets_its_model(self):
        """Guards against requests that wait in vain at a restarted engine.

        The engine restarts without its base model and refuses each adapter.
        """

        async def story(scene):
            await scene.request_turn('one')
            scene.engine.restart('i-2')
            await asyncio.sleep(3.0)
            assert scene.engine.model_orders == [fake_engine.MODEL]
            reply = await scene.request_turn('two')
            assert reply.refusal is None
            assert reply.backend_server == 'i-2'

        play(story)

    def test_engine_restarted_between_two_reports_gets_its_model(self):
        """Guards against an engine that stays without a model.

        It restarts so fast that no report is missed, and had accepted no
        order before, so that its report looks the same as the previous one.
        """

        async def story(scene):
            scene.engine.restart('i-2')
            await asyncio.sleep(3.0)
            reply = await scene.request_turn('one')
            assert (reply.refusal, reply.backend_server) == (None, 'i-2')

        play(story)

    @pytest.mark.parametrize('is_leaving', [False, True])
    def test_engine_replaced_between_two_reports_gets_orders(self, is_leaving):
        """Guards against orders that name an incarnation that has ended."""

        async def story(scene):
            scene.engine.is_leaving = is_leaving
            await asyncio.sleep(1.0)
            scene.engine.is_leaving = False
            scene.engine.restart('i-2')
            scene.engine.models.add(fake_engine.MODEL)
            await asyncio.sleep(0.1)
            if not is_leaving:
                await scene.request_turn('one')
            await asyncio.sleep(3.0)
            reply = await scene.request_turn('two')
            assert (reply.refusal, reply.backend_server) == (None, 'i-2')

        play(story)

    def test_requests_may_wait_for_a_starting_engine(self):
        """Guards against callers refused twice while engines restart.

        After a power failure all engines start without a model and load it
        in a second or two.  Callers that are refused retry once, and most
        find the engine still loading.
        """

        async def story(scene):
            scene.engine.restart('i-2')
            await asyncio.sleep(0.4)
            reply = await scene.request_turn('one')
            assert reply.refusal is errors.ErrorKind.BACKEND_STARTING
            assert reply.retry_after_ms > 0
            assert await scene.request_until_settled('two') == (None, 'i-2')

        play(story)

    def test_no_wait_for_a_start_beyond_the_deadline(self):
        """Guards against refusing a caller only at its deadline."""

        async def story(scene):
            scene.engine.restart('i-2')
            await asyncio.sleep(0.3)
            started_s = scene.clock.monotonic_s()
            reply = await scene.request_turn(
                'one', waits_for_engine=True, start_within_ms=500
            )
            assert reply.refusal is errors.ErrorKind.BACKEND_STARTING
            assert scene.clock.monotonic_s() == started_s

        play(story)

    def test_no_wait_for_an_engine_that_fails_to_start(self):
        """Guards against requests that wait for an engine that fails.

        Waiting requests are refused at once when the engine is lost, and no
        request waits once the start takes longer than any normal start.
        """

        async def story(scene):
            scene.engine.is_load_lost = True
            scene.engine.restart('i-2')
            await asyncio.sleep(8.0)
            reply = await scene.request_turn('one', waits_for_engine=True)
            assert reply.refusal is errors.ErrorKind.DRAINING
            scene.engine.restart('i-3')
            await asyncio.sleep(0.4)
            waiting = asyncio.create_task(scene.request_until_settled('two'))
            await asyncio.sleep(0.1)
            scene.engine.is_up = False
            started_s = scene.clock.monotonic_s()
            refusal, _ = await waiting
            assert refusal is errors.ErrorKind.DRAINING
            assert scene.clock.monotonic_s() - started_s < 2.0

        play(story)

    def test_waiting_requests_are_limited_during_a_start(self):
        """Guards against an unlimited number of waiting requests.

        Each waiting request takes memory, and a burst of five times the
        load would wait for an engine that can serve a part of it.
        """

        async def story(scene):
            scene.engine.restart('i-2')
            await asyncio.sleep(0.3)
            requesting = [
                scene.request_turn(f'r{n}', waits_for_engine=True, wait_ms=100)
                for n in range(400)
            ]
            replies = await asyncio.gather(*requesting)
            pending = sum(reply.is_pending for reply in replies)
            assert pending == 128

        play(story)

    def test_leaving_engine_refuses_at_once(self):
        async def story(scene):
            scene.engine.is_leaving = True
            await asyncio.sleep(0.5)
            reply = await scene.request_turn('one')
            assert reply.refusal is errors.ErrorKind.DRAINING

        play(story)

    def test_leaving_engine_refuses_pending_turns(self):
        """Guards against requests sent to an engine that is leaving.

        A request waits for an adapter slot while the engine announces that
        it is leaving, and would get its turn when a run has ended.
        """

        async def story(scene):
            waiting = await scene.request_behind_runs()
            scene.engine.is_leaving = True
            reply = await asyncio.wait_for(waiting, 0.5)
            assert reply.refusal is errors.ErrorKind.DRAINING
            assert len(scene.controller.granter) == 3

        play(story)

    def test_stopped_engine_refuses_pending_turns(self):
        """Guards against callers that wait for seconds after a crash."""

        async def story(scene):
            waiting = await scene.request_behind_runs()
            scene.engine.is_up = False
            reply = await asyncio.wait_for(waiting, 1.5)
            assert reply.refusal is errors.ErrorKind.DRAINING

        play(story)

    def test_new_version_replaces_the_old(self):
        async def story(scene):
            await scene.request_turn('one')
            await scene.end_turn('one')
            scene.versions.record('m', 'a', 2)
            reply = await scene.request_turn('two')
            assert reply.version == 2
            assert scene.engine.held == {'m/a': 2}

        play(story)

    def test_concurrent_loads_are_limited(self):
        """Guards against long waits for loads that are fast by themselves.

        More adapters are required than the engine loads at once.  If
        refused orders are repeated until accepted, chance decides which
        load is next.
        """

        async def story(scene):
            requesting = [
                asyncio.create_task(
                    scene.request_turn(f'r{n}', adapter=f'a{n}')
                )
                for n in range(9)
            ]
            max_pending = 0
            while not all(task.done() for task in requesting):
                max_pending = max(max_pending, len(scene.engine.pending))
                await asyncio.sleep(0.01)
            assert max_pending == 4
            assert all(task.result().refusal is None for task in requesting)

        limits = routing.EngineLimits(16, 12, (fake_engine.MODEL,))
        play(story, limits=limits, slot_count=12)

    def test_held_adapters_are_limited_by_memory(self):
        async def story(scene):
            for name in ('a', 'b', 'c'):
                await scene.request_turn(name, adapter=name, wait_ms=900)
                await scene.end_turn(name)
            assert set(scene.engine.held) == {'m/b', 'm/c'}

        size = routing.ModelSize(weights_mb=1000.0, adapter_mb=50.0)
        limits = routing.EngineLimits(
            16,
            12,
            (fake_engine.MODEL,),
            weights_mb=1149.0,
            sizes={fake_engine.MODEL: size},
        )
        scene = play(story, limits=limits, slot_count=2)
        assert scene.engine.crash_count == 0

    def test_many_adapters_never_crash_the_engine(self):
        async def story(scene):
            async def one(number):
                await asyncio.sleep(number * 0.05)
                reply = await scene.request_turn(
                    f'r{number}', adapter=f'a{number % 17}', wait_ms=3000
                )
                if reply.refusal is None:
                    scene.engine.runs.add(f'r{number}')
                    await asyncio.sleep(0.3)
                    scene.engine.runs.discard(f'r{number}')
                    await scene.end_turn(f'r{number}')
                return reply

            replies = await asyncio.gather(*map(one, range(120)))
            granted = [r for r in replies if r.refusal is None]
            assert len(granted) > 20

        scene = play(story)
        assert scene.engine.crash_count == 0


class TestRestartUnderTheSameName:
    """An engine restarts under the same name."""

    def test_state_before_the_restart_is_discarded(self):
        """Guards against turns granted for an adapter that isn't loaded.

        The engine restarts between two reports, and by the next one it has
        accepted more orders than before, so that its count doesn't fall.
        """

        async def story(scene):
            await scene.request_turn('one')
            await scene.request_turn('two', adapter='b')
            scene.engine.restart('i-1', started_at_ms=2000)
            scene.engine.models.add(fake_engine.MODEL)
            scene.engine.order_count = 9
            await asyncio.sleep(0.5)
            assert len(scene.controller.granter) == 0
            loads = len(scene.engine.loads)
            reply = await scene.request_turn('three')
            assert reply.refusal is None
            assert reply.started_at_ms == 2000
            assert scene.engine.loads[loads:] == ['m/a']

        scene = play(story)
        assert scene.engine.crash_count == 0

    def test_load_before_the_restart_is_ordered_again(self):
        """Guards against waiting for a load that was lost at a restart."""

        async def story(scene):
            requesting = asyncio.create_task(
                scene.request_turn('one', wait_ms=3000)
            )
            await asyncio.sleep(0.1)
            scene.engine.restart('i-1', started_at_ms=2000)
            scene.engine.models.add(fake_engine.MODEL)
            scene.engine.order_count = 9
            reply = await asyncio.wait_for(requesting, 2.5)
            assert reply.refusal is not None or 'm/a' in scene.engine.held
            assert (await scene.request_turn('two')).refusal is None
            assert 'm/a' in scene.engine.held

        play(story)

    def test_report_of_an_earlier_start_is_ignored(self):
        async def story(scene):
            scene.engine.restart('i-1', started_at_ms=2000)
            scene.engine.models.add(fake_engine.MODEL)
            await asyncio.sleep(0.5)
            scene.engine.started_at_ms = 1000
            await asyncio.sleep(0.1)
            assert scene.controller.view.started_at_ms == 2000

        play(story)

    def test_a_start_whose_clock_went_back_serves(self):
        """Guards against an engine that is ignored for good.

        The clock of its host was set back before it restarted.
        """

        async def story(scene):
            scene.engine.restart('i-1', started_at_ms=2000)
            scene.engine.models.add(fake_engine.MODEL)
            await asyncio.sleep(0.5)
            await scene.request_turn('one')
            scene.engine.restart('i-1', started_at_ms=1000)
            scene.engine.models.add(fake_engine.MODEL)
            await asyncio.sleep(7.0)
            assert scene.controller.view.started_at_ms == 2000
            await asyncio.sleep(2.0)
            assert len(scene.controller.granter) == 0
            reply = await scene.request_turn('two')
            assert reply.refusal is None
            assert reply.started_at_ms == 1000
            assert scene.engine.loads == ['m/a', 'm/a']

        scene = play(story)
        assert scene.engine.crash_count == 0

    def test_late_reports_do_not_end_a_start_that_goes_on(self):
        async def story(scene):
            scene.engine.restart('i-1', started_at_ms=2000)
            scene.engine.models.add(fake_engine.MODEL)
            await asyncio.sleep(0.5)
            for _ in range(5):
                scene.engine.started_at_ms = 1000
                await asyncio.sleep(2.0)
                scene.engine.started_at_ms = 2000
                await asyncio.sleep(1.0)
                assert scene.controller.view.started_at_ms == 2000
            assert (await scene.request_turn('one')).refusal is None

        play(story)

    def test_fencing_works_after_the_restart(self):
        """Guards against a restarted engine that refuses all orders."""

        async def story(scene):
            await scene.request_turn('one')
            number = scene.engine.fence
            scene.engine.restart('i-1', started_at_ms=2000)
            scene.engine.models.add(fake_engine.MODEL)
            await asyncio.sleep(0.5)
            assert (await scene.request_turn('two')).refusal is None
            assert scene.engine.fence >= number

        play(story)


class TestCrashes:
    """Requests during which engines crashed."""

    def crash(self, scene, count):
        for number in range(count):
            scene.crashes.record_crash('f', f'i-{number}')

    def test_request_with_three_crashes_is_refused(self):
        """Guards against an entry that doesn't know of a crashing request."""

        async def story(scene):
            self.crash(scene, 3)
            reply = await scene.request_turn('one', fingerprint='f')
            assert reply.refusal is errors.ErrorKind.CRASHES_BACKEND_SERVERS
            assert len(reply.suspects.states) == 1

        play(story)

    def test_suspects_of_the_entry_are_applied(self):
        async def story(scene):
            state = suspect.SuspectState(
                'f',
                tuple(suspect.Crash(f'i-{n}', False) for n in range(3)),
            )
            news = suspect_exchange.SuspectNews(revision=9, states=(state,))
            reply = await scene.request_turn(
                'one', fingerprint='f', suspects=news
            )
            assert reply.refusal is errors.ErrorKind.CRASHES_BACKEND_SERVERS

        play(story)

    def test_suspect_requests_run_one_by_one(self):
        async def story(scene):
            self.crash(scene, 2)
            first = await scene.request_turn(
                'one', fingerprint='f', is_isolated=True
            )
            assert first.refusal is None
            second = await scene.request_turn(
                'two', fingerprint='f', is_isolated=True
            )
            assert second.refusal is errors.ErrorKind.QUEUE_FULL
            await scene.end_turn('one')
            third = await scene.request_turn(
                'three', fingerprint='f', is_isolated=True
            )
            assert third.refusal is None

        play(story)

    def test_engine_state_is_polled_on_request(self):
        """Guards against a crash that is detected only by the next poll."""

        async def story(scene):
            ends = turn_messages.TurnEnds(turn_ids=(), asks_state=True)
            reply = await scene.controller.end_turns(ends)
            assert reply.is_known
            assert reply.is_running
            assert reply.backend_server == 'i-1'
            scene.engine.is_up = False
            reply = await scene.controller.end_turns(ends)
            assert reply.is_known
            assert not reply.is_running

        play(story)

    def test_an_engine_replaced_since_the_last_report_has_ended(self):
        """Guards against half an answer that passes for the whole."""

        async def story(scene):
            scene.engine.restart('i-2')
            scene.engine.models.add(fake_engine.MODEL)
            reply = await scene.controller.end_turns(ASKS_STATE)
            assert reply.is_known
            assert reply.backend_server == 'i-2'
            await asyncio.sleep(0.5)
            assert scene.controller.view.backend_server == 'i-2'

        play(story)

    def test_a_new_connection_alone_proves_no_start(self):
        """Guards against taking what accepts it for the known start."""

        async def story(scene):
            scene.engine.is_connection_new = True
            scene.engine.names_silent = True
            reply = await scene.controller.end_turns(ASKS_STATE)
            assert not reply.is_known
            scene.engine.names_silent = False
            reply = await scene.controller.end_turns(ASKS_STATE)
            assert reply.is_known and reply.is_running

        play(story)

    @pytest.mark.parametrize('started_at_ms', [0, 2000])
    def test_a_confirmed_connection_is_not_asked_again(self, started_at_ms):
        """Guards against a health check for each answer that ends."""

        async def story(scene):
            scene.engine.restart('i-2', started_at_ms)
            scene.engine.models.add(fake_engine.MODEL)
            await scene.controller.end_turns(ASKS_STATE)
            await asyncio.sleep(0.5)
            count = scene.engine.name_count
            for _ in range(5):
                reply = await scene.controller.end_turns(ASKS_STATE)
                assert reply.is_known and reply.is_running
            assert scene.engine.name_count == count

        play(story)

    def test_engine_is_not_polled_without_request(self):
        async def story(scene):
            reply = await scene.controller.end_turns(
                turn_messages.TurnEnds(turn_ids=())
            )
            assert not reply.is_known

        play(story)


class TestRequestRateLimit:
    """The limit that the engine names."""

    def answered(self, limit_per_s, answer_age_ms=0, start_id='i-1@0'):
        return turn_messages.AnsweredLimit(
            entry='edge-1',
            server_start_id=start_id,
            limit_per_s=limit_per_s,
            answer_age_ms=answer_age_ms,
        )

    def test_a_starting_sidecar_adopts_it_before_it_grants(self):
        """Guards against a restarted sidecar that grants beyond the limit."""

        async def main():
            scene = Scene()
            waiting = [
                asyncio.create_task(
                    scene.request_turn(
                        f'r{number}',
                        adapter='',
                        limit_per_s=1.0,
                        server_start_id='i-1@0',
                        target_ms=10_000,
                    )
                )
                for number in range(4)
            ]
            await asyncio.sleep(0.01)
            async with scene:
                done, _ = await asyncio.wait(waiting, timeout=1.5)
                replies = [task.result() for task in done]
                granted = [
                    reply
                    for reply in replies
                    if reply.refusal is None and not reply.is_pending
                ]
                return len(granted), {reply.limit_per_s for reply in replies}

        granted_count, limits_per_s = virtual_time.run(main())
        assert granted_count <= 1
        assert limits_per_s == {1.0}

    def test_answers_reported_by_entries_set_and_end_it(self):
        async def story(scene):
            record = scene.controller.record_answered_limit
            await record(self.answered(2.0, answer_age_ms=100))
            assert (await scene.request_turn('r1')).limit_per_s == 2.0
            await record(self.answered(None, answer_age_ms=5000))
            assert (await scene.request_turn('r2')).limit_per_s == 2.0
            await asyncio.sleep(1.0)
            await record(self.answered(None, answer_age_ms=100))
            reply = await scene.request_turn('r3')
            assert reply.limit_per_s is None
            assert reply.is_limit_known

        play(story)

    def test_the_limit_of_another_start_does_not_count(self):
        """Guards against the limit of an earlier start of the engine."""

        async def story(scene):
            record = scene.controller.record_answered_limit
            await record(self.answered(2.0, start_id='i-0@0'))
            assert scene.controller.limit.per_s is None
            await record(self.answered(2.0))
            scene.engine.restart('i-2', started_at_ms=5)
            scene.engine.models.add(fake_engine.MODEL)
            await asyncio.sleep(1.0)
            reply = await scene.request_turn('r1')
            assert reply.limit_per_s is None
            assert not reply.is_limit_known

        play(story)

    def test_a_limit_in_reports_is_followed(self):
        """Guards against a limit that only the sidecar hears."""

        async def story(scene):
            scene.engine.limit_per_s = 2.0
            await asyncio.sleep(0.5)
            assert (await scene.request_turn('r1')).limit_per_s == 2.0
            scene.engine.limit_per_s = None
            await asyncio.sleep(0.5)
            assert (await scene.request_turn('r2')).limit_per_s is None

        play(story)


class TestAnnouncedLeaving:
    """The engine announces that it leaves, and its report says ready."""

    async def announce(self, scene, start_id=None):
        await scene.controller.record_answered_leaving(
            turn_messages.AnsweredLeaving(
                entry='edge-1',
                server_start_id=start_id or scene.controller.view.start_id,
            )
        )

    def test_turns_are_refused_at_once(self):
        """Guards against turns granted at an engine that leaves."""

        async def main():
            async with Scene() as scene:
                await self.announce(scene)
                return await scene.request_turn('one')

        reply = virtual_time.run(main())
        assert reply.refusal is errors.ErrorKind.DRAINING
        assert len(reply.leaving) == 1

    def test_an_announcement_of_another_start_is_ignored(self):
        async def main():
            async with Scene() as scene:
                await self.announce(scene, 'another@0')
                return await scene.request_turn('one')

        assert virtual_time.run(main()).refusal is None

    def test_a_restarted_engine_serves_again(self):
        """Guards against an announcement that outlives its start."""

        async def main():
            async with Scene() as scene:
                await self.announce(scene)
                scene.engine.restart('i-9')
                await asyncio.sleep(3.0)
                return await scene.request_turn('one')

        assert virtual_time.run(main()).refusal is None

    def test_other_entries_are_told_for_a_while(self):
        async def main():
            async with Scene() as scene:
                await scene.request_turn('one', leaving=('p-1@0',))
                told = await scene.request_turn('two')
                knowing = await scene.request_turn('three', leaving=('p-1@0',))
                await asyncio.sleep(6.0)
                later = await scene.request_turn('four')
                return told.leaving, knowing.leaving, later.leaving

        assert virtual_time.run(main()) == (('p-1@0',), (), ())


class TestEnginePace:
    TOKEN_S = 0.02

    async def generate(self, scene, duration_s):
        """Let two runs generate tokens, in events of one token."""
        for name in ('a', 'b'):
            reply = await scene.request_turn(name, gap_ms=300)
            assert reply.refusal is None
            scene.engine.runs.add(name)
        for count in range(1, int(duration_s / self.TOKEN_S)):
            scene.engine.events_by_run = {'a': count, 'b': count}
            await asyncio.sleep(self.TOKEN_S)

    def test_is_told_to_entries(self):
        async def story(scene):
            reply = await scene.request_turn('first')
            assert not reply.hint.pace.is_known
            await self.generate(scene, 3.0)
            reply = await scene.request_turn('next', wait_ms=0)
            assert abs(reply.hint.pace.token_s / self.TOKEN_S - 1.0) < 0.1

        play(story, measures_pace=True)

    def test_restarted_engine_has_none(self):
        """Guards against the pace of an earlier start of the engine."""

        async def story(scene):
            await self.generate(scene, 3.0)
            scene.engine.restart('i-2')
            scene.engine.models.add(fake_engine.MODEL)
            await asyncio.sleep(0.5)
            reply = await scene.request_turn('next')
            assert reply.backend_server == 'i-2'
            assert not reply.hint.pace.is_known

        play(story, measures_pace=True)

    def test_engine_at_work_is_polled_more_often(self):
        async def story(scene):
            await self.generate(scene, 0.5)
            before = scene.engine.report_count
            await asyncio.sleep(1.0)
            assert 9 <= scene.engine.report_count - before <= 11

        play(story, measures_pace=True)

    def test_part_that_is_off_changes_nothing(self):
        """Guards against a part that acts although it is off."""

        async def story(scene):
            await self.generate(scene, 3.0)
            before = scene.engine.report_count
            await asyncio.sleep(1.0)
            assert 4 <= scene.engine.report_count - before <= 6
            reply = await scene.request_turn('next', wait_ms=0)
            assert (reply.hint.token_us, reply.hint.stalls_per_1000s) == (0, 0)

        play(story)

    def test_answer_that_would_miss_its_deadline_is_refused(self):
        """Guards against a run that occupies a turn until its deadline."""

        async def story(scene):
            await self.generate(scene, 3.0)
            reply = await scene.request_turn(
                'next', wait_ms=0, expected_tokens=900, deadline_ms=12_000
            )
            assert reply.refusal is errors.ErrorKind.DEADLINE_UNREACHABLE
            assert 'next.1' not in scene.controller.granter._turns

        play(story, measures_pace=True)
