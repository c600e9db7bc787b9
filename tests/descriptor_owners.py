"""Shows descriptors that are closed by others than their owners."""

import asyncio
from asyncio import streams
import os

from aiohttp import base_protocol


class LostDescriptorError(Exception):
    """A connection uses a descriptor that is no longer its own."""


class Owners:
    """The descriptor that each open connection of this process has.

    A descriptor that is closed by another than its connection is given out
    again at once, and two connections then share it.

    Attributes
    ----------
    count
        How many connections have been watched.
    """

    def __init__(self):
        self.count = 0
        # Transport, number and socket of each connection.
        self._owned = []

    def watch_all(self, monkeypatch):
        """Watch the connections of aiohttp and of asyncio's streams."""
        for kind in (base_protocol.BaseProtocol, streams.StreamReaderProtocol):
            self._watch_kind(monkeypatch, kind)

    def _watch_kind(self, monkeypatch, kind):
        made = kind.connection_made

        def connection_made(protocol, transport):
            self.add(transport)
            made(protocol, transport)

        monkeypatch.setattr(kind, 'connection_made', connection_made)

    def add(self, transport):
        """Watch a connection until it closes its descriptor."""
        number = _number(transport)
        self.count += 1
        self._owned.append((transport, number, _file(number)))

    async def check_each_step(self):
        """Check in each step of the event loop, in an endless loop."""
        while True:
            self.check()
            await asyncio.sleep(0)

    def check(self):
        """Check that each open connection has the descriptor it began with.

        Raises
        ------
        LostDescriptorError
            One has not: somebody else has closed it.
        """
        # The number is negative once the connection has closed it.
        self._owned = [
            owned for owned in self._owned if _number(owned[0]) >= 0
        ]
        for _, number, file in self._owned:
            found = _file(number)
            if found != file:
                raise LostDescriptorError(
                    f'descriptor {number} was {file}, and is {found}'
                )


def _number(transport):
    found = transport.get_extra_info('socket')
    return -1 if found is None else found.fileno()


def _file(number):
    """Return what a descriptor refers to; an error if it is closed."""
    try:
        status = os.fstat(number)
    except OSError as error:
        return repr(error)
    return status.st_dev, status.st_ino
