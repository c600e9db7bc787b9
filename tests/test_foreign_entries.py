"""Entries of the list of servers that another writer has put."""

import json

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from lacewingpitch import adapter_versions
from lacewingpitch import backend_list
from lacewingpitch import errors
from lacewingpitch import peer_bootstrap
from lacewingpitch.platform import prefix_watcher
from lacewingpitch.platform import store
from lacewingpitch.platform import store_updates
from lacewingpitch.platform import wire
from tests import clocks
from tests import platform_standin as standin

_OWN_START_MS = 1_800_000_000_000
_HOUR_MS = 3_600_000
_REQUIRED = (
    *('service', 'address', 'zone', 'version', 'slots', 'state'),
    *('coldRemainingMs', 'sequence'),
)
_WRONG_VALUES = {
    'service': (None, 3, ['svc']),
    'address': (None, 3, ['10.0.0.7:8080'], 'nowhere', '10.0.0.7:0x50'),
    'zone': (None, 7, {}),
    'version': (None, 3, ['v1']),
    'slots': (None, '8', 8.5, True, -8, [8]),
    'state': (None, 3, True, 'zombie', 'Ready'),
    'coldRemainingMs': (None, '0', False, [0]),
    'sequence': (None, '1', 1.5, True, -1, {}),
    'stage': (None, 1, []),
    'models': (None, 'm', {'name': 'm'}, [3], [{'name': 3}]),
    'available': (None, [], 'm'),
    'born': (None, '1', 1.5, True, -1, _OWN_START_MS * 1_000_000),
    'remainingMs': (None, '900', True, [900]),
}
_FAULTS = [
    *(pytest.param(name, None, id=f'{name} missing') for name in _REQUIRED),
    *(
        pytest.param(name, [value], id=f'{name} {value!r}')
        for name, values in _WRONG_VALUES.items()
        for value in values
    ),
]


def own_entry(name='i-1', **fields):
    host = name.rpartition('-')[2]
    found = standin.Engine(name).entry(f'10.0.0.{host}:8080')
    return {**found, 'born': _OWN_START_MS, **fields}


def foreign_entry(field, values, name='i-1', **fields):
    """Return an entry with a field missing, or of another value."""
    found = own_entry(name, **fields)
    found.pop(field, None)
    if values:
        found[field] = values[0]
    return found


class Scene:
    """The list as one process follows it, in virtual time."""

    def __init__(self):
        self.clock = clocks.ManualClock(100.0)
        self.servers = backend_list.BackendList(
            self.clock,
            lambda name: name in (standin.SERVICE, standin.PLAIN),
        )
        self.updates = store_updates.BackendUpdates(self.servers)
        self.restarts = []
        self.servers.restarts.subscribe(self.restarts.append)
        self.ends = []
        self.servers.unplanned_ends.subscribe(self.ends.append)

    def write(self, entry, name='i-1'):
        content = json.dumps(entry).encode()
        self.write_bytes(content, name)

    def write_bytes(self, content, name='i-1'):
        item = store.Item(key=f'servers/{name}', value=content, revision=7)
        self.updates.apply(prefix_watcher.Change((item,)))

    def read_all(self, entries):
        items = tuple(
            store.Item(
                key=f'servers/{name}',
                value=json.dumps(entry).encode(),
                revision=7,
            )
            for name, entry in entries.items()
        )
        self.updates.apply(prefix_watcher.Change(items, is_full_read=True))

    def remove(self, name='i-1'):
        item = store.Item(key=f'servers/{name}', is_deleted=True)
        self.updates.apply(prefix_watcher.Change((item,)))

    def wait(self, seconds):
        """Pass time, with the reads that find nothing new."""
        for _ in range(round(seconds * 2)):
            self.clock.now_s += 0.5
            self.updates.apply(prefix_watcher.Change())

    @property
    def names(self):
        serving = self.servers.serving(standin.SERVICE)
        return sorted(server.name for server in serving)


@pytest.fixture
def scene():
    found = Scene()
    found.write(own_entry('i-2'), 'i-2')
    return found


