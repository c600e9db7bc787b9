"""Where an entry gets turns at model engines from."""

from collections.abc import (
    AsyncIterator,
    Callable,
    Collection,
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
from lacewingpitch import ended_turns
from lacewingpitch import errors
from lacewingpitch import grant
from lacewingpitch import isolation
from lacewingpitch import placement as placement_module
from lacewingpitch import suspects as suspects_module
from lacewingpitch import turn_candidates
from lacewingpitch import wanted_turn

_MS_PER_S = 1000
# A sidecar replies at once or says within this time that the turn is
# still waited for, so that a longer silence tells of its loss.  Most
# loads of an adapter end within it, which saves a second message.
_REPLY_WITHIN_S = 0.4
# Beyond the round trip, for a sidecar on a share of a core that is busy.
_SILENT_AFTER_S = _REPLY_WITHIN_S + 0.25
# The first engine that is asked will do where the request would wait no
# longer than this share of its time: for a load, but for no place as well.
# Otherwise each candidate says what it would wait there, and the soonest
# gets it.
_SOON_TARGET_RATIO = 0.5
# An engine that restarts is listed again once it has started.
_NO_ENGINE_RETRY_S = 1.5
log = structlog.get_logger(__name__)


@dataclasses.dataclass(slots=True)
class _Asked:
    """What the sidecars said that were asked for one request."""

    refusals: list[errors.RefusalError] = dataclasses.field(
        default_factory=list
    )
    starting: list[backend_list.BackendServer] = dataclasses.field(
        default_factory=list
    )
    # What the request would wait at those that refused it, by name.
    waits_s: dict[str, float] = dataclasses.field(default_factory=dict)
    # A turn without the consent of a sidecar that is silent.
    fallback: wanted_turn.Turn | None = None

    @property
    def are_all_starting(self) -> bool:
        """Whether no engine serves, and each that was asked starts."""
        return len(self.starting) == len(self.refusals) > 0


class SidecarLink(ended_turns.EndsLink, Protocol):
    """Messages to the sidecars of engines."""

    async def ask_turn(
        self, ip: str, request: grant.TurnRequest, timeout_s: float
    ) -> grant.TurnReply:
        """Ask for a turn."""
        ...


class TurnSource:
    """Chooses an engine for a request, and asks its sidecar for a turn.

    Parameters
    ----------
    instance
        Name of this entry.
    note_configuration
        Called with the configuration version of each sidecar that
        replies.
    note_entries
        Called with how many entries ask it.
    suspects
        Requests that crash engines.
    """

    def __init__(
        self,
        instance: str,
        link: SidecarLink,
        servers: backend_list.BackendList,
        placement: placement_module.Placement,
        ejector: ejection.Ejector,
        clock: clock_module.Clock,
        note_configuration: Callable[[str, int], None],
        note_entries: Callable[[int], None],
        suspects: suspects_module.Suspects,
    ) -> None:
        self._instance = instance
        self._note_entries = note_entries
        self._link = link
        self._servers = servers
        self._placement = placement
        self._ejector = ejector
        self._clock = clock
        self._note_configuration = note_configuration
        self._candidates = turn_candidates.TurnCandidates(
            servers, placement, ejector
        )
        self._suspects = suspects
        self._ended = ended_turns.EndedTurns(link, suspects.detector)

    @contextlib.asynccontextmanager
    async def turn(
        self, wanted: wanted_turn.WantedTurn, excluded: Collection[str]
    ) -> AsyncIterator[wanted_turn.Turn]:
        """Get a turn and keep it while the context lasts.

        Parameters
        ----------
        excluded
            Backend servers that the request must not go to again.

        Raises
        ------
        RefusalError
            No engine can take the request in time; it did not run.
        """
        turn, is_granted = await self._acquire(wanted, excluded)
        try:
            with self._placement.track_request(wanted.key, turn.server.name):
                yield turn
        finally:
            if is_granted:
                self._ended.note(turn.server.ip, wanted.turn_id, turn.server)

    async def run(self) -> None:
        """Tell the sidecars which turns have ended, for ever."""
        await self._ended.run()

    async def _acquire(
        self, wanted: wanted_turn.WantedTurn, excluded: Collection[str]
    ) -> tuple[wanted_turn.Turn, bool]:
        handling = self._suspects.record.handling(wanted.fingerprint)
        if handling is crash_record.Handling.REFUSED:
            raise isolation.barred_refusal(
                self._suspects.record, wanted.fingerprint
            )
        if handling is crash_record.Handling.ISOLATED:
            return await self._acquire_isolated(wanted, excluded), True
        asked = _Asked()
        candidates = self._candidates.to_ask(wanted, excluded)
        soon_s = self._soon_s(wanted) if len(candidates) > 1 else 0.0
        for server in candidates:
            turn = await self._try(server, wanted, asked, soon_s)
            if turn is not None:
                return turn, True
            if self._left_s(wanted) <= 0.0:
                break
        turn = await self._try_soonest(candidates, wanted, asked)
        if turn is not None:
            return turn, True
        fallback = asked.fallback
        if fallback is None and not asked.refusals:
            fallback = self._candidates.any_holding(wanted, excluded)
        if fallback is not None:
            return fallback, False
        if asked.are_all_starting:
            return await self._await_start(asked.starting[0], wanted), True
        raise _soonest(asked.refusals)

    async def _acquire_isolated(
        self, wanted: wanted_turn.WantedTurn, excluded: Collection[str]
    ) -> wanted_turn.Turn:
        """Get a turn at the one engine that suspect requests go to."""
        server = self._candidates.isolated(wanted, excluded)
        if server is None:
            raise _soonest([])
        log.info(
            'suspect isolated',
            request_id=wanted.run_id,
            fingerprint=wanted.fingerprint,
            backend_server=server.name,
        )
        try:
            return await self._ask(server, wanted, _Asked(), is_isolated=True)
        except errors.NoReplyError as error:
            self._note_silent(server, wanted, error)
            raise _soonest([]) from error

    def _soon_s(self, wanted: wanted_turn.WantedTurn) -> float:
        """Return the wait with which the first engine asked will do."""
        left_s = wanted.target_at_s - self._clock.monotonic_s()
        return max(0.0, _SOON_TARGET_RATIO * left_s)

    async def _try_soonest(
        self,
        candidates: Sequence[backend_list.BackendServer],
        wanted: wanted_turn.WantedTurn,
        asked: _Asked,
    ) -> wanted_turn.Turn | None:
        """Ask the one again where the request would wait least."""
        known = [s for s in candidates if asked.waits_s.get(s.name)]
        if not known or self._left_s(wanted) <= 0.0:
            return None
        soonest = min(known, key=lambda server: asked.waits_s[server.name])
        return await self._try(soonest, wanted, asked)

    async def _try(
        self,
        server: backend_list.BackendServer,
        wanted: wanted_turn.WantedTurn,
        asked: _Asked,
        accept_within_s: float = 0.0,
    ) -> wanted_turn.Turn | None:
        """Ask one sidecar, and note what it says if there is no turn."""
        try:
            return await self._ask(
                server, wanted, asked, accept_within_s=accept_within_s
            )
        except errors.NoReplyError as error:
            self._note_silent(server, wanted, error)
            if asked.fallback is None:
                asked.fallback = turn_candidates.without_sidecar(
                    server, wanted
                )
        except errors.RefusalError as error:
            if not error.retry_elsewhere or self._is_suspect(wanted):
                raise
            asked.refusals.append(error)
            if error.kind is errors.ErrorKind.BACKEND_STARTING:
                asked.starting.append(server)
        return None

    async def _await_start(
        self,
        server: backend_list.BackendServer,
        wanted: wanted_turn.WantedTurn,
    ) -> wanted_turn.Turn:
        """Get a turn at an engine that is to serve within seconds."""
        log.info(
            'waiting for an engine to start',
            request_id=wanted.run_id,
            backend_server=server.name,
            left_ms=int(self._left_s(wanted) * _MS_PER_S),
        )
        try:
            return await self._ask(
                server, wanted, _Asked(), waits_for_engine=True
            )
        except errors.NoReplyError as error:
            self._note_silent(server, wanted, error)
            raise _soonest([]) from error

    def _note_silent(
        self,
        server: backend_list.BackendServer,
        wanted: wanted_turn.WantedTurn,
        error: errors.NoReplyError,
    ) -> None:
        self._ejector.record_unresponsive(
            turn_candidates.sidecar_key(server.name)
        )
        log.warning(
            'sidecar silent',
            request_id=wanted.run_id,
            backend_server=server.name,
            error=str(error),
        )

    async def _ask(
        self,
        server: backend_list.BackendServer,
        wanted: wanted_turn.WantedTurn,
        asked: _Asked,
        waits_for_engine: bool = False,
        accept_within_s: float = 0.0,
        is_isolated: bool = False,
    ) -> wanted_turn.Turn:
        key = turn_candidates.sidecar_key(server.name)
        self._ejector.record_start(key)
        try:
            return await self._ask_until_settled(
                server,
                wanted,
                asked,
                waits_for_engine,
                accept_within_s,
                is_isolated,
            )
        finally:
            self._ejector.record_end(key)

    async def _ask_until_settled(
        self,
        server: backend_list.BackendServer,
        wanted: wanted_turn.WantedTurn,
        asked: _Asked,
        waits_for_engine: bool,
        accept_within_s: float,
        is_isolated: bool,
    ) -> wanted_turn.Turn:
        while True:
            now_s = self._clock.monotonic_s()
            left_s = self._left_s(wanted)
            wait_s = max(0.0, min(_REPLY_WITHIN_S, left_s))
            request = grant.TurnRequest(
                entry=self._instance,
                turn_id=wanted.turn_id,
                run_id=wanted.run_id,
                model=wanted.model,
                adapter=wanted.adapter,
                version=wanted.version,
                route=wanted.route,
                rank=wanted.rank,
                prompt_tokens=wanted.prompt_tokens,
                max_tokens=wanted.max_tokens,
                expected_tokens=wanted.expected_tokens,
                wait_ms=int(wait_s * _MS_PER_S),
                start_within_ms=max(0, int(left_s * _MS_PER_S)),
                target_ms=int((wanted.target_at_s - now_s) * _MS_PER_S),
                deadline_ms=max(0, int((wanted.until_s - now_s) * _MS_PER_S)),
                waits_for_engine=waits_for_engine,
                accept_within_ms=int(accept_within_s * _MS_PER_S),
                organisation=wanted.organisation,
                weight=wanted.weight,
                fingerprint=wanted.fingerprint,
                is_isolated=is_isolated,
                suspects=self._suspects.exchange.update_for(server.ip),
            )
            try:
                reply = await self._link.ask_turn(
                    server.ip, request, wait_s + _SILENT_AFTER_S
                )
            except BaseException:
                # The turn may be granted all the same: the caller left,
                # or the reply was lost.  Its place would stay taken.
                self._ended.note(server.ip, wanted.turn_id)
                raise
            self._ejector.record_success(
                turn_candidates.sidecar_key(server.name)
            )
            self._suspects.exchange.apply_reply(
                server.ip, request.suspects, reply.suspects
            )
            self._learn(server, reply)
            if reply.refusal is not None:
                asked.waits_s[server.name] = reply.wait_ms / _MS_PER_S
                raise errors.RefusalError(
                    reply.refusal,
                    reply.detail,
                    retry_after_s=reply.retry_after_ms / _MS_PER_S,
                )
            if not is_isolated and self._is_suspect(wanted):
                self._ended.note(server.ip, wanted.turn_id)
                raise self._suspect_refusal(wanted)
            if not reply.is_pending:
                turn = wanted_turn.Turn(
                    self._granted_at(server, reply), reply.version
                )
                self._check_listed(wanted, server, turn)
                return turn
            if left_s <= wait_s:
                self._ended.note(server.ip, wanted.turn_id)
                raise errors.RefusalError(
                    errors.ErrorKind.DEADLINE_UNREACHABLE,
                    'no turn within the time of the request',
                )

    def _is_suspect(self, wanted: wanted_turn.WantedTurn) -> bool:
        handling = self._suspects.record.handling(wanted.fingerprint)
        return handling is not crash_record.Handling.FREE

    def _suspect_refusal(
        self, wanted: wanted_turn.WantedTurn
    ) -> errors.RefusalError:
        """Return the answer to what became a suspect while it waited."""
        record = self._suspects.record
        handling = record.handling(wanted.fingerprint)
        if handling is crash_record.Handling.REFUSED:
            return isolation.barred_refusal(record, wanted.fingerprint)
        return isolation.isolation_refusal()

    def _granted_at(
        self, server: backend_list.BackendServer, reply: grant.TurnReply
    ) -> backend_list.BackendServer:
        # The sidecar sees a restart of its engine before the list tells
        # of it, and its grant is for the new incarnation.
        name = reply.backend_server or server.name
        started_at_ms = reply.started_at_ms or server.started_at_ms
        if (name, started_at_ms) == (server.name, server.started_at_ms):
            return server
        return dataclasses.replace(
            server, name=name, started_at_ms=started_at_ms
        )

    def _check_listed(
        self,
        wanted: wanted_turn.WantedTurn,
        server: backend_list.BackendServer,
        turn: wanted_turn.Turn,
    ) -> None:
        # Its engine may have said that it leaves while the turn was waited
        # for, and the list tells it here before its sidecar knows.
        if turn.server.name != server.name:
            return
        if self._servers.find_serving(wanted.service, server.name) is None:
            self._ended.note(server.ip, wanted.turn_id)
            raise errors.RefusalError(
                errors.ErrorKind.DRAINING,
                'the engine left while the turn was waited for',
            )

    def _learn(
        self, server: backend_list.BackendServer, reply: grant.TurnReply
    ) -> None:
        is_current = self._servers.record_start(
            server.name, reply.started_at_ms
        )
        if reply.hint is not None and is_current:
            self._placement.apply_hint(server.name, reply.hint)
        self._note_configuration(server.ip, reply.configuration_version)
        self._note_entries(reply.entry_count)

    def _left_s(self, wanted: wanted_turn.WantedTurn) -> float:
        return wanted.start_by_s - self._clock.monotonic_s()


def _soonest(refusals: list[errors.RefusalError]) -> errors.RefusalError:
    """Return the refusal that lets the caller come back first."""
    if not refusals:
        return errors.RefusalError(
            errors.ErrorKind.NO_BACKEND_SERVER,
            'no engine can be reached',
            retry_after_s=_NO_ENGINE_RETRY_S,
        )
    return min(refusals, key=lambda error: error.retry_after_s or 0.0)
