"""Detection of callers' connections that never send a request."""

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
    def test_a_connection_without_a_request(self, connections, clock):
        """Guards against an entry that accepts no more connections.

        Callers open connections and send nothing on them, until no file
        descriptor is left.
        """
        assert connections.overdue(['a'], 15.0) == []
        clock.now_s = 10.0
        assert connections.overdue(['a', 'b'], 15.0) == []
        clock.now_s = 16.0
        assert connections.overdue(['a', 'b'], 15.0) == ['a']

    def test_a_connection_that_was_used_is_not_overdue(
        self, connections, clock
    ):
        connections.overdue(['a'], 15.0)
        connections.record_request('a')
        clock.now_s = 60.0
        assert connections.overdue(['a'], 15.0) == []

    def test_a_closed_connection_is_forgotten(self, connections, clock):
        """Guards against closing a new connection for the age of an old."""
        connections.overdue(['a', 'b'], 15.0)
        connections.record_request('b')
        connections.overdue([], 15.0)
        clock.now_s = 20.0
        assert connections.overdue(['a', 'b'], 15.0) == []
        clock.now_s = 40.0
        assert sorted(connections.overdue(['a', 'b'], 15.0)) == ['a', 'b']
