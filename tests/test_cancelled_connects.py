"""Connections that are given up while they are being opened."""

import asyncio
import gc
import os
import socket

from lacewingpitch import event_loop
from lacewingpitch import reusable_connection
from lacewingpitch import single_sending

_FILE_COUNT = 40
TIMEOUT_S = 1.0


class GivenUpConnection(reusable_connection.ReusableConnection):
    """Connection whose request is cancelled before it is made."""

    def __init__(self, loop):
        super().__init__(loop)
        loop.call_soon(asyncio.current_task(loop).cancel)


async def _give_up(url):
    """Give up a request; return its error, which refers to its sockets."""
    connector = reusable_connection.new_connector(GivenUpConnection)
    async with single_sending.new_session(connector=connector) as session:
        try:
            await session.get(url)
        except asyncio.CancelledError as error:
            asyncio.current_task().uncancel()
            return error


class Server:
    """Accepts connections, and keeps them open."""

    def __init__(self):
        self.port = 0
        self.writers = []

    async def __aenter__(self):
        server = await asyncio.start_server(self._accept, '127.0.0.1')
        self._server = await server.__aenter__()
        self.port = server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *exception):
        await self._server.__aexit__(*exception)

    async def _accept(self, _reader, writer):
        self.writers.append(writer)

    async def connect(self):
        """Return a socket that is connected, and accepted."""
        found = socket.create_connection(('127.0.0.1', self.port))
        found.settimeout(TIMEOUT_S)
        count = len(self.writers)
        while len(self.writers) == count:
            await asyncio.sleep(0.001)
        return found


def _open_files():
    return [os.open(os.devnull, os.O_RDONLY) for _ in range(_FILE_COUNT)]


def _close(files):
    """Close files; return those that were closed before."""
    found = []
    for file in files:
        try:
            os.close(file)
        except OSError:
            found.append(file)
    return found


class TestGivenUp:
    def test_it_closes_no_other_descriptor(self):
        """Guards against a descriptor that is closed twice."""

        async def main():
            async with Server() as server:
                error = await _give_up(f'http://127.0.0.1:{server.port}/')
                await asyncio.sleep(0.01)
                files = _open_files()
                del error
                gc.collect()
                return _close(files)

        assert event_loop.run(main()) == []

    def test_each_caller_gets_its_own_answer(self):
        """Guards against one connection's bytes on another connection."""

        async def main():
            async with Server() as other, Server() as server:
                error = await _give_up(f'http://127.0.0.1:{other.port}/')
                await asyncio.sleep(0.01)
                callers = [await server.connect() for _ in range(2)]
                del error
                gc.collect()
                callers += [await server.connect() for _ in range(2)]
                for number, writer in enumerate(server.writers):
                    writer.write(b'%d' % number)
                # The loop sends what was written in its next step.
                await asyncio.sleep(0.01)
                return [_read(caller) for caller in callers]

        assert event_loop.run(main()) == [b'0', b'1', b'2', b'3']


def _read(caller):
    with caller:
        try:
            return caller.recv(1)
        except OSError as error:
            return repr(error)
