"""A server that writes more than its answers, by a seeded script."""

import asyncio
import contextlib
import dataclasses
import random
import re
import threading

from lacewingpitch import event_loop
from tests import standin_crashes

_LENGTH = re.compile(rb'(?i)\r\ncontent-length: *(\d+)')
_REQUEST_ID = re.compile(rb'(?i)\r\n(?:x|request)-id: *(\S+)')
_REASONS = {200: 'OK', 421: 'Misdirected', 500: 'Error', 503: 'Busy'}
# What the bodies of requests consist of.
BODY_BYTE = b'b'
# What a second answer says of itself.
KINDS = (
    'same',
    'without id',
    'two ids',
    'lower case',
    'spaces',
    '421',
    '421 without id',
    '503',
    '503 without id',
    '500',
    '500 without id',
    '204',
    '304',
    '100',
    '103',
    'garbage',
)
# Sizes of answers; the largest ones fill the buffers of a client.
SIZES = (0, *[5] * 6, *[400] * 6, 40_000, 40_000, 200_000)
MOMENTS = ('at once', 'some ms later', 'before the next', 'split')


@dataclasses.dataclass
class Journal:
    """What servers have seen and written, by request.

    Attributes
    ----------
    ran
        Requests that the server ran.
    answers
        Status and body of each whole answer, by request.
    changed
        Requests with other bytes where their bodies were due.
    second_count
        Number of second answers.
    """

    ran: set[str] = dataclasses.field(default_factory=set)
    answers: dict[str, list[tuple[int, bytes]]] = dataclasses.field(
        default_factory=dict
    )
    changed: set[str] = dataclasses.field(default_factory=set)
    second_count: int = 0


def _head(status, fields, body, framing='length'):
    version = '1.0' if framing == '1.0' else '1.1'
    lines = [f'HTTP/{version} {status} {_REASONS.get(status, "Other")}']
    lines += fields
    if framing == 'chunked':
        lines.append('Transfer-Encoding: chunked')
    elif framing != 'unframed' and status >= 200 and status != 204:
        lines.append(f'Content-Length: {len(body)}')
    if framing == 'close':
        lines.append('Connection: close')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()


def _framed(body, framing, source):
    if framing != 'chunked':
        return body
    parts = []
    while body:
        size = source.randint(1, len(body))
        parts.append(b'%x\r\n%s\r\n' % (size, body[:size]))
        body = body[size:]
    return b''.join(parts) + b'0\r\n\r\n'


def second_answer(kind, request_id, body):
    """Return the bytes of an answer that belongs to no request."""
    fields = [f'Request-Id: {request_id}']
    if kind == 'garbage':
        return b'\x00\x01 no answer\r\n\r\n'
    if kind == 'two ids':
        fields.append('Request-Id: another')
    elif kind == 'lower case':
        fields = [f'request-id:{request_id}']
    elif kind == 'spaces':
        fields = [f'Request-Id:  {request_id}  ']
    if kind.endswith('without id'):
        fields = []
    status = kind.partition(' ')[0]
    status = int(status) if status.isdigit() else 200
    if status in (421, 503):
        fields.append('Not-Executed: 1')
    if status < 200 or status in (204, 304):
        body = b''
    return _head(status, fields, body) + body


def _put(writer, data):
    if writer.is_closing():
        raise ConnectionResetError('the client has closed the connection')
    writer.write(data)


