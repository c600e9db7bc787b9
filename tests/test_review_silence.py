"""Faults that a review of attempts at silent servers found."""

import asyncio
import contextlib
import dataclasses
import random

import pytest

from benchmarks import virtual_time
from lacewingpitch import backend_list
from lacewingpitch import crash_record
from lacewingpitch import errors
from lacewingpitch import fair_queue
from lacewingpitch import metrics
from lacewingpitch import placement
from lacewingpitch import prefill_pacer
from lacewingpitch import routing
from lacewingpitch import run_memory
from lacewingpitch import settings
from lacewingpitch import slot_simulation
from lacewingpitch import turn_client
from lacewingpitch import turn_granter
from lacewingpitch import turn_messages
from lacewingpitch import turn_metrics
from lacewingpitch import turn_queue
from tests import fake_engine
from tests import limit_fakes
from tests import move_fakes
from tests import test_engine_controller as controllers
from tests import test_request_forwarder as forwarding

event = forwarding.event
LOST = forwarding.LOST
RESUMABLE = forwarding.route(is_resumable=True, **forwarding.STREAM)
REST = {'chunks': (event(2), 0.5, event(3))}
# Its callers wait for 3.2 s.
CHAT = dataclasses.replace(RESUMABLE, target_latency_s=0.8)
# One way, between an entry and a sidecar.
LATENCY_S = 0.003


class Adapters:
    """Holds each adapter after a load."""

    adapters = ()
    spare_slot_count = 9
    cached_copy_load_s = 0.0
    cached_copy_count = 0
    load_s = 0.0

    def expected_wait(self, name=''):
        return slot_simulation.AdapterWait()

    @contextlib.asynccontextmanager
    async def hold(self, name, remaining_s, use_s=0.0):
        await asyncio.sleep(self.load_s)
        yield


class Engine:
    is_serving = True
    is_leaving = False
    is_starting = False
    remaining_start_s = 0.0
    started_at_ms = 0

    def __init__(self, name):
        self.backend_server = name

    def slot_name(self, model, adapter, version):
        return f'{model}/{adapter}'

    def held_version(self, name):
        return 1


class Sidecars:
    """The turn granters of all engines, some way off."""

    def __init__(self, clock, load_s):
        self.granters = {}
        self.asked = []
        for number, name in enumerate(forwarding.SERVERS, 1):
            queue = turn_queue.TurnQueue(
                4,
                4,
                64,
                fair_queue.FairQueue(4, lambda _order: True, clock),
                clock,
                lambda _order: 0.0,
            )
            adapters = Adapters()
            # The first attempt finds its adapter held.
            asyncio.get_running_loop().call_later(
                1.0, setattr, adapters, 'load_s', load_s
            )
            self.granters[f'10.0.0.{number}'] = turn_granter.TurnGranter(
                queue,
                adapters,
                Engine(name),
                prefill_pacer.PrefillPacer(clock),
                clock,
                lambda: 1,
                random.Random(1),
                turn_metrics.TurnMetrics(queue, metrics.Metrics('s', 'z')),
                crash_record.CrashRecord(clock, random.Random(2)),
            )

    async def request_turn(self, ip, request, timeout_s):
        self.asked.append((ip, request.turn_id))
        return await asyncio.shield(
            asyncio.create_task(self._request(ip, request))
        )

    async def _request(self, ip, request):
        await asyncio.sleep(LATENCY_S)
        reply = await self.granters[ip].request_turn(request)
        await asyncio.sleep(LATENCY_S)
        return reply

    async def end_turns(self, ip, message, timeout_s):
        await asyncio.sleep(LATENCY_S)
        await self.granters[ip].end_turns(message.turn_ids)
        return turn_messages.TurnEndsReply()


class Scene(forwarding.Scene):
    """A forwarder whose turns come of real granters."""

    def __init__(self, load_s, *steps, **budget):
        super().__init__(*steps, **budget)
        self.sidecars = Sidecars(self.clock, load_s)
        servers = backend_list.BackendList(self.clock)
        servers.replace_all(map(forwarding.server, forwarding.SERVERS))
        self.turns = self.forwarder._turns.model_turns = (
            turn_client.TurnClient(
                'edge-1',
                self.sidecars,
                servers,
                placement.Placement(
                    self.clock, settings.ObjectiveSettings(stall_weight=1)
                ),
                self.ejector,
                self.clock,
                lambda _ip, _version: None,
                lambda _count: None,
                self.suspects,
                limit_fakes.make_limits(self.clock),
                self.gate,
            )
        )

    def held_count(self):
        return sum(map(len, self.sidecars.granters.values()))


