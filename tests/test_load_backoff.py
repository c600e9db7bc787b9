"""Backoff between attempts to load a failing adapter."""

import pytest

from lacewingpitch import load_backoff
from tests import clocks


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def backoffs(clock):
    return load_backoff.LoadBackoffs(clock)


class TestLoadBackoffs:
    def test_no_delay_without_a_failure(self, backoffs):
        assert backoffs.remaining_s('a') == 0.0

    def test_each_failure_doubles_the_delay_up_to_a_limit(self, backoffs):
        delays_s = [backoffs.record_failure('a') for _ in range(7)]
        assert delays_s == [1.0, 2.0, 4.0, 8.0, 16.0, 30.0, 30.0]
        assert backoffs.record_failure('b') == 1.0

    def test_expires(self, backoffs, clock):
        backoffs.record_failure('a')
        clock.now_s = 0.75
        assert backoffs.remaining_s('a') == pytest.approx(0.25)
        clock.now_s = 5.0
        assert backoffs.remaining_s('a') == 0.0

    def test_successful_load_resets_the_delay(self, backoffs):
        backoffs.record_failure('a')
        backoffs.record_failure('a')
        backoffs.reset('a')
        assert backoffs.remaining_s('a') == 0.0
        assert backoffs.record_failure('a') == 1.0

    def test_memory_is_bounded(self, backoffs):
        """Names of adapters that never load exhaust the memory."""
        for number in range(5000):
            backoffs.record_failure(str(number))
        assert len(backoffs) == 4096
        assert backoffs.remaining_s('4999') == 1.0
