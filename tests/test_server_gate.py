"""Servers that leave or asked for backoff, as one entry decides on them."""

import dataclasses
import math
import random

from hypothesis import given
from hypothesis import strategies
import pytest

from lacewingpitch import backend_call
from lacewingpitch import backend_list
from lacewingpitch import errors
from lacewingpitch import server_gate
from lacewingpitch import server_notice
from tests import clocks

LEAVING = server_notice.ServerNotice(is_leaving=True)
SERVED = server_notice.ServerNotice()


def backoff(backoff_s):
    return server_notice.ServerNotice(backoff_s=backoff_s)


def server(name, port=1, **fields):
    return backend_list.BackendServer(
        name, 'chat', '10.0.0.1', port, 'z', **fields
    )


class Scene:
    """The gate of an entry with two listed servers."""

    def __init__(self):
        self.clock = clocks.ManualClock(100.0)
        self.servers = backend_list.BackendList(self.clock)
        self.servers.record_read()
        self.servers.replace_all([server('a'), server('b', port=2)])
        self.gate = server_gate.ServerGate(
            self.servers, self.clock, random.Random(1)
        )

    def answer(self, notice, name='a', sent_before_s=0.0):
        found = self.servers.get(name) or server(name)
        asked_at_s = self.clock.now_s - sent_before_s
        return self.gate.record_answer(found, notice, asked_at_s)

    def is_open(self, name='a'):
        return self.gate.is_open(self.servers.get(name))

    def send(self, name='a'):
        """Send a request; return whether it was admitted."""
        try:
            self.gate.admit(self.servers.get(name))
        except backend_call.WithheldError:
            return False
        return True

    @property
    def serving(self):
        return {found.name for found in self.servers.serving('chat')}


@pytest.fixture
def scene():
    return Scene()


class TestLeaving:
    def test_a_server_that_leaves_is_closed(self, scene):
        assert scene.answer(LEAVING)
        assert scene.serving == {'b'}
        assert not scene.is_open()
        assert not scene.send()

    def test_an_announcement_is_news_once(self, scene):
        assert scene.answer(LEAVING)
        assert not scene.answer(LEAVING)

    def test_a_list_that_says_ready_does_not_reopen_it(self, scene):
        """Guards against a list that lags behind the announcement."""
        scene.answer(LEAVING)
        scene.servers.put(server('a'))
        scene.servers.replace_all([server('a'), server('b', port=2)])
        assert scene.serving == {'b'}

    def test_a_copy_of_the_store_does_not_reopen_it(self, scene):
        """Guards against a restored store that lists who has left."""
        scene.answer(LEAVING)
        scene.servers.remove('a')
        scene.servers.record_read(is_new_epoch=True)
        scene.servers.replace_all([server('a'), server('b', port=2)])
        scene.clock.now_s += 3600.0
        assert scene.serving == {'b'}

    def test_an_answer_without_the_header_does_not_reopen_it(self, scene):
        scene.answer(LEAVING)
        scene.answer(SERVED)
        assert not scene.is_open()

    def test_an_outage_does_not_bring_it_back(self, scene):
        """Guards against a server that is retained as if it had expired."""
        scene.answer(LEAVING)
        for _ in range(3):
            scene.servers.record_read_failure()
        scene.servers.record_read()
        scene.servers.replace_all([])
        assert scene.serving == {'b'}

    def test_it_is_no_last_resort(self, scene):
        scene.servers.remove('a')
        scene.servers.remove('b')
        scene.answer(LEAVING, 'a')
        assert scene.serving == {'b'}

    def test_a_later_start_under_the_same_name_serves(self, scene):
        """Guards against an innocent start that is kept closed."""
        scene.servers.put(server('a', started_at_ms=5))
        scene.answer(LEAVING)
        assert scene.serving == {'b'}
        scene.servers.put(server('a', started_at_ms=6))
        assert scene.serving == {'a', 'b'}
        assert scene.is_open()

    def test_an_entry_of_an_earlier_start_stays_closed(self, scene):
        started = server('a', started_at_ms=6)
        scene.gate.record_answer(started, LEAVING, scene.clock.now_s)
        scene.servers.replace_all([server('b', port=2)])
        scene.servers.put(server('a', started_at_ms=5))
        assert 'a' not in scene.serving

    def test_another_server_at_its_address_serves(self, scene):
        """Guards against an address that is closed, not its server."""
        scene.answer(LEAVING)
        scene.servers.remove('a')
        scene.servers.put(server('c', created_revision=9))
        assert scene.serving == {'b', 'c'}
        assert scene.is_open('c')

    def test_listed_servers_are_not_forgotten(self, scene):
        scene.answer(LEAVING)
        for number in range(5000):
            scene.servers.record_leaving(f'gone-{number}@0', 'test')
        assert scene.serving == {'b'}
        assert len(scene.servers._leaving._started_at_ms) <= 4097