def play_reset(load_s, reset_after_s):
    """Reset a silent stream; return the scene, refusal and turns held."""

    async def main():
        step = {'chunks': (event(1), reset_after_s, LOST)}
        scene = Scene(load_s, step, REST)
        ending = asyncio.create_task(scene.turns.run())
        held = []

        async def watch():
            while True:
                await asyncio.sleep(0.01)
                if len(scene.client.calls) == 2 and scene.client.open_count:
                    held.append(scene.held_count())

        watching = asyncio.create_task(watch())
        refusal = None
        try:
            await scene.forward(CHAT, model='m', adapter='x')
        except errors.RefusalError as error:
            refusal = error
        watching.cancel()
        await asyncio.sleep(0.1)
        ending.cancel()
        assert scene.held_count() == 0
        return scene, refusal, held

    return virtual_time.run(main())


class TestTurnIds:
    """A search that has ended, and the attempt after it, ask for turns."""

    def test_a_stream_is_not_cut_by_the_end_of_its_own_search(self):
        """Guards against a pending turn that its ended search takes along."""
        scene, refusal, _ = play_reset(load_s=0.3, reset_after_s=1.6)
        assert refusal is None, refusal.detail
        assert scene.delivered.is_complete

    def test_a_turn_in_use_is_not_ended_for_a_search(self):
        """Guards against a run without a turn at its engine."""
        reset_after_s = 1.5 + LATENCY_S * 1.5
        scene, refusal, held = play_reset(0.0, reset_after_s)
        assert refusal is None
        assert len(scene.client.calls) == 2
        assert min(held) == 1


class TestPatience:
    """Callers of routes with short aims wait for 2 s."""

    HANGS = {'chunks': (event(1), 60.0)}

    def play(self, load_s, retry_count):
        async def main():
            scene = Scene(load_s, self.HANGS, REST, retry_count=retry_count)
            task = asyncio.create_task(
                scene.forward(RESUMABLE, model='m', adapter='x')
            )
            await asyncio.sleep(RESUMABLE.caller_timeout_s)
            count = len(scene.client.calls)
            task.cancel()
            await asyncio.wait([task])
            return count

        return virtual_time.run(main())

    @pytest.mark.parametrize('load_s', [0.0, 0.15, 0.4])
    def test_a_stream_leaves_an_engine_that_hangs_in_time(self, load_s):
        """Guards against a search that begins as it is already too late."""
        assert self.play(load_s, 40) == 2

    def test_a_stream_may_use_what_is_left_of_the_budget(self):
        """Guards against retries kept until the caller has left."""
        assert self.play(0.0, 15) == 2


HANGS = {'delay_s': 60.0}
SHORT = routing.Route(
    'r',
    'h',
    '/',
    (routing.WeightedService('s', 1.0),),
    routing.RequestKind.IDEMPOTENT,
    10.0,
    0.125,
    max_attempts=2,
)


class TestShortDeadlines:
    @pytest.mark.parametrize('retry_count', [15, 40])
    def test_a_lookup_leaves_a_server_that_hangs(self, retry_count):
        """Guards against a lookup that never uses the retries it has."""
        scene, refusal = forwarding.play(
            SHORT, HANGS, {}, retry_count=retry_count, limit_s=1.5
        )
        assert refusal is None, refusal.detail


class TestEjection:
    def play(self, step, count):
        """Return the scene after requests, each of one attempt at ``a``."""

        async def main():
            scene = forwarding.Scene(*[step] * count, retry_count=0)
            failures = []
            for _ in range(count):
                scene.delivered = forwarding.Delivered()
                with contextlib.suppress(errors.RefusalError):
                    await scene.forward(self.found, model='m')
                failures.append(scene.ejector._health['a'].failures)
            return scene, failures, scene.ejector.allowed(forwarding.SERVERS)

        return virtual_time.run(main())

    found = forwarding.SAFE

    def test_slow_failures_eject(self):
        """Guards against a server that fails each request, only late."""
        step = {'delay_s': 0.9, 'status': 500}
        _, _, allowed = self.play(step, 3)
        assert 'a' not in allowed

    def test_silence_before_a_cut_ejects(self):
        """Guards against a server whose broken ends count as answers."""
        self.found = RESUMABLE
        step = {'chunks': (event(1), 1.6, b'id: 2'), 'is_framed': False}
        _, _, allowed = self.play(step, 3)
        assert 'a' not in allowed

    def test_fast_failures_eject(self):
        _, _, allowed = self.play({'delay_s': 0.1, 'status': 500}, 3)
        assert 'a' not in allowed

    def test_a_silent_attempt_that_is_reset_is_one_failure(self):
        """Guards against ejection after two attempts rather than three."""
        self.found = RESUMABLE
        step = {'chunks': (event(1), 1.6, LOST)}
        _, failures, _ = self.play(step, 1)
        assert failures == [1]


