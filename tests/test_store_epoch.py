"""A store that is restored from a backup some seconds old."""

import asyncio
import contextlib
import random

import aiohttp
from aiohttp import web
import pytest

from lacewingpitch import adapter_versions
from lacewingpitch import backend_list
from lacewingpitch import clock as clock_module
from lacewingpitch import configuration_age
from lacewingpitch import configuration_exchange
from lacewingpitch import errors
from lacewingpitch.platform import prefix_watcher
from lacewingpitch.platform import store as store_module
from lacewingpitch.platform import store_updates
from lacewingpitch.platform import wire
from lacewingpitch import routing
from tests import fault_matrix
from tests import platform_standin as standin

Fault = fault_matrix.Fault
Promise = fault_matrix.Promise
Step = fault_matrix.Step

KNOWN_WITHIN_S = 2.0


class Scene:
    """One process that watches the store of the stand-in."""

    def __init__(self, store, reader):
        self.store = store
        self.reader = reader
        clock = clock_module.SystemClock()
        self.servers = backend_list.BackendList(clock)
        self.table = routing.RoutingTable(random.Random(1))
        self.versions = adapter_versions.AdapterVersions()
        self.age = configuration_age.ConfigurationAge(clock)
        exchange = configuration_exchange.ConfigurationExchange(
            None, self.table, wire.decode_configuration, clock
        )
        handlers = [
            store_updates.OperatorUpdates(self.versions, exchange, self.age),
            store_updates.BackendUpdates(self.servers),
        ]
        self.watcher = prefix_watcher.PrefixWatcher(
            reader, '', 0.02, 0.4, clock, random.Random(2)
        )
        self.task = asyncio.create_task(
            store_updates.dispatch_changes(self.watcher, handlers)
        )

    async def list(self, name, port=None, **fields):
        port = port or int(name.partition('-')[2])
        entry = standin.Engine(name).entry(f'10.0.0.7:{port}', **fields)
        await self.store.put(f'servers/{name}', entry)

    async def unlist(self, name):
        await self.store.delete(f'servers/{name}')

    async def configure(self, version):
        await self.store.put('op/config', standin.configuration(version))

    def names(self):
        return {s.name for s in self.servers.serving(standin.SERVICE)}

    async def until(self, condition):
        async with asyncio.timeout(KNOWN_WITHIN_S):
            while not condition():
                await asyncio.sleep(0.01)

    async def settle(self):
        await asyncio.sleep(0.7)


@pytest.fixture
async def scene():
    async with contextlib.AsyncExitStack() as exits:
        store = standin.Store()
        app = web.Application()
        app.add_routes(store.routes())
        runner = web.AppRunner(app, shutdown_timeout=0.1)
        await runner.setup()
        exits.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        port = runner.addresses[0][1]
        session = await exits.enter_async_context(aiohttp.ClientSession())
        found = Scene(
            store, store_module.Store(session, f'http://127.0.0.1:{port}')
        )
        exits.callback(found.task.cancel)
        await found.configure(5)
        await found.list('i-1')
        await found.list('i-2')
        await found.until(lambda: found.names() == {'i-1', 'i-2'})
        yield found


class TestHistory:
    async def test_a_change_below_a_known_revision_is_not_missed(self, scene):
        """Guards against revisions that the restored store uses again."""
        backup = scene.store.backup()
        for _ in range(4):
            await scene.list('i-3')
        await scene.until(lambda: 'i-3' in scene.names())
        await scene.store.restore(backup)
        await scene.list('i-4')
        for _ in range(8):
            await scene.list('i-3')
        await scene.until(lambda: 'i-4' in scene.names())

    async def test_a_response_from_an_earlier_epoch_is_dropped(self, scene):
        """Guards against a response that was delayed in transit."""
        backup = scene.store.backup()
        await scene.store.restore(backup)
        await scene.list('i-3')
        await scene.until(lambda: 'i-3' in scene.names())
        scene.store.epoch -= 1
        await scene.list('i-4')
        await scene.settle()
        assert 'i-4' not in scene.names()
        scene.store.epoch += 1
        await scene.until(lambda: 'i-4' in scene.names())

    async def test_pages_from_two_epochs_are_not_combined(self, scene):
        """Guards against a list whose first half predates the restore."""
        for name in ('i-3', 'i-4', 'i-5'):
            await scene.list(name)
        backup = scene.store.backup()
        answer_range = scene.store._range
        went_back = []

        async def restore_once(request):
            response = await answer_range(request)
            if request.query.get('after') and not went_back:
                went_back.append(True)
                await scene.list('i-6')
                await scene.store.restore(backup)
            return response

        scene.store._range = restore_once
        await scene.until(lambda: not went_back)
        with pytest.raises(errors.PlatformError):
            await scene.reader.read_all('')
        _, items = await scene.reader.read_all('')
        assert {item.key for item in items} == set(scene.store.items)

    async def test_changes_from_another_epoch_are_not_applied(self, scene):
        """Guards against changes of a new history on top of the old one."""
        backup = scene.store.backup()
        await scene.unlist('i-1')
        await scene.until(lambda: scene.names() == {'i-2'})
        found = []
        with scene.watcher.changes.subscribe(
            lambda _change: found.append(scene.names())
        ):
            await scene.store.restore(backup)
            scene.store.oldest = 0
            for _ in range(5):
                await scene.list('i-1')
            await scene.settle()
        assert found
        assert all(names == {'i-2'} for names in found)


