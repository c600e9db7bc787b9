"""Routes of requests to services, and the configuration that holds them."""

import asyncio
from collections.abc import Iterable, Iterator, Mapping
import dataclasses
import enum
import math
import random

from lacewingpitch import api_keys
from lacewingpitch import caller_limits
from lacewingpitch import errors
from lacewingpitch import organisation
from lacewingpitch import run_memory

# A process reads the configuration as soon as it starts.
_STARTING_RETRY_S = 0.3
# A store that is down stays down for seconds.  Callers that retried at once
# or all together would be refused again.  They wait for at most a third of
# their time, whatever Retry-After says.
_STORE_RETRY_RANGE_S = (1.0, 2.5)


class RequestKind(enum.StrEnum):
    """How the requests of a route may be retried."""

    IDEMPOTENT = 'idempotent'
    AT_MOST_ONCE = 'at-most-once'
    STREAM = 'stream'


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """One of the services that share the requests of a route."""

    name: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host and path go, and how they are treated.

    Parameters
    ----------
    timeout_s
        Maximum time until the final answer.
    target_latency_s
        Target time until the answer, or until the first event of a stream.
    target_gap_s
        Target for the longest pause between events of a stream.
    max_attempts
        Maximum number of backend servers that a request is sent to.
    rank
        Rank of urgency; 0 is the most urgent.
    is_resumable
        Whether another engine may resume a stream that broke off.
    is_public
        Whether callers need no API key.
    """

    name: str
    host: str
    path_prefix: str
    services: tuple[WeightedService, ...]
    kind: RequestKind
    timeout_s: float
    target_latency_s: float
    max_attempts: int = 1
    rank: int = 0
    is_resumable: bool = False
    target_gap_s: float = 0.0
    is_public: bool = False

    @property
    def is_stream(self) -> bool:
        """Whether answers are streams of events."""
        return self.kind is RequestKind.STREAM

    @property
    def caller_timeout_s(self) -> float:
        """Return how long callers wait for the beginning of an answer.

        They give up a stream, also before its first event, after 2 s, four
        times its target latency or eight times its target gap, whichever is
        the longest.
        """
        if not self.is_stream:
            return self.timeout_s
        return min(
            self.timeout_s,
            max(2.0, 4.0 * self.target_latency_s, 8.0 * self.target_gap_s),
        )

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        if self.is_stream:
            return self.is_resumable
        return self.kind is RequestKind.IDEMPOTENT

    def service_order(self, source: random.Random) -> tuple[str, ...]:
        """Return the services in the order to try them.

        The first is drawn by weight.  The others are fallbacks if it has no
        backend server.
        """
        if len(self.services) == 1:
            return (self.services[0].name,)
        weights = [max(s.weight, 0.0) for s in self.services]
        if not any(weights):
            weights = [1.0] * len(weights)
        names = [s.name for s in self.services]
        first = source.choices(names, weights)[0]
        rest = [
            name
            for name, weight in zip(names, weights, strict=True)
            if name != first and weight > 0.0
        ]
        return (first, *rest)


@dataclasses.dataclass(frozen=True, slots=True)
class ModelSize:
    """Memory that a model needs on an engine, in MB.

    Parameters
    ----------
    weights_mb
        Memory for the weights of the model.
    adapter_mb
        Memory for each of its adapters in addition.
    """

    weights_mb: float = 0.0
    adapter_mb: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class EngineLimits:
    """Capacity of each model engine of a service.

    Parameters
    ----------
    max_running
        Maximum number of requests in a batch of the engine.
    adapter_slots
        Maximum number of adapters that the engine holds, including those
        being loaded.
    models
        Models that the service's engines can hold.
    weights_mb
        Memory for models and adapters together.
    sizes
        Memory that models need, by name.
    tokens_per_event
        Tokens of an answer in each event of its stream.
    memory_link
        How the engines copy the memory of runs to each other; ``None`` if
        they do not.
    """

    max_running: int
    adapter_slots: int
    models: tuple[str, ...] = ()
    weights_mb: float = math.inf
    sizes: Mapping[str, ModelSize] = dataclasses.field(default_factory=dict)
    tokens_per_event: int = 1
    memory_link: run_memory.MemoryLink | None = None

    def adapter_capacity(self, models: Iterable[str]) -> int:
        """Return how many adapters fit beside the models that are held.

        An engine that loads more than fits into its memory crashes, even if
        it has free adapter slots.
        """
        sizes = [self.sizes.get(name, ModelSize()) for name in models]
        left_mb = self.weights_mb - sum(size.weights_mb for size in sizes)
        adapter_mb = max((size.adapter_mb for size in sizes), default=0.0)
        if left_mb >= self.adapter_slots * adapter_mb:
            return self.adapter_slots
        return max(0, int(left_mb // adapter_mb)) if adapter_mb else 0


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the published configuration.

    Parameters
    ----------
    engines
        Limits by service, of the services whose backend servers are model
        engines.
    content
        The published bytes, to pass on to processes that cannot read the
        store.
    services
        Names of all services; empty if unknown.
    health_paths
        URL paths of the health checks, by service.
    organisations
        Organisations whose API keys are valid; ``None`` if callers need no
        API key.
    """

    version: int
    routes: tuple[Route, ...]
    engines: Mapping[str, EngineLimits]
    limits: caller_limits.CallerLimits
    content: bytes = b''
    services: frozenset[str] = frozenset()
    health_paths: Mapping[str, str] = dataclasses.field(default_factory=dict)
    organisations: tuple[organisation.Organisation, ...] | None = None


