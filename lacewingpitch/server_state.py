"""Whether a start of a backend server is still running."""

import asyncio
import enum

# Connecting on the same network takes milliseconds.
_CONNECT_TIMEOUT_S = 0.4


class ServerState(enum.Enum):
    """What is known about a start of a backend server."""

    RUNNING = 'running'
    ENDED = 'ended'
    UNKNOWN = 'unknown'


async def probe(ip: str, port: int) -> ServerState:
    """Return whether a process accepts connections at an address.

    A refused connection shows that it has ended.
    """
    try:
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(ip, port)
    except ConnectionRefusedError:
        return ServerState.ENDED
    except ConnectionResetError:
        # A server with too many connections resets further ones.
        return ServerState.RUNNING
    except (OSError, TimeoutError):
        return ServerState.UNKNOWN
    writer.close()
    return ServerState.RUNNING
