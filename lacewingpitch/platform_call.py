"""Turns failures of calls to the platform into one exception type."""

from collections.abc import Iterator
import contextlib

import aiohttp
import msgspec

from lacewingpitch import errors


@contextlib.contextmanager
def platform_errors(name: str) -> Iterator[None]:
    """Raise what fails inside as `errors.PlatformError`."""
    try:
        yield
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        raise errors.PlatformError(
            f'{name}: {type(error).__name__}: {error}'
        ) from error
    except (msgspec.DecodeError, RecursionError) as error:
        raise errors.PlatformError(
            f'{name}: unusable answer: {error}'
        ) from error


async def read_limited(
    response: aiohttp.ClientResponse, max_bytes: int
) -> bytes:
    """Return the body of an answer.

    Raises
    ------
    PlatformError
        It is larger than `max_bytes`.
    """
    data = bytearray()
    async for chunk in response.content.iter_any():
        data += chunk
        if len(data) > max_bytes:
            raise errors.PlatformError(
                f'an answer is larger than {max_bytes} bytes'
            )
    return bytes(data)
