"""HTTP server connections that bound what their clients may send.

By itself aiohttp limits each header field, but not a whole head, the empty
lines before it or the framing of chunks.  After bytes that are no request it
reads on and keeps an error for each read.
"""

import asyncio
from collections.abc import Callable
import random
from typing import Any, Protocol

from aiohttp import http_exceptions
from aiohttp import http_parser
from aiohttp import streams
from aiohttp import web
from aiohttp import web_protocol

from lacewingpitch import caller_limits
from lacewingpitch import connection_memory
from lacewingpitch import errors
from lacewingpitch import memory_budget

# Bytes that are parsed between two checks.
_SLICE_BYTES = 8 << 10
# A request line may be as large as all header fields, which limits heads.
_HEAD_PARTS = 2
# Colon, space and line end of a header field.
_FIELD_FRAMING_BYTES = 4
# Bytes beside a chunked body: sizes and extensions of chunks, and trailers.
_MAX_OVERHEAD_BYTES = 16 << 10
_MAX_OVERHEAD_RATIO = 0.5
# The end of a body that was refused is read for this long, and up to this
# multiple of the largest body, so that its client sees the refusal.
_LINGER_S = 5.0
_LINGER_RATIO = 2
_LINGER_MIN_BYTES = 64 << 10
_LINGER_MAX_BYTES = 8 << 20
# A process that was suspended reads what has arrived before it gives up.
_GRACE_S = 1.0
_RETRY_RANGE_S = (0.5, 1.5)
_MALFORMED = web_protocol._ErrInfo(
    status=400,
    exc=http_exceptions.BadHttpMessage('malformed request'),
    message='malformed request',
)
_CLOSING = b'Connection: close\r\nContent-Length: 0\r\n\r\n'
_TOO_LARGE = b'HTTP/1.1 431 Request Header Fields Too Large\r\n' + _CLOSING
_TOO_SLOW = b'HTTP/1.1 408 Request Timeout\r\n' + _CLOSING
_NO_MEMORY = (
    b'HTTP/1.1 503 Service Unavailable\r\nRetry-After: %.3f\r\n' + _CLOSING
)


class ConnectionObserver(Protocol):
    """Learns what becomes of connections."""

    def record_closed(self, reason: str) -> None:
        """Record that a connection is closed for what its client does."""
        ...


