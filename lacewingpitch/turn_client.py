"""Acquires turns at model engines from their sidecars."""

from collections.abc import (
    AsyncIterator,
    Callable,
    Collection,
    Iterable,
    Sequence,
)
import contextlib

import structlog

from lacewingpitch import backend_list
from lacewingpitch import blame
from lacewingpitch import clock as clock_module
from lacewingpitch import ejection
from lacewingpitch import errors
from lacewingpitch import isolation
from lacewingpitch import placement as placement_module
from lacewingpitch import room_search
from lacewingpitch import server_gate
from lacewingpitch import server_limits
from lacewingpitch import suspects as suspects_module
from lacewingpitch import turn_candidates
from lacewingpitch import turn_end_reporter
from lacewingpitch import turn_exchange
from lacewingpitch import turn_refusals
from lacewingpitch import turn_replies
from lacewingpitch import turn_spec

_MS_PER_S = 1000
# An engine is accepted without comparing others if the request would wait
# there for at most this share of its remaining time: enough for a load, but
# not for an adapter slot as well.  Otherwise each candidate reports its
# expected wait, and the shortest one gets the request.
_ACCEPT_TARGET_RATIO = 0.5
log = structlog.get_logger(__name__)


class TurnClient:
    """Selects an engine for a request and acquires a turn from its sidecar.

    Parameters
    ----------
    instance
        Name of this entry.
    on_configuration_version
        Called with a sidecar's IP and its configuration version on each
        reply.
    on_entry_count
        Called with the number of entries that use the replying sidecar.
    suspects
        Requests that are suspected to crash engines.
    limits
        Limits that the engines name.
    gate
        Tells which engines must get no requests of this entry now.
    search
        Asks further engines once the preferred ones have refused; ``None``
        to refuse then.
    """

    def __init__(
        self,
        instance: str,
        link: turn_exchange.SidecarLink,
        servers: backend_list.BackendList,
        placement: placement_module.Placement,
        ejector: ejection.Ejector,
        clock: clock_module.Clock,
        on_configuration_version: Callable[[str, int], None],
        on_entry_count: Callable[[int], None],
        suspects: suspects_module.Suspects,
        limits: server_limits.ServerLimits,
        gate: server_gate.ServerGate,
        search: room_search.RoomSearch | None = None,
    ) -> None:
        self._limits = limits
        self._search = search
        self._servers = servers
        self._placement = placement
        self._ejector = ejector
        self._clock = clock
        self._candidates = turn_candidates.TurnCandidates(
            servers, placement, ejector, gate, clock
        )
        self._gate = gate
        self._suspects = suspects
        self._end_reporter = turn_end_reporter.TurnEndReporter(
            link, suspects.detector
        )
        self._exchange = turn_exchange.TurnExchange(
            instance,
            link,
            servers,
            placement,
            ejector,
            clock,
            on_configuration_version,
            on_entry_count,
            suspects,
            limits,
            gate,
            self._end_reporter,
        )

    @contextlib.asynccontextmanager
    async def acquire(
        self, spec: turn_spec.TurnSpec, excluded: Collection[str]
    ) -> AsyncIterator[turn_spec.Turn]:
        """Acquire a turn and hold it while the context is open.

        Parameters
        ----------
        excluded
            Backend servers that the request must not be sent to again.

        Raises
        ------
        RefusalError
            No engine can run the request in time; it did not run.
        """
        turn, is_granted = await self._acquire(spec, excluded)
        try:
            with self._placement.track_request(spec.key, turn.server.name):
                yield turn
        finally:
            if is_granted:
                self._end_reporter.record(
                    turn.server.ip, spec.turn_id, turn.server
                )

    async def run(self) -> None:
        """Report ended turns to the sidecars until cancelled."""
        await self._end_reporter.run()

    async def _acquire(
        self, spec: turn_spec.TurnSpec, excluded: Collection[str]
    ) -> tuple[turn_spec.Turn, bool]:
        verdict = self._suspects.record.verdict(spec.suspect_keys)
        if verdict.handling is blame.Handling.REFUSED:
            raise isolation.barred_refusal(self._suspects.record, verdict.key)
        if verdict.handling is blame.Handling.ISOLATED:
            return await self._acquire_isolated(spec, excluded), True
        replies = turn_replies.TurnReplies()
        candidates = self._candidates.ranked_candidates(spec, excluded)
        acceptable_s = 0.0
        if len(candidates.preferred) > 1:
            acceptable_s = self._acceptable_wait_s(spec)
        for server in candidates.preferred:
            turn = await self._try_server(server, spec, replies, acceptable_s)
            if turn is not None:
                return turn, True
            if self._remaining_s(spec) <= 0.0:
                break
        further = replies.copy()
        turn = await self._search_room(
            spec, candidates.ranked, further, acceptable_s
        )
        if turn is not None:
            return turn, True
        if replies.silent or not replies.are_all_starting:
            replies = further
        turn = await self._try_shortest_wait(spec, replies)
        if turn is not None:
            return turn, True
        turn = await self._unconfirmed_turn(spec, excluded, replies)
        if turn is not None:
            return turn, False
        if replies.is_silence_awaited:
            return await self._await_silent(spec, replies), True
        if replies.are_all_starting:
            return await self._await_start(replies.first_starting, spec), True
        raise self._refusal(spec, replies)

    def _refusal(
        self, spec: turn_spec.TurnSpec, replies: turn_replies.TurnReplies
    ) -> errors.RefusalError:
        """Return the refusal of a request that got no turn."""
        refusals = list(replies.refusals.values())
        if not refusals:
            backoff = self._gate.refusal(self._servers.serving(spec.service))
            refusals += [backoff] if backoff else []
        return turn_refusals.earliest_retry(refusals)

    async def _unconfirmed_turn(
        self,
        spec: turn_spec.TurnSpec,
        excluded: Collection[str],
        replies: turn_replies.TurnReplies,
    ) -> turn_spec.Turn | None:
        """Return a turn without consent, within the limit of its engine."""
        turns: Iterable[turn_spec.Turn] = replies.fallbacks
        if not replies.fallbacks and not replies.refusals:
            turns = self._candidates.fallback_turns(spec, excluded)
        for turn in turns:
            refusal = await self._limits.try_acquire(turn.server)
            if refusal is None:
                return turn
            replies.refusals[turn.server.name] = refusal
        return None

    async def _acquire_isolated(
        self, spec: turn_spec.TurnSpec, excluded: Collection[str]
    ) -> turn_spec.Turn:
        """Acquire a turn at the one engine that runs suspect requests."""
        server = self._candidates.isolation_server(spec, excluded)
        if server is None:
            raise turn_refusals.earliest_retry([])
        # Another engine would run a second suspect beside that of the
        # entries that may use this one.
        backoff = self._gate.refusal([server])
        if backoff is not None:
            raise backoff
        log.info(
            'suspect request isolated',
            request_id=spec.run_id,
            fingerprint=spec.fingerprint,
            suspect=self._suspects.record.verdict(spec.suspect_keys).key,
            backend_server=server.name,
        )
        try:
            return await self._exchange.request(
                server,
                spec,
                turn_replies.TurnReplies(),
                turn_exchange.TurnTerms(is_isolated=True),
            )
        except errors.NoReplyError as error:
            self._record_unresponsive(server, spec, error)
            raise turn_refusals.earliest_retry([]) from error
        except errors.LinkError as error:
            raise turn_refusals.unusable_reply(server, spec, error) from error

    def _acceptable_wait_s(self, spec: turn_spec.TurnSpec) -> float:
        """Return the wait up to which an engine is accepted at once."""
        remaining_s = spec.target_at_s - self._clock.monotonic_s()
        return max(0.0, _ACCEPT_TARGET_RATIO * remaining_s)

    async def _search_room(
        self,
        spec: turn_spec.TurnSpec,
        ranked: Sequence[backend_list.BackendServer],
        replies: turn_replies.TurnReplies,
        acceptable_s: float,
    ) -> turn_spec.Turn | None:
        """Try further engines if all that were tried have refused."""
        if self._search is None:
            return None

        def choices() -> list[backend_list.BackendServer]:
            if self._remaining_s(spec) <= 0.0:
                return []
            tried = {server.name for server in replies.tried}
            return self._candidates.still_allowed(
                spec, (s for s in ranked if s.name not in tried)
            )

        return await self._search.find(
            spec,
            replies,
            choices,
            lambda server: self._try_server(
                server, spec, replies, acceptable_s
            ),
        )

    async def _try_shortest_wait(
        self, spec: turn_spec.TurnSpec, replies: turn_replies.TurnReplies
    ) -> turn_spec.Turn | None:
        """Retry the server that reported the shortest wait."""
        refusing = [
            s for s in replies.tried if replies.refused_waits_s.get(s.name)
        ]
        if not refusing or self._remaining_s(spec) <= 0.0:
            return None
        best = min(
            refusing, key=lambda server: replies.refused_waits_s[server.name]
        )
        return await self._try_server(best, spec, replies)

    async def _try_server(
        self,
        server: backend_list.BackendServer,
        spec: turn_spec.TurnSpec,
        replies: turn_replies.TurnReplies,
        accept_within_s: float = 0.0,
        waits_for_engine: bool = False,
    ) -> turn_spec.Turn | None:
        """Request a turn of one sidecar, and record why there is none."""
        replies.tried.append(server)
        try:
            return await self._exchange.request(
                server,
                spec,
                replies,
                turn_exchange.TurnTerms(
                    waits_for_engine=waits_for_engine,
                    accept_within_s=accept_within_s,
                ),
            )
        except errors.NoReplyError as error:
            self._record_unresponsive(server, spec, error)
            replies.silent.pop(server.name, None)
            turn = turn_candidates.unconfirmed_turn(server, spec)
            if turn is not None:
                replies.fallbacks.append(turn)
        except errors.LinkError as error:
            replies.refusals[server.name] = turn_refusals.unusable_reply(
                server, spec, error
            )
        except errors.RefusalError as error:
            if not error.retry_elsewhere or self._exchange.is_suspect(spec):
                raise
            replies.refusals[server.name] = error
            if error.kind is errors.ErrorKind.BACKEND_STARTING:
                replies.starting[server.name] = server
            else:
                replies.starting.pop(server.name, None)
        return None

    async def _await_start(
        self,
        server: backend_list.BackendServer,
        spec: turn_spec.TurnSpec,
    ) -> turn_spec.Turn:
        """Acquire a turn at an engine that will serve within seconds."""
        log.info(
            'waiting for an engine to start',
            request_id=spec.run_id,
            backend_server=server.name,
            left_ms=int(self._remaining_s(spec) * _MS_PER_S),
        )
        try:
            return await self._exchange.request(
                server,
                spec,
                turn_replies.TurnReplies(),
                turn_exchange.TurnTerms(waits_for_engine=True),
            )
        except errors.NoReplyError as error:
            self._record_unresponsive(server, spec, error)
            raise turn_refusals.earliest_retry([]) from error
        except errors.LinkError as error:
            raise turn_refusals.unusable_reply(server, spec, error) from error

    async def _await_silent(
        self, spec: turn_spec.TurnSpec, replies: turn_replies.TurnReplies
    ) -> turn_spec.Turn:
        """Acquire a turn at the first silent engine that goes on.

        Each of them is waited for in turn, since some may never go on.
        """
        log.info(
            'waiting for silent engines',
            request_id=spec.run_id,
            backend_servers=sorted(replies.silent),
            left_ms=int(self._remaining_s(spec) * _MS_PER_S),
        )
        while replies.silent and self._remaining_s(spec) > 0.0:
            for server in list(replies.silent.values()):
                turn = await self._try_server(
                    server, spec, replies, waits_for_engine=True
                )
                if turn is not None:
                    return turn
        raise self._refusal(spec, replies)

    def _record_unresponsive(
        self,
        server: backend_list.BackendServer,
        spec: turn_spec.TurnSpec,
        error: errors.NoReplyError,
    ) -> None:
        self._ejector.record_unresponsive(
            turn_candidates.sidecar_key(server.name)
        )
        log.warning(
            'sidecar not responding',
            request_id=spec.run_id,
            backend_server=server.name,
            error=str(error),
        )

    def _remaining_s(self, spec: turn_spec.TurnSpec) -> float:
        return spec.start_by_s - self._clock.monotonic_s()