class TestFields:
    """An entry that lacks a field, or has one of another type."""

    @pytest.mark.parametrize(('field', 'values'), _FAULTS)
    def test_names_no_server_to_use(self, scene, field, values):
        """Guards against requests to a server that no server listed."""
        scene.write(foreign_entry(field, values, 'i-9'), 'i-9')
        scene.read_all(
            {
                'i-2': own_entry('i-2'),
                'i-9': foreign_entry(field, values, 'i-9'),
            }
        )
        assert scene.names == ['i-2']

    @pytest.mark.parametrize('offset_ms', [-_HOUR_MS, 0, _HOUR_MS])
    @pytest.mark.parametrize('is_first', [True, False])
    @pytest.mark.parametrize(('field', 'values'), _FAULTS)
    def test_hides_nothing_that_the_server_says(
        self, scene, field, values, is_first, offset_ms
    ):
        """Guards against a leaving server that is used on and on."""
        start_ms = _OWN_START_MS + offset_ms
        foreign = foreign_entry(field, values, born=start_ms)
        if not is_first:
            scene.write(own_entry())
        scene.write(foreign)
        scene.write(own_entry())
        assert scene.names == ['i-1', 'i-2']
        assert not scene.restarts
        assert not scene.ends
        scene.write(own_entry(state='draining'))
        assert scene.names == ['i-2']

    @pytest.mark.parametrize(
        'fields',
        [
            {},
            {'available': {'inMemory': [], 'onDisk': ['m']}},
            {'coldRemainingMs': 812.5},
            {'sequence': 10**6},
            {'unknown': {'field': [1]}},
        ],
        ids=str,
    )
    def test_none_is_owed_beyond_those_of_every_server(self, scene, fields):
        """Guards against a sound server that is refused."""
        scene.write(own_entry('i-3', **fields), 'i-3')
        plain = standin.Service('i-4').entry('10.0.0.4:8080')
        scene.write({**plain, **fields}, 'i-4')
        assert scene.names == ['i-2', 'i-3']
        assert [s.name for s in scene.servers.serving(standin.PLAIN)] == [
            'i-4'
        ]

    @pytest.mark.parametrize('remaining_ms', [0, 900, 900.5, -3])
    def test_the_time_that_remains_may_be_any_number(
        self, scene, remaining_ms
    ):
        """Guards against a server that is not seen leaving."""
        scene.write(own_entry())
        scene.write(own_entry(state='draining', remainingMs=remaining_ms))
        assert scene.names == ['i-2']


class TestStarts:
    """A whole entry with another start of the server."""

    @pytest.mark.parametrize('offset_ms', [1, 5000, _HOUR_MS])
    def test_a_later_one_does_not_hide_that_the_server_leaves(
        self, scene, offset_ms
    ):
        """Guards against requests to a server that has said it leaves."""
        scene.write(own_entry())
        scene.write(own_entry(born=_OWN_START_MS + offset_ms))
        scene.write(own_entry())
        scene.wait(1)
        scene.write(own_entry(state='draining'))
        assert scene.names == ['i-2']
        scene.wait(10)
        assert scene.names == ['i-2']

    @pytest.mark.parametrize('offset_ms', [-_HOUR_MS, 1, _HOUR_MS])
    def test_none_ends_the_leaving_of_a_server_that_goes_on_to_say_so(
        self, scene, offset_ms
    ):
        """Guards against a leaving server that another entry makes ready."""
        scene.write(own_entry(state='draining'))
        for _ in range(5):
            scene.write(own_entry(born=_OWN_START_MS + offset_ms))
            scene.write(own_entry(state='draining'))
            assert scene.names == ['i-2']
            scene.wait(3)
            assert scene.names == ['i-2']

    def test_the_entry_that_stands_is_believed_in_the_end(self, scene):
        """Guards against an entry that is ignored and never read again."""
        scene.write(own_entry())
        foreign = own_entry(born=_OWN_START_MS + _HOUR_MS)
        scene.write({**foreign, 'address': '10.9.9.9:1'})
        scene.write(own_entry())
        scene.wait(5)
        assert scene.servers.get('i-1').ip == '10.0.0.1'

    def test_a_report_of_the_server_outranks_a_later_one(self, scene):
        """Guards against reports that an entry makes look outdated."""
        scene.write(own_entry())
        assert scene.servers.record_start('i-1', _OWN_START_MS)
        scene.write(own_entry(born=_OWN_START_MS + _HOUR_MS))
        scene.clock.now_s += 4.5
        assert scene.servers.record_start('i-1', _OWN_START_MS)
        assert scene.servers.get('i-1').started_at_ms == _OWN_START_MS

    def test_no_late_one_is_believed_against_a_report(self, scene):
        """Guards against adapters that a server had before its restart."""
        scene.write(own_entry())
        for _ in range(4):
            start_ms = _OWN_START_MS + 5000
            assert scene.servers.record_start('i-1', start_ms)
            scene.write(own_entry())
            scene.wait(2)
            assert scene.servers.get('i-1').started_at_ms == start_ms

    def test_a_late_one_does_not_outlast_the_next_heartbeat(self, scene):
        """Guards against a restarted server that its last start holds back."""
        restarted = own_entry(born=_OWN_START_MS + 5000)
        scene.write(own_entry())
        scene.write(restarted)
        scene.write(own_entry(state='draining'))
        scene.wait(1)
        scene.write(restarted)
        assert scene.names == ['i-1', 'i-2']
        scene.wait(10)
        assert scene.names == ['i-1', 'i-2']
        assert scene.servers.get('i-1').started_at_ms == _OWN_START_MS + 5000

    def test_a_clock_that_went_back_is_believed_after_a_while(self, scene):
        """Guards against a restarted server whose entries are ignored."""
        scene.write(own_entry())
        scene.write(own_entry(born=_OWN_START_MS - _HOUR_MS))
        scene.wait(5)
        server = scene.servers.get('i-1')
        assert server.started_at_ms == _OWN_START_MS - _HOUR_MS
        scene.write(own_entry(born=_OWN_START_MS - _HOUR_MS, state='draining'))
        assert scene.names == ['i-2']

    def test_a_deferred_one_goes_with_its_key(self, scene):
        """Guards against a server that is listed after its removal."""
        scene.write(own_entry())
        scene.write(own_entry(born=_OWN_START_MS - _HOUR_MS))
        scene.remove()
        scene.wait(10)
        assert scene.names == ['i-2']
        assert scene.servers.get('i-1') is None

    @hypothesis.given(
        st.lists(
            st.tuples(
                st.sampled_from([-_HOUR_MS, -1, 0, 1, _HOUR_MS]),
                st.sampled_from(['ready', 'draining']),
                st.sampled_from([0.0, 0.5, 3.0, 6.0]),
            ),
            max_size=6,
        )
    )
    def test_the_last_word_of_a_leaving_server_holds(self, writes):
        """Guards against foreign entries that undo a server's leaving."""
        scene = Scene()
        scene.write(own_entry())
        for offset_ms, state, wait_s in writes:
            start_ms = _OWN_START_MS + offset_ms
            scene.write(own_entry(born=start_ms, state=state))
            scene.wait(wait_s)
        scene.write(own_entry(state='draining'))
        assert not scene.names
        scene.wait(10)
        assert not scene.names


