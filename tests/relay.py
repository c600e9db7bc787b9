"""A TCP relay that cuts, stalls and delays what passes through it."""

import asyncio
import contextlib
import socket

IP = '127.0.0.1'
_CHUNK_BYTES = 1 << 16


class Relay:
    """Passes connections on to one address, until told otherwise.

    Bytes that are stalled are kept, as TCP keeps them by sending again:
    they arrive when the link heals.  Use it as an async context.

    `wait_for(text)` says when a message to the target arrives here that
    has some text in it, held back or not.

    With `loses_ends` the target is not told that a caller has closed its
    connection, as where the end of it is lost on the way.

    `cut_after_bytes` breaks each of the next connections when so many
    bytes of the answer have passed; one number for each connection.
    """

    def __init__(self, port, ip=IP, listen_ip=IP):
        self._target = (ip, port)
        self.ip = listen_ip
        self.delay_s = 0.0
        self.loses_ends = False
        self.cut_after_bytes = []
        self.connection_count = 0
        self._towards = asyncio.Event()
        self._back = asyncio.Event()
        self._writers = set()
        self._tasks = set()
        self._server = None
        self._awaited = {}
        self.port = 0

    async def __aenter__(self):
        self.heal()
        # While the link is cut nobody listens, and without this any
        # other connection could take the port that `mend` needs again.
        self._held = _bound(self.ip, 0)
        self.port = self._held.getsockname()[1]
        await self._listen()
        return self

    async def __aexit__(self, *exception):
        await self.cut()
        self._held.close()

    async def _listen(self):
        self._server = await asyncio.start_server(
            self._serve, sock=_bound(self.ip, self.port)
        )

    async def cut(self):
        """Reset every connection, and refuse new ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset(self):
        """Reset every connection, and go on taking new ones."""
        for writer in self._writers:
            writer.transport.abort()

    async def mend(self):
        """Take connections again after `cut`."""
        self.heal()
        if self._server is None:
            await self._listen()

    def half_open(self):
        """Keep connections, and take new ones, but pass nothing on."""
        self._towards.clear()
        self._back.clear()

    def stall(self):
        """Pass nothing on in the present connections, now or later."""
        self.half_open()
        self._towards = asyncio.Event()
        self._back = asyncio.Event()
        self.heal()

    def one_way(self):
        """Pass on what goes to the target, and hold what comes back."""
        self._towards.set()
        self._back.clear()

    def heal(self):
        """Pass everything on, also what was held."""
        self._towards.set()
        self._back.set()

    def wait_for(self, text):
        """Return an event that is set once some text arrives here."""
        return self._awaited.setdefault(text, asyncio.Event())

    def _note(self, data):
        for text, event in self._awaited.items():
            if text in data:
                event.set()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        self._tasks.add(asyncio.current_task())
        self.connection_count += 1
        towards, back = self._towards, self._back
        limit = self.cut_after_bytes.pop(0) if self.cut_after_bytes else None
        try:
            held = await self._hold(reader, towards)
            there = await asyncio.open_connection(*self._target)
            self._writers.add(there[1])
            there[1].write(held)
            await asyncio.gather(
                self._pump_towards(reader, there[1], towards),
                self._pump_back(there[0], writer, back, limit),
            )
        except (OSError, asyncio.CancelledError):
            # Streams of this version log a task that ends as cancelled.
            writer.transport.abort()
        finally:
            self._tasks.discard(asyncio.current_task())
            self._writers.discard(writer)
            writer.close()

    async def _pump_towards(self, reader, writer, is_open):
        with contextlib.closing(writer):
            while data := await reader.read(_CHUNK_BYTES):
                self._note(data)
                await asyncio.sleep(self.delay_s)
                data += await self._hold(reader, is_open)
                writer.write(data)
                await writer.drain()
            if self.loses_ends:
                await writer.wait_closed()

    async def _pump_back(self, reader, writer, is_open, limit):
        passed = 0
        with contextlib.closing(writer):
            while data := await reader.read(_CHUNK_BYTES):
                await asyncio.sleep(self.delay_s)
                await is_open.wait()
                passed += len(data)
                if limit is not None and passed > limit:
                    self.reset()
                    return
                writer.write(data)
                await writer.drain()

    async def _hold(self, reader, is_open):
        """Wait until the link is open; return what arrived meanwhile."""
        if not self._awaited:
            await is_open.wait()
        held = b''
        while not is_open.is_set():
            tasks = [
                asyncio.create_task(reader.read(_CHUNK_BYTES)),
                asyncio.create_task(is_open.wait()),
            ]
            try:
                await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for task in tasks:
                    task.cancel()
            if tasks[0].done() and not tasks[0].cancelled():
                held += tasks[0].result()
                self._note(held)
            if reader.at_eof():
                await is_open.wait()
        return held


def _bound(ip, port):
    """Return a socket of a port that only sockets like it can share."""
    found = socket.socket()
    found.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    found.bind((ip, port))
    return found
