"""Protection of HTTP servers against malformed, slow and lost requests."""

import asyncio
from collections.abc import Awaitable, Callable
import logging
import socket

from aiohttp import web
import structlog
import uuid_utils

from lacewingpitch import caller_connection
from lacewingpitch import errors
from lacewingpitch import memory_budget
from lacewingpitch import response_format

_REQUEST_ID = 'request_id'
_IS_FINISHED = web.RequestKey('finished', bool)
_BODY = web.RequestKey('body', bytes)
MAX_FIELD_BYTES = 8190
# An order contains a path of up to `MAX_FIELD_BYTES`, in base64.
MAX_ORDER_FIELD_BYTES = 32 << 10
KEEPALIVE_S = 75.0
_HTTP_TOO_LARGE = 413
_EXPECTED = '100-continue'
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
log = structlog.get_logger(__name__)

# aiohttp logs requests that it cannot parse as received, API keys included.
# Errors are answered and logged by `error_middleware` instead.
DISABLED_LOGGER = logging.getLogger(f'{__name__}.silent')
DISABLED_LOGGER.disabled = True

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@web.middleware
async def error_middleware(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    """Answer every error with a kind of the closed list of errors."""
    try:
        check_connection(request)
        _check_utf8(request)
        return await handler(request)
    except errors.RefusalError as error:
        refusal = error
    except web.HTTPException as error:
        refusal = _refusal_from(error)
    except (asyncio.CancelledError, ConnectionError):
        raise
    except Exception:
        log.exception('handler failed', request_id=_request_id())
        refusal = errors.RefusalError(
            errors.ErrorKind.INTERNAL, 'a fault of the server'
        )
    # Once the headers of an answer have been sent, a second answer would be
    # read as the rest of the first one, or as the answer to the caller's next
    # request.
    if request.writer.output_size > 0:
        raise ConnectionError('the answer broke off')
    return response_format.refusal_response(refusal, _request_id())


async def handle_expect(request: web.Request) -> web.StreamResponse | None:
    """Handle the header ``Expect`` before the body is read."""
    # aiohttp's own handler runs outside of every middleware.  It includes an
    # unknown value in its answer and fails on one that is not valid text.
    if request.headers.get('Expect', '').lower() != _EXPECTED:
        refusal = errors.RefusalError(
            errors.ErrorKind.BAD_REQUEST, f'only {_EXPECTED} may be expected'
        )
        return response_format.refusal_response(refusal, _request_id())
    await request.writer.write(_CONTINUE)
    # The interim response does not count as a part of the answer.
    request.writer.output_size = 0
    return None


async def read_body(request: web.BaseRequest, timeout_s: float) -> bytes:
    """Return the whole body of a request.

    Raises
    ------
    RefusalError
        The body is too large, malformed, or incomplete after `timeout_s`, or
        there is no memory for it.
    """
    # A request may be handled again from the start.
    if _BODY in request:
        return request[_BODY]
    if (request.content_length or 0) > request.client_max_size:
        raise _too_large()
    # Without the timeout, a caller that sends its body very slowly would
    # count among the requests in progress indefinitely.
    try:
        async with asyncio.timeout(timeout_s):
            body = await _read_chunks(request)
    except TimeoutError as error:
        raise errors.RefusalError(
            errors.ErrorKind.BODY_TOO_SLOW,
            f'the body was not complete within {timeout_s:g} s',
        ) from error
    except (web.HTTPBadRequest, web.RequestPayloadError) as error:
        raise errors.RefusalError(
            errors.ErrorKind.BAD_REQUEST, 'the body cannot be read'
        ) from error
    check_connection(request)
    connection = caller_connection.connection_of(request)
    if connection is not None:
        connection.memory.account.begin(memory_budget.Phase.SERVING)
    request[_BODY] = body
    return body


def check_connection(request: web.BaseRequest) -> None:
    """Check that the connection of a request may still have requests.

    Raises
    ------
    RefusalError
        Its client has sent too much, or there is no memory.
    """
    connection = caller_connection.connection_of(request)
    if connection is not None:
        connection.check()


def forget_body(request: web.BaseRequest) -> None:
    """Release the body of a request that has ended.

    The library keeps the last request of an idle connection.
    """
    request.pop(_BODY, None)


def forget_answer(response: web.StreamResponse) -> None:
    """Release the body of an answer that was sent; see `forget_body`."""
    if isinstance(response, web.Response):
        response.body = None


async def _read_chunks(request: web.BaseRequest) -> bytes:
    connection = caller_connection.connection_of(request)
    is_coded = 'Content-Encoding' in request.headers
    chunks = []
    size_bytes = 0
    while chunk := await request.content.readany():
        size_bytes += len(chunk)
        if size_bytes > request.client_max_size:
            raise _too_large()
        if is_coded and connection is not None:
            connection.hold_decoded(len(chunk))
        chunks.append(chunk)
    return b''.join(chunks)


def _too_large() -> errors.RefusalError:
    return errors.RefusalError(
        errors.ErrorKind.BODY_TOO_LARGE, 'the body is too large'
    )


def bind_request_id(request_id: str) -> None:
    """Add the id of a request to its refusals and to all its log lines."""
    structlog.contextvars.bind_contextvars(**{_REQUEST_ID: request_id})


def set_stall_timeout(request: web.BaseRequest, stall_s: float) -> None:
    """Have the kernel reset the connection when the peer stalls.

    Writing waits for a caller that stops reading or disappears without
    closing the connection.  Meanwhile its request occupies an adapter slot
    and the memory of the answer so far.  If the peer acknowledges no data
    for `stall_s`, the kernel resets the connection, and the handler is
    cancelled as if the caller had closed it.
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
    """Send a whole answer; return once all of it is in the kernel's buffer.

    Raises
    ------
    ConnectionError
        The connection ended before that.
    """
    if _IS_FINISHED in request:
        return
    # aiohttp itself would write the answer after the handler has returned,
    # when a drain no longer waits for it and would cut it off.
    await response.prepare(request)
    transport = request.transport
    if transport is None:
        raise ConnectionResetError('the caller is gone')
    connection = caller_connection.connection_of(request)
    if connection is not None and isinstance(response, web.Response):
        connection.memory.begin_answer(response.content_length or 0)
    # A write only fills the buffer of this process.  If the caller then
    # disappears, it has no whole answer although the last write succeeded,
    # and the account must not count it as served.  With a buffer limit of 0,
    # the drain returns only when the buffer is empty.  The timeout of
    # `set_stall_timeout` ends the wait for a caller that does not read.
    writer = request.writer
    try:
        await response.write_eof()
        transport.set_write_buffer_limits(high=0)
        await writer.drain()
    finally:
        transport.set_write_buffer_limits()
    if request.transport is None or transport.is_closing():
        raise ConnectionResetError('the caller is gone')
    forget_answer(response)
    request[_IS_FINISHED] = True


def _check_utf8(request: web.Request) -> None:
    # aiohttp decodes invalid bytes to lone surrogates, which cannot be
    # encoded.  Unchecked, they would raise an error far from here, which
    # would be answered as an internal one.
    values = [request.raw_path, *request.headers.values()]
    try:
        for value in values:
            value.encode()
    except UnicodeEncodeError as error:
        raise errors.RefusalError(
            errors.ErrorKind.BAD_REQUEST, 'a header or path is not UTF-8'
        ) from error


def _refusal_from(error: web.HTTPException) -> errors.RefusalError:
    if error.status in (404, 405):
        return errors.RefusalError(
            errors.ErrorKind.NOT_FOUND, 'no such method and path'
        )
    if error.status == _HTTP_TOO_LARGE:
        return _too_large()
    return errors.RefusalError(errors.ErrorKind.BAD_REQUEST, error.reason)


def _request_id() -> str:
    found = structlog.contextvars.get_contextvars().get(_REQUEST_ID)
    return found or str(uuid_utils.uuid7())