class CallerConnection(web.RequestHandler):
    """Connection that is closed once its client sends what is not allowed.

    Parameters
    ----------
    limits
        Returns the limits in force.
    budget
        Memory for all connections.

    Attributes
    ----------
    memory
        The memory that its requests and answers hold.
    is_discarding
        Whether all that is still read is dropped.
    is_lingering
        Whether it waits only for its client to close it.
    """

    def __init__(
        self,
        server: web.Server,
        observer: ConnectionObserver,
        limits: Callable[[], caller_limits.CallerLimits],
        budget: memory_budget.MemoryBudget,
        **options: Any,
    ) -> None:
        super().__init__(server, **options)
        self._observer = observer
        self._limits = limits
        self.memory = connection_memory.ConnectionMemory(
            budget, self._end_for_memory
        )
        self.is_discarding = False
        self.is_lingering = False
        self._refusal: errors.RefusalError | None = None
        self._has_ended_reading = False
        self._body: streams.StreamReader | None = None
        self._received = b''
        self._parsed_bytes = 0
        self._head_bytes = 0
        self._body_wire_bytes = 0
        self._discarded_bytes = 0
        self._head_timer: asyncio.TimerHandle | None = None
        self._lost = self._loop.create_future()

    @property
    def is_unused(self) -> bool:
        """Whether no request has arrived on it."""
        return not self._request_count

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress."""
        if self._messages:
            return False
        waiter = self._waiter
        return self.is_unused or (waiter is not None and not waiter.done())

    def check(self) -> None:
        """Raise the refusal of the requests on this connection, if any."""
        if self._refusal is not None:
            raise self._refusal

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release what the connection holds."""
        self._stop_head_timer()
        self.memory.close()
        if not self._lost.done():
            self._lost.set_result(None)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse what arrived; stop reading if it is not allowed."""
        if self.is_discarding:
            self._discard(len(data))
        elif self._has_ended_reading:
            return
        elif data:
            self._receive(data)
        else:
            # More of what arrived before is parsed.
            self._parse(data)
            self._parse_received()

    def _receive(self, data: bytes) -> None:
        has_room = self.memory.receive(len(data))
        self._received = self._received[self._parsed_bytes :] + data
        self._parsed_bytes = 0
        self._parse_received()
        if not self._is_reading:
            return
        if has_room:
            self.memory.assign(len(data))
        else:
            self._refuse_for_memory()

    def _parse_received(self) -> None:
        """Parse what was received, until a buffer is full."""
        while (
            self._is_reading
            and not self._reading_paused
            and not self._buffer_paused
            and self._parsed_bytes < len(self._received)
        ):
            start = self._parsed_bytes
            self._parsed_bytes += _SLICE_BYTES
            self._parse(self._received[start : self._parsed_bytes])
        if self._parsed_bytes >= len(self._received):
            self._received = b''
            self._parsed_bytes = 0

    def _resume_reading_for_buffer(self) -> None:
        super()._resume_reading_for_buffer()
        self._parse_received()

    @property
    def _is_reading(self) -> bool:
        return not self.is_discarding and not self._has_ended_reading

    def _parse(self, data: bytes) -> None:
        request_count = self._request_count
        super().data_received(data)
        new_count = self._request_count - request_count
        if new_count:
            self._begin_requests(new_count)
        elif self._body is not None and not self._body.is_eof():
            self._check_body(len(data))
        elif data:
            self._check_head(data)

    def _begin_requests(self, new_count: int) -> None:
        self._stop_head_timer()
        self._head_bytes = 0
        self._body_wire_bytes = 0
        for message, payload in list(self._messages)[-new_count:]:
            if isinstance(message, web_protocol._ErrInfo):
                # The library answers it when its turn comes; its own error
                # holds, and would send back, what was received.
                self._messages[-1] = (_MALFORMED, payload)
                self._fail_body(web.RequestPayloadError('malformed body'))
                self._stop_reading('malformed request')
                return
            self.memory.begin_request()
            self._body = payload
            if _field_bytes(message) > self._limits().header_bytes:
                self._refuse(
                    errors.RefusalError(
                        errors.ErrorKind.HEADERS_TOO_LARGE,
                        'the header fields are too large',
                    )
                )
                return

    def _check_head(self, data: bytes) -> None:
        self._head_bytes += len(data)
        limits = self._limits()
        if self._head_bytes > _HEAD_PARTS * limits.header_bytes:
            self._reject_head(_TOO_LARGE, 'head too large')
        elif self._head_timer is None and data.strip(b'\r\n'):
            self._head_timer = self._loop.call_later(
                limits.header_timeout_s, self._expire_head, True
            )

    def _expire_head(self, may_wait: bool) -> None:
        if may_wait:
            self._head_timer = self._loop.call_later(
                _GRACE_S, self._expire_head, False
            )
        else:
            self._reject_head(_TOO_SLOW, 'head too slow')

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _check_body(self, received_bytes: int) -> None:
        assert self._body is not None
        body_bytes = self._body.total_bytes
        self._body_wire_bytes += received_bytes
        overhead_bytes = self._body_wire_bytes - body_bytes
        allowed_bytes = _MAX_OVERHEAD_BYTES + _MAX_OVERHEAD_RATIO * body_bytes
        if overhead_bytes > allowed_bytes:
            self._observer.record_closed('too many bytes beside a body')
            self._refuse(
                errors.RefusalError(
                    errors.ErrorKind.BAD_REQUEST,
                    'too many bytes beside the body',
                )
            )

    def hold_decoded(self, byte_count: int) -> None:
        """Hold a part of a body that was compressed.

        Raises
        ------
        RefusalError
            There is no memory for it.
        """
        if not self.memory.hold_decoded(byte_count):
            self._refuse_for_memory()
            self.check()

    def _refuse_for_memory(self) -> None:
        retry_after_s = random.uniform(*_RETRY_RANGE_S)
        if not self.memory.has_requests:
            self._reject_head(_NO_MEMORY % retry_after_s, 'no memory')
            return
        self._refuse(
            errors.RefusalError(
                errors.ErrorKind.MEMORY_SHORT,
                'too much memory is in use for other requests',
                retry_after_s=retry_after_s,
            )
        )

    def _end_for_memory(self) -> None:
        if self.memory.account.phase is memory_budget.Phase.SENDING:
            self._observer.record_closed('unread answer')
            if self.transport is not None:
                self.transport.abort()
            return
        self._refuse_for_memory()

    def _refuse(self, refusal: errors.RefusalError) -> None:
        """Refuse the last request; drop what is read from now on."""
        self._refusal = refusal
        self.stop_receiving()

    def stop_receiving(self) -> None:
        """Drop the rest of a body that nobody wants any more."""
        if not self._is_reading:
            return
        self.is_discarding = True
        self._received = b''
        self._stop_head_timer()
        self._fail_body(
            self._refusal or ConnectionError('the rest is not read')
        )
        self.resume_reading(resume_parser=False)

    def _fail_body(self, error: Exception) -> None:
        """Drop a body that is not whole, and fail its reader."""
        body = self._body
        if body is None or body.is_eof() or body.exception() is not None:
            return
        # A reader that was woken would wait again if it found nothing.
        if any(payload is body for _, payload in self._messages):
            body.read_nowait()
        body.set_exception(error)

    def _stop_reading(self, reason: str) -> None:
        """Read nothing more; the connection closes after its answers."""
        self._observer.record_closed(reason)
        self._has_ended_reading = True
        self._received = b''
        self._stop_head_timer()
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    def _reject_head(self, answer: bytes, reason: str) -> None:
        is_idle = self.is_idle
        self._stop_reading(reason)
        if is_idle and self.transport is not None:
            self.transport.write(answer)
            self.force_close()
        else:
            self.close()

    def _discard(self, byte_count: int) -> None:
        self._discarded_bytes += byte_count
        wanted_bytes = _LINGER_RATIO * self._limits().body_bytes
        limit_bytes = min(
            max(wanted_bytes, _LINGER_MIN_BYTES), _LINGER_MAX_BYTES
        )
        if self._discarded_bytes > limit_bytes and self.transport is not None:
            self._observer.record_closed('unread body')
            self.transport.abort()

    async def linger(self) -> None:
        """Wait until the client has closed, so that it reads its answer.

        Closing a connection with unread bytes resets it, and the answer may
        be lost.
        """
        transport = self.transport
        if (
            transport is not None
            and not transport.is_closing()
            and not self._has_ended_reading
        ):
            self.is_lingering = True
            self.stop_receiving()
            transport.write_eof()
            await asyncio.wait((self._lost,), timeout=_LINGER_S)
        self.force_close()


def connection_of(request: web.BaseRequest) -> CallerConnection | None:
    """Return the connection of a request if it is guarded and open."""
    protocol = request.protocol
    return protocol if isinstance(protocol, CallerConnection) else None


def _field_bytes(message: http_parser.RawRequestMessage) -> int:
    return sum(
        len(name) + len(value) + _FIELD_FRAMING_BYTES
        for name, value in message.raw_headers
    )
