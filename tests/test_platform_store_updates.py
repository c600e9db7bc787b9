"""Decoding and application of what is published in the store."""

import contextlib
import json
import math
import random

import hypothesis
from hypothesis import strategies as st
import pytest
import structlog

from lacewingpitch import adapter_versions
from lacewingpitch import backend_list
from lacewingpitch import configuration_age
from lacewingpitch import configuration_exchange
from lacewingpitch import errors
from lacewingpitch.platform import prefix_watcher
from lacewingpitch.platform import store
from lacewingpitch.platform import store_updates
from lacewingpitch.platform import wire
from lacewingpitch import routing
from tests import any_json
from tests import clocks
from tests import platform_standin as standin


def item(key, value=None, **fields):
    return store.Item(
        key=key, value=json.dumps(value).encode(), revision=7, **fields
    )


def entry(name='i-1', **fields):
    found = standin.Engine(name).entry('10.0.0.7:8080', **fields)
    return item(f'servers/{name}', found)


def deletion(name='i-1'):
    return item(f'servers/{name}', is_deleted=True)


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def servers(clock):
    return backend_list.BackendList(clock)


@pytest.fixture
def updates(servers):
    return store_updates.BackendUpdates(servers)


def names(servers):
    return [server.name for server in servers.serving(standin.SERVICE)]


class TestBackendUpdates:
    def test_a_server_updated_and_removed_in_one_change_is_gone(
        self, updates, servers
    ):
        """Guards against a removed server listed by its last entry."""
        updates.apply(
            prefix_watcher.Change((entry(), entry('i-2')), is_full_read=True)
        )
        updates.apply(
            prefix_watcher.Change(
                (entry('i-2'), entry(state='draining'), deletion())
            )
        )
        assert names(servers) == ['i-2']
        assert servers.get('i-1') is None

    def test_a_server_removed_and_added_in_one_change_is_listed(
        self, updates, servers
    ):
        updates.apply(
            prefix_watcher.Change((deletion(), entry()), is_full_read=False)
        )
        assert names(servers) == ['i-1']

    def test_a_malformed_entry_does_not_affect_the_others(
        self, updates, servers
    ):
        bad = item('servers/i-9', {'service': 3})
        updates.apply(prefix_watcher.Change((bad, entry()), is_full_read=True))
        assert names(servers) == ['i-1']

    @pytest.mark.parametrize(
        'change',
        [
            {'state': 'zombie'},
            {'state': None},
            {'state': 3},
            {'slots': '8'},
            {'zone': 7},
            {'address': 'nowhere'},
            {'address': ['10.0.0.7:8080']},
            {'models': {'name': 'm'}},
            {'born': 'today'},
            {'born': 1.5},
        ],
        ids=str,
    )
    def test_an_entry_with_an_invalid_field_is_ignored(
        self, updates, servers, change
    ):
        """Guards against requests to something that is not an engine.

        Other writers can write under the same prefix of the store.
        """
        found = standin.Engine('i-9').entry('10.0.0.9:8080') | change
        bad = item('servers/i-9', found)
        updates.apply(prefix_watcher.Change((bad, entry()), is_full_read=True))
        assert names(servers) == ['i-1']
        updates.apply(prefix_watcher.Change((bad,)))
        assert names(servers) == ['i-1']

    @pytest.mark.parametrize('field', ['service', 'address', 'zone', 'state'])
    def test_an_entry_without_a_required_field_is_ignored(
        self, updates, servers, field
    ):
        found = standin.Engine('i-9').entry('10.0.0.9:8080')
        del found[field]
        bad = item('servers/i-9', found)
        updates.apply(prefix_watcher.Change((bad, entry()), is_full_read=True))
        assert names(servers) == ['i-1']

    @pytest.mark.parametrize('content', [b'', b'\xff\xfe\x00', b'[', b'null'])
    def test_invalid_json_does_not_affect_the_others(
        self, updates, servers, content
    ):
        bad = store.Item(key='servers/i-9', value=content, revision=8)
        updates.apply(prefix_watcher.Change((bad, entry()), is_full_read=True))
        assert names(servers) == ['i-1']

    def test_an_entry_overwritten_with_invalid_data_is_dropped_in_time(
        self, updates, servers, clock
    ):
        """Guards against an engine used on and on after it was overwritten."""
        other = standin.Engine('i-2').entry('10.0.0.8:8080')
        other = item('servers/i-2', other)
        updates.apply(
            prefix_watcher.Change((entry(), other), is_full_read=True)
        )
        for _ in range(4):
            updates.apply(
                prefix_watcher.Change((item('servers/i-1', {'service': 3}),))
            )
            assert sorted(names(servers)) == ['i-1', 'i-2']
            clock.now_s += 1.0
        assert names(servers) == ['i-2']
        updates.apply(prefix_watcher.Change())
        assert names(servers) == ['i-2']
        updates.apply(prefix_watcher.Change((entry(),)))
        assert sorted(names(servers)) == ['i-1', 'i-2']

    def test_an_entry_of_an_unknown_service_takes_no_address(self, updates):
        """Guards against an entry of another writer that hides an engine.

        It has the engine's address, and was created later.
        """
        servers = backend_list.BackendList(
            clocks.ManualClock(), lambda name: name == standin.SERVICE
        )
        stranger = standin.Service('i-9').entry('10.0.0.7:8080')
        store_updates.BackendUpdates(servers).apply(
            prefix_watcher.Change(
                (
                    entry(),
                    item('servers/i-9', stranger, created_revision=99),
                ),
                is_full_read=True,
            )
        )
        assert names(servers) == ['i-1']

    def test_a_rejected_entry_is_logged_once(self, updates):
        """Guards against a log filled by one malformed entry."""
        with structlog.testing.capture_logs() as lines:
            for _ in range(5):
                bad = item('servers/i-9', {'service': 3})
                updates.apply(prefix_watcher.Change((bad,)))
        assert [line['event'] for line in lines] == ['entry rejected']

    def test_decodes_the_start_time_of_an_engine(self, updates, servers):
        found = standin.Engine('i-1').entry('10.0.0.7:8080')
        found['born'] = 1_800_000_000_123
        updates.apply(
            prefix_watcher.Change(
                (item('servers/i-1', found),), is_full_read=True
            )
        )
        assert servers.get('i-1').started_at_ms == 1_800_000_000_123

    def test_decodes_the_adapters_of_an_engine(self, updates, servers):
        engine = standin.Engine('i-1')
        engine.adapters = {'a7': 3}
        found = item('servers/i-1', engine.entry('10.0.0.7:8080'))
        updates.apply(prefix_watcher.Change((found,), is_full_read=True))
        server = servers.get('i-1')
        assert server.adapters == {f'{standin.MODEL}/a7': 3}
        assert (server.ip, server.port) == ('10.0.0.7', 8080)
        assert server.max_running == 8