_UNREADABLE = [b'', b'\xff\xfe\x00', b'[', b'null', b'{}', b'[' * 5000]


class TestOverwritten:
    """An entry of a server that another writer has overwritten."""

    @pytest.mark.parametrize('content', _UNREADABLE, ids=len)
    def test_a_sound_server_stays_in_use_until_its_next_heartbeat(
        self, scene, content
    ):
        """Guards against refused requests although all servers work."""
        scene.write(own_entry())
        for name in ('i-1', 'i-2'):
            scene.write_bytes(content, name)
        assert scene.names == ['i-1', 'i-2']
        scene.wait(2)
        for name in ('i-1', 'i-2'):
            scene.write(own_entry(name), name)
        assert scene.names == ['i-1', 'i-2']
        scene.wait(10)
        assert scene.names == ['i-1', 'i-2']
        assert not scene.restarts
        assert not scene.ends

    def test_a_server_that_is_silent_is_dropped(self, scene):
        """Guards against a crashed server that is used on and on."""
        scene.write(own_entry())
        for _ in range(4):
            scene.write_bytes(b'')
            scene.clock.now_s += 1.0
        assert scene.names == ['i-2']
        scene.wait(1)
        assert scene.servers.get('i-1') is None

    def test_a_whole_read_does_not_end_a_server(self, scene):
        """Guards against a sound server that counts as ended."""
        scene.write(own_entry())
        scene.read_all({'i-1': 'x', 'i-2': own_entry('i-2')})
        assert scene.names == ['i-1', 'i-2']
        assert not scene.ends
        scene.read_all({'i-2': own_entry('i-2')})
        assert scene.names == ['i-2']
        assert [server.name for server in scene.ends] == ['i-1']

    def test_a_leaving_server_stays_leaving(self, scene):
        scene.write(own_entry(state='draining'))
        scene.write_bytes(b'')
        assert scene.names == ['i-2']

    def test_a_removed_one_is_not_used(self, scene):
        """Guards against requests to a server that has left."""
        scene.write(own_entry())
        scene.write_bytes(b'')
        scene.remove()
        assert scene.names == ['i-2']
        scene.wait(10)
        assert scene.names == ['i-2']

    def test_an_unknown_service_does_not_end_the_server(self, scene):
        """Guards against a sound server that another service hides."""
        scene.write(own_entry())
        foreign = own_entry(service='svc-other', born=_OWN_START_MS + 1)
        scene.write(foreign)
        assert scene.names == ['i-1', 'i-2']
        scene.write(own_entry())
        scene.wait(5)
        assert scene.names == ['i-1', 'i-2']
        assert not scene.restarts
        assert not scene.ends

    def test_a_service_may_be_configured_after_its_servers(self):
        """Guards against a new service whose servers are never used."""
        scene = Scene()
        services = set()
        scene.servers._is_service = services.__contains__
        scene.write(own_entry())
        services.add(standin.SERVICE)
        scene.write(own_entry(slots=9))
        assert scene.names == ['i-1']


