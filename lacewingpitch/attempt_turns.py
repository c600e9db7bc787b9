"""Turns for the attempts of requests, and for what may replace them."""

import collections
from collections.abc import AsyncIterator, Awaitable, Callable, Collection
import contextlib

from lacewingpitch import adapter_versions
from lacewingpitch import backend_call
from lacewingpitch import clock as clock_module
from lacewingpitch import ejection
from lacewingpitch import plain_server_selector
from lacewingpitch import request_history
from lacewingpitch import request_turns
from lacewingpitch import server_gate
from lacewingpitch import standby_turn
from lacewingpitch import turn_client
from lacewingpitch import turn_spec


class AttemptTurns:
    """Acquires the turn of each attempt at a backend server.

    Parameters
    ----------
    model_turns
        Acquires the turns of requests with a model.
    plain_servers
        Selects servers for requests without one.
    versions
        Minimum versions of adapters that requests must run on.
    wait_until_informed
        Waits until this process knows the crashes that others have seen.
    gate
        Tells which servers have asked for backoff and not served since.

    Attributes
    ----------
    moved_counts
        Number of requests that left a silent server, by service.
    """

    def __init__(
        self,
        model_turns: turn_client.TurnClient,
        plain_servers: plain_server_selector.PlainServerSelector,
        versions: adapter_versions.AdapterVersions,
        ejector: ejection.Ejector,
        clock: clock_module.Clock,
        wait_until_informed: Callable[[], Awaitable[None]],
        gate: server_gate.ServerGate,
    ) -> None:
        self.model_turns = model_turns
        self._plain_servers = plain_servers
        self._versions = versions
        self._ejector = ejector
        self._clock = clock
        self._wait_until_informed = wait_until_informed
        self._gate = gate
        self.moved_counts: collections.Counter[str] = collections.Counter()

    async def next_turn(
        self,
        request: backend_call.CallerRequest,
        services: tuple[str, ...],
        history: request_history.RequestHistory,
        standby: standby_turn.StandbyTurn | None,
        exits: contextlib.AsyncExitStack,
    ) -> turn_spec.Turn:
        """Return the turn of the next attempt, held by `exits`."""
        if standby is not None and standby.is_left:
            self.moved_counts[services[0]] += 1
            held = await standby.take(exits)
            if held is not None:
                return held
        return await exits.enter_async_context(
            self._acquire(request, services, history)
        )

    def new_standby(
        self,
        request: backend_call.CallerRequest,
        services: tuple[str, ...],
        history: request_history.RequestHistory,
        turn: turn_spec.Turn,
    ) -> standby_turn.StandbyTurn:
        """Return what looks for another server if this one is silent."""
        next_attempt = history.sent_count + 2
        route = request.route
        return standby_turn.StandbyTurn(
            lambda only_proven: self._acquire(
                request,
                services,
                history,
                history.next_search(),
                self._gate.backoffs.unproven() if only_proven else (),
            ),
            history.charges,
            self._ejector,
            self._clock,
            service=services[0],
            attempt=next_attempt,
            server_name=turn.server.name,
            request_id=request.request_id,
            may_move=next_attempt <= route.max_attempts,
            move_by_s=lambda: history.move_by_s(request),
            is_isolated=turn.is_isolated,
        )

    @contextlib.asynccontextmanager
    async def _acquire(
        self,
        request: backend_call.CallerRequest,
        services: tuple[str, ...],
        history: request_history.RequestHistory,
        search: int = 0,
        avoided: Collection[str] = (),
    ) -> AsyncIterator[turn_spec.Turn]:
        """Acquire a turn on the backend server for the next attempt.

        Requests without a model need no turn.

        Parameters
        ----------
        avoided
            Names of servers that are not chosen, beside those tried before.
        """
        await self._wait_until_informed()
        excluded = [*history.servers, *avoided]
        if not request.model:
            async with self._plain_servers.select(
                request.suspect_keys,
                services,
                excluded,
                request.route.target_latency_s,
            ) as turn:
                yield turn
            return
        started_s = self._clock.monotonic_s()
        version = self._versions.required_version(
            request.model, request.adapter
        )
        spec = request_turns.new_spec(
            request, history, services[0], version, search
        )
        async with self.model_turns.acquire(spec, excluded) as turn:
            history.turn_wait_s += self._clock.monotonic_s() - started_s
            yield turn
