"""The contracts in force at one instance."""

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
    """The contracts in force, each at the highest version seen.

    A version may be known before its contract: the contract held is then
    outdated, and not in force.

    `changes` emits every contract that comes into force.

    Parameters
    ----------
    capacity_contracts
        How many contracts to hold, the last to change; all if ``None``.
        Versions are held of all customers.
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
        self._by_digest: dict[str, tuple[str, ...]] = {}
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
        """Whether it holds every contract, not only the last to change."""
        return self._capacity_contracts is None

    @property
    def outdated(self) -> frozenset[str]:
        """Return customers whose contract in force is not held here."""
        return frozenset(self._outdated)

    def __len__(self) -> int:
        return len(self._contracts)

    def contract(self, customer: str) -> contract_module.Contract | None:
        """Return the contract of a customer."""
        return self._contracts.get(customer)

    def revision(self, customer: str) -> int:
        """Return the highest revision seen of a customer, 0 if none."""
        return self.versions.version(customer).revision

    def authenticate(self, api_key: str) -> contract_module.Contract:
        """Return the contract that lists an API key.

        Only the key's digest is looked up, so the time that it takes
        says nothing of a key.

        Raises
        ------
        RefusalError
            No contract lists the key, several do, or the contract is
            revoked or not the newest.
        """
        digest = contract_module.digest_key(api_key)
        claims = [self._contracts[c] for c in self._by_digest.get(digest, ())]
        if not claims:
            raise self._unknown_key()
        current = [c for c in claims if not c.revoked]
        # The same key in two customers' contracts, by an operator's slip,
        # would let whoever came last answer for the other.  No order in
        # which instances read them is the same everywhere, so neither is
        # served with that key until the contracts are mended.
        if len(current) > 1:
            raise errors.RefusalError(
                errors.ErrorKind.UNAUTHENTICATED,
                'more than one contract lists the API key',
            )
        found = current[0] if current else claims[0]
        if found.customer in self._outdated:
            raise errors.RefusalError(
                errors.ErrorKind.CONTRACT_OUTDATED,
                'a newer contract is known but not yet here',
            )
        if found.revoked:
            raise errors.RefusalError(
                errors.ErrorKind.NOT_IN_CONTRACT, 'the contract is revoked'
            )
        return found

    def accept(self, contract: contract_module.Contract) -> bool:
        """Put a contract in force unless a newer one is known.

        Returns
        -------
        bool
            Whether it came into force.
        """
        customer = contract.customer
        version = contract_versions.version_of(contract)
        # The configuration service may fall back to an old state, and a
        # peer may be behind.  A version below the highest seen would
        # bring a revoked right back, so it is passed over.
        if version < self.versions.version(customer):
            self.stale_count += 1
            self._check_conflict(contract)
            self._hold_outdated(contract)
            return False
        is_new = self.versions.raise_to(customer, version)
        if not is_new and customer not in self._outdated:
            return False
        self._outdated.discard(customer)
        self.conflicts.pop(customer, None)
        self._check_conflict(contract)
        self._hold(contract)
        self._changes.on_next(contract)
        return True

    def record_version(
        self, customer: str, version: contract_versions.ContractVersion
    ) -> None:
        """Note that a version is out, though its contract is not here."""
        if not self.versions.raise_to(customer, version):
            return
        if self.holds_all:
            self._outdated.add(customer)
        else:
            self._drop(customer)

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

    def forget_rejected(self, prefix: str) -> None:
        """Forget what was rejected from sources named with `prefix`."""
        for source in [s for s in self.rejected if s.startswith(prefix)]:
            del self.rejected[source]

    def encoded(self, customers: Iterable[str]) -> list[bytes]:
        """Return those contracts of `customers` that are in force here."""
        return [
            contract_versions.encode(self._contracts[customer])
            for customer in customers
            if customer in self._contracts and customer not in self._outdated
        ]

    def check_revision(self, customer: str, revision: int) -> None:
        """Refuse an order made under a contract that is not the newest.

        Raises
        ------
        RefusalError
            A higher revision of the customer's contract is known here.
        """
        known = self.revision(customer)
        # An entry that was paused, or cut off, still admits a customer
        # whose contract was revoked meanwhile.  Here it meets a process
        # that knows, and catches up before the request can run.
        if known > revision:
            raise errors.RefusalError(
                errors.ErrorKind.CONTRACT_OUTDATED,
                f'revision {known} of the contract is in force',
            )
        self.record_version(
            customer, contract_versions.ContractVersion(revision)
        )

    def check_revoked(self, customer: str) -> None:
        """Refuse work of a customer whose contract is revoked.

        Raises
        ------
        RefusalError
            The newest version known is a revocation.
        """
        if self.versions.version(customer).is_revoked:
            raise errors.RefusalError(
                errors.ErrorKind.NOT_IN_CONTRACT, 'the contract is revoked'
            )

    def _unknown_key(self) -> errors.RefusalError:
        if self.outdated:
            return errors.RefusalError(
                errors.ErrorKind.CONTRACT_OUTDATED,
                'unknown API key, but not every contract is here',
            )
        return errors.RefusalError(
            errors.ErrorKind.UNAUTHENTICATED, 'unknown API key'
        )

    def _hold_outdated(self, contract: contract_module.Contract) -> None:
        # Its keys are needed to tell an outdated contract from an unknown
        # key; it is never returned by `authenticate`.
        if self.holds_all and contract.customer not in self._contracts:
            self._hold(contract)

    def _hold(self, contract: contract_module.Contract) -> None:
        self._drop(contract.customer)
        self._contracts[contract.customer] = contract
        for digest in set(contract.key_digests):
            claims = self._by_digest.get(digest, ())
            self._by_digest[digest] = (*claims, contract.customer)
            if claims:
                self._report(contract.customer, f'key also of {claims}')
        capacity = self._capacity_contracts
        while capacity is not None and len(self._contracts) > capacity:
            self._drop(next(iter(self._contracts)))

    def _drop(self, customer: str) -> None:
        held = self._contracts.pop(customer, None)
        if held is None:
            return
        for digest in set(held.key_digests):
            claims = self._by_digest.pop(digest)
            rest = tuple(c for c in claims if c != customer)
            if rest:
                self._by_digest[digest] = rest

    def _check_conflict(self, contract: contract_module.Contract) -> None:
        held = self._contracts.get(contract.customer)
        if held is None or held.revision != contract.revision:
            return
        if held != contract:
            self._report(
                contract.customer,
                f'two contents of revision {contract.revision}',
            )

    def _report(self, customer: str, reason: str) -> None:
        self.conflicts[customer] = reason
        log.error('contracts conflict', customer=customer, reason=reason)
