"""Delivery of answers as HTTP responses."""

import asyncio
from collections.abc import Callable
import socket
import struct

import aiohttp
from aiohttp import abc
from aiohttp import hdrs
from aiohttp import http_writer
from aiohttp import web

from lacewingpitch import backend_call
from lacewingpitch import caller_connection
from lacewingpitch import errors
from lacewingpitch import http_guard
from lacewingpitch import memory_budget
from lacewingpitch.platform import names
from lacewingpitch import request_end
from lacewingpitch import response_format

_ROOM_POLL_S = 0.05
# Has a connection reset as it is closed.
_RESET = struct.pack('ii', 1, 0)


class ResponseDelivery:
    """Sends one answer on the connection of its request.

    Parameters
    ----------
    is_draining
        Returns whether the connection is to be closed after the answer.

    Attributes
    ----------
    response
        The HTTP response; ``None`` until one is started.
    step
        The last step that the request has reached.
    peer
        The caller's end of the connection, as IP:PORT.
    """

    def __init__(
        self, request: web.BaseRequest, is_draining: Callable[[], bool]
    ) -> None:
        self._request = request
        self._is_draining = is_draining
        connection = caller_connection.connection_of(request)
        self._memory = connection.memory if connection else None
        self.peer = _peer(request)
        self.response: web.StreamResponse | None = None
        self.step = request_end.Step.HEAD_READ
        self._is_complete = False
        self._is_cut = False

    @property
    def is_caller_gone(self) -> bool:
        """Whether the connection has ended, and not by this object."""
        if self._is_cut:
            return False
        transport = self._request.transport
        return transport is None or transport.is_closing()

    @property
    def closed_by(self) -> request_end.ClosedBy:
        """Return who ended the connection if the answer is not whole."""
        if self._is_complete:
            return request_end.ClosedBy.NOBODY
        if self.is_caller_gone:
            return request_end.ClosedBy.CALLER
        return request_end.ClosedBy.ENTRY

    def record_read(self) -> None:
        """Record that the body of the request has been read."""
        self.step = request_end.Step.BODY_READ
        if self._memory is not None:
            self._memory.account.begin(memory_budget.Phase.SERVING)

    def record_sent(self) -> None:
        """Record that the request is being sent to a backend server."""
        if not self.has_begun:
            self.step = request_end.Step.SENT

    @property
    def has_begun(self) -> bool:
        """Whether the headers of an answer have been sent."""
        return self.response is not None

    async def make_room(self, byte_count: int) -> None:
        """Wait until there is memory for an answer."""
        if self._memory is None:
            return
        account = self._memory.account
        account.give_back_answer()
        while not account.take_answer(byte_count):
            await asyncio.sleep(_ROOM_POLL_S)

    async def send_whole(
        self, answer: backend_call.BackendAnswer, body: bytes
    ) -> None:
        """Send a complete answer."""
        if self._memory is not None:
            self._memory.begin_answer(len(body))
        response = web.Response(status=answer.status, body=body)
        await self._begin(response, answer)
        await response.write_eof()
        http_guard.forget_answer(response)
        self._is_complete = True

    async def begin(self, answer: backend_call.BackendAnswer) -> None:
        """Send the headers of a stream."""
        await self._begin(web.StreamResponse(status=answer.status), answer)

    async def write(self, events: bytes) -> None:
        """Send complete events of a stream."""
        assert self.response is not None
        await self.response.write(events)

    async def finish(self) -> None:
        """End a stream, which marks it as complete."""
        assert self.response is not None
        await self.response.write_eof()
        self._is_complete = True

    async def refuse(
        self, error: errors.RefusalError, request_id: str
    ) -> None:
        """Send a refusal; abort the answer instead if one has begun."""
        if self.response is not None:
            # Without the final chunk, the caller sees that the stream is
            # incomplete.
            transport = self._request.transport
            if transport is not None and not transport.is_closing():
                self._cut(transport)
            return
        headers = {names.REQUEST_ID: request_id} if request_id else {}
        if error.retry_after_s is not None:
            headers[names.RETRY_AFTER] = f'{error.retry_after_s:.3f}'
        response = web.Response(
            status=error.status,
            body=response_format.error_json(error),
            headers=headers,
            content_type='application/json',
        )
        self._close_if_last(response)
        await self._prepare(response)
        await response.write_eof()
        self._is_complete = True

    async def _begin(
        self,
        response: web.StreamResponse,
        answer: backend_call.BackendAnswer,
    ) -> None:
        response.headers.clear()
        for name, value in answer.headers:
            response.headers.add(name, value)
        self._close_if_last(response)
        await self._prepare(response)
        self.step = request_end.Step.ANSWERING

    async def _prepare(self, response: web.StreamResponse) -> None:
        """Begin a response; if nothing of it was sent, none has begun."""
        try:
            await response.prepare(self._request)
        except Exception:
            if self._request.writer.output_size == 0:
                _reset_framing(self._request.writer)
            else:
                self.response = response
            raise
        self.response = response

    def _close_if_last(self, response: web.StreamResponse) -> None:
        if (
            self._is_draining()
            or _is_last(self._request)
            or not self._request.content.is_eof()
        ):
            response.force_close()

    def _cut(self, transport: asyncio.Transport) -> None:
        self._is_cut = True
        if self._request.version < aiohttp.HttpVersion11:
            # The end of the connection marks that of a stream.
            found = transport.get_extra_info('socket')
            found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            transport.abort()
            return
        transport.close()


def _is_last(request: web.BaseRequest) -> bool:
    """Whether nothing may follow a request on its connection.

    The library drops what it reads in one piece with a request that asks for
    another protocol, reads the body of a CONNECT as a request, and doesn't
    mark where a stream to an older caller ends.
    """
    return (
        'Upgrade' in request.headers
        or request.method == hdrs.METH_CONNECT
        or request.version < aiohttp.HttpVersion11
    )


def _peer(request: web.BaseRequest) -> str:
    transport = request.transport
    found = transport and transport.get_extra_info('peername')
    return f'{found[0]}:{found[1]}' if found else ''


def _reset_framing(writer: abc.AbstractStreamWriter) -> None:
    # Otherwise the next response would have the framing of this one.
    assert isinstance(writer, http_writer.StreamWriter)
    writer.chunked = False
    writer.length = None
