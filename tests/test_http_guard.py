"""What counts as delivered, over real connections."""

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
# Fits the buffer of this process, and not that of the system.
FITTING = b'x' * (60 << 10)
BODIES = {'/big': BIG, '/fitting': FITTING, '/small': b'small'}


@pytest.fixture
async def served():
    """Serve /big and /small; tell what became of each answer."""
    fates = asyncio.Queue()
    server = http_server.HttpServer(1 << 20, stall_s=STALL_S)

    async def answer(request):
        response = web.Response(body=BODIES[request.path])
        if request.path == '/fitting':
            connection = request.transport.get_extra_info('socket')
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        try:
            await http_guard.finish_response(request, response)
        except (ConnectionError, asyncio.CancelledError):
            fates.put_nowait('gone')
            raise
        fates.put_nowait('taken')
        return response

    server.route_tracked('GET', '/{name}', answer)
    await server.start(IP, 0)
    yield server, fates
    await server.close()


async def ask(server, path):
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
    async def test_caller_that_vanishes_before_reading(self, served):
        """The account claims an answer that its caller never got whole.

        The caller sends a request, does not read, and vanishes while
        most of the answer waits in the entry's buffer.  The cause would
        be taking the end of the last write for delivery.
        """
        server, fates = served
        reader, writer = await ask(server, '/fitting')
        await reader.readexactly(10)
        writer.transport.abort()
        assert await asyncio.wait_for(fates.get(), 30) == 'gone'

    async def test_caller_that_never_reads_is_given_up(self, served):
        server, fates = served
        _, writer = await ask(server, '/big')
        assert await asyncio.wait_for(fates.get(), 30) == 'gone'
        writer.close()

    async def test_whole_answers_are_taken_on_one_connection(self, served):
        server, fates = served
        reader, writer = await ask(server, '/big')
        head = await reader.readuntil(b'\r\n\r\n')
        assert b'200 OK' in head
        assert await reader.readexactly(len(BIG)) == BIG
        assert await fates.get() == 'taken'
        writer.write(b'GET /small HTTP/1.1\r\nHost: x\r\n\r\n')
        await reader.readuntil(b'\r\n\r\n')
        assert await reader.readexactly(5) == b'small'
        assert await fates.get() == 'taken'
        writer.close()
