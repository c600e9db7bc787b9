"""A customer's contract: what it may call, how much, and how urgently."""

import enum
import hashlib
from typing import Annotated

import msgspec

from lacewingpitch import decoding

# `\Z` and not `$`, which would let a name end in a line break.
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
    """How soon a customer's requests matter."""

    INTERACTIVE = 'interactive'
    STANDARD = 'standard'
    BATCH = 'batch'


class AdapterGrant(decoding.Record, frozen=True):
    """One adapter, at one version, that the customer may call.

    Parameters
    ----------
    name
        Adapter's name, as the caller gives it in ``model``.
    version
        The only version that requests of this revision run on.
    base_model
        Model whose engines can hold the adapter.
    repeatable
        Whether a request may run more than once.
    """

    name: Name
    version: Name
    base_model: Name
    repeatable: bool = True

    @property
    def engine_name(self) -> str:
        """Return the model name under which engines know the adapter."""
        return f'{self.name}@{self.version}'


class ServiceGrant(decoding.Record, frozen=True):
    """One plain service that the customer may call."""

    name: Name
    repeatable_methods: tuple[str, ...] = ('GET', 'HEAD', 'OPTIONS')


class Limits(decoding.Record, frozen=True):
    """How much work the customer may send, over all entry instances."""

    requests_per_s: PositiveFloat = 10.0
    burst_requests: PositiveInt = 20
    concurrent_requests: PositiveInt = 16
    queued_requests: PositiveInt = 32
    tokens_per_s: PositiveFloat = 10_000.0


class Objective(decoding.Record, frozen=True):
    """The service-level objective that the burn report measures."""

    first_token_s: PositiveFloat = 0.55
    between_tokens_s: PositiveFloat = 0.041
    served_ratio: Ratio = 0.999


class Contract(decoding.Record, frozen=True):
    """One revision of one customer's contract.

    Parameters
    ----------
    customer
        Identifies the customer everywhere.
    revision
        The highest revision seen wins, everywhere and for good.
    key_digests
        SHA-256 of each API key, in lower-case hexadecimal.
    revoked
        A revoked contract refuses everything.
    deadline_s
        Time within which a request starts its answer or is refused.
    weight
        Share of a backend server under overload, against the others.
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
        return msgspec.json.decode(data, type=_Head).customer
    except msgspec.DecodeError:
        return ''


class _Head(msgspec.Struct, frozen=True):
    customer: str = ''
