"""Tests of when an answer counts as delivered, over real connections."""

import asyncio
import socket

from aiohttp import web
import pytest

from lacewingpitch import http_guard
from lacewingpitch import http_server
from tests import fault_matrix

IP = '127.0.0.1'
STALL_S = 1.0
BIG = b'x' * (32 << 20)
# Fits into the buffer of this process, but not into that of the kernel.
BUFFERED = b'x' * (60 << 10)
BODIES = {'/big': BIG, '/fitting': BUFFERED, '/small': b'small'}


@pytest.fixture
async def served():
    """Serve `BODIES`; queue the result of each answer."""
    results = asyncio.Queue()
    server = http_server.HttpServer(1 << 20, stall_s=STALL_S)

    async def answer(request):
        response = web.Response(body=BODIES[request.path])
        if request.path == '/fitting':
            connection = request.transport.get_extra_info('socket')
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        try:
            await http_guard.finish_response(request, response)
        except (ConnectionError, asyncio.CancelledError):
            results.put_nowait('gone')
            raise
        results.put_nowait('taken')
        return response

    server.route_tracked('GET', '/{name}', answer)
    await server.start(IP, 0)
    yield server, results
    await server.close()


async def send_request(server, path):
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    connection.connect((IP, server.port))
    reader, writer = await asyncio.open_connection(sock=connection, limit=4096)
    writer.write(f'GET {path} HTTP/1.1\r\nHost: x\r\n\r\n'.encode())
    return reader, writer


class TestFinish:
    @pytest.mark.proves(
        fault_matrix.Promise.ACCOUNT,
        fault_matrix.Fault.HALF_OPEN,
        fault_matrix.Step.BEFORE_DELIVERY,
    )
    async def test_caller_that_disappears_before_reading(self, served):
        """Guards against counting an incomplete answer as delivered.

        The caller sends a request, does not read, and disappears while most
        of the answer is in the entry's buffer.  The end of the last write
        must not count as delivery.
        """
        server, results = served
        reader, writer = await send_request(server, '/fitting')
        await reader.readexactly(10)
        writer.transport.abort()
        assert await asyncio.wait_for(results.get(), 30) == 'gone'

    async def test_caller_that_never_reads_is_disconnected(self, served):
        server, results = served
        _, writer = await send_request(server, '/big')
        assert await asyncio.wait_for(results.get(), 30) == 'gone'
        writer.close()

    async def test_unread_answers_hold_memory(self, served):
        """Answers that nobody read did not count as memory in use."""
        server, results = served
        _, writer = await send_request(server, '/big')
        async with asyncio.timeout(STALL_S):
            while server.memory.held_bytes < len(BIG):
                await asyncio.sleep(0.01)
        assert await asyncio.wait_for(results.get(), 30) == 'gone'
        writer.close()

    async def test_whole_answers_are_delivered_on_one_connection(self, served):
        server, results = served
        reader, writer = await send_request(server, '/big')
        head = await reader.readuntil(b'\r\n\r\n')
        assert b'200 OK' in head
        assert await reader.readexactly(len(BIG)) == BIG
        assert await results.get() == 'taken'
        writer.write(b'GET /small HTTP/1.1\r\nHost: x\r\n\r\n')
        await reader.readuntil(b'\r\n\r\n')
        assert await reader.readexactly(5) == b'small'
        assert await results.get() == 'taken'
        writer.close()
