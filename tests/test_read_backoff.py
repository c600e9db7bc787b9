"""Backoff between failed reads of a store."""

import random

import pytest

from lacewingpitch import read_backoff

TIMEOUT_S = 0.8


@pytest.fixture
def backoff():
    return read_backoff.ReadBackoff(random.Random(1))


class TestStart:
    def test_a_recovered_store_is_read_soon(self, backoff):
        """Guards against refusing callers for 2 s after a store's recovery.

        All processes have lost their power while the store did not answer.
        Each read that began before its recovery times out, and would be
        followed by the longest pause.
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

    def test_start_again_after_a_successful_read(self, backoff):
        backoff.record_success()
        for _ in range(10):
            backoff.record_failure(0.001)
        backoff.record_success()
        assert backoff.record_failure(0.001) <= 0.1
