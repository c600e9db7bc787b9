"""Ends of answers that mark no end, in virtual time."""

import asyncio
import random

import pytest

from benchmarks import virtual_time
from lacewingpitch import answer_end
from lacewingpitch import backend_call
from lacewingpitch import backend_list
from lacewingpitch import crash_detector
from lacewingpitch import crash_record
from lacewingpitch import errors
from lacewingpitch import server_state
from lacewingpitch import turn_messages
from tests import clocks

State = server_state.ServerState
SERVER = backend_list.BackendServer(
    'i-1', 's', '10.0.0.1', 80, 'z', started_at_ms=5
)
RUNNING = turn_messages.TurnEndsReply(
    is_known=True, is_running=True, backend_server='i-1', started_at_ms=5
)
UNKNOWN = turn_messages.TurnEndsReply()


class Scene:
    """An answer that has ended, and what is known of its server."""

    def __init__(
        self,
        reply=RUNNING,
        probed=State.UNKNOWN,
        has_sidecar=True,
        witnessed=State.UNKNOWN,
        waited_s=0.1,
        reply_after_s=0.0,
        witness_after_s=0.0,
        known_after_s=0.0,
    ):
        clock = clocks.ManualClock()
        self.record = crash_record.CrashRecord(clock, random.Random(1))
        self.detector = crash_detector.CrashDetector(self.record, clock)
        self.asked = []
        self.probed = []
        self._reply = reply
        self._reply_after_s = reply_after_s
        self._known_after_s = known_after_s
        # When the answer ended.
        self._ended_at_s = 0.0
        self._found = probed
        self.end = answer_end.AnswerEnd(
            self,
            lambda _service: has_sidecar,
            self._probe,
            self.detector,
            self,
        )
        self._waited_s = waited_s
        self._witnessed = witnessed
        self._witness_after_s = witness_after_s
        self.witness_asked_count = 0
        # Time that the end of the answer took to confirm.
        self.confirming_s = 0.0
        # Open connections, and all that were opened.
        self.open_count = 0
        self.opened_count = 0

    async def open(self, _server):
        self.opened_count += 1
        if self._witnessed is None:
            return None
        self.open_count += 1
        return self

    async def state(self):
        self.witness_asked_count += 1
        await asyncio.sleep(self._witness_after_s)
        return self._witnessed

    def close(self):
        self.open_count -= 1

    async def end_turns(self, ip, message, timeout_s):
        self.asked.append((ip, message))
        await asyncio.sleep(min(self._reply_after_s, timeout_s))
        if self._reply_after_s > timeout_s:
            raise errors.NoReplyError('silent')
        silent_s = asyncio.get_running_loop().time() - self._ended_at_s
        if silent_s < self._known_after_s:
            return UNKNOWN
        if isinstance(self._reply, Exception):
            raise self._reply
        return self._reply

    async def _probe(self, ip, port):
        self.probed.append((ip, port))
        return self._found

    def confirm(self):
        """Return whether the answer is taken for a whole one."""

        async def main():
            async with self.end.watch(SERVER, self._waited_s) as watch:
                await asyncio.sleep(0.5)
                self._ended_at_s = asyncio.get_running_loop().time()
                try:
                    await watch.confirm('r-1')
                finally:
                    now_s = asyncio.get_running_loop().time()
                    self.confirming_s = now_s - self._ended_at_s

        try:
            virtual_time.run(main())
        except backend_call.AnswerLostError:
            return False
        return True


def changed(**fields):
    return turn_messages.TurnEndsReply(
        **{
            'is_known': True,
            'is_running': True,
            'backend_server': 'i-1',
            'started_at_ms': 5,
            **fields,
        }
    )


