"""Connections that are given up while they are being opened."""

import asyncio
import gc
import os

from lacewingpitch import event_loop
from lacewingpitch import reusable_connection
from lacewingpitch import single_sending

_FILE_COUNT = 40


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


class TestDescriptors:
    def test_a_connect_that_is_cancelled_closes_no_other_connection(self):
        """Guards against one connection's bytes on another connection."""

        async def main():
            server = await asyncio.start_server(lambda *_: None, '127.0.0.1')
            port = server.sockets[0].getsockname()[1]
            async with server:
                error = await _give_up(f'http://127.0.0.1:{port}/')
                await asyncio.sleep(0.01)
                files = _open_files()
                del error
                gc.collect()
                return _close(files)

        assert event_loop.run(main()) == []