class TestSuspects:
    def test_an_isolated_lookup_leaves_a_server_that_hangs(self):
        """Guards against a lookup that waits for its own isolation."""

        async def main():
            scene = forwarding.Scene(HANGS, {})
            recorder = forwarding.TestCrashes()
            recorder.record(scene, 2)
            await scene.forward(forwarding.SAFE)
            return scene

        scene = virtual_time.run(main())
        assert scene.client.calls[0].is_isolated
        assert len(scene.client.calls) == 2


class TestMoves:
    """Runs of an engine that leaves, and falls silent as it is stopped."""

    @pytest.mark.parametrize('silent_s', [0.4, 0.9, 1.3, 1.8])
    def test_a_run_moves_although_its_engine_is_silent(self, silent_s):
        """Guards against a stopped run that waits for nobody to go on."""

        async def main():
            scene = move_fakes.Scene()
            copy = scene.fleet.copy
            silent_until_s = 0.0

            async def silent_copy(source, target, run_id, is_last, limit_s):
                nonlocal silent_until_s
                now_s = scene.clock.monotonic_s()
                if is_last and not silent_until_s:
                    silent_until_s = now_s + silent_s
                answer = await copy(source, target, run_id, is_last, limit_s)
                left_s = silent_until_s - scene.clock.monotonic_s()
                if left_s > limit_s:
                    await asyncio.sleep(limit_s)
                    return run_memory.CopyAnswer(run_memory.CopyOutcome.LOST)
                await asyncio.sleep(max(0.0, left_s))
                return answer

            scene.fleet.copy = silent_copy
            caller = scene.start(100)
            await asyncio.sleep(0.5)
            scene.leave('a')
            await asyncio.sleep(20.0)
            assert not scene.fleet.broken_rules
            await scene.mover.close()
            return scene, caller

        scene, caller = virtual_time.run(main())
        assert caller.is_complete, scene.outcomes()


class SilentEngine(fake_engine.FakeEngine):
    """Answers no report in time while it is silent, and works on."""

    silent_until_s = 0.0
    # As the client of the engine allows for a report.
    report_timeout_s = 0.5

    async def report(self):
        left_s = self.silent_until_s - asyncio.get_running_loop().time()
        if left_s > self.report_timeout_s:
            await asyncio.sleep(self.report_timeout_s)
            raise errors.SilentError('engine: TimeoutError')
        await asyncio.sleep(max(0.0, left_s))
        return await super().report()


class TestSidecars:
    """The sidecar of an engine that falls silent."""

    def play(self, story):
        return controllers.play(story, new_engine=SilentEngine)

    def test_a_silent_engine_is_not_reported_as_ended(self):
        """Guards against whole answers lost, and crashes that were none."""

        async def story(scene):
            ends = turn_messages.TurnEnds(turn_ids=(), asks_state=True)
            scene.engine.silent_until_s = scene.clock.monotonic_s() + 1.3
            reply = await scene.controller.end_turns(ends)
            assert reply.is_running or not reply.is_known

        self.play(story)

    @pytest.mark.parametrize('silent_s', [1.0, 1.3, 1.6, 2.0])
    def test_a_silent_engine_keeps_its_pending_turns(self, silent_s):
        """Guards against requests refused as their engine is silent."""

        async def story(scene):
            waiting = await scene.request_behind_runs()
            scene.engine.silent_until_s = scene.clock.monotonic_s() + silent_s
            await asyncio.sleep(silent_s + 0.05)
            scene.engine.runs.discard('a')
            await scene.end_turn('a')
            reply = await waiting
            # The entry waits for a silent engine if no other serves.
            is_waited_for = reply.is_silent and (
                reply.refusal is errors.ErrorKind.BACKEND_STARTING
            )
            assert reply.refusal is None or is_waited_for, reply.detail
            assert silent_s > 1.0 or reply.refusal is None

        self.play(story)
