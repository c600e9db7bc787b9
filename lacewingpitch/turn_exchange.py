"""Requests one turn from the sidecar of one engine, until it is settled."""

from collections.abc import Callable
import dataclasses
from typing import Protocol

from lacewingpitch import backend_list
from lacewingpitch import blame
from lacewingpitch import clock as clock_module
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
from lacewingpitch import turn_replies
from lacewingpitch import turn_spec

_MS_PER_S = 1000
# A sidecar replies within this time, if only that the turn is pending, so
# that a longer silence means that it is lost.  Most adapter loads finish
# within it, which saves a second message.
_REPLY_WITHIN_S = 0.4
# Added to the wait that a request allows the sidecar: covers the round trip,
# and a sidecar whose share of a core is busy.
_REPLY_MARGIN_S = _REPLY_WITHIN_S + 0.25
_MAX_RETRY_AFTER_S = 10.0
# An engine that is silent for a moment goes on within a second or so.
_SILENT_RETRY_AFTER_S = 0.5


class SidecarLink(turn_end_reporter.TurnEndLink, Protocol):
    """Messages to the sidecars of engines."""

    async def request_turn(
        self, ip: str, request: turn_messages.TurnRequest, timeout_s: float
    ) -> turn_messages.TurnReply:
        """Request a turn."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class TurnTerms:
    """How a turn is requested of one sidecar.

    Parameters
    ----------
    waits_for_engine
        Whether it waits until the engine has started.
    accept_within_s
        Longest acceptable wait, because another engine may be sooner; 0
        for any wait that meets the target.
    is_isolated
        Whether the request must run as the only suspect one.
    """

    waits_for_engine: bool = False
    accept_within_s: float = 0.0
    is_isolated: bool = False


class TurnExchange:
    """Exchanges messages with sidecars, and applies what their replies say.

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
    end_reporter
        Ends turns that were granted and can't be used.
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
        end_reporter: turn_end_reporter.TurnEndReporter,
    ) -> None:
        self._instance = instance
        self._link = link
        self._servers = servers
        self._placement = placement
        self._ejector = ejector
        self._clock = clock
        self._on_configuration_version = on_configuration_version
        self._on_entry_count = on_entry_count
        self._suspects = suspects
        self._limits = limits
        self._gate = gate
        self._end_reporter = end_reporter

    async def request(
        self,
        server: backend_list.BackendServer,
        spec: turn_spec.TurnSpec,
        replies: turn_replies.TurnReplies,
        terms: TurnTerms,
    ) -> turn_spec.Turn:
        """Request a turn until the sidecar grants or refuses it.

        Raises
        ------
        RefusalError
            The sidecar refused it, or it can't be used.
        NoReplyError
            The sidecar did not reply.
        """
        key = turn_candidates.sidecar_key(server.name)
        self._ejector.record_start(key)
        try:
            while True:
                turn = await self._ask(server, spec, replies, terms)
                if turn is not None:
                    return turn
        finally:
            self._ejector.record_end(key)

    def is_suspect(self, spec: turn_spec.TurnSpec) -> bool:
        """Whether a request is suspected to crash engines."""
        verdict = self._suspects.record.verdict(spec.suspect_keys)
        return verdict.handling is not blame.Handling.FREE

    async def _ask(
        self,
        server: backend_list.BackendServer,
        spec: turn_spec.TurnSpec,
        replies: turn_replies.TurnReplies,
        terms: TurnTerms,
    ) -> turn_spec.Turn | None:
        """Send one message; return ``None`` if the turn is pending."""
        now_s = self._clock.monotonic_s()
        remaining_s = spec.start_by_s - now_s
        wait_s = max(0.0, min(_REPLY_WITHIN_S, remaining_s))
        request = self._new_request(server, spec, terms, now_s, wait_s)
        asked_at_s = self._clock.boot_s()
        reply = await self._send(server, spec, request, wait_s)
        self._ejector.record_success(turn_candidates.sidecar_key(server.name))
        self._apply_reply(server, request, reply, asked_at_s)
        granting = _granting_server(server, reply)
        replies.record_silence(server, _may_go_on(reply, terms))
        if reply.refusal is not None:
            replies.refused_waits_s[server.name] = reply.wait_ms / _MS_PER_S
            raise errors.RefusalError(
                reply.refusal,
                reply.detail,
                retry_after_s=reply.retry_after_ms / _MS_PER_S,
            )
        if reply.is_silent and reply.is_pending:
            raise errors.RefusalError(
                errors.ErrorKind.BACKEND_STARTING,
                'the engine does not answer at the moment',
                retry_after_s=_SILENT_RETRY_AFTER_S,
            )
        if not terms.is_isolated and self.is_suspect(spec):
            self._end_reporter.record(server.ip, spec.turn_id)
            raise self._suspect_error(spec)
        self._check_open(spec, granting)
        if not reply.is_pending:
            turn = turn_spec.Turn(granting, reply.version, terms.is_isolated)
            self._check_listed(spec, server, turn)
            return turn
        if remaining_s <= wait_s:
            self._end_reporter.record(server.ip, spec.turn_id)
            raise errors.RefusalError(
                errors.ErrorKind.DEADLINE_UNREACHABLE,
                'no turn before the deadline of the request',
            )
        return None

    async def _send(
        self,
        server: backend_list.BackendServer,
        spec: turn_spec.TurnSpec,
        request: turn_messages.TurnRequest,
        wait_s: float,
    ) -> turn_messages.TurnReply:
        try:
            return await self._link.request_turn(
                server.ip, request, wait_s + _REPLY_MARGIN_S
            )
        except BaseException:
            # The sidecar may have granted the turn although the caller left
            # or the reply was lost.  The turn would stay occupied.
            self._end_reporter.record(server.ip, spec.turn_id)
            raise

    def _new_request(
        self,
        server: backend_list.BackendServer,
        spec: turn_spec.TurnSpec,
        terms: TurnTerms,
        now_s: float,
        wait_s: float,
    ) -> turn_messages.TurnRequest:
        limit_per_s = self._limits.per_s(server)
        return turn_messages.TurnRequest(
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
            start_within_ms=_left_ms(spec.start_by_s, now_s),
            target_ms=int((spec.target_at_s - now_s) * _MS_PER_S),
            deadline_ms=_left_ms(spec.deadline_at_s, now_s),
            waits_for_engine=terms.waits_for_engine,
            accept_within_ms=int(terms.accept_within_s * _MS_PER_S),
            organisation=spec.organisation,
            weight=spec.weight,
            fingerprint=spec.fingerprint,
            is_isolated=terms.is_isolated,
            suspects=self._suspects.exchange.update_for(server.ip),
            server_start_id='' if limit_per_s is None else server.start_id,
            limit_per_s=limit_per_s,
            limit_news=self._limits.news(),
            leaving=self._gate.leaving_news(),
            gap_ms=self._gap_ms(spec),
            has_uneven_engines=self._placement.has_uneven_engines,
            removals=self._servers.recent_removals(),
        )

    def _apply_reply(
        self,
        server: backend_list.BackendServer,
        request: turn_messages.TurnRequest,
        reply: turn_messages.TurnReply,
        asked_at_s: float,
    ) -> None:
        self._suspects.exchange.apply_reply(
            server.ip, request.suspects, reply.suspects
        )
        is_current = self._servers.record_start(
            server.name, reply.started_at_ms
        )
        if reply.hint is not None and is_current:
            self._placement.apply_hint(server.name, reply.hint)
        self._on_configuration_version(server.ip, reply.configuration_version)
        self._on_entry_count(reply.entry_count)
        self._gate.apply_news(reply.leaving)
        for removal in reply.removals:
            self._servers.record_removal(removal)
        self._limits.record_reply(
            _granting_server(server, reply), reply, asked_at_s
        )

    def _suspect_error(self, spec: turn_spec.TurnSpec) -> errors.RefusalError:
        """Return the error for a request that became suspect meanwhile."""
        record = self._suspects.record
        verdict = record.verdict(spec.suspect_keys)
        if verdict.handling is blame.Handling.REFUSED:
            return isolation.barred_refusal(record, verdict.key)
        return isolation.isolation_refusal()

    def _gap_ms(self, spec: turn_spec.TurnSpec) -> int:
        """Return the allowed pause for sidecars that measure the pace."""
        if not self._placement.uses_pace:
            return 0
        return int(spec.gap_s * _MS_PER_S)

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


def _left_ms(at_s: float, now_s: float) -> int:
    return max(0, int((at_s - now_s) * _MS_PER_S))


def _may_go_on(reply: turn_messages.TurnReply, terms: TurnTerms) -> bool:
    """Whether the engine is silent, and may be waited for."""
    if not reply.is_silent:
        return False
    return reply.is_pending or not terms.waits_for_engine


def _granting_server(
    server: backend_list.BackendServer, reply: turn_messages.TurnReply
) -> backend_list.BackendServer:
    # The sidecar sees a restart of its engine before the backend list shows
    # it, and grants a turn at the new incarnation.
    name = reply.backend_server or server.name
    started_at_ms = reply.started_at_ms or server.started_at_ms
    if (name, started_at_ms) == (server.name, server.started_at_ms):
        return server
    return dataclasses.replace(server, name=name, started_at_ms=started_at_ms)
