"""What each HTTP client sends if connections break or servers redirect."""

import ast
import asyncio
import contextlib
import gc
import pathlib

import pytest
import structlog

from lacewingpitch import backend_list
from lacewingpitch import config_service
from lacewingpitch import contract
from lacewingpitch import engine as engine_module
from lacewingpitch import engine_gate
from lacewingpitch import errors
from lacewingpitch import live_list
from lacewingpitch import plain_service
from lacewingpitch.platform import engine_client
from lacewingpitch.platform import memory_client
from lacewingpitch.platform import store
from lacewingpitch import single_sending
from tests import clocks

PACKAGE = pathlib.Path(single_sending.__file__).parent
OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'
SENDING_METHODS = {'get', 'post', 'request', 'delete', 'put'}


class Server:
    """Answers requests until it breaks their connections or redirects."""

    def __init__(self):
        self.arrived_count = 0
        self.answer = OK

    async def serve(self, reader, writer):
        with (
            contextlib.suppress(ConnectionError, asyncio.IncompleteReadError),
            contextlib.closing(writer),
        ):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                length = head.lower().partition(b'content-length: ')[2]
                await reader.readexactly(
                    int(length.split()[0] or 0) if length else 0
                )
                self.arrived_count += 1
                if not self.answer:
                    writer.transport.abort()
                    return
                writer.write(self.answer)


async def read_store(session, url):
    await store.Store(session, url).read_all('a')


async def watch_store(session, url):
    await store.Store(session, url).watch('a', 1, 0.5)


def new_engine_client(session, url):
    gate = engine_gate.EngineGate(clocks.ManualClock())
    return engine_client.EngineClient(session, url, 'h', lambda: '/h', gate)


async def read_report(session, url):
    await new_engine_client(session, url).report()


async def read_incarnation(session, url):
    await new_engine_client(session, url).incarnation()


async def order_load(session, url):
    await new_engine_client(session, url).load('m', 'a', 1, 1, 'i-1')


async def free_copy(session, url):
    host, _, port = url.removeprefix('http://').partition(':')
    server = backend_list.BackendServer('i-1', 's', host, int(port), 'z')
    await memory_client.HttpMemoryClient(session).free(server, 'h')


async def read_list(session, url):
    await live_list.HttpLiveList(session, url).read(0)


async def read_value(session, url):
    await config_service.HttpConfigService(session, url).watch('v', 0, 0.5)


async def call_service(session, url):
    call = plain_service.ServiceCall('r', 'DELETE', '/x', b'', '')
    async with plain_service.HttpPlainService(session, url).run(call):
        pass


async def read_own_engine(session, url):
    await engine_module.HttpEngine(session, url).report()


async def load_own_adapter(session, url):
    await engine_module.HttpEngine(session, url).load_adapter('a', 1)


async def run_at_own_engine(session, url):
    grant = contract.AdapterGrant(name='a', version='1', base_model='b')
    call = engine_module.EngineCall(
        'r', '/v1/x', grant, b'{}', False, contract.Urgency.STANDARD, 1
    )
    async with engine_module.HttpEngine(session, url).run(call):
        pass


READS = [
    read_store,
    watch_store,
    read_report,
    read_incarnation,
    read_list,
    read_value,
]
SENT_ONCE = [
    order_load,
    free_copy,
    call_service,
    read_own_engine,
    load_own_adapter,
    run_at_own_engine,
]


async def arrivals(call, answer, is_reused):
    """Return how often a call arrives at a server, and at another one."""
    server, other = Server(), Server()
    async with contextlib.AsyncExitStack() as exits:
        urls = []
        for each in (server, other):
            listening = await asyncio.start_server(each.serve, '127.0.0.1', 0)
            exits.callback(listening.close)
            port = listening.sockets[0].getsockname()[1]
            urls.append(f'http://127.0.0.1:{port}')
        session = await exits.enter_async_context(single_sending.new_session())
        if is_reused:
            async with session.post(urls[0]) as response:
                await response.read()
        server.arrived_count = 0
        server.answer = answer.replace(b'OTHER', urls[1].encode())
        with contextlib.suppress(errors.PlatformError):
            await call(session, urls[0])
    return server.arrived_count, other.arrived_count


class TestStatuses:
    @pytest.mark.parametrize('status', [0, 99, 600, 999])
    @pytest.mark.parametrize('call', READS + SENT_ONCE)
    async def test_a_status_that_is_none_is_no_answer(self, call, status):
        """Guards against taking what a failing server sends for an answer."""
        server = Server()
        server.answer = OK.replace(b'200', b'%03d' % status)
        listening = await asyncio.start_server(server.serve, '127.0.0.1', 0)
        port = listening.sockets[0].getsockname()[1]
        async with listening, single_sending.new_session() as session:
            with structlog.testing.capture_logs() as lines:
                try:
                    await call(session, f'http://127.0.0.1:{port}')
                except errors.PlatformError as error:
                    lines.append({'error': str(error)})
        assert 'InvalidStatusError' in str(lines)
        assert server.arrived_count == 1


