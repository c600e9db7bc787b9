"""When a read that failed is tried again."""

import random

import pytest

from lacewingpitch import read_backoff

TIMEOUT_S = 0.8


@pytest.fixture
def backoff():
    return read_backoff.ReadBackoff(random.Random(1))


class TestStart:
    def test_a_store_that_returns_is_read_soon(self, backoff):
        """Callers are refused for two seconds after the store is back.

        All processes lost their power while the store was silent.  Each
        read that began before its return is lost, and the longest pause
        follows it.
        """
        for _ in range(10):
            assert TIMEOUT_S + backoff.record_failure(TIMEOUT_S) < 1.0

    def test_a_store_that_refuses_at_once_is_not_flooded(self, backoff):
        assert all(backoff.record_failure(0.001) >= 0.15 for _ in range(10))


class TestLater:
    def test_pauses_grow_up_to_a_limit(self, backoff):
        backoff.record_success()
        pauses_s = [backoff.record_failure(0.001) for _ in range(10)]
        assert pauses_s[0] <= 0.1
        assert 0.5 <= pauses_s[-1] <= 1.0

    def test_begin_anew_once_a_read_is_answered(self, backoff):
        backoff.record_success()
        for _ in range(10):
            backoff.record_failure(0.001)
        backoff.record_success()
        assert backoff.record_failure(0.001) <= 0.1
