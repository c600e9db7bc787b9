"""A TCP relay whose open connections go silent, as behind a middle box."""

import asyncio
import contextlib

IP = '127.0.0.1'
_CHUNK_BYTES = 1 << 16


class SilencingRelay:
    """Forwards connections to one port; use it as an async context.

    Attributes
    ----------
    connection_count
        Connections accepted so far.
    open_count
        Those that their caller has not closed.
    """

    def __init__(self, port):
        self._target_port = port
        self._silenced_count = 0
        self._tasks = set()
        self._writers = set()
        self.connection_count = 0
        self.open_count = 0

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, IP, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *exception):
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def silence(self):
        """Drop all further bytes of the present connections, for good."""
        self._silenced_count = self.connection_count

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        self._writers.add(writer)
        self.connection_count += 1
        self.open_count += 1
        number = self.connection_count
        target_reader, target_writer = await asyncio.open_connection(
            IP, self._target_port
        )
        self._writers.add(target_writer)
        back = asyncio.create_task(self._pump(target_reader, writer, number))
        self._tasks.add(back)
        await self._pump(reader, target_writer, number)
        self.open_count -= 1
        # Nothing of a silent connection arrives, not even its end.
        if number > self._silenced_count:
            target_writer.close()

    async def _pump(self, reader, writer, number):
        with contextlib.suppress(OSError):
            while data := await reader.read(_CHUNK_BYTES):
                if number > self._silenced_count:
                    writer.write(data)
                    await writer.drain()
