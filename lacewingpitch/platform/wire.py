"""Decoding of the values that operator and engines publish in the store."""

from collections.abc import Iterable, Mapping
import math
from typing import Annotated, Any

import msgspec

from lacewingpitch import backend_list
from lacewingpitch import caller_limits
from lacewingpitch import errors
from lacewingpitch import organisation
from lacewingpitch.platform import names
from lacewingpitch.platform import settings as settings_module
from lacewingpitch import routing
from lacewingpitch import run_memory

_MS_PER_S = 1000
# Far in the future; a larger start is no Unix time in milliseconds.
_MAX_START_MS = 10**13
StartMs = Annotated[int, msgspec.Meta(ge=0, lt=_MAX_START_MS)]
# Larger numbers fit into no message between processes.
_MAX_COUNT = 2**53
Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_COUNT)]
_BYTES_PER_MBIT = 125_000
_TOKEN_UNIT = 'token_count'
# Larger numbers are no versions.
_MAX_VERSION_DIGITS = 18
_KIND_BY_TYPE = {
    'safe': routing.RequestKind.IDEMPOTENT,
    'unsafe': routing.RequestKind.AT_MOST_ONCE,
    'streaming': routing.RequestKind.STREAM,
}
# Of an entry of the list; servers of the same software state the same ones.
_OPTIONAL_FIELDS = ('stage', 'models', 'born')
# Whether a server in a state is leaving.  Entries in any other state are
# rejected.
_IS_LEAVING = {'ready': False, 'draining': True}


class _WeightedService(msgspec.Struct, frozen=True):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct, frozen=True):
    name: str
    host: str
    prefix: str = msgspec.field(name='pathPrefix')
    kind: str = msgspec.field(name='type')
    timeout_ms: float = msgspec.field(name='timeoutMs')
    # For a stream, the time to its first event.
    target_ms: float = msgspec.field(name='targetLatencyMs', default=1000)
    service: str = ''
    split: tuple[_WeightedService, ...] = ()
    max_attempts: int = msgspec.field(name='maxAttempts', default=1)
    # 0 is the most urgent.
    priority: int = 0
    is_resumable: bool = msgspec.field(name='resumable', default=False)
    is_public: bool = msgspec.field(name='public', default=False)
    gap_ms: float = msgspec.field(name='targetGapMs', default=0)


class _Model(msgspec.Struct, frozen=True):
    name: str
    weights_mb: float = msgspec.field(name='weightsMb', default=0.0)
    adapter_mb: float = msgspec.field(name='adapterMb', default=0.0)


class _Engine(msgspec.Struct, frozen=True):
    # Requests that run concurrently, not adapter slots.
    slots: int
    models: tuple[_Model, ...] = ()
    adapter_slots: int = msgspec.field(name='adapterSlots', default=0)
    # Memory of the engine for models and adapters together.  In a model, the
    # field of the same name is the memory that the model takes.
    weights_mb: float = msgspec.field(name='weightsMb', default=math.inf)
    # Tokens in each event of a stream.
    stride: float = 1
    # Whether engines copy the memory of runs to each other, and how.  Values
    # of another type do not make the configuration invalid.
    copies_runs: Any = msgspec.field(name='moves', default=False)
    handle_s: Any = 0.0
    token_bytes: Any = msgspec.field(name='kvBytes', default=0.0)
    link_mbps: Any = msgspec.field(name='linkMbps', default=0.0)


class _Service(msgspec.Struct, frozen=True):
    name: str
    health_path: str = msgspec.field(name='healthPath', default='/')
    engine: _Engine | None = None


class _Limits(msgspec.Struct, frozen=True):
    header_bytes: int = msgspec.field(name='maxHeaderBytes', default=16 << 10)
    body_bytes: int = msgspec.field(name='maxBodyBytes', default=4 << 20)
    header_ms: float = msgspec.field(name='headerTimeoutMs', default=3000)
    idle_ms: float = msgspec.field(name='idleTimeoutMs', default=15000)


class _Tenant(msgspec.Struct, frozen=True):
    name: str
    keys: tuple[str, ...] = msgspec.field(name='apiKeys', default=())
    # Overrides the priority of the route.
    priority: int | None = None
    # Unit of `ratePerS` and `burst`; requests if it is absent.
    unit: str = ''
    # Tokens charged for a request that does not state any.
    unstated_tokens: float = msgspec.field(name='uncachedTokens', default=1)
    # 0 for no limit.
    rate_per_s: float = msgspec.field(name='ratePerS', default=0)
    burst: float = 0


