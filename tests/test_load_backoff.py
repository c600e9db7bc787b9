"""Pauses between the tries to load an adapter that fails."""

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
    def test_what_never_failed_is_loaded_at_once(self, backoffs):
        assert backoffs.left_s('a') == 0.0

    def test_each_failure_doubles_the_pause_up_to_a_bound(self, backoffs):
        pauses_s = [backoffs.begin('a') for _ in range(7)]
        assert pauses_s == [1.0, 2.0, 4.0, 8.0, 16.0, 30.0, 30.0]
        assert backoffs.begin('b') == 1.0

    def test_ends_by_itself(self, backoffs, clock):
        backoffs.begin('a')
        clock.now_s = 0.75
        assert backoffs.left_s('a') == pytest.approx(0.25)
        clock.now_s = 5.0
        assert backoffs.left_s('a') == 0.0

    def test_a_load_begins_anew(self, backoffs):
        backoffs.begin('a')
        backoffs.begin('a')
        backoffs.end('a')
        assert backoffs.left_s('a') == 0.0
        assert backoffs.begin('a') == 1.0

    def test_what_is_kept_is_bounded(self, backoffs):
        """Names that never load fill the memory of a process."""
        for number in range(5000):
            backoffs.begin(str(number))
        assert len(backoffs) == 4096
        assert backoffs.left_s('4999') == 1.0
