"""Answers without a length whose connection is reset or closed."""

import asyncio
import contextlib
import socket
import struct
import threading

import aiohttp
import pytest

from lacewingpitch import event_loop
from lacewingpitch import guarded_connection
from lacewingpitch import single_sending

# How an event loop reports a reset depends on what else has just arrived.
CALL_COUNT = 20
ANSWER = b'HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: x\n\n'
BODY = ANSWER.partition(b'\r\n\r\n')[2]


def serve(listening, is_reset):
    """Answer, and end each connection, until the socket is shut down."""
    with contextlib.suppress(OSError):
        while True:
            connection, _ = listening.accept()
            with connection:
                connection.recv(1 << 16)
                connection.sendall(ANSWER)
                if is_reset:
                    linger = struct.pack('ii', 1, 0)
                    connection.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, linger
                    )


@contextlib.contextmanager
def server(is_reset):
    """Serve in a thread; yield the URL."""
    with socket.create_server(('127.0.0.1', 0)) as listening:
        serving = threading.Thread(target=serve, args=(listening, is_reset))
        serving.start()
        try:
            yield f'http://127.0.0.1:{listening.getsockname()[1]}/'
        finally:
            listening.shutdown(socket.SHUT_RDWR)
            serving.join()


async def read(url):
    """Return a body; ``None`` if it is broken off."""
    async with single_sending.new_session(
        connector=guarded_connection.new_connector(force_close=True)
    ) as session:
        try:
            async with session.get(url) as response:
                return await response.content.read()
        except (aiohttp.ClientError, OSError):
            return None


async def read_all(url):
    return {await read(url) for _ in range(CALL_COUNT)}


@pytest.mark.parametrize('run', [asyncio.run, event_loop.run])
class TestAnswersWithoutLength:
    def test_that_are_reset_are_broken_off(self, run):
        """Guards against a part of an answer that passes for the whole."""
        with server(is_reset=True) as url:
            assert run(read_all(url)) == {None}

    def test_whose_connection_is_closed_are_whole(self, run):
        """Guards against whole answers that are broken off."""
        with server(is_reset=False) as url:
            assert run(read_all(url)) == {BODY}
