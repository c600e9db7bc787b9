"""How long a server that is no longer listed is used."""

import dataclasses

import pytest

from lacewingpitch import unlisted_servers
from tests import clocks

CONTACT_S = 4.0
# Services of which entries from before the outage are still listed.
SURVIVED = ('lookup',)
NONE = ()


@dataclasses.dataclass(frozen=True)
class Server:
    name: str
    service: str = 'lookup'


A = Server('a')


@pytest.fixture
def clock():
    return clocks.ManualClock(100.0)


@pytest.fixture
def unlisted(clock):
    return unlisted_servers.UnlistedServers(clock, CONTACT_S)


@pytest.fixture
def engines(clock):
    return unlisted_servers.UnlistedServers(
        clock, CONTACT_S, has_sidecar=lambda _service: True
    )


def fail_reads(unlisted, clock, length_s=5.0, step_s=1.0):
    """Let reads fail; return when the last one began."""
    began_s = clock.now_s
    while clock.now_s < began_s + length_s:
        asked_at_s = clock.now_s
        clock.now_s += step_s
        unlisted.record_read_failure(asked_at_s)
    return asked_at_s


class TestRetention:
    @pytest.mark.parametrize('surviving', [SURVIVED, NONE])
    def test_no_server_is_retained_without_an_outage(
        self, unlisted, engines, surviving
    ):
        for found in (unlisted, engines):
            found.record_read()
            found.add(A, 100.0)
            found.set_retention(surviving)
            assert found.retained('lookup') == ()

    def test_ends_at_once_if_entries_of_the_service_survived(
        self, unlisted, clock
    ):
        """Guards against requests to a server that left in the outage."""
        fail_reads(unlisted, clock)
        unlisted.record_read()
        unlisted.add(A, 100.0)
        unlisted.set_retention(SURVIVED)
        assert unlisted.retained('lookup') == ()

    def test_ends_before_contact(self, unlisted, clock):
        """Guards against use after this process counts as connected again."""
        asked_at_s = fail_reads(unlisted, clock, step_s=2.0)
        unlisted.record_read()
        unlisted.add(A, 100.0)
        unlisted.set_retention(('other',))
        assert unlisted.retained('lookup') == (A,)
        assert unlisted.retained('other') == ()
        clock.now_s = asked_at_s + CONTACT_S - 0.4
        assert unlisted.retained('lookup') == (A,)
        clock.now_s = asked_at_s + CONTACT_S - 0.2
        assert unlisted.retained('lookup') == ()

    @pytest.mark.parametrize('is_unreadable', [False, True])
    def test_rejected_reads_do_not_extend_it(
        self, unlisted, clock, is_unreadable
    ):
        """Guards against a deadline that each rejected read moves."""
        asked_at_s = fail_reads(unlisted, clock, step_s=2.0)
        clock.now_s += 0.2
        unlisted.record_read_failure(clock.now_s, is_unreachable=False)
        unlisted.record_read()
        unlisted.add(A, 100.0)
        unlisted.set_retention(NONE)
        clock.now_s = asked_at_s + CONTACT_S - 0.4
        if is_unreadable:
            unlisted.record_read_failure(clock.now_s, is_unreachable=False)
        assert unlisted.retained('lookup') == (A,)
        clock.now_s += 0.2
        assert unlisted.retained('lookup') == ()

    def test_lasts_until_all_are_listed_again_if_none_survived(
        self, unlisted, clock
    ):
        """Guards against refusals while all entries are written again."""
        fail_reads(unlisted, clock, step_s=0.8)
        unlisted.record_read()
        unlisted.add(A, 100.0)
        unlisted.set_retention(NONE)
        clock.now_s += 2.4
        assert unlisted.retained('lookup') == (A,)
        clock.now_s += 0.2
        assert unlisted.retained('lookup') == ()

    def test_one_failed_read_is_no_outage(self, unlisted, engines):
        """Guards against retaining a server after one broken connection."""
        for found in (unlisted, engines):
            found.record_read_failure(99.9)
            found.record_read()
            found.add(A, 98.0)
            found.set_retention(SURVIVED)
            assert found.retained('lookup') == ()

    def test_an_engine_is_retained_beside_entries_that_survived(
        self, engines, clock
    ):
        asked_at_s = fail_reads(engines, clock, step_s=2.0)
        engines.record_read()
        engines.add(A, 100.0)
        engines.set_retention(SURVIVED)
        assert engines.retained('lookup') == (A,)
        clock.now_s = asked_at_s + CONTACT_S - 0.2
        assert engines.retained('lookup') == ()

    @pytest.mark.parametrize('surviving', [SURVIVED, NONE])
    def test_no_server_is_retained_if_unlisted_later(
        self, unlisted, clock, surviving
    ):
        fail_reads(unlisted, clock)
        unlisted.record_read()
        unlisted.set_retention(surviving)
        unlisted.record_read()
        unlisted.add(A, clock.now_s)
        unlisted.set_retention(surviving)
        assert unlisted.retained('lookup') == ()

    def test_a_server_that_is_listed_again_is_dropped(self, unlisted, clock):
        fail_reads(unlisted, clock)
        unlisted.record_read()
        unlisted.add(A, 100.0)
        unlisted.discard('a')
        unlisted.set_retention(SURVIVED)
        assert not unlisted
        assert unlisted.get('a') is None


class TestNextOutage:
    @pytest.fixture
    def retained(self, unlisted, clock):
        fail_reads(unlisted, clock)
        unlisted.record_read()
        unlisted.add(A, 100.0)
        unlisted.set_retention(NONE)
        clock.now_s += 1.0
        return unlisted

    def test_keeps_the_server_in_use(self, retained, clock):
        fail_reads(retained, clock, length_s=30.0)
        assert retained.retained('lookup') == (A,)

    def test_leaves_the_rest_of_the_time(self, retained, clock):
        """Guards against a time that starts again with each outage."""
        last_s = fail_reads(retained, clock, length_s=30.0)
        retained.record_read()
        retained.set_retention(SURVIVED)
        clock.now_s = last_s + 0.4
        assert retained.retained('lookup') == (A,)
        clock.now_s = last_s + 1.6
        assert retained.retained('lookup') == ()

    def test_does_not_bring_back_a_dropped_server(self, retained, clock):
        """Guards against requests to a server that left before."""
        clock.now_s += 2.0
        fail_reads(retained, clock)
        assert retained.retained('lookup') == ()


class TestLastResort:
    def test_counts_from_when_the_server_was_listed(self, unlisted, clock):
        """Guards against requests long after a server has left.

        The list was not read for a while, so that its removal shows late.
        """
        unlisted.add(A, 99.0)
        unlisted.set_retention(SURVIVED)
        assert unlisted.last_resort('lookup') == (A,)
        clock.now_s += 0.6
        assert unlisted.last_resort('lookup') == ()
