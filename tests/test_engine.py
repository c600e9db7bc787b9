import contextlib

import aiohttp
from aiohttp import web
import pytest

from lacewingpitch import contract
from lacewingpitch import engine
from lacewingpitch import http_server

IP = '127.0.0.1'


class TestPriority:
    @pytest.mark.parametrize('urgency', contract.Urgency)
    async def test_is_the_urgency_of_the_contract(self, urgency):
        seen = []

        async def complete(request):
            seen.append(request.headers['X-Priority'])
            return web.Response()

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
            async with calls.run(call) as answer:
                assert answer.status == 200
        assert seen == [urgency.value]