class TestBrokenConnections:
    """Guards against repeats below the process that counts them."""

    @pytest.mark.parametrize('call', READS + SENT_ONCE)
    async def test_a_new_connection_gets_one_request(self, call):
        assert await arrivals(call, b'', False) == (1, 0)

    @pytest.mark.parametrize('call', SENT_ONCE)
    async def test_a_reused_connection_gets_one_request(self, call):
        assert await arrivals(call, b'', True) == (1, 0)

    @pytest.mark.parametrize('call', READS)
    async def test_a_read_on_a_reused_connection_is_repeated_once(self, call):
        assert await arrivals(call, b'', True) == (2, 0)

    async def test_a_repeated_read_of_the_store_counts_as_two_calls(self):
        counts = []

        async def call(session, url):
            found = store.Store(session, url)
            try:
                await found.read_all('a')
            finally:
                counts.append(found.call_count)

        await arrivals(call, b'', True)
        assert counts == [2]


class TestReports:
    async def test_say_whether_their_connection_is_new(self):
        """Guards against a start after a crash that passes for the first."""
        server = Server()
        listening = await asyncio.start_server(server.serve, '127.0.0.1', 0)
        port = listening.sockets[0].getsockname()[1]
        async with listening, single_sending.new_session() as session:
            client = new_engine_client(session, f'http://127.0.0.1:{port}')
            found = [await client.report() for _ in range(3)]
            server.answer = b''
            with pytest.raises(errors.PlatformError):
                await client.report()
            server.answer = OK
            found += [await client.report() for _ in range(2)]
        are_new = [report.follows_new_connection for report in found]
        assert are_new == [True, False, False, True, False]

    @pytest.mark.parametrize('status', ['200 OK', '409 C', '421 M', '503 F'])
    async def test_follow_a_connection_that_an_order_opened(self, status):
        """Guards against a start after a crash that an order meets first."""
        server = Server()
        listening = await asyncio.start_server(server.serve, '127.0.0.1', 0)
        port = listening.sockets[0].getsockname()[1]
        async with listening, single_sending.new_session() as session:
            client = new_engine_client(session, f'http://127.0.0.1:{port}')
            await client.report()
            server.answer = b''
            with pytest.raises(errors.PlatformError):
                await client.report()
            server.answer = OK.replace(b'200 OK', status.encode())
            await client.load('m', 'a', 1, 1, 'i-1')
            server.answer = OK
            found = [await client.report() for _ in range(2)]
        are_new = [report.follows_new_connection for report in found]
        assert are_new == [True, False]


class TestRedirects:
    @pytest.mark.parametrize('call', READS + SENT_ONCE)
    @pytest.mark.parametrize('status', [302, 307])
    async def test_are_not_followed(self, call, status):
        """Guards against requests to addresses that nobody listed."""
        answer = (
            f'HTTP/1.1 {status} Found\r\nLocation: OTHER/x\r\n'
            'Content-Length: 0\r\n\r\n'
        )
        assert await arrivals(call, answer.encode(), False) == (1, 0)


class TestSources:
    """Guards against new clients that repeat or redirect by themselves."""

    def calls(self):
        for path in sorted(PACKAGE.rglob('*.py')):
            for node in ast.walk(_parsed(path)):
                if isinstance(node, ast.Call) and isinstance(
                    node.func, ast.Attribute
                ):
                    yield path.name, node

    def test_sessions_are_made_in_one_place(self):
        found = {n for n, c in self.calls() if c.func.attr == 'ClientSession'}
        assert found == {'single_sending.py'}

    def test_connectors_are_made_in_one_place(self):
        """Guards against clients that read what nobody asked for."""
        found = {n for n, c in self.calls() if c.func.attr == 'TCPConnector'}
        found |= set(self.subclasses('TCPConnector'))
        assert found == {'reusable_connection.py'}

    def subclasses(self, base):
        for path in sorted(PACKAGE.rglob('*.py')):
            for node in ast.walk(_parsed(path)):
                if isinstance(node, ast.ClassDef) and any(
                    isinstance(found, ast.Attribute) and found.attr == base
                    for found in node.bases
                ):
                    yield path.name

    def test_no_request_follows_redirects(self):
        found = [
            name
            for name, call in self.calls()
            if call.func.attr in SENDING_METHODS
            and ast.unparse(call.func.value).endswith('session')
            and 'allow_redirects=False' not in ast.unparse(call)
        ]
        assert found == []


def _parsed(path):
    """Parse a file without a garbage collection meanwhile.

    Some interpreters fail if another parse, as in a traceback that a
    finalizer logs, begins within one.
    """
    gc.collect()
    gc.disable()
    try:
        return ast.parse(path.read_text())
    finally:
        gc.enable()
