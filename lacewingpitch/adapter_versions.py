"""The adapter versions that requests require.

The newest published version of an adapter is the minimum that its requests
accept.  Version 0 means that no update has been published, so that any
version will do.
"""

import dataclasses

import structlog

log = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class AdapterVersion:
    """A published version of an adapter."""

    model: str
    adapter: str
    version: int


class AdapterVersions:
    """The newest published version of each updated adapter.

    The recorded version never decreases.  Updates may arrive late, and out
    of order, from another process.
    """

    def __init__(self) -> None:
        self._versions: dict[tuple[str, str], int] = {}

    def record(self, model: str, adapter: str, version: int) -> bool:
        """Record a published version, unless it is not the newest.

        Returns
        -------
        bool
            Whether the version is newer than the recorded one; if it is
            not, it is ignored.
        """
        key = (model, adapter)
        if version <= self._versions.get(key, 0):
            return False
        self._versions[key] = version
        log.info(
            'adapter version published',
            model=model,
            adapter=adapter,
            version=version,
        )
        return True

    def all(self) -> tuple[AdapterVersion, ...]:
        """Return the newest versions of all adapters with an update."""
        return tuple(
            AdapterVersion(model, adapter, version)
            for (model, adapter), version in self._versions.items()
        )

    def required_version(self, model: str, adapter: str) -> int:
        """Return the newest published version; 0 if any version will do."""
        return self._versions.get((model, adapter), 0)


def slot_name(model: str, adapter: str, version: int) -> str:
    """Return the name of an adapter in slot tables and in placement.

    It is MODEL/ADAPTER@VERSION, or the bare key MODEL/ADAPTER for any
    version.  Work orders use `contract.AdapterGrant.engine_name` instead.

    Parameters
    ----------
    version
        Minimum version that a request requires, or the version that an
        engine lists; 0 for any version.
    """
    name = f'{model}/{adapter}'
    return f'{name}@{version}' if version else name


def split_slot_name(slot_name: str) -> tuple[str, int]:
    """Return MODEL/ADAPTER and the required version of a slot name."""
    key, _, version = slot_name.partition('@')
    return key, int(version) if version else 0
