"""Reader of the contracts published at the configuration service.

Contracts are published in shards.  An index lists the shards with their
revisions, so that only shards that have changed are read.
"""

import asyncio
import collections
import random

import msgspec
import structlog

from lacewingpitch import clock as clock_module
from lacewingpitch import config_service
from lacewingpitch import contract as contract_module
from lacewingpitch import contract_registry
from lacewingpitch import decoding
from lacewingpitch import errors

INDEX_NAME = 'contracts.index'
WATCH_S = 10.0
_MIN_RETRY_S = 0.5
_MAX_RETRY_S = 15.0
log = structlog.get_logger(__name__)


class ShardRevision(decoding.Record, frozen=True):
    """The published revision of one shard."""

    name: str
    revision: int


class ContractIndex(decoding.Record, frozen=True):
    """List of the shards that hold the contracts."""

    shards: tuple[ShardRevision, ...]


class ContractShard(decoding.Record, frozen=True):
    """Contracts published together in one value.

    Parameters
    ----------
    revision
        Revision of the shard, as in the index; 0 if it is not stated.
    """

    contracts: tuple[msgspec.Raw, ...]
    revision: int = 0


class PublishedContracts:
    """Reads and watches the contracts at the configuration service.

    Parameters
    ----------
    service
        Configuration service that publishes the contracts.
    registry
        Receives the contracts.
    clock
        Source of time.
    seed
        Seed of the jitter of retries.

    Attributes
    ----------
    problems
        Reason why a value could not be applied, by name of the value.
    rollback_count
        How often the index had a lower revision than one read before.
    read_at_s
        Monotonic time of the last read of the index; ``None`` before the
        first.
    """

    def __init__(
        self,
        service: config_service.ConfigService,
        registry: contract_registry.ContractRegistry,
        clock: clock_module.Clock,
        seed: int | None = None,
    ) -> None:
        self._service = service
        self._registry = registry
        self._clock = clock
        self._random = random.Random(seed)
        self._index_revision = 0
        self._shard_revisions: dict[str, int] = {}
        self._retry_s = _MIN_RETRY_S
        self.problems: dict[str, str] = {}
        self.rollback_count = 0
        self.read_at_s: float | None = None

    async def poll(self) -> None:
        """Watch once and apply what changed; after a failure, back off."""
        try:
            await self.watch_once(self._watch_s)
        except (errors.PlatformError, errors.SettingsError) as error:
            log.warning('contracts not read', error=str(error))
            # All instances lose the service at the same time; without
            # jitter they would also retry at the same time.
            await asyncio.sleep(self._retry_s * self._random.uniform(0.5, 1))
            self._retry_s = min(2 * self._retry_s, _MAX_RETRY_S)
            return
        if not self.problems:
            self._retry_s = _MIN_RETRY_S

    async def watch_once(self, timeout_s: float) -> None:
        """Wait up to `timeout_s` for a change, and apply it.

        Raises
        ------
        PlatformError
            The configuration service cannot be read.
        SettingsError
            The index cannot be decoded.
        """
        value = await self._service.watch(
            INDEX_NAME, self._index_revision, timeout_s
        )
        if value is None:
            # A service that was rolled back to an older state never
            # answers a watch for revisions above its own, so later changes
            # would be missed.  A plain read returns the lower revision.
            await self.read_once()
            return
        await self._apply_index(value)

    async def read_once(self) -> None:
        """Read the index, and apply what changed.

        Raises
        ------
        PlatformError
            The configuration service cannot be read.
        SettingsError
            The index cannot be decoded.
        """
        value = await self._service.read(INDEX_NAME)
        if value is None:
            raise errors.PlatformError(f'value {INDEX_NAME} does not exist')
        await self._apply_index(value)

    @property
    def _watch_s(self) -> float:
        if not self.problems:
            return WATCH_S
        self._retry_s = min(2 * self._retry_s, WATCH_S)
        return self._retry_s

    async def _apply_index(self, value: config_service.Value) -> None:
        try:
            index = decoding.decode_json(
                bytes(value.content), ContractIndex, INDEX_NAME
            )
        except errors.SettingsError as error:
            self._record_problem(INDEX_NAME, str(error))
            self._index_revision = value.revision
            return
        self.problems.pop(INDEX_NAME, None)
        if value.revision < self._index_revision:
            self.rollback_count += 1
            log.error(
                'configuration service rolled back',
                revision=value.revision,
                seen_revision=self._index_revision,
            )
        await self._apply_shards(index)
        self._index_revision = value.revision
        self.read_at_s = self._clock.monotonic_s()

    async def _apply_shards(self, index: ContractIndex) -> None:
        names = {shard.name for shard in index.shards}
        for name in self._shard_revisions.keys() - names:
            # Its contracts stay in force; only a newer revision of a
            # contract can revoke it.
            log.warning('shard removed from the index', shard=name)
            del self._shard_revisions[name]
        for name in self.problems.keys() - names - {INDEX_NAME}:
            del self.problems[name]
        for shard in index.shards:
            if self._shard_revisions.get(shard.name) != shard.revision:
                await self._apply_shard(shard)

    async def _apply_shard(self, shard: ShardRevision) -> None:
        # A shard that cannot be read does not block the others, and its
        # earlier contracts stay in force.
        try:
            content = await self._read_shard(shard)
        except (errors.PlatformError, errors.SettingsError) as error:
            self._record_problem(shard.name, str(error))
            return
        self._check_duplicates(shard.name, content)
        self._registry.forget_rejected(f'{shard.name}[')
        for number, raw in enumerate(content.contracts):
            self._registry.accept_json(raw, f'{shard.name}[{number}]')
        self._shard_revisions[shard.name] = shard.revision
        self.problems.pop(shard.name, None)

    async def _read_shard(self, shard: ShardRevision) -> ContractShard:
        value = await self._service.read(shard.name)
        if value is None:
            raise errors.PlatformError(f'value {shard.name} does not exist')
        content = decoding.decode_json(
            bytes(value.content), ContractShard, shard.name
        )
        if content.revision and content.revision < shard.revision:
            raise errors.PlatformError(
                f'{shard.name} is at revision {content.revision},'
                f' the index names {shard.revision}'
            )
        return content

    def _check_duplicates(self, name: str, content: ContractShard) -> None:
        customers = collections.Counter(
            contract_module.customer_of(raw) for raw in content.contracts
        )
        for customer, count in customers.items():
            if customer and count > 1:
                log.error(
                    'customer listed twice in a shard',
                    shard=name,
                    customer=customer,
                    count=count,
                )

    def _record_problem(self, name: str, reason: str) -> None:
        if self.problems.get(name) != reason:
            log.error('value not applied', value=name, reason=reason)
        self.problems[name] = reason