class TestServers:
    @pytest.mark.proves(Promise.LEAVING, Fault.CONFIG_STALE, Step.ANY)
    async def test_a_server_that_left_is_not_used_again(self, scene):
        """Guards against requests to a server that the backup still lists."""
        backup = scene.store.backup()
        await scene.unlist('i-1')
        await scene.until(lambda: scene.names() == {'i-2'})
        await scene.store.restore(backup)
        for _ in range(7):
            assert scene.names() == {'i-2'}
            await asyncio.sleep(0.1)

    async def test_a_leaving_server_stays_leaving(self, scene):
        """Guards against requests to a server that is leaving.

        The backup still lists it as ready.
        """
        backup = scene.store.backup()
        await scene.list('i-1', state='draining')
        await scene.until(lambda: scene.names() == {'i-2'})
        await scene.store.restore(backup)
        for _ in range(7):
            assert scene.names() == {'i-2'}
            await asyncio.sleep(0.1)

    async def test_a_restarted_server_is_used(self, scene):
        backup = scene.store.backup()
        await scene.list('i-1', state='draining')
        await scene.until(lambda: scene.names() == {'i-2'})
        await scene.store.restore(backup)
        entry = standin.Engine('i-1').entry('10.0.0.7:1') | {'born': 7}
        await scene.store.put('servers/i-1', entry)
        await scene.until(lambda: scene.names() == {'i-1', 'i-2'})

    async def test_a_server_missing_in_the_backup_stays_in_use(self, scene):
        """Guards against refusing requests although a server works.

        It stays in use until it has registered again.
        """
        backup = scene.store.backup()
        await scene.list('i-3')
        await scene.until(lambda: 'i-3' in scene.names())
        await scene.store.restore(backup)
        for _ in range(12):
            assert 'i-3' in scene.names()
            await asyncio.sleep(0.1)
        await scene.list('i-3')
        await asyncio.sleep(1.8)
        assert scene.names() == {'i-1', 'i-2', 'i-3'}

    async def test_a_server_listed_by_a_later_backup_is_used(self, scene):
        """Guards against taking a working server for one that has left."""
        backup = scene.store.backup()
        await scene.list('i-3')
        later_backup = scene.store.backup()
        await scene.until(lambda: 'i-3' in scene.names())
        await scene.store.restore(backup)
        await scene.until(lambda: scene.servers.get('i-3') is None)
        await scene.store.restore(later_backup)
        await scene.until(lambda: scene.servers.get('i-3') is not None)
        for _ in range(30):
            assert 'i-3' in scene.names()
            await asyncio.sleep(0.1)


class TestConfiguration:
    async def test_the_configuration_does_not_revert(self, scene):
        backup = scene.store.backup()
        await scene.configure(6)
        await scene.until(lambda: scene.table.version == 6)
        await scene.store.restore(backup)
        await scene.settle()
        assert scene.table.version == 6

    @pytest.mark.proves(
        Promise.KEYS, Fault.CONFIG_STALE, Step.BEFORE_ADMISSION
    )
    async def test_a_backup_does_not_confirm_a_newer_configuration(
        self, scene
    ):
        """Guards against accepting API keys because of an old backup."""
        backup = scene.store.backup()
        await scene.configure(6)
        await scene.until(lambda: scene.table.version == 6)
        await scene.settle()
        assert scene.age.age_s < 0.6
        await scene.store.restore(backup)
        await asyncio.sleep(1.0)
        assert scene.age.age_s > 0.9
        await scene.configure(6)
        await scene.until(lambda: scene.age.age_s < 0.5)
