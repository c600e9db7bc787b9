"""Controller of one engine: turns, adapters, restarts, in virtual time."""

import asyncio
import random

from benchmarks import virtual_time
from lacewingpitch import adapter_versions
from lacewingpitch import crash_record
from lacewingpitch import engine_controller
from lacewingpitch import errors
from lacewingpitch import metrics
from lacewingpitch import routing
from lacewingpitch import suspect_exchange
from lacewingpitch import turn_messages
from tests import fake_engine

SERVICE = 'chat'
LIMITS = routing.EngineLimits(
    max_running=4, adapter_slots=3, models=(fake_engine.MODEL,)
)


class Scene:
    """An engine controller that polls a fake engine."""

    def __init__(
        self, limits=LIMITS, new_engine=fake_engine.FakeEngine, **options
    ):
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
        )

    def configure(self, limits):
        self.table.apply(routing.Configuration(7, (), {SERVICE: limits}, None))

    async def __aenter__(self):
        self._running = asyncio.create_task(self.controller.run())
        await asyncio.sleep(0.5)
        return self

    async def __aexit__(self, *exception):
        self._running.cancel()
        await self.controller.close()

    async def ask(self, name, adapter='a', **fields):
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

    async def settle(self, name):
        """Ask for a turn, and go on, as an entry does when none serves."""
        while True:
            reply = await self.ask(name, waits_for_engine=True, wait_ms=400)
            if not reply.is_pending:
                return reply.refusal, reply.backend_server

    async def wait_behind_runs(self):
        """Return the asking of one that waits while all places are kept."""
        for name in ('a', 'b', 'c'):
            await self.ask(name, adapter=name)
            self.engine.runs.add(name)
        waiting = asyncio.create_task(self.ask('d', adapter='d', wait_ms=3000))
        await asyncio.sleep(0.1)
        return waiting

    async def end(self, name):
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
    def test_is_granted_once_the_adapter_is_held(self):
        async def story(scene):
            reply = await scene.ask('one')
            assert reply.refusal is None
            assert reply.backend_server == 'i-1'
            assert reply.version == 1
            assert reply.configuration_version == 7
            assert scene.engine.held == {'m/a': 1}

        play(story)

    def test_says_how_many_entries_ask(self):
        async def story(scene):
            await scene.ask('one', entry='edge-1')
            reply = await scene.ask('two', entry='edge-2')
            assert reply.entry_count == 2
            await asyncio.sleep(11.0)
            reply = await scene.ask('three', entry='edge-1')
            assert reply.entry_count == 1

        play(story)

    def test_asking_again_is_idempotent(self):
        async def story(scene):
            first, second = await asyncio.gather(
                scene.ask('one'), scene.ask('one')
            )
            assert first.refusal is None and second.refusal is None
            assert len(scene.controller.granter) == 1

        play(story)

    def test_says_that_it_is_pending_instead_of_staying_silent(self):
        async def story(scene):
            reply = await scene.ask('one', wait_ms=50)
            assert reply.is_pending
            reply = await scene.ask('one')
            assert not reply.is_pending and reply.refusal is None

        play(story)

    def test_the_base_model_needs_no_adapter(self):
        async def story(scene):
            reply = await scene.ask('one', adapter='')
            assert reply.refusal is None
            assert scene.engine.held == {}

        play(story)

    def test_what_starts_too_late_is_refused_at_once(self):
        """Callers leave after three seconds without any answer.

        More prompts come than the engine can read, each of them waits
        behind all others, and all are late.
        """

        async def story(scene):
            waits = [
                asyncio.create_task(
                    scene.ask(f'r{n}', adapter='', prompt_tokens=3000)
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

    def test_slow_loads_do_not_refuse_what_comes_later(self):
        """An idle engine refuses every adapter that it does not hold.

        Some loads took seconds.  Nothing is loaded after that, so that
        nothing shows that loads are quick again.
        """

        async def story(scene):
            scene.engine.load_s = 3.0
            for name in ('a', 'b'):
                await scene.ask(name, adapter=name, wait_ms=4000)
                await scene.end(name)
            scene.engine.load_s = 0.25
            reply = await scene.ask('c', adapter='c')
            assert reply.refusal is None

        play(story)


class TestLease:
    def test_a_turn_that_ended_makes_room(self):
        async def story(scene):
            for name in ('a', 'b', 'c'):
                await scene.ask(name, adapter=name)
            late = await scene.ask('d', adapter='d', wait_ms=400)
            assert late.is_pending
            await scene.end('a')
            reply = await scene.ask('d', adapter='d')
            assert reply.refusal is None
            assert 'm/d' in scene.engine.held
            assert 'm/a' not in scene.engine.held

        scene = play(story)
        assert scene.engine.crash_count == 0

    def test_lapses_when_its_entry_is_lost(self):
        """An engine's places fill up, and it is idle.

        An entry is killed after it was granted turns, and never says
        that they have ended.
        """

        async def story(scene):
            await scene.ask('lost')
            assert len(scene.controller.granter) == 1
            await asyncio.sleep(2.0)
            assert len(scene.controller.granter) == 0

        play(story)

    def test_stays_while_the_engine_works_on_its_run(self):
        async def story(scene):
            await scene.ask('long')
            scene.engine.runs.add('long')
            await asyncio.sleep(4.0)
            assert len(scene.controller.granter) == 1
            scene.engine.runs.clear()
            await asyncio.sleep(2.0)
            assert len(scene.controller.granter) == 0

        play(story)

    def test_giving_up_while_waiting_frees_all(self):
        async def story(scene):
            asked = asyncio.create_task(scene.ask('one'))
            await asyncio.sleep(0.05)
            await scene.end('one')
            assert (await asked).refusal is errors.ErrorKind.CALLER_GONE
            assert len(scene.controller.granter) == 0
            assert (await scene.ask('two')).refusal is None

        play(story)


class TestEngine:
    def test_without_a_configuration_it_says_that_it_starts(self):
        async def story(scene):
            reply = await scene.ask('one')
            assert reply.refusal is errors.ErrorKind.QUEUE_FULL
            scene.configure(LIMITS)
            await asyncio.sleep(0.5)
            assert (await scene.ask('two')).refusal is None

        play(story, limits=None)

    def test_asked_as_it_starts_it_answers_once_it_is_ready(self):
        """All callers are refused for a moment after a restart.

        Entries and sidecars start together.  An entry's first requests
        come while the sidecar still reads its configuration.
        """

        async def story(scene):
            asked = asyncio.create_task(scene.ask('one', wait_ms=900))
            await asyncio.sleep(0.1)
            scene.configure(LIMITS)
            reply = await asked
            assert reply.refusal is None
            assert not reply.is_pending

        play(story, limits=None)

    def test_it_is_taken_over_as_soon_as_its_limits_are_known(self):
        async def story(scene):
            scene.configure(LIMITS)
            await asyncio.sleep(0.06)
            assert scene.controller.granter is not None

        play(story, limits=None)

    def test_adapters_of_an_earlier_sidecar_give_way_when_unused(self):
        """Callers wait for seconds after a sidecar has restarted.

        Its engine's slots are all taken by adapters that were loaded
        before, and nothing runs on them any more.
        """

        async def story(scene):
            scene.configure(LIMITS)
            await asyncio.sleep(0.5)
            reply = await scene.ask('one', adapter='d', wait_ms=900)
            assert reply.refusal is None
            assert not reply.is_pending

        held = {'m/a': 1, 'm/b': 1, 'm/c': 1}
        scene = play(story, limits=None, held=held)
        assert scene.engine.crash_count == 0

    def test_an_empty_one_gets_its_model(self):
        """Every request of an engine that restarted waits for nothing.

        It restarts without its base model, and refuses each adapter.
        """

        async def story(scene):
            await scene.ask('one')
            scene.engine.restart('i-2')
            await asyncio.sleep(3.0)
            assert scene.engine.model_orders == [fake_engine.MODEL]
            reply = await scene.ask('two')
            assert reply.refusal is None
            assert reply.backend_server == 'i-2'

        play(story)

    def test_one_that_restarts_between_two_reports_gets_its_model(self):
        """An engine serves nobody until its sidecar restarts.

        It restarts so fast that no report is missed, and had taken no
        order before: its report looks like that of the one before.
        """

        async def story(scene):
            scene.engine.restart('i-2')
            await asyncio.sleep(3.0)
            reply = await scene.ask('one')
            assert (reply.refusal, reply.backend_server) == (None, 'i-2')

        play(story)

    def test_while_it_starts_those_that_may_wait_do(self):
        """Callers are refused twice, and give up, as engines restart.

        All engines lose their power and come back without a model.  Each
        loads it in a second or two; callers that are refused come back
        once, and most find it still loading.
        """

        async def story(scene):
            scene.engine.restart('i-2')
            await asyncio.sleep(0.4)
            reply = await scene.ask('one')
            assert reply.refusal is errors.ErrorKind.BACKEND_STARTING
            assert reply.retry_after_ms > 0
            assert await scene.settle('two') == (None, 'i-2')

        play(story)

    def test_none_waits_for_a_start_that_ends_too_late(self):
        """A caller is told only at its deadline that it was in vain."""

        async def story(scene):
            scene.engine.restart('i-2')
            await asyncio.sleep(0.3)
            started_s = scene.clock.monotonic_s()
            reply = await scene.ask(
                'one', waits_for_engine=True, start_within_ms=500
            )
            assert reply.refusal is errors.ErrorKind.BACKEND_STARTING
            assert scene.clock.monotonic_s() == started_s

        play(story)

    def test_none_waits_for_an_engine_that_does_not_come(self):
        """Requests hang at an engine whose model never loads, or that died.

        Those that wait are refused at once when it is lost, and nobody
        waits any more once it takes longer than any start.
        """

        async def story(scene):
            scene.engine.is_load_lost = True
            scene.engine.restart('i-2')
            await asyncio.sleep(8.0)
            reply = await scene.ask('one', waits_for_engine=True)
            assert reply.refusal is errors.ErrorKind.DRAINING
            scene.engine.restart('i-3')
            await asyncio.sleep(0.4)
            waiting = asyncio.create_task(scene.settle('two'))
            await asyncio.sleep(0.1)
            scene.engine.is_up = False
            started_s = scene.clock.monotonic_s()
            refusal, _ = await waiting
            assert refusal is errors.ErrorKind.DRAINING
            assert scene.clock.monotonic_s() - started_s < 2.0

        play(story)

    def test_waiting_for_its_start_is_bounded(self):
        """An entry sends all that comes to one engine, which then fails.

        Each that waits takes memory; a burst at five times the load would
        wait for an engine that can serve a part of it.
        """

        async def story(scene):
            scene.engine.restart('i-2')
            await asyncio.sleep(0.3)
            asked = [
                scene.ask(f'r{n}', waits_for_engine=True, wait_ms=100)
                for n in range(400)
            ]
            replies = await asyncio.gather(*asked)
            pending = sum(reply.is_pending for reply in replies)
            assert pending == 128

        play(story)

    def test_one_that_leaves_refuses_at_once(self):
        async def story(scene):
            scene.engine.is_leaving = True
            await asyncio.sleep(0.5)
            reply = await scene.ask('one')
            assert reply.refusal is errors.ErrorKind.DRAINING

        play(story)

    def test_one_that_leaves_refuses_those_that_wait(self):
        """A request reaches an engine seconds after it began to leave.

        It waited for a place for its adapter while the engine said that it
        leaves, and was granted its turn when a run had ended.
        """

        async def story(scene):
            waiting = await scene.wait_behind_runs()
            scene.engine.is_leaving = True
            reply = await asyncio.wait_for(waiting, 0.5)
            assert reply.refusal is errors.ErrorKind.DRAINING
            assert len(scene.controller.granter) == 3

        play(story)

    def test_one_that_is_down_refuses_those_that_wait(self):
        """Callers wait for seconds at an engine that crashed."""

        async def story(scene):
            waiting = await scene.wait_behind_runs()
            scene.engine.is_up = False
            reply = await asyncio.wait_for(waiting, 1.5)
            assert reply.refusal is errors.ErrorKind.DRAINING

        play(story)

    def test_a_new_version_replaces_the_old(self):
        async def story(scene):
            await scene.ask('one')
            await scene.end('one')
            scene.versions.record('m', 'a', 2)
            reply = await scene.ask('two')
            assert reply.version == 2
            assert scene.engine.held == {'m/a': 2}

        play(story)

    def test_it_is_ordered_no_more_loads_than_it_takes_at_once(self):
        """A request waits for a second although its load is quick.

        More adapters are wanted than the engine takes at once.  Orders
        that it refuses are given again and again, and which of them it
        takes next is chance.
        """

        async def story(scene):
            asked = [
                asyncio.create_task(scene.ask(f'r{n}', adapter=f'a{n}'))
                for n in range(9)
            ]
            most = 0
            while not all(task.done() for task in asked):
                most = max(most, len(scene.engine.pending))
                await asyncio.sleep(0.01)
            assert most == 4
            assert all(task.result().refusal is None for task in asked)

        limits = routing.EngineLimits(16, 12, (fake_engine.MODEL,))
        play(story, limits=limits, slot_count=12)

    def test_it_is_given_no_more_than_its_memory_holds(self):
        async def story(scene):
            for name in ('a', 'b', 'c'):
                await scene.ask(name, adapter=name, wait_ms=900)
                await scene.end(name)
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

    def test_many_adapters_in_turn_never_crash_it(self):
        async def story(scene):
            async def one(number):
                await asyncio.sleep(number * 0.05)
                reply = await scene.ask(
                    f'r{number}', adapter=f'a{number % 17}', wait_ms=3000
                )
                if reply.refusal is None:
                    scene.engine.runs.add(f'r{number}')
                    await asyncio.sleep(0.3)
                    scene.engine.runs.discard(f'r{number}')
                    await scene.end(f'r{number}')
                return reply

            replies = await asyncio.gather(*map(one, range(120)))
            granted = [r for r in replies if r.refusal is None]
            assert len(granted) > 20

        scene = play(story)
        assert scene.engine.crash_count == 0


class TestSameName:
    """An engine starts again under the name that it had."""

    def test_nothing_of_before_is_believed(self):
        """Requests are granted turns with an adapter that is not there.

        The engine restarts between two reports, and by the next one has
        taken more orders than before, so that its count does not fall.
        """

        async def story(scene):
            await scene.ask('one')
            await scene.ask('two', adapter='b')
            scene.engine.restart('i-1', started_at_ms=2000)
            scene.engine.models.add(fake_engine.MODEL)
            scene.engine.order_count = 9
            await asyncio.sleep(0.5)
            assert len(scene.controller.granter) == 0
            loads = len(scene.engine.loads)
            reply = await scene.ask('three')
            assert reply.refusal is None
            assert reply.started_at_ms == 2000
            assert scene.engine.loads[loads:] == ['m/a']

        scene = play(story)
        assert scene.engine.crash_count == 0

    def test_a_load_of_before_is_ordered_again(self):
        """A request waits for a load that died with the engine."""

        async def story(scene):
            asked = asyncio.create_task(scene.ask('one', wait_ms=3000))
            await asyncio.sleep(0.1)
            scene.engine.restart('i-1', started_at_ms=2000)
            scene.engine.models.add(fake_engine.MODEL)
            scene.engine.order_count = 9
            reply = await asyncio.wait_for(asked, 2.5)
            assert reply.refusal is not None or 'm/a' in scene.engine.held
            assert (await scene.ask('two')).refusal is None
            assert 'm/a' in scene.engine.held

        play(story)

    def test_a_report_of_before_changes_nothing(self):
        async def story(scene):
            scene.engine.restart('i-1', started_at_ms=2000)
            scene.engine.models.add(fake_engine.MODEL)
            await asyncio.sleep(0.5)
            scene.engine.started_at_ms = 1000
            await asyncio.sleep(0.1)
            assert scene.controller.view.started_at_ms == 2000

        play(story)

    def test_its_fencing_numbers_start_anew(self):
        """An engine that restarted refuses no order of its sidecar."""

        async def story(scene):
            await scene.ask('one')
            number = scene.engine.fence
            scene.engine.restart('i-1', started_at_ms=2000)
            scene.engine.models.add(fake_engine.MODEL)
            await asyncio.sleep(0.5)
            assert (await scene.ask('two')).refusal is None
            assert scene.engine.fence >= number

        play(story)


class TestCrashes:
    """Requests under which engines crashed."""

    def crash(self, scene, count):
        for number in range(count):
            scene.crashes.record_crash('f', f'i-{number}')

    def test_what_crashed_three_gets_no_turn(self):
        """Guards against an entry that has not heard of a deadly request."""

        async def story(scene):
            self.crash(scene, 3)
            reply = await scene.ask('one', fingerprint='f')
            assert reply.refusal is errors.ErrorKind.CRASHES_BACKEND_SERVERS
            assert len(reply.suspects.states) == 1

        play(story)

    def test_an_entry_tells_what_it_knows(self):
        async def story(scene):
            state = crash_record.SuspectState(
                'f',
                tuple(crash_record.Crash(f'i-{n}', False) for n in range(3)),
            )
            news = suspect_exchange.SuspectNews(revision=9, states=(state,))
            reply = await scene.ask('one', fingerprint='f', suspects=news)
            assert reply.refusal is errors.ErrorKind.CRASHES_BACKEND_SERVERS

        play(story)

    def test_suspects_get_turns_one_by_one(self):
        async def story(scene):
            self.crash(scene, 2)
            first = await scene.ask('one', fingerprint='f', is_isolated=True)
            assert first.refusal is None
            second = await scene.ask('two', fingerprint='f', is_isolated=True)
            assert second.refusal is errors.ErrorKind.QUEUE_FULL
            await scene.end('one')
            third = await scene.ask('three', fingerprint='f', is_isolated=True)
            assert third.refusal is None

        play(story)

    def test_says_at_once_whether_the_engine_runs(self):
        """Guards against a crash that shows only with the next report."""

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

    def test_looks_at_the_engine_only_where_asked(self):
        async def story(scene):
            reply = await scene.controller.end_turns(
                turn_messages.TurnEnds(turn_ids=())
            )
            assert not reply.is_known

        play(story)
