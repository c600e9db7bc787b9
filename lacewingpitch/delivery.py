"""Sending an answer out, and knowing that the connection took it whole."""

import asyncio

from aiohttp import web

DELIVERY_TIMEOUT_S = 60.0


async def finish(request: web.Request, response: web.StreamResponse) -> None:
    """Send the rest of an answer; return once the connection took it.

    Raises
    ------
    ConnectionError
        The caller vanished before, or did not read in time.
    """
    await response.prepare(request)
    transport = request.transport
    if transport is None:
        raise ConnectionResetError('the caller is gone')
    # A write only puts bytes into this process's buffer.  A caller that
    # vanishes then has no whole answer, though the last write succeeded:
    # the account would claim it as served.  With a buffer limit of 0 the
    # drain returns only when the buffer is empty.
    writer = request.writer
    try:
        async with asyncio.timeout(DELIVERY_TIMEOUT_S):
            await response.write_eof()
            transport.set_write_buffer_limits(high=0)
            await writer.drain()
    except TimeoutError as error:
        transport.abort()
        raise ConnectionResetError('the caller does not read') from error
    finally:
        transport.set_write_buffer_limits()
    if request.transport is None or transport.is_closing():
        raise ConnectionResetError('the caller is gone')