_ENTRY_FIELDS = ('service', 'address', 'zone', 'slots', 'state', 'models')
_OPTIONAL_FIELDS = ('born', 'remainingMs', 'version', 'sequence')
_MODEL_FIELDS = ('name', 'version', 'adapters')


class TestForeignEntries:
    """Entries that another writer has put into the list."""

    def test_a_start_in_another_unit_hides_no_later_entry(
        self, updates, servers
    ):
        """Guards against a leaving server that is used on and on."""
        own = standin.Engine('i-1').entry('10.0.0.7:8080')
        own['born'] = 1_800_000_000_123
        foreign = {**own, 'born': own['born'] * 1_000_000}
        for found in (own, foreign, own, {**own, 'state': 'draining'}):
            updates.apply(prefix_watcher.Change((item('servers/i-1', found),)))
        assert servers.get('i-1').is_leaving
        assert updates.rejected_count == 1

    @pytest.mark.parametrize(
        'fields',
        [
            {'remainingMs': any_json.HUGE},
            {'born': -any_json.HUGE},
            {'models': [{'name': 'm', 'adapters': ['a@' + '9' * 5000]}]},
        ],
    )
    def test_a_number_without_bound_does_not_stop_the_list(
        self, updates, servers, fields
    ):
        """Guards against a list that is never applied again."""
        found = {**standin.Engine('i-9').entry('10.0.0.9:8080'), **fields}
        updates.apply(
            prefix_watcher.Change(
                (item('servers/i-9', found), entry()), is_full_read=True
            )
        )
        assert 'i-1' in names(servers)

    def test_an_entry_that_no_decoder_foresees_stops_no_other(
        self, updates, servers, monkeypatch
    ):
        """Guards against a list that one entry stops."""
        decode = wire.decode_backend_server

        def fail(name, *rest):
            if name == 'i-9':
                raise ZeroDivisionError
            return decode(name, *rest)

        monkeypatch.setattr(wire, 'decode_backend_server', fail)
        change = prefix_watcher.Change(
            (entry('i-9'), entry()), is_full_read=True
        )
        updates.apply(change)
        assert names(servers) == ['i-1']
        assert updates.rejected_count == 1

    @hypothesis.given(
        st.dictionaries(
            st.sampled_from((*_ENTRY_FIELDS, *_OPTIONAL_FIELDS)),
            any_json.VALUES,
        ),
        st.dictionaries(st.sampled_from(_MODEL_FIELDS), any_json.VALUES),
    )
    def test_any_entry_is_decoded_or_rejected(self, fields, model):
        """Guards against a process that an entry of the list stops."""
        found = standin.Engine('i-1').entry('10.0.0.7:8080')
        found |= {'models': [{'name': 'm', **model}], **fields}
        content = json.dumps(found).encode()
        with contextlib.suppress(errors.PlatformError):
            wire.decode_backend_server('i-1', content, 1)

    @hypothesis.given(st.binary(max_size=64))
    def test_any_bytes_are_decoded_or_rejected(self, content):
        for decode in (
            lambda value: wire.decode_backend_server('i-1', value, 1),
            wire.decode_configuration,
            wire.decode_adapter_version,
        ):
            with contextlib.suppress(errors.PlatformError):
                decode(content)

    @hypothesis.given(
        st.sampled_from(['routes', 'services', 'limits', 'tenants']),
        st.dictionaries(
            st.sampled_from(
                (
                    *('timeoutMs', 'targetLatencyMs', 'maxAttempts', 'split'),
                    *('engine', 'idleTimeoutMs', 'ratePerS', 'apiKeys'),
                    *('priority', 'unit', 'uncachedTokens', 'burst', 'type'),
                )
            ),
            any_json.VALUES,
        ),
    )
    def test_any_configuration_is_decoded_or_rejected(self, part, fields):
        """Guards against a process that a configuration stops."""
        found = standin.configuration(5, tenants=[{'name': 't'}])
        if isinstance(found[part], list):
            found[part][0] |= fields
        else:
            found[part] |= fields
        content = json.dumps(found).encode()
        with contextlib.suppress(errors.PlatformError):
            wire.decode_configuration(content)


