"""Crashes of the stand-in's servers, and answers that mark no end."""

import asyncio
import dataclasses
import random
import socket
import struct

CRASH_AFTER_S = 0.05
PARTS = 'Prompt-Prefix'


@dataclasses.dataclass(frozen=True)
class CrashWay:
    """How a server crashes under a request.

    Parameters
    ----------
    events
        Whole events of the answer that it sends before.
    is_in_order
        Whether connections are closed, rather than reset.
    """

    events: int = 0
    is_in_order: bool = False


RESET = CrashWay()
# An answer without a length that ends as if it were whole.
IN_ORDER = (CrashWay(0, True), CrashWay(1, True))


class Crashes:
    """Which requests crash a server, and in which ways.

    Attributes
    ----------
    body, part
        A request with this body, or with this part in its prompt, crashes
        the server; ``None`` for no such request.
    ways
        The ways of crashes, drawn at random.
    is_unframed
        Whether answers have neither a length nor chunks.
    on_crash
        Called with the server.
    """

    def __init__(self):
        self.body = None
        self.part = None
        self.ways = (RESET,)
        self.is_unframed = False
        self.count = 0
        self.on_crash = None
        self._random = random.Random(3)

    def is_deadly(self, request, body):
        """Whether a request crashes the server."""
        if self.body is not None and body == self.body:
            return True
        return self.part is not None and self.part in part_ids(request)

    async def crash_under(self, server, request):
        """Begin the answer to a request, and crash the server."""
        way = self._random.choice(self.ways)
        if way.is_in_order:
            begin_unframed(server, request)
            for number in range(1, way.events + 1):
                request.transport.write(event(number))
        await asyncio.sleep(CRASH_AFTER_S)
        if not server.is_down:
            server.crash(way.is_in_order)


def part_ids(request):
    """Return the ids of the parts of a prompt but for the last."""
    listed = request.headers.get(PARTS, '').split(',')[:-1]
    return [part.partition(':')[0] for part in listed]


def event(number, text=b'x'):
    """Return the bytes of an event."""
    return b'id: %d\ndata: %s\n\n' % (number, text)


def begin_unframed(server, request):
    """Write the head of an answer that ends with its connection."""
    headers = {
        'Content-Type': 'text/event-stream',
        **server.answer_headers(request),
    }
    lines = [f'{name}: {value}' for name, value in headers.items()]
    head = '\r\n'.join(['HTTP/1.1 200 OK', *lines, '', ''])
    request.transport.write(head.encode())


def close_all(transports, is_in_order):
    """End connections as a crash does."""
    for transport in list(transports):
        if is_in_order:
            transport.close()
        else:
            reset_on_close(transport)
            transport.abort()


def reset_on_close(transport):
    """Have a connection end by a reset once it is closed."""
    found = transport.get_extra_info('socket')
    if found is None or found.fileno() < 0:
        return
    found.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
