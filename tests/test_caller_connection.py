"""Connections of clients that send what no server should read."""

import asyncio
import contextlib

from aiohttp import web
import pytest

from lacewingpitch import caller_limits
from lacewingpitch import caller_server
from lacewingpitch import clock
from lacewingpitch import errors
from lacewingpitch import http_guard
from lacewingpitch import memory_budget

IP = '127.0.0.1'
KB = 1 << 10
MACHINE_BYTES = 16 << 20
BUDGET_BYTES = 1 << 20
BODY_BYTES = 512 * KB
HEADER_BYTES = 4 * KB
HEAD = b'POST / HTTP/1.1\r\nHost: h\r\n'
GET = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
LIMITS = caller_limits.CallerLimits(
    header_bytes=HEADER_BYTES, header_timeout_s=0.3, body_bytes=BODY_BYTES
)
# More than what both sockets hold.
ENDLESS_BYTES = 64 << 20


def sized(byte_count):
    return HEAD + b'Content-Length: %d\r\n\r\n' % byte_count


class Scene:
    """A server that answers with the size of each body."""

    def __init__(self, max_connections=100, machine_bytes=MACHINE_BYTES):
        self.bodies = []
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.budget = memory_budget.MemoryBudget(
            machine_bytes, clock.SystemClock()
        )
        self.server = caller_server.CallerServer(
            self._answer,
            lambda: LIMITS,
            self.budget,
            max_connections,
            request_factory=self._new_request,
            handler_cancellation=True,
        )

    def _new_request(self, message, payload, protocol, writer, task):
        loop = asyncio.get_running_loop()
        return web.BaseRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            loop,
            client_max_size=BODY_BYTES,
        )

    async def _answer(self, request):
        try:
            http_guard.check_connection(request)
            body = await http_guard.read_body(request, 10.0)
            # A request that is handled again has the same body.
            assert await http_guard.read_body(request, 10.0) == body
        except errors.RefusalError as error:
            return web.Response(status=error.status)
        self.bodies.append(body)
        await self.may_answer.wait()
        return web.Response(text=str(len(body)))

    async def __aenter__(self):
        self._exits = contextlib.AsyncExitStack()
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(self.server, IP, 0)
        self._exits.callback(listener.close)
        self.port = listener.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *exception):
        await self._exits.aclose()
        await self.server.shutdown(0.1)

    async def connect(self):
        reader, writer = await asyncio.open_connection(IP, self.port)
        self._exits.callback(writer.transport.abort)
        return reader, writer

    async def send(self, *pieces):
        """Send on a new connection; return all that is answered."""
        reader, writer = await self.connect()
        with contextlib.suppress(ConnectionError):
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
        with contextlib.suppress(ConnectionError):
            return await reader.read()
        return b''

    async def count_until_closed(self, start, piece):
        """Send without end; return how many bytes were taken."""
        reader, writer = await self.connect()
        taken_bytes = 0
        with contextlib.suppress(ConnectionError):
            writer.write(start)
            while taken_bytes < ENDLESS_BYTES:
                writer.write(piece)
                await writer.drain()
                taken_bytes += len(piece)
        return taken_bytes


def status_of(answer):
    return int(answer.split()[1])


@pytest.fixture
async def scene():
    async with Scene() as scene:
        yield scene


@pytest.fixture
async def wide_scene():
    """A server whose memory ends no request."""
    async with Scene(machine_bytes=1 << 34) as scene:
        yield scene


