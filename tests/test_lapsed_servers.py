"""How long a server is used that is listed no more."""

import dataclasses

import pytest

from lacewingpitch import lapsed_servers
from tests import clocks

CONTACT_S = 4.0


@dataclasses.dataclass(frozen=True)
class Server:
    name: str
    service: str = 'lookup'


A = Server('a')


@pytest.fixture
def clock():
    return clocks.ManualClock(100.0)


@pytest.fixture
def lapsed(clock):
    return lapsed_servers.LapsedServers(clock, CONTACT_S)


def away(lapsed, clock, length_s=5.0, step_s=1.0):
    """Let reads fail; the last one begins a step before the next."""
    began_s = clock.now_s
    while clock.now_s < began_s + length_s:
        asked_at_s = clock.now_s
        clock.now_s += step_s
        lapsed.note_away(asked_at_s)
    return asked_at_s


class TestKept:
    def test_without_an_outage_none_is(self, lapsed):
        lapsed.note_read()
        lapsed.add(A, 100.0)
        lapsed.settle(has_survivors=True)
        assert lapsed.kept('lookup') == ()

    def test_where_entries_survived_it_ends_before_contact(
        self, lapsed, clock
    ):
        """Guards against a server that left, used once in touch again."""
        asked_at_s = away(lapsed, clock)
        lapsed.note_read()
        lapsed.add(A, 100.0)
        lapsed.settle(has_survivors=True)
        assert lapsed.kept('lookup') == (A,)
        assert lapsed.kept('other') == ()
        clock.now_s = asked_at_s + CONTACT_S - 0.2
        assert lapsed.kept('lookup') == ()

    def test_where_none_survived_it_lasts_until_all_are_listed_again(
        self, lapsed, clock
    ):
        """Guards against refusals while all entries are written again."""
        away(lapsed, clock)
        clock.now_s += 2.0
        lapsed.note_read()
        lapsed.add(A, 100.0)
        lapsed.settle(has_survivors=False)
        clock.now_s += 2.4
        assert lapsed.kept('lookup') == (A,)
        clock.now_s += 0.2
        assert lapsed.kept('lookup') == ()

    def test_one_failed_read_is_no_outage(self, lapsed, clock):
        """Guards against a server kept because a connection was cut."""
        lapsed.note_away(99.9)
        lapsed.note_read()
        lapsed.add(A, 98.0)
        lapsed.settle(has_survivors=True)
        assert lapsed.kept('lookup') == ()

    def test_what_lapses_later_is_not(self, lapsed, clock):
        away(lapsed, clock)
        lapsed.note_read()
        lapsed.settle(has_survivors=True)
        lapsed.note_read()
        lapsed.add(A, clock.now_s)
        lapsed.settle(has_survivors=True)
        assert lapsed.kept('lookup') == ()

    def test_one_that_is_listed_again_is_forgotten(self, lapsed, clock):
        away(lapsed, clock)
        lapsed.note_read()
        lapsed.add(A, 100.0)
        lapsed.discard('a')
        lapsed.settle(has_survivors=True)
        assert not lapsed
        assert lapsed.get('a') is None


class TestNextOutage:
    @pytest.fixture
    def kept(self, lapsed, clock):
        away(lapsed, clock)
        lapsed.note_read()
        lapsed.add(A, 100.0)
        lapsed.settle(has_survivors=False)
        clock.now_s += 1.0
        return lapsed

    def test_goes_on_using_it(self, kept, clock):
        away(kept, clock, length_s=30.0)
        assert kept.kept('lookup') == (A,)

    def test_leaves_it_the_rest_of_its_time(self, kept, clock):
        """Guards against a time that begins anew with each outage."""
        last_s = away(kept, clock, length_s=30.0)
        kept.note_read()
        kept.settle(has_survivors=True)
        clock.now_s = last_s + 0.4
        assert kept.kept('lookup') == (A,)
        clock.now_s = last_s + 1.6
        assert kept.kept('lookup') == ()

    def test_brings_back_none_that_was_given_up(self, kept, clock):
        """Guards against a server that left, back with a later outage."""
        clock.now_s += 2.0
        away(kept, clock)
        assert kept.kept('lookup') == ()


class TestLastResort:
    def test_counts_from_when_it_was_listed(self, lapsed, clock):
        """Guards against requests long after a server left unnoticed."""
        lapsed.add(A, 99.0)
        lapsed.settle(has_survivors=True)
        assert lapsed.last_resort('lookup') == (A,)
        clock.now_s += 0.6
        assert lapsed.last_resort('lookup') == ()
