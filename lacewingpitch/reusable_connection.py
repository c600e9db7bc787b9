"""HTTP client connections that tell where an answer ends.

By itself aiohttp reads what a server wrote after an answer as the answer to
the next request, so that all later answers of the connection are shifted.  It
also takes a reset for the end of a body that does not mark its own.
"""

import asyncio
import errno
import functools
import os
import select
import socket
from typing import Any

import aiohttp
from aiohttp import client_proto
from aiohttp import http_parser
from aiohttp import streams
import structlog

_MIN_FINAL_STATUS = 200
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
        self._has_failed = False

    def set_response_params(self, **options: Any) -> None:
        """Begin to read the answer to a request."""
        self._has_final_head = False
        super().set_response_params(**options)

    def data_received(self, data: bytes) -> None:
        """Parse what arrived, and note what comes after the answer."""
        payload = self._payload
        was_answered = self._is_answered
        if data and was_answered:
            self._record_surplus('unexpected bytes')
        self._has_failed = False
        super().data_received(data)
        if self._has_failed and payload is not None and not was_answered:
            # By itself the library doesn't end a body whose framing breaks,
            # and believes one that ends in what can't be read any further.
            error = aiohttp.ClientPayloadError('broken framing')
            payload.set_exception(error)

    def set_exception(self, exc: BaseException, *cause: BaseException) -> None:
        """Fail, as what arrived can't be read or the connection ended."""
        self._has_failed = True
        super().set_exception(exc, *cause)

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
        super().feed_data(data, size)

    def eof_received(self) -> None:
        """End the answer; a reset breaks it off."""
        # uvloop may report a reset that follows data as an orderly end.
        if self._is_reset:
            self._break_off()
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the connection; a reset breaks off the answer in progress."""
        if isinstance(exc, OSError):
            self._break_off()
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

    def _break_off(self) -> None:
        payload = self._payload
        if payload is not None and not payload.is_eof():
            error = aiohttp.ClientPayloadError('reset before the end')
            payload.set_exception(error)

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