class _Configuration(msgspec.Struct, frozen=True):
    version: Count
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...] = ()
    limits: _Limits = _Limits()
    # If the field is present, even if empty, callers need a key.
    tenants: tuple[_Tenant, ...] | None = None


class HeldModel(msgspec.Struct, frozen=True):
    """A model loaded in an engine, with its adapters.

    Parameters
    ----------
    adapters
        Adapters, each as NAME@VERSION.
    """

    name: str
    version: int = 0
    adapters: tuple[str, ...] = ()


class _BackendServer(msgspec.Struct, frozen=True):
    service: str
    # IP:PORT.
    address: str
    zone: str
    # Of its software.
    version: str
    # Requests that run concurrently.
    slots: Annotated[int, msgspec.Meta(gt=0, le=_MAX_COUNT)]
    state: str
    # Time for which it remains slow after its start.
    cold_ms: float = msgspec.field(name='coldRemainingMs')
    # Orders that it has accepted.
    sequence: Count
    # Of a model engine.
    stage: str | msgspec.UnsetType = msgspec.UNSET
    models: tuple[HeldModel, ...] | msgspec.UnsetType = msgspec.UNSET
    # Copies of weights by place.
    available: dict[str, Any] | msgspec.UnsetType = msgspec.UNSET
    # Unix time of its start in ms, if servers state it.
    born: StartMs | msgspec.UnsetType = msgspec.UNSET
    # Of a server that is removed at short notice: time until it ends.
    remaining_ms: float | msgspec.UnsetType = msgspec.field(
        name='remainingMs', default=msgspec.UNSET
    )


class _AdapterVersion(msgspec.Struct, frozen=True):
    model: str
    adapter: str
    version: Count


def decode_configuration(content: bytes) -> routing.Configuration:
    """Decode the published configuration.

    Raises
    ------
    PlatformError
        It is malformed.
    """
    published = _decode(content, _Configuration, 'configuration')
    return routing.Configuration(
        version=published.version,
        routes=tuple(
            _route(route)
            for route in published.routes
            if route.kind in _KIND_BY_TYPE
        ),
        engines={
            service.name: routing.EngineLimits(
                max_running=service.engine.slots,
                adapter_slots=service.engine.adapter_slots,
                models=tuple(model.name for model in service.engine.models),
                weights_mb=service.engine.weights_mb,
                sizes={
                    model.name: routing.ModelSize(
                        model.weights_mb, model.adapter_mb
                    )
                    for model in service.engine.models
                },
                tokens_per_event=max(1, int(service.engine.stride)),
                memory_link=_memory_link(service.engine),
            )
            for service in published.services
            if service.engine is not None
        },
        limits=caller_limits.CallerLimits(
            header_bytes=published.limits.header_bytes,
            body_bytes=published.limits.body_bytes,
            header_timeout_s=published.limits.header_ms / _MS_PER_S,
            idle_timeout_s=published.limits.idle_ms / _MS_PER_S,
        ),
        content=content,
        services=frozenset(service.name for service in published.services),
        health_paths={
            service.name: service.health_path for service in published.services
        },
        organisations=_organisations(published.tenants),
    )


def decode_backend_server(
    name: str, content: bytes, created_revision: int
) -> backend_list.BackendServer:
    """Decode an entry of the list of backend servers.

    Raises
    ------
    PlatformError
        It lacks a field, one is of another type, or its state is unknown.
    """
    entry = _decode(content, _BackendServer, name)
    try:
        ip, port = settings_module.split_endpoint(entry.address)
    except ValueError as error:
        raise errors.PlatformError(f'{name}: {error}') from error
    is_leaving = _IS_LEAVING.get(entry.state)
    if is_leaving is None:
        raise errors.PlatformError(f'{name}: unknown state')
    return backend_list.BackendServer(
        name=name,
        service=entry.service,
        ip=ip,
        port=port,
        availability_zone=entry.zone,
        is_leaving=is_leaving,
        max_running=entry.slots,
        adapters=held_versions(entry.models or ()),
        created_revision=created_revision,
        started_at_ms=entry.born or 0,
        leaves_in_s=_number(entry.remaining_ms) / _MS_PER_S,
        software_version=entry.version,
        stated_fields=_stated_fields(entry),
    )


