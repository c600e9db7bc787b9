"""Reads contract files and renders them for the configuration service.

Operators keep one JSON file for each customer.  A folder of such files is
rendered to the values to publish: shards of contracts, and an index of the
shards.
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
    """One named value to publish at the configuration service."""

    name: str
    content: bytes


def load_contracts(path: pathlib.Path) -> tuple[contract_module.Contract, ...]:
    """Read the contracts of a folder, a file, or rendered shards.

    Raises
    ------
    SettingsError
        A contract is invalid, or conflicts with another; the text lists
        all problems.
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
        raise errors.SettingsError(f'{path}: contains no contract')
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
        A value is larger than the configuration service accepts.
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
    # The index comes last, so that its readers find all shards in it.
    values.append(
        PublishedValue(published_contracts.INDEX_NAME, _encode(index))
    )
    for value in values:
        _check_size(value)
    return values


def _encode_shard(contracts: list[contract_module.Contract]) -> bytes:
    # The shard contains its revision, by which a reader detects that it is
    # older than the one in the index.
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
    # The name contains the count, so that another count gives new names.
    # Under the old names, a shard's revision could decrease, and readers
    # would ignore its next change.
    return f'contracts.{number}-of-{shard_count}'


def _shard_revision(contracts: Iterable[contract_module.Contract]) -> int:
    """Return a number that increases with every change of a shard.

    Contracts aren't removed, and their revisions don't decrease.  So each
    change and each new customer increases the sum of the revisions.
    """
    return sum(contract.revision for contract in contracts)


def _encode(content: Any) -> bytes:
    return msgspec.json.encode(content)


def _check_size(value: PublishedValue) -> None:
    limit_bytes = config_service.MAX_VALUE_BYTES
    if len(value.content) > limit_bytes:
        raise errors.SettingsError(
            f'{value.name}: {len(value.content)} bytes exceed the limit of'
            f' {limit_bytes} bytes: render with more shards'
        )
