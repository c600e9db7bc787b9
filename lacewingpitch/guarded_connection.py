"""HTTP client connections that end when a server sends no answer.

By itself aiohttp limits the parts of a head, but neither what may come
between the parts of an answer nor what may come after it.
"""

import asyncio
from typing import Any

import aiohttp

from lacewingpitch import reusable_connection

# Bytes that are parsed between two checks.
_SLICE_BYTES = 1 << 15
# Heads of interim answers that came at once, or of answers nobody asked for.
_MAX_UNREAD_HEADS = 16
# Bytes beside the body: heads, and the framing of chunks.  A body has at
# least as many bytes as its framing, as servers send no chunks of few bytes.
_MAX_OVERHEAD_BYTES = 1 << 20


class GuardedConnection(reusable_connection.ReusableConnection):
    """Connection that is closed once its server sends too much beside bodies.

    Closing it never waits for the server, which may not read the request.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._received_bytes = 0

    def set_response_params(self, **options: Any) -> None:
        """Begin to read the answer to a request."""
        self._received_bytes = 0
        super().set_response_params(**options)

    def data_received(self, data: bytes) -> None:
        """Parse what arrived; close the connection if it is no answer."""
        if not data:
            # More of what arrived before is parsed.
            super().data_received(data)
        for start in range(0, len(data), _SLICE_BYTES):
            self._parse(data[start : start + _SLICE_BYTES])
            if self.transport is None or self.transport.is_closing():
                return

    def _parse(self, data: bytes) -> None:
        transport = self.transport
        self._received_bytes += len(data)
        super().data_received(data)
        if transport is None:
            return
        if transport.is_closing():
            # It was closed as what arrived breaks the protocol.
            transport.abort()
        elif self._is_endless:
            transport.abort()
            self._fail()

    def close(self) -> None:
        """Close the connection, also if a part of the request is unsent."""
        transport = self.transport
        if transport is not None and transport.get_write_buffer_size():
            self.abort()
        else:
            super().close()

    @property
    def _is_endless(self) -> bool:
        if len(self) > _MAX_UNREAD_HEADS:
            return True
        body_bytes = self._payload.total_bytes if self._payload else 0
        overhead_bytes = self._received_bytes - body_bytes
        return overhead_bytes > _MAX_OVERHEAD_BYTES + body_bytes

    def _fail(self) -> None:
        error = aiohttp.ClientPayloadError('too many bytes beside the body')
        payload = self._payload
        self.set_exception(error)
        if payload is not None and not payload.is_eof():
            payload.set_exception(error)


def new_connector(**options: Any) -> aiohttp.TCPConnector:
    """Return a connector whose connections are guarded."""
    return reusable_connection.new_connector(GuardedConnection, **options)
