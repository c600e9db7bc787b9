"""Connections to the store that go silent without a reset."""

import asyncio
import contextlib
import random
import time

from aiohttp import web

from lacewingpitch import clock as clock_module
from lacewingpitch.platform import prefix_watcher
from lacewingpitch.platform import store as store_module
from tests import platform_processes
from tests import platform_standin as standin
from tests import relay as relay_module

# Instances count as connected this long after the disruption.
CONTACT_S = 3.0
BATCH_DELAY_S = 1.1
KEY = 'op/config'


class TestEntry:
    async def test_knows_a_new_route_once_it_counts_as_connected(
        self, tmp_path
    ):
        """Guards against a 404 on a route that the entry could have read.

        The connection goes silent while the entry waits for further
        changes of the list.
        """
        async with platform_processes.Platform(
            tmp_path, is_relayed=True, bounds={'strictRevocation': False}
        ) as platform:
            await asyncio.sleep(BATCH_DELAY_S)
            await platform.store.put('servers/i-9', {})
            await asyncio.sleep(0.1)
            platform.relays['store'].stall_open_connections()
            connected_at_s = time.monotonic() + CONTACT_S
            await asyncio.sleep(0.2)
            changed = standin.configuration(8, lookup={'pathPrefix': '/new/'})
            await platform.store.put(KEY, changed)
            await asyncio.sleep(connected_at_s - time.monotonic())
            async with platform.call('/new/1', 'r-1', 'GET') as response:
                assert response.status == 200


class Scene:
    """A watcher that reads a stand-in for the store through a relay."""

    def __init__(self):
        self.store = standin.Store()
        self._exits = contextlib.AsyncExitStack()
        self._known = {}

    async def __aenter__(self):
        await self.store.put(KEY, {'version': 1})
        app = web.Application()
        app.add_routes(self.store.routes())
        runner = web.AppRunner(app, shutdown_timeout=0.1)
        await runner.setup()
        self._exits.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        self.relay = await self._exits.enter_async_context(
            relay_module.Relay(runner.addresses[0][1])
        )
        session = await self._exits.enter_async_context(
            store_module.new_session()
        )
        watcher = prefix_watcher.PrefixWatcher(
            store_module.Store(session, f'http://127.0.0.1:{self.relay.port}'),
            '',
            BATCH_DELAY_S,
            max_confirmation_age_s=0.0,
            clock=clock_module.SystemClock(),
            source=random.Random(1),
        )
        self._exits.enter_context(watcher.changes.subscribe(self._record))
        watching = asyncio.create_task(watcher.run(lambda: False))
        self._exits.callback(watching.cancel)
        await self.until_known(self.store.revision)
        return self

    async def __aexit__(self, *exception):
        await self._exits.aclose()

    def _record(self, change):
        for item in change.items:
            self._known.setdefault(item.revision, time.monotonic())

    async def until_known(self, revision):
        """Return the time at which a revision became known."""
        async with asyncio.timeout(10.0):
            while revision not in self._known:
                await asyncio.sleep(0.01)
        return self._known[revision]


async def late_s(silent_after_s):
    """Return how long after the silence a change becomes known."""
    async with Scene() as scene:
        await scene.store.put('servers/i-1', {})
        await scene.until_known(scene.store.revision)
        await asyncio.sleep(silent_after_s)
        scene.relay.stall_open_connections()
        silent_at_s = time.monotonic()
        await asyncio.sleep(0.2)
        await scene.store.put(KEY, {'version': 2})
        return await scene.until_known(scene.store.revision) - silent_at_s


class TestWatcher:
    async def test_finds_a_silence_in_time_whenever_it_begins(self):
        """Guards against a pause that adds to the time-out of a watch."""
        begins_s = (0.0, 0.3, 0.6, 0.9, 1.05, 1.2, 2.0, 2.9)
        found_s = await asyncio.gather(*map(late_s, begins_s))
        assert max(found_s) < CONTACT_S

    async def test_a_calm_store_gets_no_more_calls_and_connections(self):
        """Guards against costs of the search for silent connections."""
        async with Scene() as scene:
            before = scene.store.call_count
            await asyncio.sleep(5.0)
            assert scene.store.call_count - before <= 3
            assert scene.relay.connection_count == 1

    async def test_a_busy_list_costs_one_call_for_each_batch(self):
        """Guards against calls that only look whether a connection lives."""
        async with Scene() as scene:
            before = scene.store.call_count
            for number in range(3):
                await scene.store.put('servers/i-1', {'n': number})
                await scene.until_known(scene.store.revision)
                await asyncio.sleep(2.0)
            # The watch that waits has been counted before.
            assert scene.store.call_count - before <= 4
