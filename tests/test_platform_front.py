"""The interface towards callers while an instance starts."""

import asyncio
import contextlib
import random
import socket
import time

import aiohttp
import pytest
import uvloop

from lacewingpitch import backend_call
from lacewingpitch import clock
from lacewingpitch import metrics
from lacewingpitch.platform import front as front_module
from lacewingpitch import routing
from lacewingpitch import start_wait

IP = '127.0.0.1'
ROUTE = routing.Route(
    name='lookup',
    host='h.example',
    path_prefix='/lookup/',
    services=(routing.WeightedService('portal', 1.0),),
    kind=routing.RequestKind.IDEMPOTENT,
    timeout_s=2.0,
    target_latency_s=0.1,
)


class Scene:
    """A front that serves, and a caller."""

    def __init__(self):
        self.table = routing.RoutingTable(random.Random(1))
        self.front = front_module.Front(
            self.table,
            self._serve,
            metrics.Metrics('edge-1', 'zone-a').seconds('s', 'Times.'),
            start_wait.StartWait(clock.SystemClock()),
            clock.SystemClock(),
        )

    async def __aenter__(self):
        self._exits = contextlib.AsyncExitStack()
        with socket.socket() as found:
            found.bind((IP, 0))
            self._endpoint = f'{IP}:{found.getsockname()[1]}'
        await self.front.listen(self._endpoint, self._exits)
        closing = asyncio.create_task(self.front.close_silent())
        self._exits.callback(closing.cancel)
        self._session = await self._exits.enter_async_context(
            aiohttp.ClientSession()
        )
        return self

    async def __aexit__(self, *exception):
        await self._exits.aclose()

    async def _serve(self, _request, delivery):
        answer = backend_call.BackendAnswer(200, (), False, None)
        await delivery.send_whole(answer, b'whole')

    async def call(self):
        headers = {'Host': 'h.example', 'Request-Id': 'r-1'}
        async with self._session.get(
            f'http://{self._endpoint}/lookup/1', headers=headers
        ) as response:
            return response.status

    def configure(self, limits=None):
        limits = limits or routing.CallerLimits()
        self.table.apply(routing.Configuration(7, (ROUTE,), {}, limits, b''))

    async def connect(self):
        ip, port = self._endpoint.split(':')
        return await asyncio.open_connection(ip, int(port))


@pytest.fixture
async def scene():
    async with Scene() as found:
        yield found


class TestStart:
    async def test_a_request_waits_until_the_configuration_is_known(
        self, scene
    ):
        """Callers are refused although their instance is well.

        It has restarted and listens, and reads the configuration half a
        second later, as the store was away.  Requests that came between
        were refused.
        """
        asked = asyncio.create_task(scene.call())
        await asyncio.sleep(0.5)
        assert not asked.done()
        scene.configure()
        assert await asked == 200

    async def test_it_is_refused_if_that_takes_long(self, scene):
        started_s = time.monotonic()
        assert await scene.call() == 503
        assert time.monotonic() - started_s < 3.0
        # From then on it is known that it takes longer.
        started_s = time.monotonic()
        assert await scene.call() == 503
        assert time.monotonic() - started_s < 0.5


class TestSilence:
    async def test_a_head_that_does_not_end_is_given_up(self, scene):
        """An entry takes no connection any more, and looks well.

        Callers open connections and send half a head on each.
        """
        scene.configure(routing.CallerLimits(idle_timeout_s=0.5))
        reader, writer = await scene.connect()
        with contextlib.closing(writer):
            writer.write(b'GET /lookup/1 HTTP/1.1\r\nHost: h.ex')
            async with asyncio.timeout(5.0):
                assert await reader.read() == b''

    async def test_one_that_was_used_stays_open(self, scene):
        scene.configure(routing.CallerLimits(idle_timeout_s=0.5))
        assert await scene.call() == 200
        reader, writer = await scene.connect()
        with contextlib.closing(writer):
            head = b'GET /lookup/1 HTTP/1.1\r\nHost: h.example\r\n'
            writer.write(head + b'Request-Id: r-2\r\n\r\n')
            await reader.readuntil(b'whole')
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(2.5):
                    await reader.read()


class TestDrain:
    @pytest.mark.parametrize('step_count', [0, 1, 2])
    def test_what_comes_as_its_connection_closes_is_not_sent_on(
        self, step_count
    ):
        """A request runs, and its caller gets neither answer nor refusal.

        An instance that drains closes its idle connections.  After it was
        held up for a moment it reads a request and closes that connection
        a step or two of its loop later; the request is sent on, and cut.
        """

        async def main():
            async with Scene() as scene:
                scene.table.apply(
                    routing.Configuration(
                        7, (ROUTE,), {}, routing.CallerLimits()
                    )
                )
                served = []

                async def serve(request, _delivery):
                    served.append(request.request_id)

                scene.front._serve = serve
                host, port = scene._endpoint.split(':')
                reader, writer = await asyncio.open_connection(host, port)
                await asyncio.sleep(0.05)
                (handler,) = scene.front._server.connections
                handler.data_received(
                    b'GET /lookup/x HTTP/1.1\r\nHost: h.example\r\n'
                    b'Request-Id: one\r\nDeadline-Ms: 1000\r\n\r\n'
                )
                for _ in range(step_count):
                    await asyncio.sleep(0)
                was_busy = bool(scene.front.in_progress or served)
                scene.front.close_idle()
                await reader.read()
                writer.close()
                return served if not was_busy else []

        # The loop that daemons use tells of a closed connection later.
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            assert runner.run(main()) == []
