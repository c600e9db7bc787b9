"""A TCP relay that tests use to cut, stall and delay connections."""

import asyncio
import contextlib
import socket

from tests import standin_crashes

IP = '127.0.0.1'
_CHUNK_BYTES = 1 << 16


class Relay:
    """Forwards connections to one address, with faults on request.

    Bytes that are stalled are kept, as TCP keeps them by retransmission:
    they arrive when the link heals.  Use it as an async context.

    `wait_for(text)` gives an event that is set when data that contains
    some text arrives on its way to the target, held back or not.

    With `drops_close` the target does not learn that a caller has closed
    its connection, as if the FIN were lost on the way.

    `cut_after_bytes` holds one limit for each of the next connections:
    every connection is reset when more bytes of that one's answer have
    arrived.

    `new_echo` returns, for the writer to a caller, what may answer twice on
    that connection (see `soak_duplicates`).
    """

    def __init__(self, port, ip=IP, listen_ip=IP):
        self._target = (ip, port)
        self.ip = listen_ip
        self.delay_s = 0.0
        self.drops_close = False
        self.cut_after_bytes = []
        self.new_echo = None
        self.connection_count = 0
        self._target_gate = asyncio.Event()
        self._caller_gate = asyncio.Event()
        self._writers = set()
        self._tasks = set()
        self._server = None
        self._awaited = {}
        self.port = 0

    async def __aenter__(self):
        self.heal()
        # While the link is cut, no socket listens.  Without this one, any
        # other connection could get the port that `reopen` needs.
        self._held = _bind(self.ip, 0)
        self.port = self._held.getsockname()[1]
        await self._listen()
        return self

    async def __aexit__(self, *exception):
        await self.cut()
        self._held.close()

    async def _listen(self):
        self._server = await asyncio.start_server(
            self._serve, sock=_bind(self.ip, self.port)
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
        """Reset every connection, and go on accepting new ones."""
        for writer in self._writers:
            standin_crashes.reset_on_close(writer.transport)
            writer.transport.abort()

    async def reopen(self):
        """Accept connections again after `cut`."""
        self.heal()
        if self._server is None:
            await self._listen()

    def half_open(self):
        """Keep connections, and accept new ones, but forward nothing."""
        self._target_gate.clear()
        self._caller_gate.clear()

    def stall_open_connections(self):
        """Forward nothing on the present connections, now or later.

        New connections work.
        """
        self.half_open()
        self._target_gate = asyncio.Event()
        self._caller_gate = asyncio.Event()
        self.heal()

    def one_way(self):
        """Forward what goes to the target, and hold back its answers."""
        self._target_gate.set()
        self._caller_gate.clear()

    def heal(self):
        """Forward everything, including what was held back."""
        self._target_gate.set()
        self._caller_gate.set()

    def wait_for(self, text):
        """Return an event that is set once some bytes arrive here."""
        return self._awaited.setdefault(text, asyncio.Event())

    def _record(self, data):
        for text, event in self._awaited.items():
            if text in data:
                event.set()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        self._tasks.add(asyncio.current_task())
        self.connection_count += 1
        target_gate, caller_gate = self._target_gate, self._caller_gate
        limit = self.cut_after_bytes.pop(0) if self.cut_after_bytes else None
        try:
            held = await self._wait_until_open(reader, target_gate)
            target = await asyncio.open_connection(*self._target)
            self._writers.add(target[1])
            target[1].write(held)
            echo = self.new_echo(writer) if self.new_echo else None
            if echo and held:
                echo.record_request(held)
            await asyncio.gather(
                self._pump_to_target(reader, target[1], target_gate, echo),
                self._pump_to_caller(
                    target[0], writer, caller_gate, limit, echo
                ),
            )
        except (OSError, asyncio.CancelledError):
            # The cancellation is not raised again, since asyncio streams of
            # Python 3.11 log a handler task that ends as cancelled.
            writer.transport.abort()
        finally:
            self._tasks.discard(asyncio.current_task())
            self._writers.discard(writer)
            writer.close()

    async def _pump_to_target(self, reader, writer, is_open, echo):
        with contextlib.closing(writer):
            while data := await reader.read(_CHUNK_BYTES):
                self._record(data)
                await asyncio.sleep(self.delay_s)
                data += await self._wait_until_open(reader, is_open)
                if echo:
                    echo.record_request(data)
                writer.write(data)
                await writer.drain()
            if self.drops_close:
                await writer.wait_closed()

    async def _pump_to_caller(self, reader, writer, is_open, limit, echo):
        passed = 0
        with contextlib.closing(writer):
            while data := await reader.read(_CHUNK_BYTES):
                await asyncio.sleep(self.delay_s)
                await is_open.wait()
                passed += len(data)
                if limit is not None and passed > limit:
                    self.reset()
                    return
                writer.write(echo.answer_bytes(data) if echo else data)
                await writer.drain()
            if echo:
                writer.write(echo.last_bytes())

    async def _wait_until_open(self, reader, is_open):
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
                self._record(held)
            if reader.at_eof():
                await is_open.wait()
        return held


def _bind(ip, port):
    """Return a socket on a port that only SO_REUSEPORT sockets can share."""
    found = socket.socket()
    found.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    found.bind((ip, port))
    return found
