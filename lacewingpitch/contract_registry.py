"""The contracts in force at one instance, and the versions known of all."""

import collections
from collections.abc import Iterable

import msgspec
import reactivex
import reactivex.subject
import structlog

from lacewingpitch import contract as contract_module
from lacewingpitch import contract_versions
from lacewingpitch import decoding
from lacewingpitch import errors

log = structlog.get_logger(__name__)


class ContractRegistry:
    """Stores each customer's contract at the highest known version.

    A version may be known before its contract.  The stored contract is then
    outdated, and not in force.

    `changes` emits every contract that comes into force.

    Parameters
    ----------
    capacity_contracts
        The most contracts to store; the most recently changed ones are
        kept.  All are stored if ``None``.  Versions are always stored of
        all customers.
    """

    def __init__(self, capacity_contracts: int | None = None) -> None:
        self.versions = contract_versions.VersionTable()
        self.rejected: dict[str, str] = {}
        self.conflicts: dict[str, str] = {}
        self.stale_count = 0
        self._capacity_contracts = capacity_contracts
        self._contracts: collections.OrderedDict[
            str, contract_module.Contract
        ] = collections.OrderedDict()
        self._customers_by_digest: dict[str, tuple[str, ...]] = {}
        self._outdated: set[str] = set()
        self._changes: reactivex.subject.Subject[contract_module.Contract] = (
            reactivex.subject.Subject()
        )

    @property
    def changes(self) -> reactivex.Observable[contract_module.Contract]:
        """Return the stream of contracts that come into force."""
        return self._changes

    @property
    def holds_all(self) -> bool:
        """Whether every contract is stored, not only the last to change."""
        return self._capacity_contracts is None

    @property
    def outdated(self) -> frozenset[str]:
        """Return the customers whose contract in force isn't stored."""
        return frozenset(self._outdated)

    def __len__(self) -> int:
        return len(self._contracts)

    def contract(self, customer: str) -> contract_module.Contract | None:
        """Return the stored contract of a customer, if there is one."""
        return self._contracts.get(customer)

    def revision(self, customer: str) -> int:
        """Return the highest known revision of a customer; 0 if none."""
        return self.versions.version(customer).revision

    def authenticate(self, api_key: str) -> contract_module.Contract:
        """Return the contract that lists an API key.

        Only the key's digest is looked up, so the response time reveals
        nothing about existing keys.

        Raises
        ------
        RefusalError
            No contract lists the key, several do, or the contract is
            revoked or outdated.
        """
        digest = contract_module.digest_key(api_key)
        contracts = [
            self._contracts[c]
            for c in self._customers_by_digest.get(digest, ())
        ]
        if not contracts:
            raise self._unknown_key()
        current = [c for c in contracts if not c.revoked]
        # An operator may list the same key in two customers' contracts by
        # mistake.  If the last one read had the key, requests would be
        # charged to the wrong customer, and instances that read them in
        # different orders would disagree.  So the key is refused until the
        # contracts are corrected.
        if len(current) > 1:
            raise errors.RefusalError(
                errors.ErrorKind.UNAUTHENTICATED,
                'more than one contract lists the API key',
            )
        found = current[0] if current else contracts[0]
        if found.customer in self._outdated:
            raise errors.RefusalError(
                errors.ErrorKind.CONTRACT_OUTDATED,
                'a newer version of the contract is known but not yet here',
            )
        if found.revoked:
            raise errors.RefusalError(
                errors.ErrorKind.NOT_IN_CONTRACT, 'the contract is revoked'
            )
        return found

    def accept(self, contract: contract_module.Contract) -> bool:
        """Put a contract in force unless a newer version is known.

        Returns
        -------
        bool
            Whether it came into force.
        """
        customer = contract.customer
        version = contract_versions.version_of(contract)
        # The configuration service may return to an old state, and a peer
        # may have old contracts.  A version below the highest known one
        # could restore a revoked right, so it is ignored.
        if version < self.versions.version(customer):
            self.stale_count += 1
            self._check_conflict(contract)
            self._store_outdated(contract)
            return False
        is_new = self.versions.advance(customer, version)
        if not is_new and customer not in self._outdated:
            return False
        self._outdated.discard(customer)
        self.conflicts.pop(customer, None)
        self._check_conflict(contract)
        self._store(contract)
        self._changes.on_next(contract)
        return True

    def record_version(
        self, customer: str, version: contract_versions.ContractVersion
    ) -> None:
        """Record that a version exists whose contract isn't here yet."""
        if not self.versions.advance(customer, version):
            return
        if self.holds_all:
            self._outdated.add(customer)
        else:
            self._remove(customer)

    def accept_json(self, data: bytes | msgspec.Raw, source: str) -> bool:
        """Decode and accept a contract; an invalid one changes nothing.

        Returns
        -------
        bool
            Whether it came into force.
        """
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

    def forget_rejected(self, prefix: str) -> None:
        """Drop the rejections of sources whose names start with `prefix`."""
        for source in [s for s in self.rejected if s.startswith(prefix)]:
            del self.rejected[source]

    def encoded(self, customers: Iterable[str]) -> list[bytes]:
        """Return the encoded contracts of `customers` that are in force."""
        return [
            contract_versions.encode(self._contracts[customer])
            for customer in customers
            if customer in self._contracts and customer not in self._outdated
        ]

    def check_revision(self, customer: str, revision: int) -> None:
        """Refuse a request that was admitted under an outdated contract.

        Raises
        ------
        RefusalError
            A higher revision of the customer's contract is known here.
        """
        known_revision = self.revision(customer)
        # An entry that was paused or partitioned off still admits customers
        # whose contracts were revoked meanwhile.  This refusal makes it
        # fetch the newer contract before the request can run.
        if known_revision > revision:
            raise errors.RefusalError(
                errors.ErrorKind.CONTRACT_OUTDATED,
                f'revision {known_revision} of the contract is in force',
            )
        self.record_version(
            customer, contract_versions.ContractVersion(revision)
        )

    def check_revoked(self, customer: str) -> None:
        """Refuse requests of a customer whose contract is revoked.

        Raises
        ------
        RefusalError
            The contract is revoked at its highest known version.
        """
        if self.versions.version(customer).is_revoked:
            raise errors.RefusalError(
                errors.ErrorKind.NOT_IN_CONTRACT, 'the contract is revoked'
            )

    def _unknown_key(self) -> errors.RefusalError:
        if self.outdated:
            return errors.RefusalError(
                errors.ErrorKind.CONTRACT_OUTDATED,
                'unknown API key, but some contracts are not yet here',
            )
        return errors.RefusalError(
            errors.ErrorKind.UNAUTHENTICATED, 'unknown API key'
        )

    def _store_outdated(self, contract: contract_module.Contract) -> None:
        # The keys of an outdated contract are needed to distinguish it from
        # an unknown key; `authenticate` never returns it.
        if self.holds_all and contract.customer not in self._contracts:
            self._store(contract)

    def _store(self, contract: contract_module.Contract) -> None:
        self._remove(contract.customer)
        self._contracts[contract.customer] = contract
        for digest in set(contract.key_digests):
            customers_of_key = self._customers_by_digest.get(digest, ())
            self._customers_by_digest[digest] = (
                *customers_of_key,
                contract.customer,
            )
            if customers_of_key:
                self._record_conflict(
                    contract.customer,
                    f'API key also listed by {customers_of_key}',
                )
        capacity = self._capacity_contracts
        while capacity is not None and len(self._contracts) > capacity:
            self._remove(next(iter(self._contracts)))

    def _remove(self, customer: str) -> None:
        stored = self._contracts.pop(customer, None)
        if stored is None:
            return
        for digest in set(stored.key_digests):
            customers_of_key = self._customers_by_digest.pop(digest)
            rest = tuple(c for c in customers_of_key if c != customer)
            if rest:
                self._customers_by_digest[digest] = rest

    def _check_conflict(self, contract: contract_module.Contract) -> None:
        stored = self._contracts.get(contract.customer)
        if stored is None or stored.revision != contract.revision:
            return
        if stored != contract:
            self._record_conflict(
                contract.customer,
                f'two different contracts of revision {contract.revision}',
            )

    def _record_conflict(self, customer: str, reason: str) -> None:
        self.conflicts[customer] = reason
        log.error('contracts conflict', customer=customer, reason=reason)
