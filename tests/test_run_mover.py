"""Runs that move from engines that leave, in virtual time."""

import asyncio

import pytest
import structlog

from benchmarks import virtual_time
from lacewingpitch import errors
from lacewingpitch import run_memory
from tests import move_fakes

Outcome = run_memory.CopyOutcome
LENGTH = 100
# Some events have been passed on, and the run lasts for seconds more.
_RUNNING_S = 0.5
_ENOUGH_S = 20.0


def events(count):
    return b''.join(map(move_fakes.event, range(1, count + 1)))


def play(
    scenario=None,
    settle_s=_ENOUGH_S,
    length=LENGTH,
    is_warm=False,
    **fields,
):
    """Run one stream whose engine leaves; return scene and caller."""

    async def main():
        scene = move_fakes.Scene(**fields)
        if is_warm:
            await scene.warm_up()
        caller = scene.start(length)
        await asyncio.sleep(_RUNNING_S)
        if scenario:
            await scenario(scene, caller)
        else:
            scene.leave('a')
        await asyncio.sleep(settle_s)
        assert caller.task.done()
        assert not scene.fleet.broken_rules
        assert not any(scene.fleet.turns_open.values())
        scene.fleet.expire()
        assert not scene.fleet.copies
        if scene.mover:
            assert not scene.mover.run_count
            await scene.mover.close()
        return scene, caller

    return virtual_time.run(main())


def assert_whole(caller, length=LENGTH):
    assert caller.refusal is None
    assert caller.is_complete
    assert caller.body == events(length)


def assert_cut(caller):
    assert caller.refusal.kind is errors.ErrorKind.ANSWER_CUT
    assert not caller.is_complete
    assert caller.body == events(caller.event_count)


async def leave_and_end(scene, _caller):
    """The engine leaves, and is gone when its time is over."""
    scene.leave('a')
    await asyncio.sleep(move_fakes.SERVING_S)
    scene.fleet.crash('a')


class TestMoves:
    def test_a_run_continues_elsewhere_within_its_answer(self):
        """Guards against streams that break off as their engine leaves."""
        scene, caller = play(leave_and_end)
        assert_whole(caller)
        assert caller.head.headers == (('Signed-By', 'a'),)
        assert caller.history.servers == ['a', 'b']
        assert scene.outcomes() == {'moved': 1}
        assert scene.fleet.used.total() == 1
        assert scene.fleet.freed == []

    def test_the_source_is_asked_to_stop_after_a_first_copy(self):
        scene, _ = play(leave_and_end)
        assert scene.fleet.copy_calls == [('a', 'b', False), ('a', 'b', True)]

    def test_a_body_without_its_own_end_is_not_taken_for_whole(self):
        """Guards against a stopped run that looks like a whole answer."""

        async def unframed(scene, caller):
            scene.fleet.is_framed = False
            other = scene.start(LENGTH)
            await asyncio.sleep(_RUNNING_S)
            source = scene.source_of(f'id-{len(scene.callers) - 1}')
            scene.leave(source)
            await asyncio.sleep(_ENOUGH_S / 2)
            assert other.body == events(LENGTH)
            assert other.is_complete

        play(unframed)

    def test_the_request_says_after_which_event_it_continues(self):
        scene, _ = play(leave_and_end)
        call = scene.fleet.sent[-1]
        assert call.last_event_id > 0
        assert call.memory.source.name == 'a'
        assert call.adapter_version == 3

    def test_a_run_may_move_twice(self):
        async def twice(scene, _caller):
            scene.leave('a')
            await asyncio.sleep(1.5)
            scene.leave('b')

        scene, caller = play(twice)
        assert_whole(caller)
        assert caller.history.servers == ['a', 'b', 'c']
        assert scene.outcomes() == {'moved': 2}

    def test_the_move_is_logged_with_what_it_moved(self):
        with structlog.testing.capture_logs() as lines:
            play(leave_and_end)
        (line,) = [li for li in lines if li['event'] == 'run move ended']
        assert line['request_id'] == 'id-0'
        assert (line['source'], line['target']) == ('a', 'b')
        assert line['outcome'] == 'moved'
        assert line['events'] > 0
        assert line['remainder_ms'] > 0


