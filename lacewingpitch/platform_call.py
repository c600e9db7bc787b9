"""Helpers for calls to the platform: errors and size limits."""

from collections.abc import Iterator
import contextlib

import aiohttp
import msgspec

from lacewingpitch import errors
from lacewingpitch import single_sending

_MIN_ERROR_STATUS = 300


@contextlib.contextmanager
def platform_errors(name: str) -> Iterator[None]:
    """Convert errors of a call to `errors.PlatformError`.

    A timeout becomes `errors.SilentError`.

    Parameters
    ----------
    name
        Name of the called part of the platform, for the error message.
    """
    try:
        yield
    except single_sending.BrokenConnectionError as error:
        raise errors.PlatformError(f'{name}: {error}') from error.cause
    except TimeoutError as error:
        raise errors.SilentError(
            f'{name}: {type(error).__name__}: {error}'
        ) from error
    except (aiohttp.ClientError, OSError) as error:
        raise errors.PlatformError(
            f'{name}: {type(error).__name__}: {error}'
        ) from error
    except (msgspec.DecodeError, RecursionError) as error:
        raise errors.PlatformError(
            f'{name}: invalid answer: {error}'
        ) from error


def check_success(response: aiohttp.ClientResponse, name: str) -> None:
    """Raise `errors.PlatformError` unless a request was successful.

    A redirect is none: only the called part of the platform may answer.
    """
    if response.status >= _MIN_ERROR_STATUS:
        raise errors.PlatformError(f'{name}: status {response.status}')


async def read_limited(
    response: aiohttp.ClientResponse, max_bytes: int
) -> bytes:
    """Return the body of a response.

    Raises
    ------
    PlatformError
        The body is larger than `max_bytes`.
    """
    data = bytearray()
    async for chunk in response.content.iter_any():
        data += chunk
        if len(data) > max_bytes:
            raise errors.PlatformError(
                f'the answer is larger than {max_bytes} bytes'
            )
    return bytes(data)
