"""Reading the platform's store, over connections of its own kind."""

import asyncio
import contextlib

import aiohttp
from aiohttp import web
import msgspec
import pytest

from lacewingpitch import errors
from lacewingpitch.platform import store as store_module

PIECE_COUNT = 5
PAUSE_S = 0.4


def page():
    items = [{'key': f'servers/i-{n}', 'revision': n} for n in range(50)]
    return msgspec.json.encode({'items': items, 'hasMore': False, 'at': 7})


@contextlib.asynccontextmanager
async def serving(handler):
    """Serve one handler; yield a store that is read from it."""
    async with contextlib.AsyncExitStack() as exits:
        runner = web.ServerRunner(web.Server(handler))
        await runner.setup()
        exits.push_async_callback(runner.cleanup)
        site = web.TCPSite(runner, '127.0.0.1', 0)
        await site.start()
        port = runner.addresses[0][1]
        session = await exits.enter_async_context(aiohttp.ClientSession())
        yield store_module.Store(session, f'http://127.0.0.1:{port}')


class TestSlowLink:
    async def test_a_long_list_is_read_to_its_end(self):
        """An instance with a slow link never serves after a restart.

        The list of thousands of backend servers takes seconds to come.
        The read was given up after less than one, and began anew.
        """

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

    async def test_a_store_that_falls_silent_is_given_up_soon(self):
        async def answer(request):
            response = web.StreamResponse()
            await response.prepare(request)
            await response.write(page()[:100])
            await asyncio.sleep(5.0)
            return response

        async with serving(answer) as store, asyncio.timeout(2.0):
            with pytest.raises(errors.PlatformError):
                await store.read_all('servers/')
