"""HTTP connections that stay open and go silent, one kind after another."""

import asyncio
import contextlib
import time

from aiohttp import web
import pytest

from lacewingpitch import backend_list
from lacewingpitch import engine_gate
from lacewingpitch import errors
from lacewingpitch import guarded_connection
from lacewingpitch.platform import engine_client
from lacewingpitch.platform import memory_client
from lacewingpitch.platform import store as store_module
from lacewingpitch import run_memory
from lacewingpitch import single_sending
from tests import clocks
from tests import silencing_relay

IP = '127.0.0.1'
TARGET = backend_list.BackendServer('i-2', 's', '127.0.0.9', 81, 'z')
# Until a call works again, if one follows another: each idle connection
# costs one call, and a busy machine takes its time.
REGAINED_S = 4.0
POLL_S = 0.05
# The server's answer takes that long, so that a silence finds the call.
HOLD_S = 0.1
ANSWERS = {'handle': 'h-1', 'createdAt': 7, 'at': 8, 'items': [], 'events': []}
FAILED = (errors.PlatformError, ConnectionError)


class Server:
    """Answers each call as all of them can read it."""

    def __init__(self):
        self.delay_s = 0.0
        self.arrived = asyncio.Event()

    async def answer(self, request):
        self.arrived.set()
        await asyncio.sleep(self.delay_s)
        return web.json_response(ANSWERS)


class Scene:
    """A server behind a relay, and clients that call it through the relay."""

    def __init__(self, exits, relay, server):
        self.relay = relay
        self.server = server
        self._exits = exits

    async def start(self):
        session = await self._exits.enter_async_context(
            single_sending.new_session(
                connector=guarded_connection.new_connector()
            )
        )
        url = f'http://{IP}:{self.relay.port}'
        self._store = store_module.Store(session, url)
        self._engine = engine_client.EngineClient(
            session,
            url,
            'h',
            lambda: '/health',
            engine_gate.EngineGate(clocks.ManualClock()),
        )
        self._memory = await memory_client.new_client(self._exits)

    async def read_store(self):
        await self._store.read_all('a')

    async def watch_store(self):
        await self._store.watch('a', 1, 0.2)

    async def read_report(self):
        await self._engine.report()

    async def order_load(self):
        await self._engine.load('m', 'a', 1, 1, 'i-1')

    async def copy_memory(self):
        source = backend_list.BackendServer(
            'i-1', 's', IP, self.relay.port, 'z'
        )
        found = await self._memory.copy(source, TARGET, 'r', False, 0.5)
        if found.outcome is run_memory.CopyOutcome.LOST:
            raise ConnectionError

    async def free_memory(self):
        source = backend_list.BackendServer(
            'i-1', 's', IP, self.relay.port, 'z'
        )
        if not await self._memory.free(source, 'h'):
            raise ConnectionError


@pytest.fixture
async def scene():
    async with contextlib.AsyncExitStack() as exits:
        server = Server()
        runner = web.ServerRunner(web.Server(server.answer))
        await runner.setup()
        exits.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, IP, 0).start()
        relay = await exits.enter_async_context(
            silencing_relay.SilencingRelay(runner.addresses[0][1])
        )
        found = Scene(exits, relay, server)
        await found.start()
        yield found


CALLS = [
    Scene.read_store,
    Scene.watch_store,
    Scene.read_report,
    Scene.order_load,
    Scene.copy_memory,
    Scene.free_memory,
]


class TestSilentConnection:
    @pytest.mark.parametrize('call', CALLS)
    async def test_idle_ones_are_given_up_after_one_call(self, scene, call):
        """Guards against calls that go on using connections gone silent."""
        await call(scene)
        scene.relay.silence()
        assert await self.regain(scene, call) < REGAINED_S

    @pytest.mark.parametrize('call', CALLS)
    async def test_that_is_in_use_ends_its_call(self, scene, call):
        """Guards against a call that waits for good."""
        scene.server.delay_s = HOLD_S
        calling = asyncio.create_task(call(scene))
        await scene.server.arrived.wait()
        scene.relay.silence()
        with pytest.raises(FAILED):
            await asyncio.wait_for(calling, REGAINED_S)
        scene.server.delay_s = 0.0
        assert await self.regain(scene, call) < REGAINED_S

    async def regain(self, scene, call):
        """Call until it works; return after how long it did."""
        began_s = time.monotonic()
        while time.monotonic() < began_s + 3 * REGAINED_S:
            try:
                await call(scene)
            except FAILED:
                await asyncio.sleep(POLL_S)
            else:
                break
        return time.monotonic() - began_s
