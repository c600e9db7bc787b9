"""Requests whose callers leave before their server crashes."""

import asyncio
import random

import pytest

from benchmarks import virtual_time
from lacewingpitch import abandoned_runs
from lacewingpitch import backend_list
from lacewingpitch import crash_detector
from lacewingpitch import crash_record
from lacewingpitch import server_state
from tests import test_request_forwarder

State = server_state.ServerState
SERVER = backend_list.BackendServer(
    'p-1', 's', '10.0.0.1', 80, 'z', started_at_ms=5
)
KEYS = ('key',)


class Scene:
    """One server, whose state is asked for."""

    def __init__(self, state):
        clock = virtual_time.LoopClock()
        self.record = crash_record.CrashRecord(clock, random.Random(1))
        self.detector = crash_detector.CrashDetector(self.record, clock)
        self.runs = abandoned_runs.AbandonedRuns(self._state, self.detector)
        self.asked_at_s = []
        self._found = state

    async def _state(self, _server):
        self.asked_at_s.append(asyncio.get_running_loop().time())
        return self._found


def play(state, count=1):
    """Return the scene after some requests were abandoned at once."""

    async def main():
        scene = Scene(state)
        for number in range(count):
            scene.runs.record((f'key-{number}',), SERVER)
        await asyncio.sleep(2.0)
        await scene.runs.close()
        return scene

    return virtual_time.run(main())


class TestEvidence:
    """What an entry records as a caller leaves."""

    @pytest.mark.parametrize(
        ('chunks', 'is_followed'),
        [
            ((9.0,), True),
            ((test_request_forwarder.event(1), 9.0), True),
            ((test_request_forwarder.event(1), 0.7) * 2, False),
        ],
    )
    def test_an_attempt_is_followed_as_it_begins_to_run(
        self, chunks, is_followed
    ):
        """Guards against crashes that callers hide by leaving."""

        async def main():
            scene = test_request_forwarder.Scene({'chunks': chunks})
            evidence = scene.forwarder._crash_evidence
            evidence._abandoned = found = Recorder()
            route = test_request_forwarder.route(
                is_resumable=True,
                max_attempts=1,
                **test_request_forwarder.STREAM,
            )
            task = asyncio.create_task(scene.forward(route, model='m'))
            await asyncio.sleep(0.3 if is_followed else 0.9)
            task.cancel()
            await asyncio.wait([task])
            return found.servers

        assert virtual_time.run(main()) == ['a'] * is_followed


class Recorder:
    """Records what is to be followed."""

    def __init__(self):
        self.servers = []

    def record(self, _keys, server):
        self.servers.append(server.name)


class TestAbandonedRuns:
    def test_a_crash_after_its_caller_left_counts(self):
        """Guards against a request that crashes servers without a trace."""
        scene = play(State.ENDED)
        assert scene.record.crashed_servers('key-0') == (SERVER.start_id,)

    @pytest.mark.parametrize('state', [State.RUNNING, State.UNKNOWN])
    def test_a_server_that_goes_on_counts_against_nobody(self, state):
        scene = play(state)
        assert scene.record.crashed_servers('key-0') == ()

    def test_a_server_is_asked_once_for_many(self):
        """Guards against a probe for each caller that leaves."""
        scene = play(State.ENDED, count=500)
        assert len(scene.asked_at_s) == 1
        assert scene.asked_at_s[0] < 1.0

    def test_what_is_followed_ends_with_the_process(self):
        async def main():
            scene = Scene(State.ENDED)
            scene.runs.record(KEYS, SERVER)
            await scene.runs.close()
            return scene

        assert virtual_time.run(main()).asked_at_s == []
