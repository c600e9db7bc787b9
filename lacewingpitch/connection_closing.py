"""Closing of connections without losing a request that was read."""

import asyncio
from collections.abc import Callable, Sequence

# Steps of the event loop until the handler of a request has surely started,
# after its head was read.
_START_STEP_COUNT = 3


async def close_unused(
    transports: Sequence[asyncio.Transport],
    is_used: Callable[[asyncio.Transport], bool],
) -> int:
    """Close connections unless they are used; return how many it closed.

    A request that was read is handled only after some steps of the event
    loop.  Its answer would be lost if its connection were closed meanwhile.
    Until the end of these steps nothing more is read; what arrives then is
    not handled on a connection that is closed.

    Parameters
    ----------
    is_used
        Whether a request is, or was, handled on a connection.
    """
    for transport in transports:
        transport.pause_reading()
    for _ in range(_START_STEP_COUNT):
        await asyncio.sleep(0)
    closed_count = 0
    for transport in transports:
        if transport.is_closing():
            continue
        if is_used(transport):
            transport.resume_reading()
            continue
        transport.close()
        closed_count += 1
    return closed_count
