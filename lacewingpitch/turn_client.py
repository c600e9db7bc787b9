"""Acquires turns at model engines from their sidecars."""

from collections.abc import (
    AsyncIterator,
    Callable,
    Collection,
    Iterable,
    Sequence,
)
import contextlib
import dataclasses
from typing import Protocol

import structlog

from lacewingpitch import backend_list
from lacewingpitch import clock as clock_module
from lacewingpitch import crash_record
from lacewingpitch import ejection
from lacewingpitch import errors
from lacewingpitch import isolation
from lacewingpitch import placement as placement_module
from lacewingpitch import server_gate
from lacewingpitch import server_limits
from lacewingpitch import suspects as suspects_module
from lacewingpitch import turn_candidates
from lacewingpitch import turn_end_reporter
from lacewingpitch import turn_messages
from lacewingpitch import turn_spec

_MS_PER_S = 1000
# A sidecar replies within this time, if only that the turn is pending, so
# that a longer silence means that it is lost.  Most adapter loads finish
# within it, which saves a second message.
_REPLY_WITHIN_S = 0.4
# Added to the wait that a request allows the sidecar: covers the round trip,
# and a sidecar whose share of a core is busy.
_REPLY_MARGIN_S = _REPLY_WITHIN_S + 0.25
# An engine is accepted without comparing others if the request would wait
# there for at most this share of its remaining time: enough for a load, but
# not for an adapter slot as well.  Otherwise each candidate reports its
# expected wait, and the shortest one gets the request.
_ACCEPT_TARGET_RATIO = 0.5
# A restarting engine is listed again once it has started.
_NO_ENGINE_RETRY_AFTER_S = 1.5
_MAX_RETRY_AFTER_S = 10.0
log = structlog.get_logger(__name__)


@dataclasses.dataclass(slots=True)
class _Replies:
    """Replies of the sidecars that were tried for one request.

    Parameters
    ----------
    refusals
        The last refusal of each server that refused the request, by name.
    starting
        Servers whose engine is starting.
    refused_waits_s
        Expected wait at each server that refused the request, by name.
    fallbacks
        Turns without the consent of sidecars that do not answer.
    """

    refusals: dict[str, errors.RefusalError] = dataclasses.field(
        default_factory=dict
    )
    starting: list[backend_list.BackendServer] = dataclasses.field(
        default_factory=list
    )
    refused_waits_s: dict[str, float] = dataclasses.field(default_factory=dict)
    fallbacks: list[turn_spec.Turn] = dataclasses.field(default_factory=list)

    @property
    def are_all_starting(self) -> bool:
        """Whether every server that was tried has a starting engine."""
        return len(self.starting) == len(self.refusals) > 0


