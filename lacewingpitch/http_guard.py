"""What guards an HTTP server against odd, slow and vanished callers."""

import asyncio
from collections.abc import Awaitable, Callable
import logging
import socket

from aiohttp import web
import structlog
import uuid_utils

from lacewingpitch import errors
from lacewingpitch import response_format

_REQUEST_ID = 'request_id'
_FINISHED = web.RequestKey('finished', bool)
MAX_FIELD_BYTES = 8190
# An order carries a path of up to a whole field, in base64.
MAX_ORDER_FIELD_BYTES = 32 << 10
KEEPALIVE_S = 75.0
_HTTP_TOO_LARGE = 413
_EXPECTED = '100-continue'
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
log = structlog.get_logger(__name__)

# The library logs what it cannot parse as it came, API keys included.
# What matters of it is answered and logged here instead.
DISABLED_LOGGER = logging.getLogger(f'{__name__}.silent')
DISABLED_LOGGER.disabled = True

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@web.middleware
async def error_middleware(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    """Answer every error by one kind of the closed list."""
    try:
        _check_text(request)
        return await handler(request)
    except errors.RefusalError as error:
        refusal = error
    except web.HTTPException as error:
        refusal = _refusal_of(error)
    except (asyncio.CancelledError, ConnectionError):
        raise
    except Exception:
        log.exception('handler failed', request_id=_request_id())
        refusal = errors.RefusalError(
            errors.ErrorKind.INTERNAL, 'a fault of the server'
        )
    # Once the head of an answer is out, a second answer would be read as
    # the rest of the first, or as that of the caller's next request.
    if request.writer.output_size > 0:
        raise ConnectionError('the answer broke off')
    return response_format.refusal_response(refusal, _request_id())


async def handle_expect(request: web.Request) -> web.StreamResponse | None:
    """Answer the header ``Expect`` before the body is read."""
    # The library's own handler quotes an unknown value, outside of every
    # middleware, and fails at one that is no text.
    if request.headers.get('Expect', '').lower() != _EXPECTED:
        refusal = errors.RefusalError(
            errors.ErrorKind.BAD_REQUEST, f'only {_EXPECTED} may be expected'
        )
        return response_format.refusal_response(refusal, _request_id())
    await request.writer.write(_CONTINUE)
    # This was no part of the answer, which has still to begin.
    request.writer.output_size = 0
    return None


async def read_body(request: web.BaseRequest, timeout_s: float) -> bytes:
    """Return the whole body of a request.

    Raises
    ------
    RefusalError
        The body is too large, or did not come within `timeout_s`.
    """
    # A caller that sends a byte now and then would hold a place among
    # the requests in progress for as long as it likes.
    try:
        async with asyncio.timeout(timeout_s):
            return await request.read()
    except TimeoutError as error:
        raise errors.RefusalError(
            errors.ErrorKind.BODY_TOO_SLOW,
            f'the body did not come within {timeout_s:g} s',
        ) from error
    except web.HTTPRequestEntityTooLarge as error:
        raise errors.RefusalError(
            errors.ErrorKind.BODY_TOO_LARGE, 'the body is too large'
        ) from error
    except web.HTTPBadRequest as error:
        raise errors.RefusalError(
            errors.ErrorKind.BAD_REQUEST, 'the body cannot be read'
        ) from error


def bind_request_id(request_id: str) -> None:
    """Let the answer and every log line of a request say its id."""
    structlog.contextvars.bind_contextvars(**{_REQUEST_ID: request_id})


def set_stall_timeout(request: web.BaseRequest, stall_s: float) -> None:
    """Let the kernel end the connection when the other end stalls.

    A caller that stops to read, or vanishes without a word, holds its
    request, its adapter's slot and the answer so far, since writing
    waits for it.  After `stall_s` without any byte taken, the connection
    is reset, and the handler is cancelled as for a caller that hung up.
    """
    transport = request.transport
    found = transport and transport.get_extra_info('socket')
    if found and found.family in (socket.AF_INET, socket.AF_INET6):
        found.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(stall_s * 1000)
        )


async def finish_response(
    request: web.Request, response: web.StreamResponse
) -> None:
    """Write an answer to its end; return once the connection took it.

    Raises
    ------
    ConnectionError
        The caller vanished before.
    """
    if _FINISHED in request:
        return
    # The library writes a whole answer after the handler has returned,
    # when a drain no longer waits for it and would cut it off.
    await response.prepare(request)
    transport = request.transport
    if transport is None:
        raise ConnectionResetError('the caller is gone')
    # A write only puts bytes into this process's buffer.  A caller that
    # vanishes then has no whole answer, though the last write succeeded:
    # the account would claim it as served.  With a buffer limit of 0 the
    # drain returns only when the buffer is empty.  A caller that does not
    # read is ended by `set_stall_timeout`.
    writer = request.writer
    try:
        await response.write_eof()
        transport.set_write_buffer_limits(high=0)
        await writer.drain()
    finally:
        transport.set_write_buffer_limits()
    if request.transport is None or transport.is_closing():
        raise ConnectionResetError('the caller is gone')
    request[_FINISHED] = True


def _check_text(request: web.Request) -> None:
    # Bytes that are no text come as lone surrogates, which no codec
    # takes: the error would rise far from here, as a fault of ours.
    texts = [request.raw_path, *request.headers.values()]
    try:
        for text in texts:
            text.encode()
    except UnicodeEncodeError as error:
        raise errors.RefusalError(
            errors.ErrorKind.BAD_REQUEST, 'a header or path is not UTF-8'
        ) from error


def _refusal_of(error: web.HTTPException) -> errors.RefusalError:
    if error.status in (404, 405):
        return errors.RefusalError(
            errors.ErrorKind.NOT_FOUND, 'no such method and path'
        )
    if error.status == _HTTP_TOO_LARGE:
        return errors.RefusalError(
            errors.ErrorKind.BODY_TOO_LARGE, 'the body is too large'
        )
    return errors.RefusalError(errors.ErrorKind.BAD_REQUEST, error.reason)


def _request_id() -> str:
    found = structlog.contextvars.get_contextvars().get(_REQUEST_ID)
    return found or str(uuid_utils.uuid7())
