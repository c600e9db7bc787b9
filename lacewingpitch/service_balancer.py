"""Which backend server of a plain service a request goes to."""

from collections.abc import Collection, Iterator
import contextlib
import dataclasses
import random

from lacewingpitch import backend_list
from lacewingpitch import ejection
from lacewingpitch import isolation

# Round trip between two zones of a region, plus what its bytes cost; it
# decides only between servers that are equally idle and well.
_OTHER_ZONE_S = 0.003
# What a failed answer counts in seconds of waiting: a request that may
# not be repeated is lost, and its caller waits for its own deadline.
_FAILURE_COSTS_S = 1.0
_FIRST_LATENCY_S = 0.02
_SMOOTHING_RATIO = 0.1
_MAX_SERVERS = 1024


@dataclasses.dataclass(slots=True)
class _View:
    """What this process has seen of one backend server."""

    under_way_count: int = 0
    latency_s: float = _FIRST_LATENCY_S


class ServiceBalancer:
    """Sends requests where they are answered soonest, and well.

    Load it answers: plain services at 5 to 60% of what their servers
    bear, so that one of the same zone is nearly always idle, while a
    server that fails or is slow has to be left within a few requests.
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
        self._views: dict[str, _View] = {}

    def choose(
        self, service: str, excluded: Collection[str]
    ) -> backend_list.BackendServer | None:
        """Return the server to send to, or ``None`` if there is none."""
        found = {
            server.name: server
            for server in self._servers.serving(service)
            if server.name not in excluded
        }
        if not found:
            return None
        names = self._ejector.allowed(list(found))
        self._random.shuffle(names)
        return found[min(names, key=lambda name: self._cost_s(found[name]))]

    def choose_isolated(
        self, service: str, excluded: Collection[str]
    ) -> backend_list.BackendServer | None:
        """Return the server to which suspect requests go."""
        return isolation.select_server(
            server
            for server in self._servers.serving(service)
            if server.name not in excluded
        )

    @contextlib.contextmanager
    def track_request(
        self, server: backend_list.BackendServer
    ) -> Iterator[None]:
        """Count a request as under way while the context is open."""
        view = self._view(server.name)
        view.under_way_count += 1
        try:
            yield
        finally:
            view.under_way_count -= 1

    def record_latency(self, name: str, latency_s: float) -> None:
        """Take note of how long an answer took."""
        view = self._view(name)
        view.latency_s += _SMOOTHING_RATIO * (latency_s - view.latency_s)

    def reset_latency(self, name: str) -> None:
        """Forget how quick a server was: it has started again."""
        view = self._views.get(name)
        if view is not None:
            view.latency_s = _FIRST_LATENCY_S

    def _view(self, name: str) -> _View:
        found = self._views.get(name)
        if found is None:
            self._forget_unlisted()
            found = self._views[name] = _View()
        return found

    def _cost_s(self, server: backend_list.BackendServer) -> float:
        view = self._views.get(server.name) or _View()
        ahead = view.under_way_count / max(1, server.max_running)
        cost_s = view.latency_s * (1.0 + ahead)
        cost_s += _FAILURE_COSTS_S * self._ejector.failure_ratio(server.name)
        if server.availability_zone != self._availability_zone:
            cost_s += _OTHER_ZONE_S
        return cost_s

    def _forget_unlisted(self) -> None:
        if len(self._views) < _MAX_SERVERS:
            return
        for name, view in list(self._views.items()):
            if not view.under_way_count and self._servers.get(name) is None:
                del self._views[name]
