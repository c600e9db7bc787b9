"""Ejection of failing backend servers and the trial that ends it."""

import random

import pytest

from lacewingpitch import ejection
from tests import clocks

NAMES = ['a', 'b', 'c', 'd']


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def ejector(clock):
    return ejection.Ejector(clock, random.Random(1))


def fail(ejector, name, times=3):
    for _ in range(times):
        ejector.record_failure(name)


class TestEjection:
    def test_after_failures_in_a_row_only(self, ejector):
        fail(ejector, 'a', 2)
        ejector.record_success('a')
        fail(ejector, 'a', 2)
        assert ejector.allowed(NAMES) == NAMES
        fail(ejector, 'a', 1)
        assert ejector.allowed(NAMES) == ['b', 'c', 'd']

    def test_keeps_half_of_the_servers_when_all_fail(self, ejector):
        for name in NAMES:
            fail(ejector, name)
        assert ejector.allowed(NAMES) == ['c', 'd']
        assert ejector.allowed(['a']) == ['a']

    def test_failures_during_it_do_not_lengthen_it(self, ejector, clock):
        fail(ejector, 'a', 20)
        clock.now_s += 1.5
        assert 'a' in ejector.allowed(NAMES)


class TestReturn:
    def test_one_request_tries_it(self, ejector, clock):
        """Guards against overloading a server that has just recovered.

        Without a trial, all requests of the entry instance would go to it
        at once.
        """
        fail(ejector, 'a')
        clock.now_s += 1.5
        assert 'a' in ejector.allowed(NAMES)
        ejector.record_start('a')
        assert 'a' not in ejector.allowed(NAMES)
        ejector.record_success('a')
        assert 'a' in ejector.allowed(NAMES)

    def test_failed_trial_doubles_the_time(self, ejector, clock):
        fail(ejector, 'a')
        clock.now_s += 1.5
        ejector.record_start('a')
        ejector.record_failure('a')
        clock.now_s += 1.3
        assert 'a' not in ejector.allowed(NAMES)
        clock.now_s += 1.5
        assert 'a' in ejector.allowed(NAMES)

    def test_trial_that_never_ends_times_out(self, ejector, clock):
        fail(ejector, 'a')
        clock.now_s += 1.5
        ejector.record_start('a')
        clock.now_s += 11.0
        assert 'a' in ejector.allowed(NAMES)

    def test_inconclusive_trial_is_followed_by_another(self, ejector, clock):
        """Guards against a healthy server without requests for 10 s.

        The trial after an ejection is refused for a reason of its own, or
        its caller disconnects, so that it neither fails nor succeeds.
        """
        fail(ejector, 'a')
        clock.now_s += 1.5
        ejector.record_start('a')
        assert 'a' not in ejector.allowed(NAMES)
        ejector.record_end('a')
        assert 'a' in ejector.allowed(NAMES)

    def test_end_of_a_failed_trial_allows_no_other(self, ejector, clock):
        fail(ejector, 'a')
        clock.now_s += 1.5
        ejector.record_start('a')
        ejector.record_failure('a')
        ejector.record_end('a')
        assert 'a' not in ejector.allowed(NAMES)


class TestFailureRatio:
    def test_covers_recent_requests_and_decays(self, ejector, clock):
        assert ejector.failure_ratio('a') == 0.0
        for _ in range(20):
            ejector.record_failure('a')
            ejector.record_success('a')
        assert 0.4 < ejector.failure_ratio('a') < 0.5
        clock.now_s += 30.0
        assert ejector.failure_ratio('a') < 0.05


class TestForget:
    def test_a_restarted_server_is_no_longer_ejected(self, ejector):
        """Guards against a restarted engine without requests.

        It failed before its restart, and its ejection has not ended.
        """
        fail(ejector, 'a')
        assert ejector.allowed(NAMES) == ['b', 'c', 'd']
        ejector.forget('a')
        assert ejector.allowed(NAMES) == NAMES
        assert ejector.failure_ratio('a') == 0.0
