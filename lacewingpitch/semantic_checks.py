"""Checks of settings and contracts beyond the types of their fields."""

import collections
from collections.abc import Iterable, Iterator

from lacewingpitch import contract as contract_module
from lacewingpitch import settings
from lacewingpitch import type_checks

HTTP_METHODS = frozenset(
    ('GET', 'HEAD', 'OPTIONS', 'POST', 'PUT', 'PATCH', 'DELETE', 'TRACE')
)
_METHODS_TEXT = ', '.join(sorted(HTTP_METHODS))


def contract_problems(
    contract: contract_module.Contract, source: str
) -> Iterator[type_checks.Problem]:
    """Yield the inconsistencies of a decoded contract."""
    yield from _duplicates(
        [grant.name for grant in contract.adapters], source, 'adapters'
    )
    yield from _duplicates(
        [grant.name for grant in contract.services], source, 'services'
    )
    yield from _duplicates(contract.key_digests, source, 'key_digests')
    yield from _digest_problems(contract, source)
    yield from _deadline_problems(contract, source)
    for number, grant in enumerate(contract.services):
        field = f'$.services[{number}].repeatable_methods'
        yield from _method_problems(grant, source, field)


def _digest_problems(
    contract: contract_module.Contract, source: str
) -> Iterator[type_checks.Problem]:
    if not contract.key_digests and not contract.revoked:
        yield type_checks.Problem(
            source,
            '$.key_digests',
            'Expected at least one digest unless the contract is revoked',
            '[]',
        )


def _deadline_problems(
    contract: contract_module.Contract, source: str
) -> Iterator[type_checks.Problem]:
    first_token_s = contract.objective.first_token_s
    if contract.deadline_s < first_token_s:
        yield type_checks.Problem(
            source,
            '$.deadline_s',
            f'Expected at least objective.first_token_s ({first_token_s:g})',
            type_checks.short_json(contract.deadline_s),
        )


def _method_problems(
    grant: contract_module.ServiceGrant, source: str, field: str
) -> Iterator[type_checks.Problem]:
    for method in grant.repeatable_methods:
        if method not in HTTP_METHODS:
            yield type_checks.Problem(
                source,
                field,
                f'Unknown method, expected one of {_METHODS_TEXT}',
                type_checks.short_json(method),
            )


def settings_problems(
    process: settings.ProcessSettings, source: str
) -> Iterator[type_checks.Problem]:
    """Yield the inconsistencies of decoded settings."""
    if process.work_port and process.work_port == process.control_port:
        yield type_checks.Problem(
            source,
            '$.control_port',
            'Expected a port other than work_port',
            type_checks.short_json(process.control_port),
        )


def _duplicates(
    items: Iterable[str], source: str, field: str
) -> Iterator[type_checks.Problem]:
    for item, count in collections.Counter(items).items():
        if count > 1:
            yield type_checks.Problem(
                source,
                f'$.{field}',
                f'Expected unique items, this one occurs {count} times',
                type_checks.short_json(item),
            )
