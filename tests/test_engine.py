"""Calls to a model engine over HTTP."""

import asyncio
import contextlib

import aiohttp
from aiohttp import web
import pytest

from lacewingpitch import contract
from lacewingpitch import engine
from lacewingpitch import errors
from lacewingpitch import http_server

IP = '127.0.0.1'
WAIT_S = 30.0


@contextlib.asynccontextmanager
async def call_engine(complete, urgency=contract.Urgency.STANDARD):
    """Call an engine whose handler is `complete`; yield its answer."""
    async with contextlib.AsyncExitStack() as held:
        server = http_server.HttpServer(1 << 20)
        server.route('POST', '/v1/completions', complete)
        await server.start(IP, 0)
        held.push_async_callback(server.close)
        session = await held.enter_async_context(aiohttp.ClientSession())
        call = engine.EngineCall(
            run_id='run',
            path='/v1/completions',
            adapter=contract.AdapterGrant(
                name='ficus', version='1', base_model='base'
            ),
            body=b'{}',
            stream=False,
            urgency=urgency,
            fencing=1,
        )
        calls = engine.HttpEngine(session, f'http://{IP}:{server.port}')
        yield await held.enter_async_context(calls.run(call))


class TestPriority:
    @pytest.mark.parametrize('urgency', contract.Urgency)
    async def test_is_the_urgency_of_the_contract(self, urgency):
        seen = []

        async def complete(request):
            seen.append(request.headers['X-Priority'])
            return web.Response()

        async with call_engine(complete, urgency) as answer:
            assert answer.status == 200
        assert seen == [urgency.value]


class TestIdleTimeout:
    @pytest.mark.parametrize('event_count', [0, 1])
    async def test_ends_the_run(self, event_count, monkeypatch):
        """A request waits for ever and occupies the engine.

        The engine accepts the request, sends nothing or one event, and
        hangs.  The connection stays open, so only the timeout ends the
        wait.
        """
        monkeypatch.setattr(engine, '_IDLE_TIMEOUT_S', 0.05)
        event = b'data: 1\n\n'

        async def complete(request):
            response = web.StreamResponse()
            if event_count:
                await response.prepare(request)
                await response.write(event)
            await asyncio.Event().wait()

        received = []
        async with asyncio.timeout(WAIT_S):
            with pytest.raises(errors.PlatformError):
                async with call_engine(complete) as answer:
                    async for chunk in answer.chunks:
                        received.append(chunk)
        assert received == [event] * event_count
