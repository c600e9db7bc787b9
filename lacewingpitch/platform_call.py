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
        raise errors.PlatformError(f'{name}: {error!r}') from error
    except msgspec.DecodeError as error:
        raise errors.PlatformError(
            f'{name}: unusable answer: {error}'
        ) from error
