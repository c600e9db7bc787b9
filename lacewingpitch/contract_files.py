"""Contracts as operators keep them: one JSON file for each customer.

From a folder of such files come the values to publish at the
configuration service: shards of contracts, and an index of the shards.
"""

from collections.abc import Iterable
import dataclasses
import pathlib
from typing import Any, TextIO

import msgspec
import xxhash

from lacewingpitch import checking
from lacewingpitch import config_service
from lacewingpitch import contract as contract_module
from lacewingpitch import errors
from lacewingpitch import published_contracts

DEFAULT_SHARD_COUNT = 64


@dataclasses.dataclass(frozen=True, slots=True)
class PublishedValue:
    """One value for the configuration service."""

    name: str
    content: bytes


def load_contracts(path: pathlib.Path) -> tuple[contract_module.Contract, ...]:
    """Read the contracts of a folder, a file, or rendered shards.

    Raises
    ------
    SettingsError
        A contract is wrong, or clashes with another; names them all.
    """
    checked = checking.check_paths([path])
    problems = [str(p) for item in checked for p in item.problems]
    if problems:
        raise errors.SettingsError('\n'.join(problems))
    found = [
        item.content
        for item in checked
        if isinstance(item.content, contract_module.Contract)
    ]
    if not found:
        raise errors.SettingsError(f'{path}: holds no contract')
    return tuple(sorted(found, key=lambda contract: contract.customer))


def render(
    contracts: Iterable[contract_module.Contract],
    shard_count: int = DEFAULT_SHARD_COUNT,
) -> list[PublishedValue]:
    """Return the values to publish, the index last.

    A customer's shard depends on its name and `shard_count` alone, so
    that a change of one contract changes one shard and the index.

    Raises
    ------
    SettingsError
        A value would be larger than the configuration service takes.
    """
    shards: dict[str, list[contract_module.Contract]] = {}
    for contract in sorted(contracts, key=lambda c: c.customer):
        name = shard_name(contract.customer, shard_count)
        shards.setdefault(name, []).append(contract)
    values = [
        PublishedValue(name, _encode_shard(shards[name]))
        for name in sorted(shards)
    ]
    index = published_contracts.ContractIndex(
        shards=tuple(
            published_contracts.ShardRevision(
                name=name, revision=_shard_revision(shards[name])
            )
            for name in sorted(shards)
        )
    )
    # The index comes last: whoever reads it finds the shards it names.
    values.append(
        PublishedValue(published_contracts.INDEX_NAME, _encode(index))
    )
    for value in values:
        _check_size(value)
    return values


def _encode_shard(contracts: list[contract_module.Contract]) -> bytes:
    # With its revision inside, a reader tells a shard that lags behind
    # the index from the one that the index names.
    revision = _shard_revision(contracts)
    return _encode({'revision': revision, 'contracts': contracts})


def write_values(
    values: Iterable[PublishedValue],
    folder: pathlib.Path | None,
    stream: TextIO,
) -> None:
    """Write values as files of a folder, or as JSON lines to a stream."""
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
    for value in values:
        if folder is not None:
            (folder / f'{value.name}.json').write_bytes(value.content)
            continue
        line = {'name': value.name, 'content': msgspec.Raw(value.content)}
        stream.write(_encode(line).decode() + '\n')


def shard_name(customer: str, shard_count: int) -> str:
    """Return the name of the value that holds a customer's contract."""
    number = xxhash.xxh64_intdigest(customer.encode()) % shard_count
    # With the count in the name, another count gives new names.  Under
    # the old names a shard's revision could fall, and readers would pass
    # over its next change.
    return f'contracts.{number}-of-{shard_count}'


def _shard_revision(contracts: Iterable[contract_module.Contract]) -> int:
    """Return a number that rises with every change of a shard.

    Contracts are neither removed nor set back, so each change, and each
    customer that is added, raises the sum of their revisions.
    """
    return sum(contract.revision for contract in contracts)


def _encode(content: Any) -> bytes:
    return msgspec.json.encode(content)


def _check_size(value: PublishedValue) -> None:
    limit_bytes = config_service.MAX_VALUE_BYTES
    if len(value.content) > limit_bytes:
        raise errors.SettingsError(
            f'{value.name}: {len(value.content)} bytes, allowed are'
            f' {limit_bytes}: render with more shards'
        )
