"""Selects the engines at which a request may get a turn."""

from collections.abc import Collection

from lacewingpitch import backend_list
from lacewingpitch import ejection
from lacewingpitch import isolation
from lacewingpitch import listed_instances
from lacewingpitch import placement as placement_module
from lacewingpitch import turn_spec

# Engines further down the ranking are the most loaded, or the least likely to
# hold the adapter, and would only add to the request's wait.
_MAX_CANDIDATES = 3


class TurnCandidates:
    """Ranks the engines that serve and whose sidecars respond."""

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

    def ranked_candidates(
        self, spec: turn_spec.TurnSpec, excluded: Collection[str]
    ) -> list[backend_list.BackendServer]:
        """Return the engines to try, in order of preference."""
        instances = self._instances.serving(spec.service)
        ranked = self._placement.ranked_instances(
            spec.key or spec.run_id, instances
        )
        names = [i.name for i in ranked if i.name not in excluded]
        allowed = set(self._ejector.allowed(names))
        sidecar_keys = [sidecar_key(name) for name in names]
        allowed_sidecars = set(self._ejector.allowed(sidecar_keys))
        candidates = []
        for name in names:
            server = self._servers.find_serving(spec.service, name)
            if server is None or name not in allowed:
                continue
            if sidecar_key(name) in allowed_sidecars:
                candidates.append(server)
        return candidates[:_MAX_CANDIDATES]

    def isolation_server(
        self, spec: turn_spec.TurnSpec, excluded: Collection[str]
    ) -> backend_list.BackendServer | None:
        """Return the one engine that runs suspect requests."""
        servers = [
            server
            for server in self._servers.serving(spec.service)
            if server.name not in excluded
        ]
        sidecar_keys = [sidecar_key(server.name) for server in servers]
        allowed = set(self._ejector.allowed(sidecar_keys))
        return isolation.select_server(
            server for server in servers if sidecar_key(server.name) in allowed
        )

    def fallback_turn(
        self, spec: turn_spec.TurnSpec, excluded: Collection[str]
    ) -> turn_spec.Turn | None:
        """Return a turn at any engine that is listed with the adapter."""
        for server in self._servers.serving(spec.service):
            if server.name not in excluded:
                turn = unconfirmed_turn(server, spec)
                if turn is not None:
                    return turn
        return None


def sidecar_key(name: str) -> str:
    """Return the ejector's name for the sidecar of an engine."""
    return f'{name}/sidecar'


def unconfirmed_turn(
    server: backend_list.BackendServer,
    spec: turn_spec.TurnSpec,
) -> turn_spec.Turn | None:
    """Return a turn without the sidecar's consent, or ``None``.

    The engine must be listed with the adapter.  An engine keeps serving
    while its sidecar is frozen or restarts.  It refuses adapters that it
    doesn't hold, so that an outdated list costs an attempt but never yields
    a wrong answer.
    """
    if not spec.adapter:
        return turn_spec.Turn(server, 0)
    held = server.adapters.get(f'{spec.model}/{spec.adapter}')
    if held is None or held < spec.version:
        return None
    return turn_spec.Turn(server, held)