class RoutingTable:
    """The configuration in force in this process.

    The version never decreases.  A slow read may return an older version
    after a newer one is in force; applied, it would remove routes that
    callers have already used.

    Attributes
    ----------
    api_keys
        API keys in force; ``None`` if callers need none.
    is_store_unreachable
        Whether the last read of the store failed, so that a route missing
        here may be in force.
    """

    def __init__(self, source: random.Random) -> None:
        self._random = source
        self._by_host: dict[str, dict[str, Route]] = {}
        self.configuration: Configuration | None = None
        self.api_keys: api_keys.ApiKeys | None = None
        self.is_store_unreachable = False
        self._is_known = asyncio.Event()

    @property
    def version(self) -> int:
        """Return the version in force; 0 before the first."""
        return self.configuration.version if self.configuration else 0

    def apply(self, configuration: Configuration) -> bool:
        """Put a version in force; return whether it is newer."""
        if configuration.version <= self.version:
            return False
        by_host: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            prefixes = by_host.setdefault(route.host.lower(), {})
            prefixes[route.path_prefix] = route
        self._by_host = by_host
        self.api_keys = None
        if configuration.organisations is not None:
            self.api_keys = api_keys.ApiKeys(configuration.organisations)
        self.configuration = configuration
        self._is_known.set()
        return True

    async def wait_until_loaded(self) -> None:
        """Wait until a first version is in force."""
        await self._is_known.wait()

    def find(self, host: str, path: str) -> Route:
        """Return the route of a request.

        Raises
        ------
        RefusalError
            No route matches, or it is unknown whether one does.
        """
        route = self.match(host, path)
        if route is not None:
            return route
        if self.configuration is not None and not self.is_store_unreachable:
            raise errors.RefusalError(
                errors.ErrorKind.NOT_FOUND, 'no route matches the request'
            )
        # The route may be in a version that could not be read.  Its caller
        # would treat "not found" as final.
        retry_after_s = _STARTING_RETRY_S
        if self.is_store_unreachable:
            retry_after_s = self._random.uniform(*_STORE_RETRY_RANGE_S)
        raise errors.RefusalError(
            errors.ErrorKind.NO_BACKEND_SERVER,
            'the configuration is not loaded yet, or may be outdated',
            retry_after_s=retry_after_s,
        )

    @property
    def caller_limits(self) -> caller_limits.CallerLimits:
        """Return what callers may send; the defaults while that is unknown."""
        if self.configuration is None:
            return caller_limits.CallerLimits()
        return self.configuration.limits

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, if any."""
        name = host.partition(':')[0].lower()
        prefixes = self._by_host.get(name)
        if prefixes is None:
            return None
        for prefix in _prefixes(path):
            found = prefixes.get(prefix)
            if found is not None:
                return found
        return None

    def is_service(self, name: str) -> bool:
        """Whether a service is configured; `True` while that is unknown."""
        if self.configuration is None or not self.configuration.services:
            return True
        return name in self.configuration.services

    def memory_link(self, service: str) -> run_memory.MemoryLink | None:
        """Return how engines of a service copy the memory of runs."""
        limits = self.engine_limits(service)
        return limits.memory_link if limits else None

    def health_path(self, service: str) -> str:
        """Return the URL path of the health check of a service."""
        if self.configuration is None:
            return '/'
        return self.configuration.health_paths.get(service, '/')

    def tokens_per_event(self, service: str) -> int:
        """Return the tokens in each event of a service's streams."""
        limits = self.engine_limits(service)
        return limits.tokens_per_event if limits else 1

    def engine_limits(self, service: str) -> EngineLimits | None:
        """Return the limits of a service; ``None`` without model engines."""
        if self.configuration is None:
            return None
        return self.configuration.engines.get(service)


def _prefixes(path: str) -> Iterator[str]:
    """Yield the prefixes of a path that end in a slash, longest first."""
    end = len(path)
    while True:
        end = path.rfind('/', 0, end)
        if end < 0:
            return
        yield path[: end + 1]
