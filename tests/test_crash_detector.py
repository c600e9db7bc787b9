"""Which broken connections count as crashes of their backend server."""

import random

import pytest

from lacewingpitch import backend_list
from lacewingpitch import crash_detector
from lacewingpitch import crash_record
from tests import clocks


def server(name='i-1', **fields):
    return backend_list.BackendServer(
        name, 'chat', '10.0.0.1', 80, 'z', **fields
    )


@pytest.fixture
def clock():
    return clocks.ManualClock(100.0)


@pytest.fixture
def record(clock):
    return crash_record.CrashRecord(clock, random.Random(1))


@pytest.fixture
def detector(record, clock):
    return crash_detector.CrashDetector(record, clock)


class TestCrash:
    def test_a_disconnect_alone_is_none(self, detector, record):
        """Guards against refusing requests whose answers were lost."""
        detector.record_disconnect(('f',), server())
        assert detector.has_pending(server())
        assert record.crashed_servers('f') == ()

    def test_a_running_server_had_none(self, detector, record):
        detector.record_disconnect(('f',), server())
        detector.record_running(server())
        detector.record_exit(server())
        assert record.crashed_servers('f') == ()

    def test_counts_for_all_requests_of_the_server(self, detector, record):
        detector.record_disconnect(('f',), server())
        detector.record_disconnect(('g',), server())
        detector.record_disconnect(('h',), server('i-2'))
        detector.record_exit(server())
        assert (
            record.crashed_servers('f')
            == record.crashed_servers('g')
            == ('i-1@0',)
        )
        assert record.crashed_servers('h') == ()

    def test_a_disconnect_after_the_exit_counts(self, detector, record):
        detector.record_exit(server())
        detector.record_disconnect(('f',), server())
        assert record.crashed_servers('f') == ('i-1@0',)

    def test_two_starts_under_one_name_are_two(self, detector, record):
        """Guards against counting a server's crashes only once."""
        for started_at_ms in (1, 2):
            found = server(started_at_ms=started_at_ms)
            detector.record_disconnect(('f',), found)
            detector.record_exit(found)
        assert len(record.crashed_servers('f')) == 2

    def test_an_exit_much_later_does_not_count(self, detector, record, clock):
        detector.record_disconnect(('f',), server())
        clock.now_s += 6.0
        detector.record_exit(server())
        assert record.crashed_servers('f') == ()
        clock.now_s += 6.0
        detector.record_disconnect(('f',), server())
        assert record.crashed_servers('f') == ()

    def test_memory_is_bounded(self, detector, record):
        for number in range(3000):
            detector.record_disconnect(('f',), server(f'i-{number}'))
        assert not detector.has_pending(server('i-2999'))