class TestWhichRunsMove:
    def test_one_that_ends_before_its_engine_stays(self):
        scene, caller = play(length=18, is_warm=True)
        assert_whole(caller, 18)
        assert scene.outcomes() == {}

    def test_one_that_its_caller_can_resume_stays(self):
        async def resumable(scene, _caller):
            found = move_fakes.route(is_resumable=True, max_attempts=2)
            other = scene.start(LENGTH, found)
            await asyncio.sleep(_RUNNING_S)
            source = scene.source_of(f'id-{len(scene.callers) - 1}')
            scene.leave(source)
            await asyncio.sleep(move_fakes.SERVING_S)
            scene.fleet.crash(source)
            await asyncio.sleep(_ENOUGH_S / 2)
            assert other.is_complete

        scene, _ = play(resumable)
        assert scene.fleet.copy_calls == []

    def test_the_longest_remainder_goes_first(self):
        found = []

        async def several(scene, _caller):
            scene.fleet.crash('b')
            scene.fleet.crash('c')
            for length in (60, 90, 120, 70, 110):
                longest = scene.start(length)
                if length == 120:
                    found.append(longest)
            await asyncio.sleep(_RUNNING_S)
            scene.fleet.engines['b'].is_up = True
            scene.leave('a')

        scene, _ = play(several, is_warm=True)
        moved = [s.run_id for s in scene.fleet.specs if s.attempt >= 1000]
        assert scene.callers[moved[0]] is found[0]

    def test_few_move_from_one_engine_at_once(self):
        async def many(scene, _caller):
            scene.fleet.crash('b')
            scene.fleet.crash('c')
            for _ in range(12):
                scene.start(LENGTH)
            await asyncio.sleep(_RUNNING_S)
            scene.fleet.engines['b'].is_up = True
            scene.fleet.copy_s = 1.0
            scene.leave('a')
            await asyncio.sleep(0.8)
            assert len(scene.fleet.copy_calls) == 4
            scene.fleet.copy_s = 0.005

        play(many)

    def test_the_stated_time_of_an_engine_counts(self):
        async def in_a_moment(scene, _caller):
            scene.leave('a', leaves_in_s=0.3)
            await asyncio.sleep(0.3)
            scene.fleet.crash('a')

        _, caller = play(in_a_moment)
        assert_whole(caller)

    def test_without_the_part_the_path_is_as_before(self):
        scene, caller = play(leave_and_end, has_mover=False)
        assert_cut(caller)
        assert scene.fleet.copy_calls == []
        assert len(scene.fleet.sent) == 1

    def test_engines_that_copy_nothing_are_left_alone(self):
        scene, caller = play(leave_and_end, link=None)
        assert_cut(caller)
        assert scene.fleet.copy_calls == []
        assert scene.mover.move_counts == {}


class TestFailuresBeforeTheStop:
    """The run stays where it is."""

    @pytest.mark.parametrize(
        'fault',
        [
            Outcome.REFUSED,
            Outcome.BUSY,
            Outcome.NO_ROOM,
            'lost before',
            'lost after',
        ],
    )
    def test_a_failed_copy_is_tried_again(self, fault):
        """Guards against a run that stops for a copy that does not exist."""

        async def failing(scene, _caller):
            scene.fleet.faults = [fault]
            scene.leave('a')

        scene, caller = play(failing)
        assert_whole(caller)
        assert scene.outcomes() == {'kept': 1, 'moved': 1}

    def test_no_turn_elsewhere(self):
        async def full(scene, _caller):
            scene.fleet.has_turns = False
            scene.leave('a')

        scene, caller = play(full)
        assert_whole(caller)
        assert scene.outcomes() == {'kept': 3}
        assert scene.fleet.copy_calls == []

    def test_another_version_of_the_adapter(self):
        """Guards against a run that ends on other weights than it began."""

        async def newer(scene, _caller):
            scene.fleet.turn_version = 4
            scene.leave('a')

        scene, caller = play(newer)
        assert_whole(caller)
        assert scene.fleet.copy_calls == []

    def test_no_retry_budget(self):
        """Guards against moves that exceed the budget of retries."""

        async def used_up(scene, _caller):
            while scene.forwarder._budgets.try_withdraw('s'):
                pass
            scene.leave('a')

        scene, caller = play(used_up)
        assert_whole(caller)
        assert not any(is_last for *_, is_last in scene.fleet.copy_calls)
        assert scene.fleet.freed

    def test_the_source_is_gone_before_the_copy_ends(self):
        """Guards against a stream that ends as complete with its engine."""

        async def gone(scene, _caller):
            scene.fleet.copy_s = 0.3
            scene.leave('a')
            await asyncio.sleep(0.5)
            scene.fleet.crash('a')

        scene, caller = play(gone)
        assert_cut(caller)
        assert len(scene.fleet.sent) == 1

    def test_the_answer_ends_before_the_copy(self):
        """Guards against copies that nobody uses."""

        async def slow(scene, _caller):
            scene.fleet.copy_s = 6.0
            scene.leave('a')

        scene, caller = play(slow)
        assert_whole(caller)
        assert scene.outcomes() == {'kept': 1}


