"""How long requests wait for a process that has just started."""

import pytest

from lacewingpitch import startup_grace
from tests import clocks


@pytest.fixture
def clock():
    return clocks.ManualClock(100.0)


@pytest.fixture
def wait(clock):
    return startup_grace.StartupGrace(clock)


class TestStartupGrace:
    def test_is_as_long_as_a_start_takes(self, wait, clock):
        """Callers are refused although their process serves soon after.

        All processes were killed, and the store is away for a second
        more.  Those that were cut off have one try left.
        """
        clock.now_s += 20.0
        wait.begin()
        assert wait.left_s(12.0) == pytest.approx(1.5)
        clock.now_s += 1.0
        assert wait.left_s(12.0) == pytest.approx(0.5)

    def test_then_requests_are_refused_at_once(self, wait, clock):
        """Each caller waits in vain while the store is down for long."""
        clock.now_s += 2.0
        assert wait.left_s(12.0) == 0.0

    def test_leaves_the_caller_time_to_come_back(self, wait):
        assert wait.left_s(0.9) == pytest.approx(0.3)
        assert wait.left_s(0.0) == pytest.approx(1.5)
