"""Grace period of a process that has just started."""

import pytest

from lacewingpitch import startup_grace
from tests import clocks


@pytest.fixture
def clock():
    return clocks.ManualClock(100.0)


@pytest.fixture
def grace(clock):
    return startup_grace.StartupGrace(clock)


class TestStartupGrace:
    def test_lasts_for_a_start(self, grace, clock):
        """Guards against refusals although the process serves soon after.

        All processes were killed, and the store is unreachable for another
        second.  Callers whose connections were lost have one retry left.
        """
        clock.now_s += 20.0
        grace.begin()
        assert grace.left_s(12.0) == pytest.approx(1.5)
        clock.now_s += 1.0
        assert grace.left_s(12.0) == pytest.approx(0.5)

    def test_requests_do_not_wait_after_it(self, grace, clock):
        """Guards against futile waits during a long outage of the store."""
        clock.now_s += 2.0
        assert grace.left_s(12.0) == 0.0

    def test_caller_keeps_time_for_a_retry(self, grace):
        assert grace.left_s(0.9) == pytest.approx(0.3)
        assert grace.left_s(0.0) == pytest.approx(1.5)
