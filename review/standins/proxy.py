"""A TCP proxy that cuts a link, or lets open connections go silent."""

import asyncio
import contextlib

_CHUNK_BYTES = 1 << 16


class _Pair:
    """One connection and its continuation to the target."""

    def __init__(self, task: asyncio.Task[None]) -> None:
        self.task = task
        self.is_silent = False
        self.writers: list[asyncio.StreamWriter] = []

    def abort(self) -> None:
        """Reset both sides."""
        for writer in self.writers:
            writer.transport.abort()


class Proxy:
    """Forwards connections from one address to another.

    Attributes
    ----------
    connection_count
        Connections accepted so far.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self._target = target
        self._is_whole = asyncio.Event()
        self._is_whole.set()
        self._pairs: set[_Pair] = set()
        self._server: asyncio.Server | None = None
        self.connection_count = 0

    async def start(self, ip: str, port: int) -> None:
        """Listen at an address."""
        self._server = await asyncio.start_server(self._serve, ip, port)

    async def close(self) -> None:
        """Accept no more connections, and reset the open ones."""
        if self._server is not None:
            self._server.close()
        tasks = [pair.task for pair in self._pairs]
        for pair in self._pairs:
            pair.abort()
        self.heal()
        if tasks:
            await asyncio.wait(tasks)

    def cut(self) -> None:
        """Hold back all bytes, and new connections, until `heal`.

        TCP sends again what it has not got across, also the end of a
        connection.
        """
        self._is_whole.clear()

    def heal(self) -> None:
        """Pass on what was held back."""
        self._is_whole.set()

    def silence(self) -> int:
        """Drop all further bytes of the open connections, for good.

        They stay open, and new connections work.
        """
        for pair in self._pairs:
            pair.is_silent = True
        return len(self._pairs)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connection_count += 1
        task = asyncio.current_task()
        assert task is not None
        pair = _Pair(task)
        pair.writers.append(writer)
        self._pairs.add(pair)
        await self._is_whole.wait()
        try:
            target_reader, target_writer = await asyncio.open_connection(
                *self._target
            )
        except OSError:
            self._pairs.discard(pair)
            pair.abort()
            return
        pair.writers.append(target_writer)
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._copy(reader, target_writer, pair))
                tasks.create_task(self._copy(target_reader, writer, pair))
        finally:
            self._pairs.discard(pair)
            writer.close()
            target_writer.close()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        pair: _Pair,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(_CHUNK_BYTES):
                await self._is_whole.wait()
                if pair.is_silent:
                    continue
                writer.write(data)
                await writer.drain()
        await self._is_whole.wait()
        # The end of a silent connection does not arrive either.
        if not pair.is_silent:
            writer.close()
