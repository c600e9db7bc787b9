"""Clients of an entry that send too much, or never finish, on raw sockets."""

import asyncio
import contextlib
import pathlib
import re

PIECE_BYTES = 1 << 16
# Bounds clients that send without end; a reader that goes on is seen by then.
ENDLESS_BYTES = 16 << 20
SETTLE_S = 20.0
REPEAT_S = 10.0
_BYTES_PER_KB = 1024


def head(path, *fields, request_id='crowd', method='POST'):
    """Return the head of a request, without the line that ends it."""
    lines = (
        f'{method} {path} HTTP/1.1',
        'Host: h.example',
        f'Request-Id: {request_id}',
        'Deadline-Ms: 30000',
        *fields,
    )
    return ''.join(f'{line}\r\n' for line in lines).encode()


class Crowd:
    """Connections that play the same script until the context exits.

    A script is called with the reader and the writer of its connection.  If
    `is_repeated`, it is played on new connections for all the time.

    Attributes
    ----------
    closed_count
        How many connections the server has closed.
    """

    def __init__(self, address, script, client_count, is_repeated=False):
        self._is_repeated = is_repeated
        self._host, _, port = address.rpartition(':')
        self._port = int(port)
        self._script = script
        self._client_count = client_count
        self._tasks = []
        self._playing_count = client_count
        self.closed_count = 0

    async def __aenter__(self):
        self._tasks = [
            asyncio.create_task(self._play())
            for _ in range(self._client_count)
        ]
        return self

    async def __aexit__(self, *exception):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def settle(self):
        """Wait until the scripts are over, for `SETTLE_S` at most."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SETTLE_S):
                while self._playing_count:
                    await asyncio.sleep(0.05)

    async def _play(self):
        while self._is_repeated:
            with contextlib.suppress(OSError, TimeoutError):
                await self._play_once()
        writer = None
        is_closed = False
        try:
            reader, writer = await asyncio.open_connection(
                self._host, self._port, limit=PIECE_BYTES
            )
            await self._script(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            is_closed = True
        self._playing_count -= 1
        self.closed_count += is_closed
        try:
            await asyncio.Event().wait()
        finally:
            if writer is not None:
                writer.transport.abort()

    async def _play_once(self):
        reader, writer = await asyncio.open_connection(self._host, self._port)
        try:
            async with asyncio.timeout(REPEAT_S):
                await self._script(reader, writer)
        finally:
            writer.transport.abort()


async def write(writer, data, piece_bytes=PIECE_BYTES, pause_s=0.0):
    """Write data in pieces."""
    for start in range(0, len(data), piece_bytes):
        writer.write(data[start : start + piece_bytes])
        await writer.drain()
        if pause_s:
            await asyncio.sleep(pause_s)


async def write_without_end(writer, piece):
    """Write until the server closes, or `ENDLESS_BYTES` were taken."""
    for _ in range(ENDLESS_BYTES // len(piece)):
        writer.write(piece)
        await writer.drain()


def peak_memory_bytes(process_id):
    """Return the largest resident size of a process so far."""
    status = pathlib.Path(f'/proc/{process_id}/status').read_text()
    return int(re.search(r'VmHWM:\s+(\d+) kB', status)[1]) * _BYTES_PER_KB


def descriptor_count(process_id):
    """Return how many descriptors a process has open."""
    return len(list(pathlib.Path(f'/proc/{process_id}/fd').iterdir()))
