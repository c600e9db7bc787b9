"""The minimum adapter versions that requests must run on."""

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

    Versions never decrease: an update with an older version may arrive
    late from another process.
    """

    def __init__(self) -> None:
        self._versions: dict[tuple[str, str], int] = {}

    def record(self, model: str, adapter: str, version: int) -> bool:
        """Record a published version; return whether it is newer."""
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
        """Return the newest version of each updated adapter."""
        return tuple(
            AdapterVersion(model, adapter, version)
            for (model, adapter), version in self._versions.items()
        )

    def required_version(self, model: str, adapter: str) -> int:
        """Return the minimum version to run on; 0 if any version will do."""
        return self._versions.get((model, adapter), 0)


def slot_name(model: str, adapter: str, version: int) -> str:
    """Return the name under which an adapter is placed and held.

    Parameters
    ----------
    version
        Required version; 0 if any version will do.
    """
    name = f'{model}/{adapter}'
    return f'{name}@{version}' if version else name
