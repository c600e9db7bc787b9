"""Which backend servers get requests while the list comes and goes."""

import dataclasses

import pytest

from lacewingpitch import backend_list
from tests import clocks


@pytest.fixture
def clock():
    return clocks.ManualClock(100.0)


@pytest.fixture
def servers(clock):
    found = backend_list.BackendList(clock)
    found.record_read()
    found.replace_all([server('a'), server('b', port=2)])
    return found


def server(name, port=1, **fields):
    return backend_list.BackendServer(
        name, 'chat', '10.0.0.1', port, 'z', **fields
    )


def names(servers):
    return {found.name for found in servers.serving('chat')}


class TestServing:
    def test_leaves_out_who_is_leaving(self, servers):
        servers.put(server('a', is_leaving=True))
        assert names(servers) == {'b'}

    def test_is_the_same_object_while_nothing_changes(self, servers):
        assert servers.serving('chat') is servers.serving('chat')

    def test_what_left_the_list_gets_nothing_more(self, servers):
        servers.remove('a')
        assert names(servers) == {'b'}

    def test_without_any_other_it_is_the_last_resort(self, servers, clock):
        servers.remove('a')
        servers.remove('b')
        assert names(servers) == {'a', 'b'}
        clock.now_s += 1.6
        assert names(servers) == set()

    def test_who_was_leaving_is_no_last_resort(self, servers):
        servers.put(server('a', is_leaving=True))
        servers.put(server('b', port=2, is_leaving=True))
        servers.remove('a')
        assert names(servers) == set()


class TestRestart:
    """A server starts again under the name that it had."""

    @pytest.fixture
    def restarted(self, servers):
        found = []
        servers.restarts.subscribe(found.append)
        servers.put(server('a', started_at_ms=1000, adapters={'m/x': 1}))
        found.clear()
        return found

    def test_is_told(self, servers, restarted):
        servers.put(server('a', started_at_ms=1000))
        assert not restarted
        servers.put(server('a', started_at_ms=2000))
        assert restarted == ['a']

    def test_what_it_wrote_before_is_not_taken_over(self, servers, restarted):
        """Requests go where their adapter was before a restart.

        An entry that an engine wrote before it restarted comes after the
        first one of its new start.
        """
        servers.put(server('a', started_at_ms=2000))
        servers.put(server('a', started_at_ms=1000, adapters={'m/x': 1}))
        assert servers.get('a').started_at_ms == 2000
        assert servers.get('a').adapters == {}

    def test_a_sidecar_tells_it_sooner_than_the_list(self, servers, restarted):
        assert servers.record_start('a', 2000)
        assert restarted == ['a']
        assert servers.get('a').adapters == {}
        assert not servers.record_start('a', 1000)
        assert servers.record_start('a', 2000)
        assert servers.record_start('a', 0)
        assert restarted == ['a']

    def test_one_that_lapsed_keeps_its_start(self, servers, restarted):
        servers.remove('a')
        servers.put(server('a', started_at_ms=900))
        assert servers.get('a') is None


class TestOutage:
    def test_entries_that_lapse_meanwhile_are_kept_until_relisted(
        self, servers, clock
    ):
        """All requests are refused although every server works.

        The store is down for longer than its entries live.  When it is
        back it lists no server, until each has written its entry again.
        """
        servers.record_read_failure()
        clock.now_s += 5.0
        servers.record_read()
        servers.replace_all([])
        assert names(servers) == {'a', 'b'}
        clock.now_s += 1.0
        servers.put(server('a'))
        assert names(servers) == {'a', 'b'}
        clock.now_s += 2.0
        assert names(servers) == {'a'}

    def test_a_server_that_leaves_meanwhile_gets_nothing(self, servers, clock):
        servers.put(server('a', is_leaving=True))
        servers.record_read_failure()
        clock.now_s += 5.0
        assert names(servers) == {'b'}

    def test_an_address_that_is_used_again_is_the_new_server(
        self, servers, clock
    ):
        """A request reaches a server of another service.

        A server is gone and its address belongs to a new one, while the
        old entry is still kept after an outage.
        """
        servers.record_read_failure()
        servers.record_read()
        servers.replace_all([server('b', port=2), server('new')])
        assert names(servers) == {'b', 'new'}

    def test_of_two_incarnations_the_newer_gets_requests(self, servers):
        """Requests wait for engines that are gone.

        All engines restart, and the entries of their last incarnations
        stand beside the new ones until they lapse.
        """
        servers.put(server('new', created_revision=9))
        servers.put(server('a', created_revision=5))
        assert names(servers) == {'b', 'new'}

    def test_a_new_incarnation_that_leaves_brings_back_none(self, servers):
        servers.put(server('new', created_revision=9, is_leaving=True))
        assert names(servers) == {'b'}

    def test_find_knows_only_who_serves(self, servers):
        assert servers.find_serving('chat', 'a').name == 'a'
        assert servers.find_serving('other', 'a') is None
        changed = dataclasses.replace(server('a'), is_leaving=True)
        servers.put(changed)
        assert servers.find_serving('chat', 'a') is None
