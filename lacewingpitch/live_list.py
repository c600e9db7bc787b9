"""The platform's list of live and leaving instances; it lags."""

import enum
from typing import Protocol

import aiohttp
import msgspec
import structlog

from lacewingpitch import platform_call
from lacewingpitch import settings

_READ_TIMEOUT_S = 5.0
_MAX_LIST_BYTES = 4 << 20
log = structlog.get_logger(__name__)


class Role(enum.StrEnum):
    """What a process of the system does."""

    ENTRY = 'entry'
    SIDECAR = 'sidecar'


class InstanceState(enum.StrEnum):
    """Whether an instance takes new work."""

    LIVE = 'live'
    LEAVING = 'leaving'


class Instance(msgspec.Struct, frozen=True, kw_only=True):
    """One instance, as the platform lists it.

    Parameters
    ----------
    serves
        Base model or plain service behind a sidecar; empty for an entry.
    started_at_s
        When its process started, in seconds since the epoch.
    deployment
        Empty where the platform lists one deployment only.
    """

    name: str
    role: Role
    region: str
    availability_zone: str
    ip: settings.Ip
    work_port: settings.Port
    control_port: settings.Port
    serves: str = ''
    started_at_s: float = 0.0
    state: InstanceState = InstanceState.LIVE
    deployment: str = ''

    def is_same_process(self, other: 'Instance') -> bool:
        """Whether `other` is the same process, whatever its state."""
        return msgspec.structs.replace(other, state=self.state) == self


class InstanceList(msgspec.Struct, frozen=True):
    """One published list; a higher revision is newer."""

    revision: int
    instances: tuple[Instance, ...]


class _RawList(msgspec.Struct, frozen=True):
    revision: int
    instances: tuple[msgspec.Raw, ...]


def decode_list(data: bytes) -> InstanceList:
    """Decode a published list, less the instances that are malformed.

    Raises
    ------
    msgspec.DecodeError
        It is no list at all.
    """
    raw = msgspec.json.decode(data, type=_RawList)
    instances = []
    for number, item in enumerate(raw.instances):
        try:
            instances.append(msgspec.json.decode(item, type=Instance))
        except msgspec.DecodeError as error:
            log.error('instance rejected', number=number, reason=str(error))
    return InstanceList(raw.revision, tuple(instances))


class LiveList(Protocol):
    """What the system needs of the list of instances."""

    async def watch(
        self, after_revision: int, timeout_s: float
    ) -> InstanceList | None:
        """Return the list once it is newer than `after_revision`."""
        ...

    async def read(self, unless_revision: int) -> InstanceList | None:
        """Return the list, or ``None`` if it has a known revision."""
        ...


class HttpLiveList:
    """List of instances over HTTP, with long polls as watches."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = url

    async def watch(
        self, after_revision: int, timeout_s: float
    ) -> InstanceList | None:
        """Return the list once it is newer than `after_revision`.

        Raises
        ------
        PlatformError
            The list is down or its answer cannot be used.
        """
        query = {
            'after_revision': str(after_revision),
            'timeout_s': str(timeout_s),
        }
        return await self._get(timeout_s, query, {})

    async def read(self, unless_revision: int) -> InstanceList | None:
        """Return the list, or ``None`` if it has a known revision.

        Raises
        ------
        PlatformError
            The list is down or its answer cannot be used.
        """
        headers = {'If-None-Match': f'"{unless_revision}"'}
        return await self._get(0.0, {}, headers)

    async def _get(
        self, timeout_s: float, query: dict[str, str], headers: dict[str, str]
    ) -> InstanceList | None:
        timeout = aiohttp.ClientTimeout(total=timeout_s + _READ_TIMEOUT_S)
        with platform_call.platform_errors('list of instances'):
            async with self._session.get(
                f'{self._url}/v1/instances',
                params=query,
                headers=headers,
                timeout=timeout,
            ) as response:
                if response.status in (204, 304):
                    return None
                response.raise_for_status()
                data = await platform_call.read_limited(
                    response, _MAX_LIST_BYTES
                )
                return decode_list(data)
