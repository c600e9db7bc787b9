"""HTTP client connections that tell where an answer ends.

By itself aiohttp reads what a server wrote after an answer as the answer to
the next request, so that all later answers of the connection are shifted.  It
also takes a reset for the end of a body that does not mark its own.
"""

import asyncio
import errno
import functools
import os
import re
import select
import socket
from typing import Any

import aiohttp
from aiohttp import client_proto
from aiohttp import http_parser
from aiohttp import streams
import structlog

_MIN_FINAL_STATUS = 200
_HEAD_END = b'\r\n\r\n'
_STATUS_LINE = re.compile(rb'HTTP/\d\.\d \d{3}')
_STATUS_LINE_BYTES = len(b'HTTP/1.1 200')
log = structlog.get_logger(__name__)


class ReusableConnection(client_proto.ResponseHandler):
    """Connection that is closed, not reused, after more than its answers.

    An answer that arrives after the next request was sent can't be told from
    the answer to that one.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._has_final_head = False
        self._has_surplus = False
        # The last bytes of a head that has not ended.
        self._head_tail = b''
        self._reset_search()

    def set_response_params(self, **options: Any) -> None:
        """Begin to read the answer to a request."""
        self._has_final_head = False
        self._head_tail = b''
        self._reset_search()
        super().set_response_params(**options)

    def data_received(self, data: bytes) -> None:
        """Parse what arrived, and note what comes after the answer."""
        if data and self._is_answered:
            self._record_surplus('unexpected bytes')
        # If the parser fails on what follows a head, it also drops the heads
        # that it got with it.
        while not self._has_final_head and self.exception() is None:
            tail = self._head_tail
            start = (tail + data).find(_HEAD_END)
            end = start + len(_HEAD_END) - len(tail)
            if start < 0 or end >= len(data):
                break
            self._head_tail = b''
            self._feed(data[:end])
            data = data[end:]
        self._head_tail = (self._head_tail + data)[-len(_HEAD_END) + 1 :]
        self._feed(data)

    def feed_data(
        self,
        data: tuple[http_parser.RawResponseMessage, streams.StreamReader],
        size: int = 0,
    ) -> None:
        """Pass on the head of an answer."""
        if self._has_final_head:
            self._record_surplus('second answer')
        message, _ = data
        self._has_final_head = message.code >= _MIN_FINAL_STATUS
        # The framing of chunks shows by itself that a body was cut short.
        self._is_searched = not message.chunked
        super().feed_data(data, size)

    def eof_received(self) -> None:
        """End the answer; a reset breaks it off."""
        # uvloop may report a reset that follows data as an orderly end.
        if self._is_reset:
            self._break_off('reset before the end')
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the connection; a reset breaks off the answer in progress."""
        if isinstance(exc, OSError):
            self._break_off('reset before the end')
        super().connection_lost(exc)

    def is_connected(self) -> bool:
        """Whether it is connected, and may send another request if idle."""
        if not super().is_connected() or self._has_surplus:
            return False
        if self._is_answered and self._is_readable:
            self._record_surplus('unread bytes, or closed')
        return not self._has_surplus

    @property
    def _is_answered(self) -> bool:
        """Whether the answer to the last request has arrived whole."""
        payload = self._payload
        return (
            self._has_final_head and payload is not None and payload.is_eof()
        )

    @property
    def _is_reset(self) -> bool:
        """Whether the server has reset the connection, not closed it."""
        assert self.transport is not None
        fileno = self.transport.get_extra_info('socket').fileno()
        with socket.socket(fileno=os.dup(fileno)) as found:
            error = found.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        return error == errno.ECONNRESET

    def _feed(self, data: bytes) -> None:
        """Parse a part of an answer; break it off if it is none."""
        payload = self._payload
        is_body = self._has_final_head and not self._is_answered
        super().data_received(data)
        if is_body and self._is_searched:
            self._look_for_status_line(data)
        error = self.exception()
        if error is None:
            return
        # By itself aiohttp fails the next read of a head alone.
        self._break_off(str(error))
        if is_body and payload is not None and self._is_filled_up(payload):
            payload.set_exception(aiohttp.ClientPayloadError(str(error)))

    def _reset_search(self) -> None:
        # The last bytes after the head, in which a status line may begin.
        self._recent = b''
        self._searched_bytes = 0
        self._status_line_at: int | None = None
        self._is_searched = True

    def _look_for_status_line(self, data: bytes) -> None:
        recent = self._recent + data
        found = _STATUS_LINE.search(recent)
        if found and self._status_line_at is None:
            start = self._searched_bytes - len(self._recent)
            self._status_line_at = start + found.start()
        self._searched_bytes += len(data)
        self._recent = recent[-_STATUS_LINE_BYTES:]

    def _is_filled_up(self, body: streams.StreamReader) -> bool:
        """Whether a body may end in a part of another answer.

        If a body is cut short and another answer follows, the rest of that
        can't be read once the stated length is reached.
        """
        at = self._status_line_at
        return at is not None and at < body.total_bytes

    def _break_off(self, reason: str) -> None:
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(reason))

    @property
    def _is_readable(self) -> bool:
        """Whether the kernel holds something that the loop hasn't read."""
        assert self.transport is not None
        polled = select.poll()
        polled.register(
            self.transport.get_extra_info('socket').fileno(), select.POLLIN
        )
        return bool(polled.poll(0))

    def _record_surplus(self, reason: str) -> None:
        if self._has_surplus:
            return
        self._has_surplus = True
        self.force_close()
        transport = self.transport
        log.info(
            'connection not reused',
            reason=reason,
            peer=transport and transport.get_extra_info('peername'),
        )


class _Connector(aiohttp.TCPConnector):
    """Connector whose connections are opened by the event loop alone.

    By itself aiohttp hands a connected socket over to the loop.  If that is
    cancelled, uvloop closes the file descriptor, and the socket object closes
    it once more when it is collected.  By then the descriptor may belong to
    another connection, and the next one that is opened shares it with that.
    """

    def __init__(self, kind: type[ReusableConnection], **options: Any) -> None:
        super().__init__(**options)
        # aiohttp has no other way to set the class of connections.
        self._factory = functools.partial(
            _new_connection, kind, asyncio.get_running_loop()
        )

    async def _wrap_create_connection(
        self,
        *args: Any,
        addr_infos: list[Any],
        **options: Any,
    ) -> tuple[asyncio.Transport, client_proto.ResponseHandler]:
        """Connect to the first of the addresses."""
        host, port, *_ = addr_infos[0][-1]
        return await self._wrap_existing_connection(
            *args, host=host, port=port, **options
        )


def new_connector(
    kind: type[ReusableConnection] = ReusableConnection, **options: Any
) -> aiohttp.TCPConnector:
    """Return a connector with connections of a kind."""
    return _Connector(kind, **options)


def _new_connection(
    kind: type[ReusableConnection], loop: asyncio.AbstractEventLoop
) -> client_proto.ResponseHandler:
    return kind(loop)