class TestOperatorUpdates:
    def scene(self):
        table = routing.RoutingTable(random.Random(1))
        versions = adapter_versions.AdapterVersions()
        exchange = configuration_exchange.ConfigurationExchange(
            None, table, wire.decode_configuration, clocks.ManualClock()
        )
        self.age = configuration_age.ConfigurationAge(clocks.ManualClock(9.0))
        updates = store_updates.OperatorUpdates(versions, exchange, self.age)
        return updates, table, versions

    def change(self, at_s, *items):
        return prefix_watcher.Change(items, current_at_s=at_s)

    def test_confirms_the_configuration_with_each_read(self):
        updates, _, _ = self.scene()
        config = standin.configuration(5)
        updates.apply(self.change(4.0, item('op/config', config)))
        assert self.age.age_s == 5.0
        updates.apply(self.change(7.0))
        assert self.age.age_s == 2.0

    def test_a_failed_read_confirms_nothing(self):
        updates, _, _ = self.scene()
        updates.apply(self.change(4.0))
        updates.apply(prefix_watcher.Change(is_read_failure=True))
        assert self.age.age_s == 5.0

    def test_a_malformed_configuration_is_not_confirmed(self):
        """Guards against accepting keys that a malformed version revokes."""
        updates, _, _ = self.scene()
        updates.apply(self.change(4.0, item('op/config', {'version': 'x'})))
        updates.apply(self.change(7.0))
        assert self.age.age_s == math.inf
        config = standin.configuration(6)
        updates.apply(self.change(8.0, item('op/config', config)))
        assert self.age.age_s == 1.0

    def test_applies_configuration_and_versions(self):
        updates, table, versions = self.scene()
        version = {'model': 'm', 'adapter': 'a', 'version': 4}
        updates.apply(
            prefix_watcher.Change(
                (
                    item('op/config', standin.configuration(5)),
                    item('op/version/m.a', version),
                ),
                is_full_read=True,
            )
        )
        assert table.version == 5
        assert versions.required_version('m', 'a') == 4
        route = table.find('h.example', '/chat/x')
        assert route.is_resumable and route.is_stream
        assert route.timeout_s == 8.0
        limits = table.engine_limits(standin.SERVICE)
        assert (limits.max_running, limits.adapter_slots) == (8, 4)
        assert limits.models == (standin.MODEL,)
        assert table.tokens_per_event(standin.SERVICE) == 1

    def test_applies_the_tokens_of_an_event(self):
        updates, table, _ = self.scene()
        config = standin.configuration(5)
        config['services'][0]['engine']['stride'] = 7
        updates.apply(
            prefix_watcher.Change(
                (item('op/config', config),), is_full_read=True
            )
        )
        assert table.tokens_per_event(standin.SERVICE) == 7
        assert table.tokens_per_event('unknown') == 1

    def test_malformed_values_are_ignored(self):
        updates, table, versions = self.scene()
        updates.apply(
            prefix_watcher.Change(
                (
                    item('op/config', {'version': 'x'}),
                    item('op/version/m.a', []),
                    item('op/other', 1),
                )
            )
        )
        assert table.version == 0

    def test_records_whether_the_store_can_be_read(self):
        updates, table, _ = self.scene()
        updates.apply(prefix_watcher.Change(is_read_failure=True))
        assert table.is_store_unreachable
        updates.apply(prefix_watcher.Change())
        assert not table.is_store_unreachable


class TestSplits:
    def test_shares_are_decoded(self):
        changed = standin.configuration(
            5,
            lookup={
                'split': [
                    {'service': 'a', 'weight': 90},
                    {'service': 'b', 'weight': 10},
                ]
            },
        )
        found = wire.decode_configuration(json.dumps(changed).encode())
        route = next(r for r in found.routes if r.name == 'lookup')
        assert [s.name for s in route.services] == ['a', 'b']

    def test_a_malformed_configuration_is_rejected(self):
        with pytest.raises(errors.PlatformError):
            wire.decode_configuration(b'[]')
