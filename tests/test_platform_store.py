"""Reads and watches of the platform's store over real connections."""

import asyncio
import contextlib
import random

import aiohttp
from aiohttp import web
import msgspec
import pytest

from lacewingpitch import clock as clock_module
from lacewingpitch import errors
from lacewingpitch.platform import prefix_watcher
from lacewingpitch.platform import store as store_module
from tests import platform_standin

PIECE_COUNT = 5
PAUSE_S = 0.4


def page():
    items = [{'key': f'servers/i-{n}', 'revision': n} for n in range(50)]
    return msgspec.json.encode({'items': items, 'hasMore': False, 'at': 7})


def serving(handler):
    """Serve one handler; yield a store that is read from it."""
    return running(web.ServerRunner(web.Server(handler)))


def serving_app(app):
    """Serve an application; yield a store that is read from it."""
    return running(web.AppRunner(app))


@contextlib.asynccontextmanager
async def running(runner):
    async with contextlib.AsyncExitStack() as exits:
        await runner.setup()
        exits.push_async_callback(runner.cleanup)
        site = web.TCPSite(runner, '127.0.0.1', 0)
        await site.start()
        port = runner.addresses[0][1]
        session = await exits.enter_async_context(aiohttp.ClientSession())
        yield store_module.Store(session, f'http://127.0.0.1:{port}')


class TestSlowLink:
    async def test_a_long_list_is_read_to_its_end(self):
        """Guards against a timeout of a long list over a slow link."""

        async def answer(request):
            response = web.StreamResponse()
            await response.prepare(request)
            data = page()
            size = len(data) // PIECE_COUNT + 1
            for start in range(0, len(data), size):
                await response.write(data[start : start + size])
                await asyncio.sleep(PAUSE_S)
            return response

        async with serving(answer) as store:
            revision, items = await store.read_all('servers/')
        assert revision == 7
        assert len(items) == 50

    async def test_a_stalled_response_times_out_soon(self):
        async def answer(request):
            response = web.StreamResponse()
            await response.prepare(request)
            await response.write(page()[:100])
            await asyncio.sleep(5.0)
            return response

        async with serving(answer) as store, asyncio.timeout(2.0):
            with pytest.raises(errors.PlatformError):
                await store.read_all('servers/')


class TestConfirmation:
    """The time up to which a watcher states that nothing has changed."""

    async def watch(self, answers, max_confirmation_age_s=2.0, stop_after=2):
        """Return the emitted changes and the requested wait times."""
        waits_ms = []
        clock = clock_module.SystemClock()

        async def answer(request):
            if 'waitMs' in request.query_string:
                waits_ms.append(int(request.rel_url.query['waitMs']))
                wait_s, events = answers[min(len(waits_ms), len(answers)) - 1]
                await asyncio.sleep(wait_s)
                body = {'events': events, 'at': 8}
                return web.json_response(body)
            return web.Response(body=page())

        changes = []
        async with serving(answer) as store:
            watcher = prefix_watcher.PrefixWatcher(
                store, '', 0.0, max_confirmation_age_s, clock, random.Random(1)
            )
            with watcher.changes.subscribe(
                lambda change: changes.append((clock.boot_s(), change))
            ):
                await watcher.run(lambda: len(changes) >= stop_after)
        return changes, waits_ms

    async def test_with_changes_it_is_the_time_of_the_request(self):
        """Guards against a confirmation that ignores a delayed response."""
        event = {'key': 'op/config', 'revision': 8}
        changes, _ = await self.watch([(0.5, [event])])
        received_at_s, change = changes[1]
        assert received_at_s - change.current_at_s >= 0.5

    async def test_without_changes_it_is_the_end_of_the_watch(self):
        changes, waits_ms = await self.watch([(0.4, [])], 0.4)
        received_at_s, change = changes[1]
        assert waits_ms[0] <= 400
        assert received_at_s - change.current_at_s < 0.2

    async def test_of_a_watch_that_ends_early_it_is_its_start(self):
        changes, waits_ms = await self.watch([(0.3, [])])
        received_at_s, change = changes[1]
        assert waits_ms[0] > 1000
        assert received_at_s - change.current_at_s >= 0.3

    async def test_watches_are_short_enough_for_the_maximum_age(self):
        event = {'key': 'servers/i-1', 'revision': 8}
        _, waits_ms = await self.watch(
            [(0.9, [event]), (0.0, [])], stop_after=3
        )
        assert waits_ms[0] > 1800
        assert 900 <= waits_ms[1] < 1150

    async def test_watches_are_long_without_a_maximum_age(self):
        event = {'key': 'servers/i-1', 'revision': 8}
        _, waits_ms = await self.watch(
            [(0.5, [event]), (0.0, [])], 0.0, stop_after=3
        )
        assert waits_ms == [1900, 1900]


class TestDroppedHistory:
    async def test_later_changes_do_not_hide_that_earlier_ones_are_lost(self):
        """Guards against a stand-in that omits changes without saying so."""
        found = platform_standin.Store()
        await found.put('op/config', {'version': 6})
        after = found.revision
        await found.put('op/config', {'version': 7})
        await found.drop_history()
        await found.put('servers/i-1', {})
        app = web.Application()
        app.add_routes(found.routes())
        async with serving_app(app) as store:
            await store.read_all('')
            with pytest.raises(store_module.HistoryGoneError):
                await store.watch('', after, 0.2)