class SidecarLink(turn_end_reporter.TurnEndLink, Protocol):
    """Messages to the sidecars of engines."""

    async def request_turn(
        self, ip: str, request: turn_messages.TurnRequest, timeout_s: float
    ) -> turn_messages.TurnReply:
        """Request a turn."""
        ...


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
    """

    def __init__(
        self,
        instance: str,
        link: SidecarLink,
        servers: backend_list.BackendList,
        placement: placement_module.Placement,
        ejector: ejection.Ejector,
        clock: clock_module.Clock,
        on_configuration_version: Callable[[str, int], None],
        on_entry_count: Callable[[int], None],
        suspects: suspects_module.Suspects,
        limits: server_limits.ServerLimits,
        gate: server_gate.ServerGate,
    ) -> None:
        self._limits = limits
        self._instance = instance
        self._on_entry_count = on_entry_count
        self._link = link
        self._servers = servers
        self._placement = placement
        self._ejector = ejector
        self._clock = clock
        self._on_configuration_version = on_configuration_version
        self._candidates = turn_candidates.TurnCandidates(
            servers, placement, ejector, gate, clock
        )
        self._gate = gate
        self._suspects = suspects
        self._end_reporter = turn_end_reporter.TurnEndReporter(
            link, suspects.detector
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
        handling = self._suspects.record.handling(spec.fingerprint)
        if handling is crash_record.Handling.REFUSED:
            raise isolation.barred_refusal(
                self._suspects.record, spec.fingerprint
            )
        if handling is crash_record.Handling.ISOLATED:
            return await self._acquire_isolated(spec, excluded), True
        replies = _Replies()
        candidates = self._candidates.ranked_candidates(spec, excluded)
        acceptable_s = (
            self._acceptable_wait_s(spec) if len(candidates) > 1 else 0.0
        )
        for server in candidates:
            turn = await self._try_server(server, spec, replies, acceptable_s)
            if turn is not None:
                return turn, True
            if self._remaining_s(spec) <= 0.0:
                break
        turn = await self._try_shortest_wait(candidates, spec, replies)
        if turn is not None:
            return turn, True
        turn = await self._unconfirmed_turn(spec, excluded, replies)
        if turn is not None:
            return turn, False
        if replies.are_all_starting:
            return await self._await_start(replies.starting[0], spec), True
        raise self._refusal(spec, replies)

    def _refusal(
        self, spec: turn_spec.TurnSpec, replies: _Replies
    ) -> errors.RefusalError:
        """Return the refusal of a request that got no turn."""
        refusals = list(replies.refusals.values())
        if not refusals:
            backoff = self._gate.refusal(self._servers.serving(spec.service))
            refusals += [backoff] if backoff else []
        return _earliest_retry(refusals)

    async def _unconfirmed_turn(
        self,
        spec: turn_spec.TurnSpec,
        excluded: Collection[str],
        replies: _Replies,
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
            raise _earliest_retry([])
        # Another engine would run a second suspect beside that of the
        # entries that may use this one.
        backoff = self._gate.refusal([server])
        if backoff is not None:
            raise backoff
        log.info(
            'suspect request isolated',
            request_id=spec.run_id,
            fingerprint=spec.fingerprint,
            backend_server=server.name,
        )
        try:
            return await self._request(
                server, spec, _Replies(), is_isolated=True
            )
        except errors.NoReplyError as error:
            self._record_unresponsive(server, spec, error)
            raise _earliest_retry([]) from error

    def _acceptable_wait_s(self, spec: turn_spec.TurnSpec) -> float:
        """Return the wait up to which an engine is accepted at once."""
        remaining_s = spec.target_at_s - self._clock.monotonic_s()
        return max(0.0, _ACCEPT_TARGET_RATIO * remaining_s)

    async def _try_shortest_wait(
        self,
        candidates: Sequence[backend_list.BackendServer],
        spec: turn_spec.TurnSpec,
        replies: _Replies,
    ) -> turn_spec.Turn | None:
        """Retry the server that reported the shortest wait."""
        refusing = [
            s for s in candidates if replies.refused_waits_s.get(s.name)
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
        replies: _Replies,
        accept_within_s: float = 0.0,
    ) -> turn_spec.Turn | None:
        """Request a turn of one sidecar, and record why there is none."""
        try:
            return await self._request(
                server, spec, replies, accept_within_s=accept_within_s
            )
        except errors.NoReplyError as error:
            self._record_unresponsive(server, spec, error)
            turn = turn_candidates.unconfirmed_turn(server, spec)
            if turn is not None:
                replies.fallbacks.append(turn)
        except errors.RefusalError as error:
            if not error.retry_elsewhere or self._is_suspect(spec):
                raise
            replies.refusals[server.name] = error
            if error.kind is errors.ErrorKind.BACKEND_STARTING:
                replies.starting.append(server)
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
            return await self._request(
                server, spec, _Replies(), waits_for_engine=True
            )
        except errors.NoReplyError as error:
            self._record_unresponsive(server, spec, error)
            raise _earliest_retry([]) from error

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

    async def _request(
        self,
        server: backend_list.BackendServer,
        spec: turn_spec.TurnSpec,
        replies: _Replies,
        waits_for_engine: bool = False,
        accept_within_s: float = 0.0,
        is_isolated: bool = False,
    ) -> turn_spec.Turn:
        key = turn_candidates.sidecar_key(server.name)
        self._ejector.record_start(key)
        try:
            return await self._request_until_settled(
                server,
                spec,
                replies,
                waits_for_engine,
                accept_within_s,
                is_isolated,
            )
        finally:
            self._ejector.record_end(key)

    async def _request_until_settled(
        self,
        server: backend_list.BackendServer,
        spec: turn_spec.TurnSpec,
        replies: _Replies,
        waits_for_engine: bool,
        accept_within_s: float,
        is_isolated: bool,
    ) -> turn_spec.Turn:
        while True:
            now_s = self._clock.monotonic_s()
            remaining_s = self._remaining_s(spec)
            wait_s = max(0.0, min(_REPLY_WITHIN_S, remaining_s))
            limit_per_s = self._limits.per_s(server)
            request = turn_messages.TurnRequest(
                entry=self._instance,
                turn_id=spec.turn_id,
                run_id=spec.run_id,
                model=spec.model,
                adapter=spec.adapter,
                version=spec.version,
                route=spec.route,
                rank=spec.rank,
                prompt_tokens=spec.prompt_tokens,
                max_tokens=spec.max_tokens,
                expected_tokens=spec.expected_tokens,
                wait_ms=int(wait_s * _MS_PER_S),
                start_within_ms=max(0, int(remaining_s * _MS_PER_S)),
                target_ms=int((spec.target_at_s - now_s) * _MS_PER_S),
                deadline_ms=max(
                    0, int((spec.deadline_at_s - now_s) * _MS_PER_S)
                ),
                waits_for_engine=waits_for_engine,
                accept_within_ms=int(accept_within_s * _MS_PER_S),
                organisation=spec.organisation,
                weight=spec.weight,
                fingerprint=spec.fingerprint,
                is_isolated=is_isolated,
                suspects=self._suspects.exchange.update_for(server.ip),
                server_start_id=(
                    '' if limit_per_s is None else server.start_id
                ),
                limit_per_s=limit_per_s,
                limit_news=self._limits.news(),
                leaving=self._gate.leaving_news(),
                gap_ms=int(spec.gap_s * _MS_PER_S),
            )
            asked_at_s = self._clock.boot_s()
            try:
                reply = await self._link.request_turn(
                    server.ip, request, wait_s + _REPLY_MARGIN_S
                )
            except BaseException:
                # The sidecar may have granted the turn although the caller
                # left or the reply was lost.  The turn would stay occupied.
                self._end_reporter.record(server.ip, spec.turn_id)
                raise
            self._ejector.record_success(
                turn_candidates.sidecar_key(server.name)
            )
            self._suspects.exchange.apply_reply(
                server.ip, request.suspects, reply.suspects
            )
            self._apply_reply(server, reply)
            self._gate.apply_news(reply.leaving)
            self._limits.record_reply(
                self._granting_server(server, reply),
                reply,
                asked_at_s,
            )
            if reply.refusal is not None:
                replies.refused_waits_s[server.name] = (
                    reply.wait_ms / _MS_PER_S
                )
                raise errors.RefusalError(
                    reply.refusal,
                    reply.detail,
                    retry_after_s=reply.retry_after_ms / _MS_PER_S,
                )
            if not is_isolated and self._is_suspect(spec):
                self._end_reporter.record(server.ip, spec.turn_id)
                raise self._suspect_error(spec)
            self._check_open(spec, self._granting_server(server, reply))
            if not reply.is_pending:
                turn = turn_spec.Turn(
                    self._granting_server(server, reply), reply.version
                )
                self._check_listed(spec, server, turn)
                return turn
            if remaining_s <= wait_s:
                self._end_reporter.record(server.ip, spec.turn_id)
                raise errors.RefusalError(
                    errors.ErrorKind.DEADLINE_UNREACHABLE,
                    'no turn before the deadline of the request',
                )

    def _is_suspect(self, spec: turn_spec.TurnSpec) -> bool:
        handling = self._suspects.record.handling(spec.fingerprint)
        return handling is not crash_record.Handling.FREE

    def _suspect_error(self, spec: turn_spec.TurnSpec) -> errors.RefusalError:
        """Return the error for a request that became suspect meanwhile."""
        record = self._suspects.record
        handling = record.handling(spec.fingerprint)
        if handling is crash_record.Handling.REFUSED:
            return isolation.barred_refusal(record, spec.fingerprint)
        return isolation.isolation_refusal()

    def _granting_server(
        self,
        server: backend_list.BackendServer,
        reply: turn_messages.TurnReply,
    ) -> backend_list.BackendServer:
        # The sidecar sees a restart of its engine before the backend list
        # shows it, and grants a turn at the new incarnation.
        name = reply.backend_server or server.name
        started_at_ms = reply.started_at_ms or server.started_at_ms
        if (name, started_at_ms) == (server.name, server.started_at_ms):
            return server
        return dataclasses.replace(
            server, name=name, started_at_ms=started_at_ms
        )

    def _check_open(
        self, spec: turn_spec.TurnSpec, server: backend_list.BackendServer
    ) -> None:
        # The engine may have asked for backoff while the turn was pending.
        if self._gate.is_open(server):
            return
        self._end_reporter.record(server.ip, spec.turn_id)
        raise errors.RefusalError(
            errors.ErrorKind.SERVER_BACKOFF,
            'the engine accepts no requests of this entry now',
            retry_after_s=min(self._gate.wait_s(server), _MAX_RETRY_AFTER_S),
        )

    def _check_listed(
        self,
        spec: turn_spec.TurnSpec,
        server: backend_list.BackendServer,
        turn: turn_spec.Turn,
    ) -> None:
        # The engine may have announced that it is leaving while the turn
        # was pending.  The backend list can show this before the sidecar
        # knows.
        if turn.server.name != server.name:
            return
        if self._servers.find_serving(spec.service, server.name) is None:
            self._end_reporter.record(server.ip, spec.turn_id)
            raise errors.RefusalError(
                errors.ErrorKind.DRAINING,
                'the engine left while the turn was pending',
            )

    def _apply_reply(
        self,
        server: backend_list.BackendServer,
        reply: turn_messages.TurnReply,
    ) -> None:
        is_current = self._servers.record_start(
            server.name, reply.started_at_ms
        )
        if reply.hint is not None and is_current:
            self._placement.apply_hint(server.name, reply.hint)
        self._on_configuration_version(server.ip, reply.configuration_version)
        self._on_entry_count(reply.entry_count)

    def _remaining_s(self, spec: turn_spec.TurnSpec) -> float:
        return spec.start_by_s - self._clock.monotonic_s()


def _earliest_retry(
    refusals: Collection[errors.RefusalError],
) -> errors.RefusalError:
    """Return the refusal that allows the earliest retry."""
    if not refusals:
        return errors.RefusalError(
            errors.ErrorKind.NO_BACKEND_SERVER,
            'no engine can be reached',
            retry_after_s=_NO_ENGINE_RETRY_AFTER_S,
        )
    return min(refusals, key=lambda error: error.retry_after_s or 0.0)