class TestEngines:
    def test_the_end_is_believed_if_the_sidecar_sees_the_same_start(self):
        scene = Scene()
        assert scene.confirm()
        assert scene.probed == []
        assert scene.asked[0][1].asks_state

    @pytest.mark.parametrize(
        'reply',
        [
            changed(is_running=False),
            changed(backend_server='i-2'),
            changed(started_at_ms=6),
        ],
        ids=['down', 'another', 'started again'],
    )
    def test_the_end_of_a_server_is_none_of_its_answer(self, reply):
        """Guards against a part of an answer that passes for the whole."""
        scene = Scene(reply)
        assert not scene.confirm()
        scene.detector.record_disconnect(('f',), SERVER)
        assert scene.record.crashed_servers('f') == (SERVER.start_id,)

    @pytest.mark.parametrize('reply', [UNKNOWN, errors.NoReplyError('silent')])
    @pytest.mark.parametrize('state', list(State))
    def test_a_witness_tells_where_the_sidecar_does_not(self, reply, state):
        """Guards against an answer that nothing shows to be whole."""
        scene = Scene(reply, witnessed=state)
        assert scene.confirm() is (state is State.RUNNING)
        assert (scene.opened_count, scene.open_count) == (1, 0)

    @pytest.mark.parametrize('reply', [UNKNOWN, errors.NoReplyError('silent')])
    @pytest.mark.parametrize('witnessed', [None, State.UNKNOWN, State.ENDED])
    def test_what_accepts_a_new_connection_proves_nothing(
        self, reply, witnessed
    ):
        """Guards against half an answer of an engine that started again."""
        scene = Scene(reply, probed=State.RUNNING, witnessed=witnessed)
        assert not scene.confirm()

    def test_a_refused_connection_shows_that_the_engine_has_ended(self):
        """Guards against crashes that count against no request."""
        scene = Scene(UNKNOWN, probed=State.ENDED)
        assert not scene.confirm()
        scene.detector.record_disconnect(('f',), SERVER)
        assert scene.record.crashed_servers('f') == (SERVER.start_id,)

    @pytest.mark.parametrize('waited_s', [0.1, 1.5])
    def test_a_silent_engine_costs_no_whole_answer(self, waited_s):
        """Guards against answers that are lost for one silence."""
        scene = Scene(
            known_after_s=2.0,
            witnessed=State.RUNNING,
            witness_after_s=2.0,
            waited_s=waited_s,
        )
        assert scene.confirm()

    @pytest.mark.parametrize('waited_s', [0.1, 1.5])
    def test_a_silent_sidecar_costs_no_whole_answer(self, waited_s):
        """Guards against answers that are lost for one silence."""
        scene = Scene(reply_after_s=2.0, waited_s=waited_s)
        assert scene.confirm()

    def test_a_late_head_at_a_lost_sidecar_is_not_believed(self):
        """Guards against a connection to the start after a crash."""
        scene = Scene(
            reply_after_s=60.0,
            probed=State.RUNNING,
            witnessed=State.RUNNING,
            waited_s=1.5,
        )
        assert not scene.confirm()
        assert scene.opened_count == 0

    def test_the_wait_for_a_lost_sidecar_and_engine_is_bounded(self):
        """Guards against callers that wait for what never replies."""
        for reply_after_s in (0.1, 0.5, 60.0):
            scene = Scene(
                UNKNOWN, reply_after_s=reply_after_s, witness_after_s=2.5
            )
            assert not scene.confirm()
            assert scene.confirming_s <= 3.6
            assert len(scene.asked) < 10

    def test_a_calm_answer_asks_its_engine_nothing(self):
        """Guards against a health check for each answer."""
        scene = Scene()
        assert scene.confirm()
        assert scene.witness_asked_count == 0
        assert (scene.opened_count, scene.open_count) == (1, 0)


class TestStateOfAServer:
    """What is known of a server whose request was abandoned."""

    @pytest.mark.parametrize('reply', [UNKNOWN, errors.NoReplyError('silent')])
    @pytest.mark.parametrize(
        ('probed', 'expected'),
        [
            (State.RUNNING, State.UNKNOWN),
            (State.UNKNOWN, State.UNKNOWN),
            (State.ENDED, State.ENDED),
        ],
    )
    def test_only_a_refused_connection_shows_anything(
        self, reply, probed, expected
    ):
        """Guards against a start after a crash that passes for the first."""
        scene = Scene(reply, probed=probed)
        assert virtual_time.run(scene.end.state(SERVER)) is expected


class TestPlainServers:
    @pytest.mark.parametrize('state', list(State))
    def test_an_open_connection_tells_whether_the_start_runs(self, state):
        """Guards against an answer that nothing shows to be whole."""
        scene = Scene(witnessed=state, has_sidecar=False)
        assert scene.confirm() is (state is State.RUNNING)
        assert scene.asked == []
        assert scene.end.interrupted_count == (state is not State.RUNNING)
        assert (scene.opened_count, scene.open_count) == (1, 0)

    def test_what_accepts_a_new_connection_proves_nothing(self):
        """Guards against half an answer of a server that started again."""
        scene = Scene(
            probed=State.RUNNING, witnessed=State.ENDED, has_sidecar=False
        )
        assert not scene.confirm()
        assert scene.probed == []

    def test_without_a_connection_the_end_is_not_believed(self):
        scene = Scene(witnessed=None, has_sidecar=False)
        assert not scene.confirm()

    def test_a_head_that_came_late_may_be_of_an_earlier_start(self):
        """Guards against a connection to the start after a crash."""
        scene = Scene(witnessed=State.RUNNING, has_sidecar=False, waited_s=1.5)
        assert not scene.confirm()
        assert scene.opened_count == 0

    def test_a_caller_that_leaves_closes_the_connection(self):
        """Guards against connections that are left open."""

        async def main():
            scene = Scene(witnessed=State.RUNNING, has_sidecar=False)
            async with scene.end.watch(SERVER, 0.1):
                await asyncio.sleep(0.1)
                assert scene.open_count == 1
            return scene

        assert virtual_time.run(main()).open_count == 0