def _stated_fields(entry: _BackendServer) -> frozenset[str]:
    return frozenset(
        name
        for name in _OPTIONAL_FIELDS
        if getattr(entry, name) is not msgspec.UNSET
    )


def decode_adapter_version(content: bytes) -> tuple[str, str, int]:
    """Decode an adapter version; return model, adapter and version.

    Raises
    ------
    PlatformError
        It is malformed.
    """
    published = _decode(content, _AdapterVersion, 'adapter version')
    return published.model, published.adapter, published.version


def held_versions(models: Iterable[HeldModel]) -> dict[str, int]:
    """Return the versions of the loaded adapters by MODEL/ADAPTER."""
    versions = {}
    for model in models:
        for listed in model.adapters:
            adapter, _, version = listed.rpartition('@')
            versions[f'{model.name}/{adapter}'] = _parse_version(version)
    return versions


def pending_versions(pending: Iterable[str]) -> dict[str, int]:
    """Return versions by MODEL/ADAPTER from a list of MODEL/NAME@VERSION."""
    versions = {}
    for listed in pending:
        key, _, version = listed.rpartition('@')
        versions[key] = _parse_version(version)
    return versions


def decode_server_limit(headers: Mapping[str, str]) -> float | None:
    """Return the requests per second that a server says it accepts.

    Returns
    -------
    float or None
        ``None`` if the headers of its response name no limit.

    Raises
    ------
    PlatformError
        The limit is not a number, or negative.
    """
    text = headers.get(names.SERVER_LIMIT)
    if text is None:
        return None
    try:
        per_s = float(text)
    except ValueError as error:
        raise errors.PlatformError(f'server limit: {error}') from error
    if not 0.0 <= per_s < math.inf:
        raise errors.PlatformError(f'server limit out of range: {text!r}')
    return per_s


def _memory_link(engine: _Engine) -> run_memory.MemoryLink | None:
    if engine.copies_runs is not True:
        return None
    return run_memory.MemoryLink(
        token_bytes=_number(engine.token_bytes),
        bytes_per_s=_number(engine.link_mbps) * _BYTES_PER_MBIT,
        kept_s=_number(engine.handle_s),
    )


def _number(value: Any) -> float:
    """Return a positive finite number; 0 for any other value."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return 0.0
    try:
        found = float(value)
    except OverflowError:
        return 0.0
    return found if 0.0 < found < math.inf else 0.0


def _route(published: _Route) -> routing.Route:
    shares = published.split or (_WeightedService(published.service),)
    return routing.Route(
        name=published.name,
        host=published.host,
        path_prefix=published.prefix,
        services=tuple(
            routing.WeightedService(share.service, share.weight)
            for share in shares
        ),
        kind=_KIND_BY_TYPE[published.kind],
        timeout_s=published.timeout_ms / _MS_PER_S,
        target_latency_s=published.target_ms / _MS_PER_S,
        max_attempts=published.max_attempts,
        rank=published.priority,
        is_resumable=published.is_resumable,
        target_gap_s=published.gap_ms / _MS_PER_S,
        is_public=published.is_public,
    )


def _organisations(
    tenants: tuple[_Tenant, ...] | None,
) -> tuple[organisation.Organisation, ...] | None:
    if tenants is None:
        return None
    return organisation.weighted(
        organisation.Organisation(
            name=tenant.name,
            api_keys=tenant.keys,
            rank=tenant.priority,
            limit=_usage_limit(tenant),
        )
        for tenant in tenants
    )


def _usage_limit(tenant: _Tenant) -> organisation.UsageLimit | None:
    if tenant.rate_per_s <= 0:
        return None
    counts_tokens = tenant.unit == _TOKEN_UNIT
    return organisation.UsageLimit(
        rate_per_s=tenant.rate_per_s,
        burst=tenant.burst,
        counts_tokens=counts_tokens,
        default_cost=tenant.unstated_tokens if counts_tokens else 1.0,
    )


def _parse_version(text: str) -> int:
    if len(text) > _MAX_VERSION_DIGITS or not text.isdecimal():
        return 0
    return int(text)


def _decode(content: bytes, kind: Any, source: str) -> Any:
    try:
        return msgspec.json.decode(content, type=kind)
    except (msgspec.DecodeError, RecursionError) as error:
        raise errors.PlatformError(f'{source}: {error}') from error
