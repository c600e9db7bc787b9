"""Balances requests over the backend servers of plain services."""

from collections.abc import Collection, Iterator
import contextlib
import dataclasses
import random

from lacewingpitch import backend_list
from lacewingpitch import ejection
from lacewingpitch import isolation

# Round trip between two availability zones of a region plus the cost of the
# traffic; it decides only between equally idle and healthy servers.
_OTHER_ZONE_COST_S = 0.003
# Cost of a failed answer in seconds of waiting: a request that must not be
# repeated is lost, and its caller waits until the deadline.
_FAILURE_COST_S = 1.0
_INITIAL_LATENCY_S = 0.02
_SMOOTHING_RATIO = 0.1
_MAX_SERVERS = 1024


@dataclasses.dataclass(slots=True)
class _ServerLoad:
    """In-flight requests and latency of one server, as seen here."""

    in_flight_count: int = 0
    latency_s: float = _INITIAL_LATENCY_S


class ServiceBalancer:
    """Selects the server with the lowest expected cost.

    The cost combines latency, in-flight requests, failures and the distance
    of the availability zone.  Designed for plain services at 5 to 60% of
    their servers' capacity, where a server of the same zone is nearly always
    idle, and where a failing or slow server must be avoided within a few
    requests.
    """

    def __init__(
        self,
        servers: backend_list.BackendList,
        ejector: ejection.Ejector,
        availability_zone: str,
        source: random.Random,
    ) -> None:
        self._servers = servers
        self._ejector = ejector
        self._availability_zone = availability_zone
        self._random = source
        self._loads: dict[str, _ServerLoad] = {}

    def choose(
        self, service: str, excluded: Collection[str]
    ) -> backend_list.BackendServer | None:
        """Return the best server, or ``None`` if there is none."""
        candidates = {
            server.name: server
            for server in self._servers.serving(service)
            if server.name not in excluded
        }
        if not candidates:
            return None
        names = self._ejector.allowed(list(candidates))
        self._random.shuffle(names)
        return candidates[
            min(names, key=lambda name: self._cost_s(candidates[name]))
        ]

    def servers(self, service: str) -> tuple[backend_list.BackendServer, ...]:
        """Return the servers of a service that may get new requests."""
        return self._servers.serving(service)

    def choose_isolation_server(
        self, service: str, excluded: Collection[str]
    ) -> backend_list.BackendServer | None:
        """Return the one server that runs suspect requests."""
        return isolation.select_server(
            server
            for server in self._servers.serving(service)
            if server.name not in excluded
        )

    @contextlib.contextmanager
    def track_request(
        self, server: backend_list.BackendServer
    ) -> Iterator[None]:
        """Count a request as in flight while the context is open."""
        load = self._load(server.name)
        load.in_flight_count += 1
        try:
            yield
        finally:
            load.in_flight_count -= 1

    def record_latency(self, name: str, latency_s: float) -> None:
        """Record the latency of an answer."""
        load = self._load(name)
        load.latency_s += _SMOOTHING_RATIO * (latency_s - load.latency_s)

    def reset_latency(self, name: str) -> None:
        """Reset the latency estimate of a server that has restarted."""
        load = self._loads.get(name)
        if load is not None:
            load.latency_s = _INITIAL_LATENCY_S

    def _load(self, name: str) -> _ServerLoad:
        load = self._loads.get(name)
        if load is None:
            self._discard_unlisted()
            load = self._loads[name] = _ServerLoad()
        return load

    def _cost_s(self, server: backend_list.BackendServer) -> float:
        load = self._loads.get(server.name) or _ServerLoad()
        utilisation = load.in_flight_count / max(1, server.max_running)
        cost_s = load.latency_s * (1.0 + utilisation)
        cost_s += _FAILURE_COST_S * self._ejector.failure_ratio(server.name)
        if server.availability_zone != self._availability_zone:
            cost_s += _OTHER_ZONE_COST_S
        return cost_s

    def _discard_unlisted(self) -> None:
        if len(self._loads) < _MAX_SERVERS:
            return
        for name, load in list(self._loads.items()):
            if not load.in_flight_count and self._servers.get(name) is None:
                del self._loads[name]