class TestOwedFields:
    """An entry that lacks what all servers of its software state."""

    @pytest.fixture
    def engines(self, scene):
        for name in ('i-1', 'i-2', 'i-3'):
            scene.write(own_entry(name), name)
        return scene

    @pytest.mark.parametrize('field', ['born', 'stage', 'models'])
    def test_it_names_no_server_to_use(self, engines, field):
        """Guards against requests to a server that no server listed."""
        foreign = foreign_entry(field, None, 'i-9')
        engines.write(foreign, 'i-9')
        assert engines.names == ['i-1', 'i-2', 'i-3']

    @pytest.mark.parametrize('field', ['born', 'stage', 'models'])
    def test_it_takes_no_address(self, engines, field):
        """Guards against a sound server that a foreign entry hides."""
        foreign = foreign_entry(field, None, 'i-9', address='10.0.0.1:8080')
        engines.write(foreign, 'i-9')
        assert engines.names == ['i-1', 'i-2', 'i-3']

    @pytest.mark.parametrize('field', ['born', 'stage', 'models'])
    def test_it_hides_nothing_of_a_server(self, engines, field):
        """Guards against a server that loses its start and its adapters."""
        foreign = foreign_entry(field, None, born=_OWN_START_MS + 1)
        engines.write(foreign)
        assert engines.servers.get('i-1').started_at_ms == _OWN_START_MS
        assert engines.names == ['i-1', 'i-2', 'i-3']
        assert not engines.restarts
        assert not engines.ends

    @pytest.mark.parametrize('field', ['born', 'stage', 'models'])
    def test_what_one_alone_states_is_not_owed(self, field):
        """Guards against sound servers that one foreign entry refuses."""
        scene = Scene()
        for name in ('i-1', 'i-2', 'i-3'):
            scene.write(foreign_entry(field, None, name), name)
        scene.write(own_entry('i-9'), 'i-9')
        assert set(scene.names) >= {'i-1', 'i-2', 'i-3'}

    def test_another_version_of_the_software_may_state_less(self, engines):
        """Guards against a release whose servers are refused."""
        older = foreign_entry('born', None, 'i-4', version='v0')
        engines.write(older, 'i-4')
        assert 'i-4' in engines.names

    def test_servers_of_another_service_may_state_less(self, engines):
        plain = standin.Service('i-4').entry('10.0.0.4:8080')
        engines.write(plain, 'i-4')
        serving = engines.servers.serving(standin.PLAIN)
        assert [server.name for server in serving] == ['i-4']


class TestHugeNumbers:
    """A whole number that fits into no message between processes."""

    @pytest.mark.parametrize('field', ['slots', 'sequence', 'born'])
    def test_in_an_entry_does_not_stop_the_replies_to_peers(
        self, scene, field
    ):
        """Guards against entries that start and can learn from no peer."""
        scene.write(own_entry('i-9', **{field: 10**30}), 'i-9')
        reply = peer_bootstrap.StateReply(servers=scene.servers.all())
        msgspec.msgpack.encode(reply)
        assert scene.names == ['i-2']

    def test_in_a_version_does_not_stop_the_replies_to_peers(self):
        """Guards against entries that start and can learn from no peer."""
        versions = adapter_versions.AdapterVersions()
        published = {'model': 'm', 'adapter': 'a', 'version': 10**30}
        with pytest.raises(errors.PlatformError):
            versions.record(
                *wire.decode_adapter_version(json.dumps(published).encode())
            )
        msgspec.msgpack.encode(
            peer_bootstrap.StateReply(versions=versions.all())
        )

    def test_in_a_configuration_is_rejected(self):
        """Guards against messages that can't name their configuration."""
        found = standin.configuration(10**30)
        with pytest.raises(errors.PlatformError):
            wire.decode_configuration(json.dumps(found).encode())