class TestHeads:
    @pytest.mark.parametrize(
        'start, piece',
        [
            (HEAD + b'X: ', b'x' * 64 * KB),
            (b'GET /', b'x' * 64 * KB),
            (HEAD, b'X: y\r\n' * 10_000),
            (b'', b'\r\n' * 30_000),
            (GET, b'\r\n' * 30_000),
            (b'', b'\x00' * 64 * KB),
            (GET * 2, HEAD + b'X: ' + b'x' * 64 * KB),
        ],
    )
    async def test_endless_heads_are_not_read(self, wide_scene, start, piece):
        """A process read heads without end, and kept what it had read."""
        taken_bytes = await wide_scene.count_until_closed(start, piece)
        assert taken_bytes < ENDLESS_BYTES
        assert wide_scene.budget.held_bytes < 64 * KB

    async def test_a_refused_head_is_answered_once(self, scene):
        """Each read after a malformed head kept a further error."""
        answer = await scene.send(b'\x00' * 20 * KB)
        assert answer.count(b'HTTP/1.') == 1
        assert len(answer) < KB
        assert status_of(answer) == 400

    async def test_fields_over_the_limit_are_refused(self, scene):
        fields = b'X: ' + b'x' * (HEADER_BYTES - 8) + b'\r\nY: yy\r\n'
        assert status_of(await scene.send(HEAD + fields + b'\r\n')) == 431
        assert not scene.bodies

    async def test_fields_at_the_limit_are_served(self, scene):
        host_bytes = len(b'Host: h\r\n')
        close_bytes = len(b'Connection: close\r\n')
        value = b'x' * (HEADER_BYTES - host_bytes - close_bytes - 5)
        fields = b'Connection: close\r\nX: ' + value + b'\r\n\r\n'
        assert status_of(await scene.send(HEAD + fields)) == 200

    async def test_a_long_path_beside_fields_is_served(self, scene):
        path = b'/' + b'x' * (HEADER_BYTES - 64)
        value = b'x' * (HEADER_BYTES - 64)
        fields = b'Connection: close\r\nX: ' + value + b'\r\n\r\n'
        request = HEAD.replace(b'/', path, 1) + fields
        assert status_of(await scene.send(request)) == 200

    async def test_slow_heads_are_ended(self, scene):
        """Connections with a part of a head stayed open for good."""
        assert status_of(await scene.send(HEAD, b'X: y\r\n')) == 408

    async def test_slow_second_heads_are_ended(self, scene):
        reader, writer = await scene.connect()
        writer.write(GET)
        await reader.readuntil(b'\r\n\r\n0')
        writer.write(HEAD)
        assert status_of(await reader.read()) == 408

    async def test_a_request_in_progress_outlives_a_bad_one(self, scene):
        scene.may_answer.clear()
        reader, writer = await scene.connect()
        writer.write(GET + HEAD + b'X: ' + b'x' * 64 * KB)
        await asyncio.sleep(0.1)
        scene.may_answer.set()
        answer = await reader.read()
        assert status_of(answer) == 200

    async def test_line_ends_between_requests_are_allowed(self, scene):
        reader, writer = await scene.connect()
        for _ in range(3):
            writer.write(b'\r\n' + GET)
            await reader.readuntil(b'\r\n\r\n0')


class TestBodies:
    @pytest.mark.parametrize(
        'piece',
        [b'1;' + b'x' * 64 * KB, b'1\r\nx\r\n' * 10_000, b'0\r\nX: y\r\n'],
    )
    async def test_endless_framing_is_not_read(self, wide_scene, piece):
        """A body of next to nothing kept the event loop busy."""
        taken_bytes = await wide_scene.count_until_closed(CHUNKED, piece)
        assert taken_bytes < ENDLESS_BYTES
        assert not wide_scene.bodies

    @pytest.mark.parametrize(
        'body',
        [
            b'1\r\nx\r\n' * 50_000 + b'0\r\n\r\n',
            b'1;' + b'x' * 64 * KB + b'\r\nx\r\n0\r\n\r\n',
            b'1\r\nx\r\n0\r\n'
            + (b'X: ' + b'x' * 8000 + b'\r\n') * 8
            + b'\r\n',
        ],
    )
    async def test_framing_larger_than_its_body_is_refused(
        self, wide_scene, body
    ):
        """Work without bytes of a body had no limit."""
        assert status_of(await wide_scene.send(CHUNKED, body)) == 400
        assert not wide_scene.bodies

    async def test_the_rest_of_a_refused_body_is_read(self, scene):
        """A client whose body was refused could not finish sending it."""
        reader, writer = await scene.connect()
        writer.write(sized(2 * BODY_BYTES))
        for _ in range(16):
            writer.write(b'x' * 64 * KB)
            await writer.drain()
            await asyncio.sleep(0.02)
        assert status_of(await reader.read()) == 413

    @pytest.mark.parametrize('chunk_bytes', [16, 100, 64 * KB])
    async def test_chunks_of_usual_sizes_are_served(self, scene, chunk_bytes):
        chunk = b'%x\r\n%s\r\n' % (chunk_bytes, b'x' * chunk_bytes)
        count = BODY_BYTES // chunk_bytes
        _, writer = await scene.connect()
        writer.write(CHUNKED + chunk * count + b'0\r\n\r\n')
        async with asyncio.timeout(10.0):
            while not scene.bodies:
                await asyncio.sleep(0.01)
        assert len(scene.bodies[0]) == count * chunk_bytes

    @pytest.mark.parametrize('byte_count', [1, 100, 1000])
    async def test_short_bodies_in_single_bytes_are_served(
        self, scene, byte_count
    ):
        _, writer = await scene.connect()
        writer.write(CHUNKED + b'1\r\nx\r\n' * byte_count + b'0\r\n\r\n')
        async with asyncio.timeout(10.0):
            while not scene.bodies:
                await asyncio.sleep(0.01)
        assert scene.bodies == [b'x' * byte_count]

    async def test_a_refusal_reaches_a_client_that_goes_on(self, scene):
        """A refusal was lost behind a body that nobody read."""
        body = b'x' * 2 * BODY_BYTES
        answer = await scene.send(sized(len(body)), *[body[: 64 * KB]] * 16)
        assert status_of(answer) == 413
        assert b'Connection: close' in answer

    async def test_a_refused_body_without_end_is_not_read(self, scene):
        taken_bytes = await scene.count_until_closed(
            sized(1 << 40), b'x' * 64 * KB
        )
        assert taken_bytes < ENDLESS_BYTES


