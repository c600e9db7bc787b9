"""A TCP relay between two processes, which cuts or stalls on command."""

import asyncio
import contextlib

_CHUNK_BYTES = 1 << 16


class CuttingRelay:
    """Passes bytes on to `port` until told to stop.

    `cut_after_bytes` breaks each of the next connections when so many
    bytes of the answer have passed; one number for each connection.
    """

    def __init__(self, ip, port):
        self._ip = ip
        self._target_port = port
        self._writers = set()
        self._flowing = self._open_gate()
        self.cut_after_bytes = []
        self.connection_count = 0

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._pass, self._ip, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *exception):
        self._server.close()
        self.cut()

    def cut(self):
        """Break every connection."""
        for writer in self._writers:
            writer.transport.abort()

    def stall(self):
        """Keep the present connections, but pass nothing on in them."""
        self._flowing.clear()
        self._flowing = self._open_gate()

    @staticmethod
    def _open_gate():
        gate = asyncio.Event()
        gate.set()
        return gate

    async def _pass(self, reader, writer):
        self.connection_count += 1
        limit = self.cut_after_bytes.pop(0) if self.cut_after_bytes else None
        try:
            back, forth = await asyncio.open_connection(
                self._ip, self._target_port
            )
        except OSError:
            writer.transport.abort()
            return
        gate = self._flowing
        ends = {writer, forth}
        self._writers |= ends
        await asyncio.gather(
            self._copy(gate, reader, forth, None),
            self._copy(gate, back, writer, limit),
        )
        for end in ends:
            end.transport.abort()
        self._writers -= ends

    async def _copy(self, gate, reader, writer, limit):
        passed = 0
        with contextlib.suppress(OSError):
            while data := await reader.read(_CHUNK_BYTES):
                await gate.wait()
                passed += len(data)
                if limit is not None and passed > limit:
                    self.cut()
                    return
                writer.write(data)
                await writer.drain()
        writer.transport.abort()