class DuplicatingServer:
    """Answers each request once, and some a second time.

    Parameters
    ----------
    kinds, moments
        What its second answers may be, and when they may come.
    second_ratio
        Ratio of requests that it answers twice.
    is_ambiguous
        Whether second answers follow bodies without an end of their own.
    """

    def __init__(
        self,
        seed,
        journal,
        kinds=KINDS,
        moments=MOMENTS,
        second_ratio=0.4,
        is_ambiguous=False,
    ):
        self._is_ambiguous = is_ambiguous
        self._source = random.Random(seed)
        self._journal = journal
        self._kinds = kinds
        self._moments = moments
        self._second_ratio = second_ratio
        self._tasks = set()

    async def serve(self, reader, writer):
        """Serve one connection."""
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            with contextlib.suppress(
                ConnectionError, asyncio.IncompleteReadError
            ):
                await self._serve(reader, writer)
        finally:
            self._tasks.discard(task)
            writer.close()

    async def close(self):
        """End all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer):
        source = self._source
        # What is written before the next answer, once its request arrived.
        due = b''
        while True:
            head = await reader.readuntil(b'\r\n\r\n')
            found = _REQUEST_ID.search(head)
            request_id = found[1].decode() if found else 'unknown'
            is_head = head.startswith(b'HEAD ')
            found = _LENGTH.search(head)
            length = int(found[1]) if found else 0
            is_early = length and source.random() < 0.4
            if not is_early:
                await self._read_body(reader, request_id, length)
            _put(writer, due)
            due = b''
            if source.random() < 0.5:
                await asyncio.sleep(source.choice((0, 0.001, 0.004)))
            framing, body, is_reset = self._write(request_id, is_head, writer)
            if (
                self._may_duplicate(framing)
                and source.random() < self._second_ratio
            ):
                due = await self._write_second(request_id, body, writer)
            if is_reset or framing not in ('length', 'chunked'):
                if is_reset:
                    standin_crashes.reset_on_close(writer.transport)
                return
            if is_early:
                await asyncio.sleep(source.choice((0, 0.002, 0.01)))
                await self._read_body(reader, request_id, length)

    async def _read_body(self, reader, request_id, length):
        body = await reader.readexactly(length)
        if body != BODY_BYTE * length:
            self._journal.changed.add(request_id)

    def _may_duplicate(self, framing):
        # What follows a body without an end, or one that was cut short, can't
        # be told from it.
        return framing not in ('unframed', 'cut') or self._is_ambiguous

    def _write(self, request_id, is_head, writer):
        """Write the one answer that belongs to a request."""
        source = self._source
        framing = source.choices(
            ('length', 'chunked', 'unframed', '1.0', 'close'),
            (10, 10, 2, 1, 1),
        )[0]
        size = source.choice(SIZES)
        body = (f'{request_id} {source.random()} '.encode() * size)[:size]
        status = source.choices((200, 500, 503, 421, 204), (20, 2, 1, 1, 1))[0]
        fields = [
            f'Request-Id: {request_id}',
            f'Response-Signature: {source.random()}',
        ]
        if status in (421, 503):
            fields.append('Not-Executed: 1')
        else:
            self._journal.ran.add(request_id)
        if status == 204:
            framing, body = 'length', b''
        data = _head(status, fields, body, framing)
        if not is_head:
            data += _framed(body, framing, source)
        seen = b'' if is_head else body
        self._journal.answers.setdefault(request_id, []).append((status, seen))
        if source.random() < 0.1:
            interim = b'HTTP/1.1 103 Early Hints\r\n\r\n'
            data = interim * source.randint(1, 3) + data
        if framing != 'unframed' and source.random() < 0.04:
            # Cut short, and the connection is reset or closed.
            _put(writer, data[: source.randint(1, len(data))])
            return 'cut', body, source.random() < 0.5
        _put(writer, data)
        return framing, body, False

    async def _write_second(self, request_id, body, writer):
        """Write a second answer; return what is due before the next one."""
        source = self._source
        self._journal.second_count += 1
        data = second_answer(
            source.choice(self._kinds), request_id, b'2' + body[1:]
        )
        moment = source.choice(self._moments)
        if moment == 'before the next':
            return data
        if moment == 'split':
            cut = source.randint(1, len(data) - 1)
            await asyncio.sleep(source.choice((0, 0.001, 0.003)))
            _put(writer, data[:cut])
            return data[cut:]
        if moment == 'some ms later':
            delay_s = source.uniform(0, 0.02)

            async def write_later():
                await asyncio.sleep(delay_s)
                with contextlib.suppress(ConnectionError):
                    _put(writer, data)

            task = asyncio.create_task(write_later())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            return b''
        _put(writer, data)
        return b''


@contextlib.contextmanager
def serving(servers):
    """Run servers in a thread of their own; yield their ports.

    They go on while the loop of the caller is held up.
    """
    ports = []
    is_ready = threading.Event()
    stop = []

    async def main():
        end = asyncio.Event()
        loop = asyncio.get_running_loop()
        stop.append(lambda: loop.call_soon_threadsafe(end.set))
        async with contextlib.AsyncExitStack() as exits:
            for server in servers:
                listening = await asyncio.start_server(
                    server.serve, '127.0.0.1', 0
                )
                ports.append(listening.sockets[0].getsockname()[1])
                exits.push_async_callback(server.close)
                exits.callback(listening.close)
            is_ready.set()
            await end.wait()

    thread = threading.Thread(target=lambda: event_loop.run(main()))
    thread.start()
    is_ready.wait()
    try:
        yield ports
    finally:
        stop[0]()
        thread.join()
