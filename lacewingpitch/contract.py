"""A customer's contract: its rights, limits, urgency and objective."""

import enum
import hashlib
from typing import Annotated

import msgspec

from lacewingpitch import decoding

# The pattern ends in `\Z`, as `$` also matches before a final line break.
Name = Annotated[
    str,
    msgspec.Meta(
        pattern=r'^[A-Za-z0-9][A-Za-z0-9._-]*\Z', min_length=1, max_length=128
    ),
]
Digest = Annotated[str, msgspec.Meta(pattern=r'^[0-9a-f]{64}\Z')]
PositiveFloat = Annotated[float, msgspec.Meta(gt=0)]
PositiveInt = Annotated[int, msgspec.Meta(ge=1)]
Ratio = Annotated[float, msgspec.Meta(gt=0, lt=1)]


class Urgency(enum.StrEnum):
    """Priority class of a customer's requests."""

    INTERACTIVE = 'interactive'
    STANDARD = 'standard'
    BATCH = 'batch'


class AdapterGrant(decoding.Record, frozen=True):
    """The right to call one adapter at one version.

    Parameters
    ----------
    name
        Adapter's name, as callers send it in ``model``.
    version
        The only version that requests under this revision run on.
    base_model
        Model whose engines can load the adapter.
    repeatable
        Whether requests are idempotent, so that one may run more than once.
    """

    name: Name
    version: Name
    base_model: Name
    repeatable: bool = True

    @property
    def engine_name(self) -> str:
        """Return the model name of the adapter at engines."""
        return f'{self.name}@{self.version}'


class ServiceGrant(decoding.Record, frozen=True):
    """The right to call one plain service, which has no adapters.

    Parameters
    ----------
    repeatable_methods
        Methods of which a request may run more than once.
    """

    name: Name
    repeatable_methods: tuple[str, ...] = ('GET', 'HEAD', 'OPTIONS')


class Limits(decoding.Record, frozen=True):
    """The customer's limits, for all entry instances together.

    Parameters
    ----------
    burst_requests
        Requests admitted at once after a time without requests.
    concurrent_requests
        Requests that run at the same time.
    queued_requests
        Requests that wait for others of the customer to end.
    """

    requests_per_s: PositiveFloat = 10.0
    burst_requests: PositiveInt = 20
    concurrent_requests: PositiveInt = 16
    queued_requests: PositiveInt = 32
    tokens_per_s: PositiveFloat = 10_000.0


class Objective(decoding.Record, frozen=True):
    """The service-level objective, of which burn rates are reported.

    Parameters
    ----------
    first_token_s
        Time until the first token of an answer.
    between_tokens_s
        Time between two tokens of an answer.
    served_ratio
        Ratio of the requests that are to be served.
    """

    first_token_s: PositiveFloat = 0.55
    between_tokens_s: PositiveFloat = 0.041
    served_ratio: Ratio = 0.999


class Contract(decoding.Record, frozen=True):
    """One revision of one customer's contract.

    Parameters
    ----------
    customer
        Name that identifies the customer in the whole system.
    revision
        The highest known revision is in force; lower ones are ignored.
    key_digests
        SHA-256 of each API key, in lower-case hexadecimal.
    revoked
        With a revoked contract, all requests are refused.
    deadline_s
        Time within which the answer to a request starts, or the request is
        refused.
    weight
        Relative share of a backend server's capacity under overload.
    """

    customer: Name
    revision: PositiveInt
    key_digests: tuple[Digest, ...]
    revoked: bool = False
    region: Name = 'default'
    urgency: Urgency = Urgency.STANDARD
    weight: PositiveFloat = 1.0
    deadline_s: PositiveFloat = 30.0
    limits: Limits = Limits()
    objective: Objective = Objective()
    adapters: tuple[AdapterGrant, ...] = ()
    services: tuple[ServiceGrant, ...] = ()

    def adapter(self, name: str) -> AdapterGrant | None:
        """Return the grant for adapter `name`, if there is one."""
        return next((a for a in self.adapters if a.name == name), None)

    def service(self, name: str) -> ServiceGrant | None:
        """Return the grant for service `name`, if there is one."""
        return next((s for s in self.services if s.name == name), None)


def digest_key(api_key: str) -> str:
    """Return the digest under which a contract lists an API key."""
    return hashlib.sha256(api_key.encode()).hexdigest()


def customer_of(data: bytes | msgspec.Raw) -> str:
    """Return the customer of an encoded contract; empty if unreadable."""
    try:
        return msgspec.json.decode(data, type=_CustomerField).customer
    except msgspec.DecodeError:
        return ''


class _CustomerField(msgspec.Struct, frozen=True):
    customer: str = ''
