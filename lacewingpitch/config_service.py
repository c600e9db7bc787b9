"""Read-only client of the platform's configuration service."""

from typing import Protocol

import aiohttp
import msgspec

from lacewingpitch import platform_call
from lacewingpitch import single_sending

MAX_VALUE_BYTES = 1 << 20
_ENVELOPE_BYTES = 1 << 10
_READ_TIMEOUT_S = 5.0


class Value(msgspec.Struct, frozen=True):
    """A value with the revision at which it was last changed."""

    name: str
    revision: int
    content: msgspec.Raw


class ConfigService(Protocol):
    """Read access to the configuration service."""

    async def read(self, name: str) -> Value | None:
        """Return a value, or ``None`` if the name does not exist."""
        ...

    async def watch(
        self, name: str, after_revision: int, timeout_s: float
    ) -> Value | None:
        """Return a value as soon as its revision exceeds `after_revision`."""
        ...


class HttpConfigService:
    """Configuration service over HTTP; a watch is a long poll."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = url

    async def read(self, name: str) -> Value | None:
        """Return a value, or ``None`` if the name does not exist.

        Raises
        ------
        PlatformError
            The service is unreachable or its response is unusable.
        """
        return await self._get(name, {}, _READ_TIMEOUT_S)

    async def watch(
        self, name: str, after_revision: int, timeout_s: float
    ) -> Value | None:
        """Return a value as soon as its revision exceeds `after_revision`.

        Returns ``None`` when nothing has changed within `timeout_s`.

        Raises
        ------
        PlatformError
            The service is unreachable or its response is unusable.
        """
        query = {
            'after_revision': str(after_revision),
            'timeout_s': str(timeout_s),
        }
        return await self._get(name, query, timeout_s + _READ_TIMEOUT_S)

    async def _get(
        self, name: str, query: dict[str, str], timeout_s: float
    ) -> Value | None:
        timeout = aiohttp.ClientTimeout(total=timeout_s)

        async def read_once(
            trace: single_sending.SendingTrace,
        ) -> Value | None:
            async with self._session.get(
                f'{self._url}/v1/values/{name}',
                params=query,
                timeout=timeout,
                allow_redirects=False,
                trace_request_ctx=trace,
            ) as response:
                if response.status in (204, 304, 404):
                    return None
                platform_call.check_success(response, 'configuration service')
                data = await platform_call.read_limited(
                    response, MAX_VALUE_BYTES + _ENVELOPE_BYTES
                )
                return msgspec.json.decode(data, type=Value)

        with platform_call.platform_errors('configuration service'):
            return await single_sending.read_twice_if_stale(
                read_once, 'configuration service'
            )
