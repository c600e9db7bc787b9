"""Compares two sets of contracts before the newer one is published."""

from collections.abc import Iterable
import dataclasses
from typing import Any

import msgspec

from lacewingpitch import contract as contract_module
from lacewingpitch import type_checks


@dataclasses.dataclass(frozen=True, slots=True)
class ContractChange:
    """The difference between two contracts of one customer.

    Parameters
    ----------
    changes
        One line for each field that differs.
    problems
        Reasons not to publish the change; empty if there are none.
    """

    customer: str
    changes: tuple[str, ...]
    problems: tuple[str, ...] = ()


def diff(
    old: Iterable[contract_module.Contract],
    new: Iterable[contract_module.Contract],
) -> list[ContractChange]:
    """Return the changes of all customers whose contracts differ.

    They are sorted by the customers' names.
    """
    before = {contract.customer: contract for contract in old}
    after = {contract.customer: contract for contract in new}
    found = [
        _change(customer, before.get(customer), after.get(customer))
        for customer in sorted(before.keys() | after.keys())
    ]
    return [change for change in found if change.changes or change.problems]


def _change(
    customer: str,
    old: contract_module.Contract | None,
    new: contract_module.Contract | None,
) -> ContractChange:
    if old is None:
        return ContractChange(customer, ('added',))
    if new is None:
        return ContractChange(
            customer,
            ('removed',),
            (
                'a contract that is no longer published stays in force:'
                ' publish it with "revoked": true',
            ),
        )
    changes = tuple(_differences(_plain(old), _plain(new), type_checks.ROOT))
    changes += tuple(_version_changes(old, new))
    return ContractChange(customer, changes, _revision_problems(old, new))


def _revision_problems(
    old: contract_module.Contract, new: contract_module.Contract
) -> tuple[str, ...]:
    if new.revision < old.revision:
        return (
            f'revision decreased from {old.revision} to {new.revision}:'
            ' the change would be ignored',
        )
    if new.revision == old.revision and new != old:
        return (
            f'revision stayed {old.revision} while the content changed:'
            ' the change would be ignored',
        )
    return ()


def _version_changes(
    old: contract_module.Contract, new: contract_module.Contract
) -> list[str]:
    lines = []
    for grant in new.adapters:
        before = old.adapter(grant.name)
        if before is not None and before.version != grant.version:
            lines.append(
                f'adapter {grant.name}: version'
                f' {before.version} -> {grant.version}'
            )
    return lines


def _differences(old: Any, new: Any, path: str) -> list[str]:
    if old == new:
        return []
    if isinstance(old, dict) and isinstance(new, dict):
        lines = []
        for name in sorted(old.keys() | new.keys()):
            lines += _differences(
                old.get(name), new.get(name), f'{path}.{name}'
            )
        return lines
    before = type_checks.short_json(old)
    return [f'{path}: {before} -> {type_checks.short_json(new)}']


def _plain(value: Any) -> Any:
    """Return a contract as nested mappings, with grants by their names."""
    if isinstance(value, msgspec.Struct):
        fields = msgspec.structs.asdict(value)
        return {name: _plain(part) for name, part in fields.items()}
    if isinstance(value, tuple):
        if all(isinstance(part, msgspec.Struct) for part in value):
            return {part.name: _plain(part) for part in value}
        return list(value)
    return value
