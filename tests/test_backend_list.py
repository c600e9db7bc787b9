"""Which backend servers get requests, also after outages of the list."""

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
    def test_excludes_leaving_servers(self, servers):
        servers.put(server('a', is_leaving=True))
        assert names(servers) == {'b'}

    def test_is_the_same_object_while_nothing_changes(self, servers):
        assert servers.serving('chat') is servers.serving('chat')

    def test_excludes_unlisted_servers(self, servers):
        servers.remove('a')
        assert names(servers) == {'b'}

    def test_unlisted_servers_are_the_last_resort(self, servers, clock):
        servers.remove('a')
        servers.remove('b')
        assert names(servers) == {'a', 'b'}
        clock.now_s += 1.6
        assert names(servers) == set()

    def test_a_leaving_server_is_no_last_resort(self, servers):
        servers.put(server('a', is_leaving=True))
        servers.put(server('b', port=2, is_leaving=True))
        servers.remove('a')
        assert names(servers) == set()


class TestRestart:
    """A server restarts under the same name."""

    @pytest.fixture
    def restarted(self, servers):
        found = []
        servers.restarts.subscribe(found.append)
        servers.put(server('a', started_at_ms=1000, adapters={'m/x': 1}))
        found.clear()
        return found

    def test_is_announced(self, servers, restarted):
        servers.put(server('a', started_at_ms=1000))
        assert not restarted
        servers.put(server('a', started_at_ms=2000))
        assert restarted == ['a']

    def test_an_entry_of_the_earlier_start_is_ignored(
        self, servers, restarted
    ):
        """Guards against requests to a server that lost their adapter.

        An entry that an engine wrote before its restart arrives after the
        first entry of its new start.
        """
        servers.put(server('a', started_at_ms=2000))
        servers.put(server('a', started_at_ms=1000, adapters={'m/x': 1}))
        assert servers.get('a').started_at_ms == 2000
        assert servers.get('a').adapters == {}

    def test_a_start_that_was_never_true_is_corrected(self, servers, clock):
        """Guards against a server whose own entries are ignored for good."""
        servers.put(server('a', started_at_ms=1000))
        servers.put(server('a', started_at_ms=9000))
        for _ in range(3):
            clock.now_s += 3.0
            servers.put(server('a', started_at_ms=1000))
        assert servers.get('a').started_at_ms == 1000
        servers.put(server('a', started_at_ms=1000, is_leaving=True))
        assert names(servers) == {'b'}

    def test_late_entries_do_not_end_a_start_that_goes_on(
        self, servers, clock
    ):
        servers.put(server('a', started_at_ms=2000))
        for _ in range(5):
            clock.now_s += 3.0
            servers.put(server('a', started_at_ms=2000))
            servers.put(server('a', started_at_ms=1000))
        assert servers.get('a').started_at_ms == 2000

    def test_a_report_of_the_sidecar_precedes_the_list(
        self, servers, restarted
    ):
        assert servers.record_start('a', 2000)
        assert restarted == ['a']
        assert servers.get('a').adapters == {}
        assert not servers.record_start('a', 1000)
        assert servers.record_start('a', 2000)
        assert servers.record_start('a', 0)
        assert restarted == ['a']

    def test_a_late_entry_does_not_undo_a_report_of_the_sidecar(
        self, servers, restarted
    ):
        assert servers.record_start('a', 2000)
        servers.put(server('a', started_at_ms=1000, adapters={'m/x': 1}))
        assert servers.get('a').started_at_ms == 2000

    def test_a_report_of_the_sidecar_corrects_a_start(
        self, servers, restarted, clock
    ):
        """Guards against hints of an engine that are ignored for good.

        The clock of its host was set back before it restarted.
        """
        assert servers.record_start('a', 9000)
        clock.now_s += 7.0
        assert not servers.record_start('a', 2000)
        clock.now_s += 2.0
        assert servers.record_start('a', 2000)
        assert servers.get('a').started_at_ms == 2000
        assert restarted == ['a', 'a']

    def test_an_unlisted_server_keeps_its_start(self, servers, restarted):
        servers.remove('a')
        servers.put(server('a', started_at_ms=900))
        assert servers.get('a') is None


class TestOutage:
    def test_servers_whose_entries_expired_are_kept_until_relisted(
        self, servers, clock
    ):
        """Guards against refusing all requests while every server works.

        The store is down for longer than the lifetime of its entries.  Then
        it lists no server until each has written its entry again.
        """
        servers.record_read_failure()
        clock.now_s += 5.0
        servers.record_read_failure()
        servers.record_read()
        servers.replace_all([])
        assert names(servers) == {'a', 'b'}
        clock.now_s += 1.0
        servers.put(server('a'))
        assert names(servers) == {'a', 'b'}
        clock.now_s += 2.0
        assert names(servers) == {'a'}

    def test_a_server_that_left_before_it_gets_nothing(self, servers, clock):
        servers.put(server('a', is_leaving=True))
        servers.record_read_failure()
        clock.now_s += 5.0
        assert names(servers) == {'b'}

    def test_a_reused_address_belongs_to_the_new_server(self, servers, clock):
        """Guards against requests that reach a server of another service.

        A server is gone and a new one has its address, while the unlisted
        server is still kept after an outage.
        """
        servers.record_read_failure()
        servers.record_read()
        servers.replace_all([server('b', port=2), server('new')])
        assert names(servers) == {'b', 'new'}

    def test_of_two_incarnations_the_newer_gets_requests(self, servers):
        """Guards against requests that wait for engines that are gone.

        All engines restart, and the entries of their last incarnations are
        listed beside the new ones until they expire.
        """
        servers.put(server('new', created_revision=9))
        servers.put(server('a', created_revision=5))
        assert names(servers) == {'b', 'new'}

    def test_a_leaving_incarnation_does_not_bring_back_the_last(self, servers):
        servers.put(server('new', created_revision=9, is_leaving=True))
        assert names(servers) == {'b'}

    def test_find_serving_excludes_leaving_servers(self, servers):
        assert servers.find_serving('chat', 'a').name == 'a'
        assert servers.find_serving('other', 'a') is None
        changed = dataclasses.replace(server('a'), is_leaving=True)
        servers.put(changed)
        assert servers.find_serving('chat', 'a') is None


class TestLeavings:
    """Servers that begin to leave are announced to those that follow them."""

    @pytest.fixture
    def found(self, servers):
        found = []
        servers.leavings.subscribe(lambda server: found.append(server.name))
        return found

    def test_a_listed_announcement_counts_once(self, servers, found):
        servers.put(server('a', is_leaving=True))
        servers.put(server('a', is_leaving=True, max_running=2))
        assert found == ['a']

    def test_an_announcement_of_the_server_counts_once(self, servers, found):
        servers.record_leaving(server('a').start_id, 'answer')
        servers.record_leaving(server('a').start_id, 'entry')
        assert found == ['a']

    def test_one_of_an_earlier_start_does_not_count(self, servers, found):
        servers.put(server('a', started_at_ms=5))
        servers.record_leaving(server('a').start_id, 'entry')
        assert found == []

    def test_a_removed_server_leaves(self, servers, found):
        servers.remove('a')
        assert found == ['a']

    def test_one_that_lapsed_in_an_outage_does_not(self, servers, found):
        """Guards against moves of all runs after an outage of the store."""
        servers.record_read_failure()
        servers.record_read()
        servers.remove('a')
        assert found == []
