import asyncio
import itertools

import msgspec
import pytest

from lacewingpitch import errors
from lacewingpitch import live_list
from lacewingpitch import membership
from tests import clocks
from tests import fault_matrix
from tests import samples

Promise = fault_matrix.Promise
Fault = fault_matrix.Fault
Step = fault_matrix.Step
LEAVING = live_list.InstanceState.LEAVING


def make_instance(name, **fields):
    return samples.sidecar(name, serves='base', **fields)


def publish(members, revision, *instances):
    members.update(live_list.InstanceList(revision, instances))


def names(members):
    return [instance.name for instance in members.sidecars('base')]


@pytest.fixture
def clock():
    return clocks.ManualClock(1000.0)


@pytest.fixture
def members(clock):
    return membership.Membership(clock, 'haneul')


class TestWrongList:
    @pytest.mark.proves(
        Promise.LEAVING, Fault.LIST_WRONG, Step.BEFORE_ADMISSION
    )
    def test_older_list_brings_back_no_leaving_instance(self, members, clock):
        """Guards against requests to a backend server that is leaving.

        The list rolls back to a state from before the server was leaving,
        first for a moment and then permanently.  Applying the older list
        unchanged would show the server as live again.
        """
        leaving = make_instance('a', state=LEAVING)
        publish(members, 5, leaving, make_instance('b'))
        older = (make_instance('a'), make_instance('b'), make_instance('c'))
        publish(members, 4, *older)
        assert names(members) == ['b']
        clock.now_s += membership.ROLLBACK_ACCEPT_S
        publish(members, 4, *older)
        assert names(members) == ['b', 'c']
        publish(members, 5, *older)
        assert names(members) == ['a', 'b', 'c']

    def test_separate_moments_of_older_lists_do_not_add_up(
        self, members, clock
    ):
        publish(members, 5, make_instance('a'))
        publish(members, 4, make_instance('b'))
        clock.now_s += membership.ROLLBACK_ACCEPT_S
        publish(members, 5, make_instance('a'))
        publish(members, 4, make_instance('b'))
        assert names(members) == ['a']

    def test_empty_list_removes_no_instance(self, members):
        """Guards against refusing every caller after an empty list.

        The platform loses its list and publishes an empty one, although
        all backend servers work.
        """
        publish(members, 1, make_instance('a'))
        publish(members, 2)
        assert names(members) == ['a']
        assert members.ignored_count == 1
        publish(members, 3, make_instance('b'))
        assert names(members) == ['b']

    @pytest.mark.parametrize('is_first', [True, False])
    def test_listed_twice_counts_the_later_process(self, members, is_first):
        duplicates = [
            make_instance('a', started_at_s=2.0, work_port=7),
            make_instance('a', started_at_s=1.0, state=LEAVING),
        ]
        publish(
            members, 1, *(duplicates if is_first else reversed(duplicates))
        )
        assert [i.work_port for i in members.sidecars('base')] == [7]

    @pytest.mark.parametrize('is_first', [True, False])
    def test_listed_twice_as_live_and_leaving_is_leaving(
        self, members, is_first
    ):
        duplicates = [make_instance('a'), make_instance('a', state=LEAVING)]
        publish(
            members, 1, *(duplicates if is_first else reversed(duplicates))
        )
        assert names(members) == []
        assert members.is_leaving('a')

    def test_another_deployment_is_ignored(self, members):
        publish(
            members,
            1,
            make_instance('a', deployment='caravan'),
            make_instance('b', deployment='haneul'),
            make_instance('c'),
        )
        assert names(members) == ['b', 'c']

    def test_malformed_instance_hides_no_other(self):
        good = msgspec.to_builtins(make_instance('a'))
        bad = good | {'role': 'gardener'}
        data = msgspec.json.encode({'revision': 3, 'instances': [bad, good]})
        found = live_list.decode_list(data)
        assert found.instances == (make_instance('a'),)


