"""Connections of callers that never send a request."""

import pytest

from lacewingpitch import silent_connections
from tests import clocks


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def connections(clock):
    return silent_connections.SilentConnections(clock)


class TestOverdue:
    def test_one_that_says_nothing(self, connections, clock):
        """An entry takes no connection any more, and looks well.

        Callers open connections and send nothing on them, until there is
        no descriptor left.
        """
        assert connections.overdue(['a'], 15.0) == []
        clock.now_s = 10.0
        assert connections.overdue(['a', 'b'], 15.0) == []
        clock.now_s = 16.0
        assert connections.overdue(['a', 'b'], 15.0) == ['a']

    def test_one_that_was_used_is_left_alone(self, connections, clock):
        connections.overdue(['a'], 15.0)
        connections.record_request('a')
        clock.now_s = 60.0
        assert connections.overdue(['a'], 15.0) == []

    def test_one_that_is_closed_is_forgotten(self, connections, clock):
        """A new connection is closed at once for an old one's silence."""
        connections.overdue(['a', 'b'], 15.0)
        connections.record_request('b')
        connections.overdue([], 15.0)
        clock.now_s = 20.0
        assert connections.overdue(['a', 'b'], 15.0) == []
        clock.now_s = 40.0
        assert sorted(connections.overdue(['a', 'b'], 15.0)) == ['a', 'b']