class TestMemory:
    async def test_all_bodies_together_are_bounded(self, scene):
        """Unfinished bodies filled the memory of the process."""
        for _ in range(8):
            _, writer = await scene.connect()
            writer.write(sized(BODY_BYTES) + b'x' * (BODY_BYTES - 1))
            await writer.drain()
        await asyncio.sleep(0.2)
        assert scene.budget.held_bytes <= BUDGET_BYTES

    async def test_a_refusal_says_when_to_return(self, scene):
        scene.may_answer.clear()
        for _ in range(8):
            _, writer = await scene.connect()
            writer.write(sized(BODY_BYTES) + b'x' * BODY_BYTES)
            await writer.drain()
        answer = await scene.send(sized(BODY_BYTES), b'x' * BODY_BYTES)
        assert status_of(answer) == 503
        run_count = len(scene.bodies)
        scene.may_answer.set()
        await asyncio.sleep(0.2)
        assert len(scene.bodies) == run_count

    async def test_a_body_that_is_being_read_is_refused_at_once(self, scene):
        """A reader that was woken waited for a refused body in vain."""
        others = scene.budget.open(lambda: None)
        assert others.take(BUDGET_BYTES // 2)
        others.begin(memory_budget.Phase.SERVING)
        async with asyncio.timeout(3.0):
            answer = await scene.send(sized(BODY_BYTES), b'x' * BODY_BYTES)
        assert status_of(answer) == 503

    async def test_memory_is_free_once_requests_have_ended(self, scene):
        for _ in range(20):
            request = sized(BODY_BYTES).replace(
                b'Host', b'Connection: close\r\nHost'
            )
            answer = await scene.send(request + b'x' * BODY_BYTES)
            assert status_of(answer) == 200
        assert scene.budget.held_bytes == 0

    async def test_pipelined_requests_are_answered(self, scene):
        count = 200
        reader, writer = await scene.connect()
        writer.write((sized(100) + b'x' * 100) * count)
        for _ in range(count):
            await reader.readuntil(b'\r\n\r\n100')
        await asyncio.sleep(0.05)
        assert scene.budget.held_bytes == 0

    async def test_bodies_behind_a_request_are_bounded(self, scene):
        scene.may_answer.clear()
        for _ in range(8):
            _, writer = await scene.connect()
            writer.write(GET + sized(BODY_BYTES) + b'x' * (BODY_BYTES - 1))
        await asyncio.sleep(0.3)
        assert scene.budget.held_bytes <= BUDGET_BYTES


class TestConnections:
    async def test_unused_connections_make_room(self):
        """Silent clients used up the descriptors that others need."""
        async with Scene(max_connections=4) as scene:
            silent = [await scene.connect() for _ in range(20)]
            reader, writer = await scene.connect()
            writer.write(GET)
            await reader.readuntil(b'\r\n\r\n0')
            await asyncio.sleep(0.1)
            assert len(scene.server.connections) <= 4
            assert silent

    async def test_requests_in_progress_are_not_cut(self):
        async with Scene(max_connections=4) as scene:
            scene.may_answer.clear()
            busy = [await scene.connect() for _ in range(4)]
            for _, writer in busy:
                writer.write(GET)
            await asyncio.sleep(0.1)
            more = [await scene.connect() for _ in range(4)]
            await asyncio.sleep(0.1)
            scene.may_answer.set()
            for reader, _ in busy:
                await reader.readuntil(b'\r\n\r\n0')
            for reader, _ in more:
                assert await reader.read() == b''

    async def test_idle_connections_are_closed_after_unused_ones(self):
        async with Scene(max_connections=3) as scene:
            used = await scene.connect()
            used[1].write(GET)
            await used[0].readuntil(b'\r\n\r\n0')
            unused = await scene.connect()
            await scene.connect()
            await scene.connect()
            assert await unused[0].read() == b''
            used[1].write(GET)
            await used[0].readuntil(b'\r\n\r\n0')