class TestLeavingMark:
    def test_mark_overrides_the_list_until_it_expires(self, members, clock):
        publish(members, 1, make_instance('a'), make_instance('b'))
        members.mark_leaving('a')
        publish(members, 2, make_instance('a'), make_instance('b'))
        assert names(members) == ['b']
        clock.now_s += membership.LEAVING_MARK_S
        assert names(members) == ['a', 'b']

    def test_new_process_under_the_name_is_available(self, members):
        publish(members, 1, make_instance('a'))
        members.mark_leaving('a')
        members.mark_suspect('a')
        publish(members, 2, make_instance('a', started_at_s=9.0))
        assert names(members) == ['a']

    def test_newer_list_clears_a_mark_set_by_an_older_one(self, members):
        """Guards against an entry that finds no available server.

        Operators make a server leave and cancel that at once.  The server
        refuses a call because of the first list; the entry marks it, and
        receives only the second list.  Then another server leaves.
        """
        publish(members, 1, make_instance('a'), make_instance('b'))
        members.mark_leaving('a', 2)
        assert names(members) == ['b']
        leaving = make_instance('b', state=LEAVING)
        publish(members, 3, make_instance('a'), leaving)
        assert names(members) == ['a']

    def test_mark_by_an_older_list_expires_soon(self, members, clock):
        publish(members, 3, make_instance('a'), make_instance('b'))
        members.mark_leaving('a', 2)
        assert names(members) == ['b']
        clock.now_s += 1.0
        assert names(members) == ['a', 'b']

    def test_mark_by_a_list_lasts_while_lists_show_leaving(self, members):
        leaving = make_instance('a', state=LEAVING)
        publish(members, 1, make_instance('a'), make_instance('b'))
        members.mark_leaving('a', 2)
        publish(members, 2, leaving, make_instance('b'))
        publish(members, 3, leaving, make_instance('b'))
        assert names(members) == ['b']

    def test_leaving_by_a_signal_overrides_a_newer_list(self, members):
        """Guards against new work for a server that was signalled to end.

        The server reports first that it is leaving because of the list,
        and then because of a signal.
        """
        publish(members, 1, make_instance('a'), make_instance('b'))
        members.mark_leaving('a', 2)
        members.mark_leaving('a')
        publish(members, 3, make_instance('a'), make_instance('b'))
        assert names(members) == ['b']

    def test_suspect_is_excluded_until_its_mark_expires(self, members, clock):
        publish(members, 1, make_instance('a'))
        members.mark_suspect('a', for_s=2.0)
        assert names(members) == []
        clock.now_s += 2.0
        assert names(members) == ['a']

    def test_marks_of_instances_that_are_gone_are_dropped(self, members):
        publish(members, 1, make_instance('a'))
        members.mark_leaving('a')
        publish(members, 2, make_instance('b'))
        publish(members, 3, make_instance('a'), make_instance('b'))
        assert names(members) == ['a', 'b']


class _FakeList:
    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []

    async def watch(self, after_revision, timeout_s):
        return self.answer(f'watch after {after_revision}')

    async def read(self, unless_revision):
        return self.answer(f'read unless {unless_revision}')

    def answer(self, call):
        self.calls.append(call)
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


class TestFollow:
    async def test_rolled_back_list_is_found_by_a_plain_read(self, members):
        publish(members, 5, make_instance('a'))
        older = live_list.InstanceList(4, (make_instance('b'),))
        source = _FakeList(None, older)
        await members.follow_once(source)
        assert source.calls == ['watch after 5', 'read unless 5']
        assert members.ignored_count == 1

    async def test_unchanged_list_is_confirmed_without_its_bytes(
        self, members, clock
    ):
        publish(members, 5, make_instance('a'))
        clock.now_s += 60.0
        await members.follow_once(_FakeList(None, None))
        assert members.age_s == 0.0
        assert names(members) == ['a']

    async def test_list_that_is_down_keeps_the_known(self, members):
        publish(members, 5, make_instance('a'))
        source = _FakeList(errors.PlatformError('down'))
        following = asyncio.create_task(members.follow(source))
        while source.answers:
            await asyncio.sleep(0)
        following.cancel()
        assert names(members) == ['a']


class TestSidecarCache:
    """The cached set of sidecars, compared with the marks."""

    @pytest.mark.proves(
        Promise.LEAVING, Fault.LIST_WRONG, Step.BEFORE_ADMISSION
    )
    def test_never_older_than_a_mark(self):
        """Guards against requests to a server that is leaving.

        The set of sidecars is cached by an earlier request.  Then a
        sidecar, or the list, reports that it is leaving, in any order.
        The set must not stay cached across a mark, a list or the expiry
        of a mark.
        """
        kinds = ('suspect', 'leaves', 'wait', 'wait long', 'list', 'unlist')
        for steps in itertools.product(kinds, repeat=4):
            self.check(steps)

    def check(self, steps):
        clock = clocks.ManualClock()
        members = membership.Membership(clock)
        state = live_list.InstanceState.LIVE
        suspect_until_s = leaving_until_s = 0.0
        for revision, step in enumerate(('list', *steps), 1):
            if step == 'suspect':
                members.mark_suspect('a', 5.0)
                suspect_until_s = clock.now_s + 5.0
            elif step == 'leaves':
                members.mark_leaving('a')
                leaving_until_s = clock.now_s + membership.LEAVING_MARK_S
            elif step.startswith('wait'):
                clock.now_s += 5.0 if step == 'wait' else 60.0
            else:
                is_live = step == 'list'
                state = live_list.InstanceState.LIVE if is_live else LEAVING
                listed = make_instance('a', state=state), make_instance('b')
                publish(members, revision, *listed)
            is_used = (
                state is not LEAVING
                and max(suspect_until_s, leaving_until_s) <= clock.now_s
            )
            assert names(members) == (['a', 'b'] if is_used else ['b']), steps

    def test_cached_until_something_changes(self, members, clock):
        publish(members, 1, make_instance('a'), make_instance('b'))
        cached = members.sidecars('base')
        assert members.sidecars('base') is cached
        members.mark_suspect('a', 1.0)
        assert members.sidecars('base') is not cached