class TestNews:
    def test_others_are_told_for_a_while(self, scene):
        scene.answer(LEAVING)
        assert scene.gate.leaving_news() == ('a@0',)
        scene.clock.now_s += 6.0
        assert scene.gate.leaving_news() == ()

    def test_what_others_tell_is_applied_and_not_passed_on(self, scene):
        """Guards against announcements that entries repeat for ever."""
        scene.gate.apply_news(['a@0', 'not an id', 'b@x'])
        assert scene.serving == {'b'}
        assert scene.gate.leaving_news() == ()

    def test_news_of_another_start_leave_a_server_open(self, scene):
        scene.servers.put(server('a', started_at_ms=7))
        scene.gate.apply_news(['a@6', 'a-2@7'])
        assert scene.serving == {'a', 'b'}


class TestBackoff:
    def test_a_server_is_closed_until_its_end(self, scene):
        scene.answer(backoff(3.0))
        assert not scene.send()
        scene.clock.now_s += 2.9
        assert not scene.send()
        scene.clock.now_s += 0.2
        assert scene.send()

    def test_it_is_still_listed_and_the_others_are_open(self, scene):
        scene.answer(backoff(3.0))
        assert scene.serving == {'a', 'b'}
        assert scene.is_open('b')

    @pytest.mark.parametrize('order', [(5.0, 1.0), (1.0, 5.0)])
    def test_the_latest_end_counts(self, scene, order):
        """Guards against a shorter backoff that ends a longer one."""
        for backoff_s in order:
            scene.answer(backoff(backoff_s))
        scene.clock.now_s += 4.9
        assert not scene.is_open()

    def test_an_answer_to_an_earlier_request_does_not_end_it(self, scene):
        """Guards against answers that overtake each other."""
        scene.answer(backoff(3.0))
        scene.answer(SERVED, sent_before_s=1.0)
        assert not scene.is_open()

    def test_another_start_of_the_server_is_open(self, scene):
        scene.answer(backoff(30.0))
        scene.servers.put(server('a', started_at_ms=9))
        assert scene.is_open()

    def test_one_request_tries_the_server_at_the_end(self, scene):
        """Guards against a burst at a server that has just recovered."""
        scene.answer(backoff(1.0))
        scene.clock.now_s += 1.1
        assert scene.send()
        assert not scene.send()
        scene.clock.now_s += 0.1
        scene.answer(SERVED, sent_before_s=0.1)
        assert scene.send()
        assert scene.send()

    def test_a_trial_without_an_answer_does_not_keep_it_closed(self, scene):
        scene.answer(backoff(1.0))
        scene.clock.now_s += 1.1
        assert scene.send()
        scene.clock.now_s += 1.1
        assert scene.send()
        assert not scene.send()

    def test_a_trial_that_is_turned_away_begins_the_next(self, scene):
        scene.answer(backoff(1.0))
        scene.clock.now_s += 1.1
        assert scene.send()
        scene.answer(backoff(1.0))
        scene.clock.now_s += 0.9
        assert not scene.send()

    def test_an_endless_backoff_has_a_bound(self, scene):
        scene.answer(backoff(math.inf))
        scene.clock.now_s += 3601.0
        assert scene.send()

    def test_the_table_is_bounded(self, scene):
        for number in range(5000):
            scene.answer(backoff(3.0), f'gone-{number}')
        assert len(scene.gate.backoffs) <= 4096

    @given(
        steps=strategies.lists(
            strategies.tuples(
                strategies.sampled_from(['send', 'served', 'backoff']),
                strategies.floats(0.0, 2.0),
                strategies.floats(0.01, 5.0),
            ),
            max_size=40,
        )
    )
    def test_nothing_is_sent_within_any_backoff(self, steps):
        """Guards against an order of answers that reopens a server early."""
        scene = Scene()
        ends_s = [0.0]
        for action, pause_s, backoff_s in steps:
            scene.clock.now_s += pause_s
            if action == 'send':
                was_sent = scene.send()
                is_owed = scene.clock.now_s < max(ends_s)
                assert not (was_sent and is_owed)
            elif action == 'served':
                scene.answer(SERVED, sent_before_s=backoff_s)
            else:
                scene.answer(backoff(backoff_s))
                ends_s.append(scene.clock.now_s + backoff_s)


class TestRefusal:
    def refusals(self, scene, count=1):
        listed = scene.servers.serving('chat')
        return [scene.gate.refusal(listed) for _ in range(count)]

    def test_callers_return_after_the_end_one_by_one(self, scene):
        """Guards against callers that return in one instant, or too early."""
        scene.answer(backoff(3.0), 'a')
        scene.answer(backoff(2.0), 'b')
        found = self.refusals(scene, 10)
        times_s = [error.retry_after_s for error in found]
        assert min(times_s) >= 2.0
        assert len(set(times_s)) == 10
        assert {error.kind for error in found} == {
            errors.ErrorKind.SERVER_BACKOFF
        }
        assert {error.outcome for error in found} == {errors.Outcome.NOT_RUN}

    def test_open_and_leaving_servers_give_no_time(self, scene):
        scene.answer(LEAVING)
        assert self.refusals(scene) == [None]

    def test_an_admitted_server_may_close_before_the_request_is_sent(
        self, scene
    ):
        """Guards against requests that waited while a server closed."""
        chosen = dataclasses.replace(scene.servers.get('a'))
        assert scene.gate.is_open(chosen)
        scene.answer(backoff(1.0))
        with pytest.raises(backend_call.WithheldError):
            scene.gate.admit(chosen)
        assert scene.gate.withheld_count == 1
