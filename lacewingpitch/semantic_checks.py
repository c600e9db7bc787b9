"""What decodes in settings and contracts, but cannot be meant."""

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
    """Yield what decodes in a contract but cannot be meant."""
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
            'Expected no less than objective.first_token_s'
            f' ({first_token_s:g})',
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
                f'Unknown method, allowed are {_METHODS_TEXT}',
                type_checks.short_json(method),
            )


def settings_problems(
    found: settings.ProcessSettings, source: str
) -> Iterator[type_checks.Problem]:
    """Yield what decodes in settings but cannot work."""
    if found.work_port and found.work_port == found.control_port:
        yield type_checks.Problem(
            source,
            '$.control_port',
            'Expected another port than work_port',
            type_checks.short_json(found.control_port),
        )


def _duplicates(
    names: Iterable[str], source: str, field: str
) -> Iterator[type_checks.Problem]:
    for name, count in collections.Counter(names).items():
        if count > 1:
            yield type_checks.Problem(
                source,
                f'$.{field}',
                f'Expected each once, one is there {count} times',
                type_checks.short_json(name),
            )
