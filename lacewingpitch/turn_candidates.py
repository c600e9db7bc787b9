"""Which engines a request may get a turn at."""

from collections.abc import Collection

from lacewingpitch import backend_list
from lacewingpitch import ejection
from lacewingpitch import isolation
from lacewingpitch import listed_instances
from lacewingpitch import placement as placement_module
from lacewingpitch import turn_spec

# More engines than these would only spread one request's wait: those
# further down are the most loaded, or the last to get the adapter.
_MAX_ASKED = 3


class TurnCandidates:
    """Engines that serve, whose sidecars answer, by how well they fit."""

    def __init__(
        self,
        servers: backend_list.BackendList,
        placement: placement_module.Placement,
        ejector: ejection.Ejector,
    ) -> None:
        self._servers = servers
        self._placement = placement
        self._ejector = ejector
        self._instances = listed_instances.ListedInstances(servers, placement)

    def to_ask(
        self, wanted: turn_spec.TurnSpec, excluded: Collection[str]
    ) -> list[backend_list.BackendServer]:
        """Return the engines whose sidecars are asked, in their order."""
        instances = self._instances.serving(wanted.service)
        ranked = self._placement.ranked_instances(
            wanted.key or wanted.run_id, instances
        )
        names = [i.name for i in ranked if i.name not in excluded]
        allowed = set(self._ejector.allowed(names))
        asked = [sidecar_key(name) for name in names]
        allowed_to_ask = set(self._ejector.allowed(asked))
        chosen = []
        for name in names:
            server = self._servers.find_serving(wanted.service, name)
            if server is None or name not in allowed:
                continue
            if sidecar_key(name) in allowed_to_ask:
                chosen.append(server)
        return chosen[:_MAX_ASKED]

    def isolated(
        self, wanted: turn_spec.TurnSpec, excluded: Collection[str]
    ) -> backend_list.BackendServer | None:
        """Return the engine to which suspect requests go."""
        servers = [
            server
            for server in self._servers.serving(wanted.service)
            if server.name not in excluded
        ]
        asked = [sidecar_key(server.name) for server in servers]
        allowed = set(self._ejector.allowed(asked))
        return isolation.select_server(
            server for server in servers if sidecar_key(server.name) in allowed
        )

    def any_holding(
        self, wanted: turn_spec.TurnSpec, excluded: Collection[str]
    ) -> turn_spec.Turn | None:
        """Return a turn at any engine that is known to hold the adapter."""
        for server in self._servers.serving(wanted.service):
            if server.name not in excluded:
                turn = without_sidecar(server, wanted)
                if turn is not None:
                    return turn
        return None


def sidecar_key(name: str) -> str:
    """Return the name under which an engine's sidecar may be ejected."""
    return f'{name}/sidecar'


def without_sidecar(
    server: backend_list.BackendServer,
    wanted: turn_spec.TurnSpec,
) -> turn_spec.Turn | None:
    """Return a turn at an engine that is known to hold the adapter.

    An engine serves on while its sidecar is frozen or restarts.  It
    refuses what it does not hold, so that a list that is out of date
    costs an attempt and no wrong answer.
    """
    if not wanted.adapter:
        return turn_spec.Turn(server, 0)
    held = server.adapters.get(f'{wanted.model}/{wanted.adapter}')
    if held is None or held < wanted.version:
        return None
    return turn_spec.Turn(server, held)
