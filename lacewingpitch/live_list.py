"""Client of the instance list, which the platform publishes with a lag."""

import enum
from typing import Protocol

import aiohttp
import msgspec
import structlog

from lacewingpitch import platform_call
from lacewingpitch import settings
from lacewingpitch import single_sending

_READ_TIMEOUT_S = 5.0
_MAX_LIST_BYTES = 4 << 20
log = structlog.get_logger(__name__)


class Role(enum.StrEnum):
    """Role of a process in the system."""

    ENTRY = 'entry'
    SIDECAR = 'sidecar'


class InstanceState(enum.StrEnum):
    """Whether an instance takes new work."""

    LIVE = 'live'
    LEAVING = 'leaving'


class Instance(msgspec.Struct, frozen=True, kw_only=True):
    """Entry of one instance in the published list.

    Parameters
    ----------
    serves
        Base model or plain service behind a sidecar; empty for an entry.
    started_at_s
        Start time of its process, in seconds since the Unix epoch.
    deployment
        Deployment it belongs to; empty where the platform lists only one.
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
        """Whether `other` is the same process, regardless of its state."""
        return msgspec.structs.replace(other, state=self.state) == self


class InstanceList(msgspec.Struct, frozen=True):
    """Published list of instances; a higher revision is newer."""

    revision: int
    instances: tuple[Instance, ...]


class _RawList(msgspec.Struct, frozen=True):
    revision: int
    instances: tuple[msgspec.Raw, ...]


def decode_list(data: bytes) -> InstanceList:
    """Decode a published list, without the instances that are malformed.

    Raises
    ------
    msgspec.DecodeError
        The data is not a list of instances.
    """
    raw = msgspec.json.decode(data, type=_RawList)
    instances = []
    for number, item in enumerate(raw.instances):
        try:
            instances.append(msgspec.json.decode(item, type=Instance))
        except msgspec.DecodeError as error:
            log.error(
                'malformed instance rejected', number=number, reason=str(error)
            )
    return InstanceList(raw.revision, tuple(instances))


class LiveList(Protocol):
    """Source of the published list of instances."""

    async def watch(
        self, after_revision: int, timeout_s: float
    ) -> InstanceList | None:
        """Return the list as soon as it is newer than `after_revision`."""
        ...

    async def read(self, unless_revision: int) -> InstanceList | None:
        """Return the list, or ``None`` if it is still `unless_revision`."""
        ...


class HttpLiveList:
    """Instance list over HTTP; a watch is a long poll."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = url

    async def watch(
        self, after_revision: int, timeout_s: float
    ) -> InstanceList | None:
        """Return the list as soon as it is newer than `after_revision`.

        Returns ``None`` when nothing has changed within `timeout_s`.

        Raises
        ------
        PlatformError
            The platform is unreachable or its response is unusable.
        """
        query = {
            'after_revision': str(after_revision),
            'timeout_s': str(timeout_s),
        }
        return await self._get(timeout_s, query, {})

    async def read(self, unless_revision: int) -> InstanceList | None:
        """Return the list, or ``None`` if it is still `unless_revision`.

        Raises
        ------
        PlatformError
            The platform is unreachable or its response is unusable.
        """
        headers = {'If-None-Match': f'"{unless_revision}"'}
        return await self._get(0.0, {}, headers)

    async def _get(
        self, timeout_s: float, query: dict[str, str], headers: dict[str, str]
    ) -> InstanceList | None:
        timeout = aiohttp.ClientTimeout(total=timeout_s + _READ_TIMEOUT_S)

        async def read_once(
            trace: single_sending.SendingTrace,
        ) -> InstanceList | None:
            async with self._session.get(
                f'{self._url}/v1/instances',
                params=query,
                headers=headers,
                timeout=timeout,
                allow_redirects=False,
                trace_request_ctx=trace,
            ) as response:
                if response.status in (204, 304):
                    return None
                platform_call.check_success(response, 'list of instances')
                data = await platform_call.read_limited(
                    response, _MAX_LIST_BYTES
                )
                return decode_list(data)

        with platform_call.platform_errors('list of instances'):
            return await single_sending.read_twice_if_stale(
                read_once, 'list of instances'
            )