class TestFailuresAfterTheStop:
    def test_the_answer_of_the_stop_is_lost(self):
        """Guards against a stopped run that nobody continues."""

        async def lost(scene, _caller):
            scene.fleet.faults = [None, 'lost after']
            scene.leave('a')

        scene, caller = play(lost)
        assert_whole(caller)
        assert scene.outcomes() == {'moved': 1}

    def test_the_answer_is_lost_twice(self):
        """Guards against a request that runs twice, or joins two runs."""

        async def lost(scene, _caller):
            scene.fleet.faults = [None, 'lost after', 'lost after']
            scene.leave('a')

        scene, caller = play(lost)
        assert_cut(caller)
        assert scene.outcomes() == {'unclear': 1}
        assert len(scene.fleet.sent) == 1
        assert scene.fleet.freed

    def test_a_stop_that_never_arrived_leaves_the_run(self):
        async def lost(scene, _caller):
            scene.fleet.faults = [None, 'lost before', 'lost before']
            scene.leave('a')

        scene, caller = play(lost)
        assert_whole(caller)
        assert scene.outcomes() == {'unclear': 1}

    def test_no_room_for_the_rest(self):
        async def no_room(scene, _caller):
            scene.fleet.faults = [None, Outcome.NO_ROOM]
            scene.leave('a')

        scene, caller = play(no_room)
        assert_whole(caller)

    def test_the_target_refuses_the_handle(self):
        """Guards against a request that is sent again without its memory."""

        async def refusing(scene, _caller):
            scene.fleet.refusals = 1
            scene.leave('a')

        scene, caller = play(refusing)
        assert_cut(caller)
        assert scene.outcomes() == {'cut': 1}
        assert len(scene.fleet.sent) == 2
        assert scene.fleet.freed

    @pytest.mark.parametrize('has_restarted', [False, True])
    def test_the_target_is_gone_or_another(self, has_restarted):
        """Guards against a run on another start than its memory is at."""

        async def gone(scene, _caller):
            stop = scene.fleet.copy

            async def copy(source, target, run_id, is_last, timeout_s):
                found = await stop(source, target, run_id, is_last, timeout_s)
                if is_last:
                    scene.fleet.crash(target.name)
                    engine = scene.fleet.engines[target.name]
                    engine.is_up = has_restarted
                    engine.started_at_ms += has_restarted
                return found

            scene.fleet.copy = copy
            scene.leave('a')

        scene, caller = play(gone)
        assert_cut(caller)
        assert scene.outcomes() == {'cut': 1}

    def test_the_target_is_gone_later(self):
        async def gone(scene, _caller):
            scene.leave('a')
            await asyncio.sleep(1.5)
            scene.fleet.crash('b')

        scene, caller = play(gone)
        assert_cut(caller)
        assert len(scene.fleet.sent) == 2


class TestCallersThatDisconnect:
    @pytest.mark.parametrize('at_s', [0.405, 0.41, 0.42, 0.425, 0.43, 0.45])
    def test_copies_and_turns_are_freed(self, at_s):
        """Guards against memory that stays reserved for nobody."""

        async def disconnect(scene, caller):
            scene.leave('a')
            await asyncio.sleep(at_s)
            caller.task.cancel()
            await asyncio.sleep(0.2)
            assert not scene.fleet.copies
            assert not any(scene.fleet.turns_open.values())

        play(disconnect)

    def test_a_lost_answer_leaves_a_copy_for_a_bounded_time(self):
        async def disconnect(scene, caller):
            scene.fleet.faults = ['lost after']
            scene.leave('a')
            await asyncio.sleep(0.45)
            caller.task.cancel()

        scene, _ = play(disconnect)
        assert scene.outcomes() == {'kept': 1}


class TestSilence:
    """A sound engine that copies and stops runs, and answers later."""

    @pytest.mark.parametrize('silent_s', [0.4, 1.0, 1.3, 2.0])
    def test_a_run_whose_stop_is_answered_late_continues(self, silent_s):
        """Guards against streams cut since their engine was silent."""

        async def silent(scene, _caller):
            scene.fleet.faults = [None, 'silent']
            scene.fleet.silent_s = silent_s
            scene.leave('a')

        _, caller = play(silent)
        assert_whole(caller)

    @pytest.mark.parametrize('silent_s', [0.4, 1.0, 1.3, 2.0])
    def test_a_run_whose_copy_is_answered_late_moves(self, silent_s):
        """Guards against runs that stay where their engine ends."""

        async def silent(scene, _caller):
            scene.fleet.faults = ['silent']
            scene.fleet.silent_s = silent_s
            scene.leave('a')
            await asyncio.sleep(silent_s + 1.0)
            scene.fleet.crash('a')

        _, caller = play(silent)
        assert_whole(caller)
