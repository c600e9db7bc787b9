"""Selects the engines at which a request may get a turn.

The turns are those of `turn_spec`, which an entry on the users' platform
requests from an engine's sidecar; the system's own interface doesn't use them.
Each engine is a `BackendServer` of the published list; an instance is the
form in which placement ranks it.
"""

from collections.abc import Collection, Iterable, Iterator, Sequence
import dataclasses

from lacewingpitch import answer_needs
from lacewingpitch import backend_list
from lacewingpitch import clock as clock_module
from lacewingpitch import ejection
from lacewingpitch import isolation
from lacewingpitch import listed_instances
from lacewingpitch import placement as placement_module
from lacewingpitch import server_gate
from lacewingpitch import turn_spec

# Engines further down the ranking are the most loaded, or the least likely to
# hold the adapter, and would only add to the request's wait.
_MAX_CANDIDATES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Candidates:
    """Engines at which a request may get a turn.

    Parameters
    ----------
    preferred
        The few engines that are tried, in order of preference.
    ranked
        All engines that may be tried, in order of preference.
    """

    preferred: Sequence[backend_list.BackendServer]
    ranked: Sequence[backend_list.BackendServer]


class TurnCandidates:
    """Selects from the listed engines that may get new requests.

    The ejector tracks each engine and its sidecar under separate keys.

    Parameters
    ----------
    gate
        Tells which engines must get no requests of this entry now.
    """

    def __init__(
        self,
        servers: backend_list.BackendList,
        placement: placement_module.Placement,
        ejector: ejection.Ejector,
        gate: server_gate.ServerGate,
        clock: clock_module.Clock,
    ) -> None:
        self._clock = clock
        self._gate = gate
        self._servers = servers
        self._placement = placement
        self._ejector = ejector
        self._instances = listed_instances.ListedInstances(servers, placement)

    def ranked_candidates(
        self, spec: turn_spec.TurnSpec, excluded: Collection[str]
    ) -> Candidates:
        """Return the engines to try.

        Leaves out engines that the ejector excludes, themselves or by their
        sidecars, and those that must get no requests now.
        """
        instances = self._instances.serving(spec.service)
        # Among equal engines, placement prefers some by a hash of the key.
        # The run id spreads requests without an adapter over the engines.
        ranking = self._placement.rank(
            spec.key or spec.run_id, instances, self._needs(spec)
        )
        # Lacks an engine that is no longer listed if its retention has
        # expired since the instances were read.
        servers = self._open_servers(spec)
        names = [
            instance.name
            for instance in ranking.instances
            if instance.name in servers and instance.name not in excluded
        ]
        candidates = [servers[name] for name in self._allowed(names)]
        preferred = candidates[:_MAX_CANDIDATES]
        preferred += [
            server
            for server in candidates[_MAX_CANDIDATES:]
            if ranking.fallback and server.name == ranking.fallback.name
        ]
        return Candidates(preferred, candidates)

    def still_allowed(
        self,
        spec: turn_spec.TurnSpec,
        ranked: Iterable[backend_list.BackendServer],
    ) -> list[backend_list.BackendServer]:
        """Return those of the engines that may be tried now."""
        servers = self._open_servers(spec)
        allowed = set(self._allowed(list(servers)))
        return [servers[s.name] for s in ranked if s.name in allowed]

    def _open_servers(
        self, spec: turn_spec.TurnSpec
    ) -> dict[str, backend_list.BackendServer]:
        return {
            server.name: server
            for server in self._servers.serving(spec.service)
            if self._gate.is_open(server)
        }

    def _allowed(self, names: Sequence[str]) -> list[str]:
        """Return the engines that the ejector doesn't exclude."""
        allowed = set(self._ejector.allowed(names))
        sidecar_keys = [sidecar_key(name) for name in names]
        allowed_sidecars = set(self._ejector.allowed(sidecar_keys))
        return [
            name
            for name in names
            if name in allowed and sidecar_key(name) in allowed_sidecars
        ]

    def _needs(self, spec: turn_spec.TurnSpec) -> answer_needs.AnswerNeeds:
        return answer_needs.AnswerNeeds(
            tokens=spec.expected_tokens or spec.max_tokens,
            within_s=spec.deadline_at_s - self._clock.monotonic_s(),
            has_gap_limit=spec.gap_s > 0.0,
        )

    def isolation_server(
        self, spec: turn_spec.TurnSpec, excluded: Collection[str]
    ) -> backend_list.BackendServer | None:
        """Return the engine that runs suspect requests; ``None`` without any.

        A suspect was beginning to run on an engine when the engine crashed;
        see `isolation`.  Entries with the same list select the same engine,
        except where it is excluded or its sidecar is ejected.  An ejection
        of the engine itself is not considered.
        """
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

    def fallback_turns(
        self, spec: turn_spec.TurnSpec, excluded: Collection[str]
    ) -> Iterator[turn_spec.Turn]:
        """Yield an unconfirmed turn at each engine that allows one.

        They are used when no sidecar has granted or refused a turn, and no
        candidate allows an unconfirmed one.  Ejections are ignored.
        Without an adapter, any engine that isn't excluded will do.
        """
        for server in self._servers.serving(spec.service):
            if server.name not in excluded and self._gate.is_open(server):
                turn = unconfirmed_turn(server, spec)
                if turn is not None:
                    yield turn


def sidecar_key(name: str) -> str:
    """Return the key under which the ejector tracks an engine's sidecar."""
    return f'{name}/sidecar'


def unconfirmed_turn(
    server: backend_list.BackendServer,
    spec: turn_spec.TurnSpec,
) -> turn_spec.Turn | None:
    """Return a turn that the sidecar hasn't granted, or ``None``.

    If the request names an adapter, the engine must be listed with the
    required version or a newer one.  An engine keeps serving while its
    sidecar doesn't respond or restarts.  It refuses adapters that it
    doesn't hold, so that an outdated list costs an attempt but never yields
    a wrong answer.
    """
    if not spec.adapter:
        return turn_spec.Turn(server, 0)
    held_version = server.adapters.get(f'{spec.model}/{spec.adapter}')
    if held_version is None or held_version < spec.version:
        return None
    return turn_spec.Turn(server, held_version)
