"""The contracts in force at one instance, and how they get there."""

import asyncio
import hashlib
from typing import Protocol

import msgspec
import reactivex
import reactivex.subject
import structlog

from lacewingpitch import config_service
from lacewingpitch import contract as contract_module
from lacewingpitch import decoding
from lacewingpitch import errors

INDEX_NAME = 'contracts.index'
_WATCH_S = 30.0
_RETRY_S = 1.0
log = structlog.get_logger(__name__)


class ShardRevision(decoding.Record, frozen=True):
    """Which revision of one shard is published."""

    name: str
    revision: int


class ContractIndex(decoding.Record, frozen=True):
    """The shards that hold the contracts."""

    shards: tuple[ShardRevision, ...]


class ContractShard(decoding.Record, frozen=True):
    """Contracts that are published in one value."""

    contracts: tuple[msgspec.Raw, ...]


class ContractBook:
    """The contracts in force, each at the highest revision seen.

    `changes` emits every contract that comes into force.
    """

    def __init__(self) -> None:
        self._contracts: dict[str, contract_module.Contract] = {}
        self._by_digest: dict[str, str] = {}
        self._changes: reactivex.subject.Subject[contract_module.Contract] = (
            reactivex.subject.Subject()
        )
        self.rejected: dict[str, str] = {}

    @property
    def changes(self) -> reactivex.Observable[contract_module.Contract]:
        """Return the stream of contracts that come into force."""
        return self._changes

    def __len__(self) -> int:
        return len(self._contracts)

    def contract(self, customer: str) -> contract_module.Contract | None:
        """Return the contract of a customer."""
        return self._contracts.get(customer)

    def revision(self, customer: str) -> int:
        """Return the revision in force of a customer, 0 if there is none."""
        found = self._contracts.get(customer)
        return found.revision if found else 0

    def authenticate(self, api_key: str) -> contract_module.Contract:
        """Return the contract that lists an API key.

        Only the key's digest is looked up, so the time that it takes
        says nothing of a key.

        Raises
        ------
        RefusalError
            No contract lists the key, or the contract is revoked.
        """
        digest = hashlib.sha256(api_key.encode()).hexdigest()
        customer = self._by_digest.get(digest)
        if customer is None:
            raise errors.RefusalError(
                errors.ErrorKind.UNAUTHENTICATED, 'unknown API key'
            )
        found = self._contracts[customer]
        if found.revoked:
            raise errors.RefusalError(
                errors.ErrorKind.NOT_IN_CONTRACT, 'the contract is revoked'
            )
        return found

    def accept(self, contract: contract_module.Contract) -> bool:
        """Put a contract in force unless a newer one is.

        Returns
        -------
        bool
            Whether it came into force.
        """
        found = self._contracts.get(contract.customer)
        # The configuration service may fall back to an old state, and a
        # peer may be behind.  A revision below the one in force would
        # bring a revoked right back, so it is passed over.
        if found is not None and found.revision >= contract.revision:
            return False
        if found is not None:
            for digest in found.key_digests:
                self._by_digest.pop(digest, None)
        self._contracts[contract.customer] = contract
        for digest in contract.key_digests:
            self._by_digest[digest] = contract.customer
        self._changes.on_next(contract)
        return True

    def accept_json(self, data: bytes | msgspec.Raw, source: str) -> bool:
        """Put a published contract in force, or keep the last good one."""
        try:
            contract = decoding.decode_json(
                bytes(data), contract_module.Contract, source
            )
        except errors.SettingsError as error:
            self.rejected[source] = str(error)
            log.error('contract rejected', source=source, reason=str(error))
            return False
        self.rejected.pop(source, None)
        return self.accept(contract)


class ContractSource(Protocol):
    """Feeds a book with contracts for as long as it runs."""

    async def run(self, book: ContractBook) -> None:
        """Feed `book` until cancelled."""
        ...


class PublishedContracts:
    """Reads and watches the contracts at the configuration service."""

    def __init__(self, service: config_service.ConfigService) -> None:
        self._service = service
        self._index_revision = 0
        self._shard_revisions: dict[str, int] = {}

    async def run(self, book: ContractBook) -> None:
        """Feed `book` until cancelled."""
        while True:
            try:
                await self.read_once(book, _WATCH_S)
            except (errors.PlatformError, errors.SettingsError) as error:
                log.warning('contracts not read', error=str(error))
                await asyncio.sleep(_RETRY_S)

    async def read_once(self, book: ContractBook, timeout_s: float) -> None:
        """Wait for a change of the index, and read what changed.

        Raises
        ------
        PlatformError
            The configuration service is down.
        SettingsError
            The index cannot be decoded.
        """
        value = await self._service.watch(
            INDEX_NAME, self._index_revision, timeout_s
        )
        if value is None:
            return
        index = decoding.decode_json(
            bytes(value.content), ContractIndex, INDEX_NAME
        )
        for shard in index.shards:
            if self._shard_revisions.get(shard.name, 0) < shard.revision:
                await self._read_shard(book, shard)
        self._index_revision = value.revision

    async def _read_shard(
        self, book: ContractBook, shard: ShardRevision
    ) -> None:
        value = await self._service.read(shard.name)
        if value is None:
            log.error('shard missing', shard=shard.name)
            return
        content = decoding.decode_json(
            bytes(value.content), ContractShard, shard.name
        )
        for number, raw in enumerate(content.contracts):
            book.accept_json(raw, f'{shard.name}[{number}]')
        self._shard_revisions[shard.name] = value.revision
