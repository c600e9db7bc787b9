"""Backoff that an engine asks its sidecar for."""

import contextlib

import aiohttp
from aiohttp import web
import pytest

from lacewingpitch import engine_gate
from lacewingpitch import errors
from lacewingpitch.platform import engine_client
from tests import clocks


class Engine:
    """Answers reports, orders and health checks with the same headers."""

    def __init__(self):
        self.headers = {}
        self.status = 200
        self.count = 0

    async def answer(self, _request):
        self.count += 1
        return web.json_response(
            {'state': 'ready'}, status=self.status, headers=self.headers
        )


@pytest.fixture
def clock():
    return clocks.ManualClock(50.0)


@pytest.fixture
async def scene(clock):
    engine = Engine()
    app = web.Application()
    app.add_routes([web.route('*', '/{path:.*}', engine.answer)])
    runner = web.AppRunner(app)
    async with contextlib.AsyncExitStack() as exits:
        await runner.setup()
        exits.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        session = await exits.enter_async_context(aiohttp.ClientSession())
        port = runner.addresses[0][1]
        client = engine_client.EngineClient(
            session,
            f'http://127.0.0.1:{port}',
            'side-1',
            lambda: '/healthz',
            engine_gate.EngineGate(clock),
        )
        yield engine, client


class TestBackoff:
    async def test_no_call_reaches_the_engine_in_that_time(self, scene, clock):
        """Guards against reports and orders that ignore Retry-After."""
        engine, client = scene
        engine.status, engine.headers = 503, {'Retry-After': '2.5'}
        with pytest.raises(errors.PlatformError):
            await client.report()
        for call in (
            client.report,
            client.incarnation,
            lambda: client.load_model('m', 1, 'i'),
            lambda: client.unload('m', 'a', 1, 'i'),
        ):
            with pytest.raises(errors.PlatformError, match='backoff'):
                await call()
        assert engine.count == 1
        engine.status, engine.headers = 200, {}
        clock.now_s += 2.6
        assert not (await client.report()).is_leaving

    async def test_a_leaving_engine_says_so_in_its_answers(self, scene):
        """Guards against a sidecar that reads the state alone."""
        engine, client = scene
        engine.headers = {'Server-Leaving': '1'}
        assert (await client.report()).is_leaving

    async def test_an_endless_backoff_has_a_bound(self, scene, clock):
        engine, client = scene
        engine.status, engine.headers = 503, {'Retry-After': 'inf'}
        with pytest.raises(errors.PlatformError):
            await client.report()
        engine.status, engine.headers = 200, {}
        clock.now_s += 61.0
        await client.report()
