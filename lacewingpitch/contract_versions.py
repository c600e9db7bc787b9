"""Versions of contracts, and a table of the highest known ones.

The table has hashes over all versions, with which two processes find the
customers whose versions differ.
"""

from collections.abc import Iterable
import functools
from typing import Any

import msgspec
import xxhash

from lacewingpitch import contract as contract_module

LEAF_COUNT = 256
_HASH_BYTES = 8
_REVOKED_RANK = 1 << 63


class ContractVersion(
    msgspec.Struct, frozen=True, order=True, array_like=True
):
    """Orders the contracts of one customer.

    Parameters
    ----------
    revision
        The number that operators give.
    rank
        Orders different contents of one revision; 0 if the content is
        unknown.
    """

    revision: int = 0
    rank: int = 0

    @property
    def is_revoked(self) -> bool:
        """Whether the contract of this version is known to be revoked."""
        return self.rank >= _REVOKED_RANK


class CustomerVersion(msgspec.Struct, frozen=True, array_like=True):
    """The highest known version of one customer's contract."""

    customer: str
    version: ContractVersion


NO_VERSION = ContractVersion()


def version_of(contract: contract_module.Contract) -> ContractVersion:
    """Return the version of a contract.

    Two operators may publish different contents under one revision.  All
    processes must choose the same one, in whatever order they get them.  So
    contents are ordered: a revoked one wins, then the higher hash.
    """
    rank = xxhash.xxh3_64_intdigest(encode(contract)) >> 1
    if contract.revoked:
        rank |= _REVOKED_RANK
    return ContractVersion(contract.revision, rank)


def encode(contract: contract_module.Contract) -> bytes:
    """Return a contract as JSON, without fields that have default values.

    A field that a newer release adds then doesn't change the rank, nor
    makes an older release reject the contract, until an operator sets it.
    """
    return msgspec.json.encode(_non_default_fields(contract))


class VersionTable:
    """The highest known version of every customer, with hashes over them.

    It is a hash tree of two levels: each customer belongs to one of
    `LEAF_COUNT` leaves.  Two tables are equal if their leaves' hashes are,
    so two processes find the differences with few bytes.
    """

    def __init__(self) -> None:
        self._versions: dict[str, ContractVersion] = {}
        self._leaves = [0] * LEAF_COUNT
        self._customers: list[set[str]] = [set() for _ in range(LEAF_COUNT)]

    def __len__(self) -> int:
        return len(self._versions)

    @property
    def root(self) -> int:
        """Return one hash over the hashes of all leaves."""
        return xxhash.xxh3_64_intdigest(self.leaves())

    def leaves(self) -> bytes:
        """Return the concatenated hashes of all leaves."""
        return b''.join(h.to_bytes(_HASH_BYTES, 'big') for h in self._leaves)

    def version(self, customer: str) -> ContractVersion:
        """Return the highest known version; `NO_VERSION` if none is."""
        return self._versions.get(customer, NO_VERSION)

    def advance(self, customer: str, version: ContractVersion) -> bool:
        """Record a version if it is higher than the known one.

        Returns
        -------
        bool
            Whether it was higher.
        """
        found = self._versions.get(customer, NO_VERSION)
        if version <= found:
            return False
        leaf = _leaf_of(customer)
        if found is not NO_VERSION:
            self._leaves[leaf] ^= _hash(customer, found)
        self._leaves[leaf] ^= _hash(customer, version)
        self._versions[customer] = version
        self._customers[leaf].add(customer)
        return True

    def differing_leaves(self, leaves: bytes) -> list[int]:
        """Return the numbers of the leaves that differ in another table.

        Parameters
        ----------
        leaves
            Hashes of the other table's leaves; with another length, all
            leaves count as different.
        """
        if len(leaves) != LEAF_COUNT * _HASH_BYTES:
            return list(range(LEAF_COUNT))
        own = self.leaves()
        return [
            number
            for number in range(LEAF_COUNT)
            if own[_slice(number)] != leaves[_slice(number)]
        ]

    def in_leaves(self, leaves: Iterable[int]) -> tuple[CustomerVersion, ...]:
        """Return the versions of all customers in some leaves."""
        return tuple(
            CustomerVersion(customer, self._versions[customer])
            for leaf in leaves
            if 0 <= leaf < LEAF_COUNT
            for customer in sorted(self._customers[leaf])
        )


def _non_default_fields(value: Any) -> Any:
    if isinstance(value, tuple):
        return [_non_default_fields(item) for item in value]
    if not isinstance(value, msgspec.Struct):
        return value
    defaults = _defaults(type(value))
    return {
        name: _non_default_fields(getattr(value, name))
        for name, default in defaults.items()
        if getattr(value, name) != default
    }


@functools.cache
def _defaults(kind: type[msgspec.Struct]) -> dict[str, Any]:
    return {f.name: f.default for f in msgspec.structs.fields(kind)}


def _leaf_of(customer: str) -> int:
    return xxhash.xxh3_64_intdigest(customer.encode()) % LEAF_COUNT


def _hash(customer: str, version: ContractVersion) -> int:
    text = f'{customer}/{version.revision}/{version.rank}'
    return xxhash.xxh3_64_intdigest(text.encode())


def _slice(leaf: int) -> slice:
    return slice(leaf * _HASH_BYTES, (leaf + 1) * _HASH_BYTES)
