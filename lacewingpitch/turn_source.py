"""Where an entry gets turns at model engines from."""

import asyncio
import collections
from collections.abc import (
    AsyncIterator,
    Callable,
    Collection,
    Iterator,
    Mapping,
    Sequence,
)
import contextlib
import dataclasses
from typing import Protocol

import structlog

from lacewingpitch import adapter_versions
from lacewingpitch import backend_list
from lacewingpitch import clock as clock_module
from lacewingpitch import ejection
from lacewingpitch import errors
from lacewingpitch import grant
from lacewingpitch import live_list
from lacewingpitch import placement as placement_module

_MS_PER_S = 1000
# A sidecar replies at once or says within this time that the turn is
# still waited for, so that a longer silence tells of its loss.  Most
# loads of an adapter end within it (0.25 s each while the store is not
# crowded), which saves a second message.
_REPLY_WITHIN_S = 0.4
# Round trips take 2 to 4 ms between zones; the rest is for a sidecar
# that runs on a share of a core and is busy.
_SILENT_AFTER_S = _REPLY_WITHIN_S + 0.25
# Ends of turns are sent together: one message for some 1 to 10 turns at
# the sites' loads, while a place stays taken hardly longer.
_ENDS_INTERVAL_S = 0.01
_ENDS_TIMEOUT_S = 1.0
_MAX_KEPT_ENDS = 1024
# A sidecar says at once whether a request would be on time; a question
# takes 2 to 4 ms.  Of three, all refused 30 in 100 requests of the heaviest
# day while a fourth or fifth engine had a place.
_MAX_ASKED = 5
_SIDECAR_KEY = '{}/sidecar'
# The first engine that is asked will do where the request would wait no
# longer than this share of its time: for a load, but for no place as well.
# Otherwise each candidate says what it would wait there, and the soonest
# gets it.
_SOON_TARGET_RATIO = 0.5
# An engine that restarts is listed again after some 2 s, of which a part
# has passed when its requests are refused.
_NO_ENGINE_RETRY_S = 1.5
log = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class WantedTurn:
    """What a request needs of an engine.

    Parameters
    ----------
    start_by_s
        Monotonic time after which its caller has given up waiting for
        the beginning of an answer.
    target_at_s
        Monotonic time after which the first event is late.
    until_s
        Monotonic time at which its final answer is due.
    """

    run_id: str
    attempt: int
    service: str
    model: str
    adapter: str
    version: int
    route: str
    rank: int
    prompt_tokens: int
    max_tokens: int
    expected_tokens: int
    start_by_s: float
    target_at_s: float
    until_s: float

    @property
    def key(self) -> str:
        """Return the name under which the adapter is placed."""
        if not self.adapter:
            return ''
        return adapter_versions.slot_name(
            self.model, self.adapter, self.version
        )

    @property
    def turn_id(self) -> str:
        """Return the id of the turn."""
        return f'{self.run_id}.{self.attempt}'


@dataclasses.dataclass(frozen=True, slots=True)
class Turn:
    """The right to send one request to one engine.

    Parameters
    ----------
    version
        Version of the adapter that the engine holds; 0 if not known.
    """

    server: backend_list.BackendServer
    version: int


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
    fallback: Turn | None = None

    @property
    def are_all_starting(self) -> bool:
        """Whether no engine serves, and each that was asked starts."""
        return len(self.starting) == len(self.refusals) > 0


class SidecarLink(Protocol):
    """Messages to the sidecars of engines."""

    async def ask_turn(
        self, ip: str, request: grant.TurnRequest, timeout_s: float
    ) -> grant.TurnReply:
        """Ask for a turn."""
        ...

    async def end_turns(
        self, ip: str, message: grant.TurnEnds, timeout_s: float
    ) -> None:
        """Say that turns have ended."""
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
    ) -> None:
        self._instance = instance
        self._note_entries = note_entries
        self._link = link
        self._servers = servers
        self._placement = placement
        self._ejector = ejector
        self._clock = clock
        self._note_configuration = note_configuration
        self._instances: dict[
            str,
            tuple[
                tuple[backend_list.BackendServer, ...],
                tuple[live_list.Instance, ...],
            ],
        ] = {}
        self._ends: collections.defaultdict[str, list[str]] = (
            collections.defaultdict(list)
        )
        self._tasks: set[asyncio.Task[None]] = set()

    @contextlib.asynccontextmanager
    async def turn(
        self, wanted: WantedTurn, excluded: Collection[str]
    ) -> AsyncIterator[Turn]:
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
            with self._placement.sent(wanted.key, turn.server.name):
                yield turn
        finally:
            if is_granted:
                self._end(turn.server.ip, wanted.turn_id)

    async def run(self) -> None:
        """Tell the sidecars which turns have ended, for ever."""
        while True:
            await asyncio.sleep(_ENDS_INTERVAL_S)
            if not self._ends:
                continue
            ends, self._ends = self._ends, collections.defaultdict(list)
            for ip, turn_ids in ends.items():
                # Each sidecar in a task of its own: one that is frozen
                # must not hold up the places at all others.
                task = asyncio.create_task(self._send_ends(ip, turn_ids))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _acquire(
        self, wanted: WantedTurn, excluded: Collection[str]
    ) -> tuple[Turn, bool]:
        asked = _Asked()
        candidates = self._candidates(wanted, excluded)
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
            fallback = self._any_holding(wanted, excluded)
        if fallback is not None:
            return fallback, False
        if asked.are_all_starting:
            return await self._await_start(asked.starting[0], wanted), True
        raise _soonest(asked.refusals)

    def _soon_s(self, wanted: WantedTurn) -> float:
        """Return the wait with which the first engine asked will do."""
        left_s = wanted.target_at_s - self._clock.monotonic_s()
        return max(0.0, _SOON_TARGET_RATIO * left_s)

    async def _try_soonest(
        self,
        candidates: Sequence[backend_list.BackendServer],
        wanted: WantedTurn,
        asked: _Asked,
    ) -> Turn | None:
        """Ask the one again where the request would wait least."""
        known = [s for s in candidates if asked.waits_s.get(s.name)]
        if not known or self._left_s(wanted) <= 0.0:
            return None
        soonest = min(known, key=lambda server: asked.waits_s[server.name])
        return await self._try(soonest, wanted, asked)

    async def _try(
        self,
        server: backend_list.BackendServer,
        wanted: WantedTurn,
        asked: _Asked,
        accept_within_s: float = 0.0,
    ) -> Turn | None:
        """Ask one sidecar, and note what it says if there is no turn."""
        try:
            return await self._ask(
                server, wanted, asked, accept_within_s=accept_within_s
            )
        except errors.NoReplyError as error:
            self._note_silent(server, wanted, error)
            if asked.fallback is None:
                asked.fallback = self._without_sidecar(server, wanted)
        except errors.RefusalError as error:
            if not error.retry_elsewhere:
                raise
            asked.refusals.append(error)
            if error.kind is errors.ErrorKind.BACKEND_STARTING:
                asked.starting.append(server)
        return None

    async def _await_start(
        self, server: backend_list.BackendServer, wanted: WantedTurn
    ) -> Turn:
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
        wanted: WantedTurn,
        error: errors.NoReplyError,
    ) -> None:
        self._ejector.silent(_sidecar_key(server))
        log.warning(
            'sidecar silent',
            request_id=wanted.run_id,
            backend_server=server.name,
            error=str(error),
        )

    def _candidates(
        self, wanted: WantedTurn, excluded: Collection[str]
    ) -> list[backend_list.BackendServer]:
        instances = self._instances_of(wanted.service)
        ranked = self._placement.candidates(
            wanted.key or wanted.run_id, instances
        )
        names = [i.name for i in ranked if i.name not in excluded]
        allowed = set(self._ejector.allowed(names))
        asked = [_SIDECAR_KEY.format(name) for name in names]
        allowed_to_ask = set(self._ejector.allowed(asked))
        chosen = []
        for name in names:
            server = self._servers.find(wanted.service, name)
            if server is None or name not in allowed:
                continue
            if _SIDECAR_KEY.format(name) in allowed_to_ask:
                chosen.append(server)
        return chosen[:_MAX_ASKED]

    async def _ask(
        self,
        server: backend_list.BackendServer,
        wanted: WantedTurn,
        asked: _Asked,
        waits_for_engine: bool = False,
        accept_within_s: float = 0.0,
    ) -> Turn:
        key = _sidecar_key(server)
        self._ejector.begin(key)
        try:
            return await self._ask_until_settled(
                server, wanted, asked, waits_for_engine, accept_within_s
            )
        finally:
            self._ejector.ended(key)

    async def _ask_until_settled(
        self,
        server: backend_list.BackendServer,
        wanted: WantedTurn,
        asked: _Asked,
        waits_for_engine: bool,
        accept_within_s: float,
    ) -> Turn:
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
            )
            try:
                reply = await self._link.ask_turn(
                    server.ip, request, wait_s + _SILENT_AFTER_S
                )
            except BaseException:
                # The turn may be granted all the same: the caller left,
                # or the reply was lost.  Its place would stay taken.
                self._end(server.ip, wanted.turn_id)
                raise
            self._ejector.succeeded(_sidecar_key(server))
            self._learn(server, reply)
            if reply.refusal is not None:
                asked.waits_s[server.name] = reply.wait_ms / _MS_PER_S
                raise errors.RefusalError(
                    reply.refusal,
                    reply.detail,
                    retry_after_s=reply.retry_after_ms / _MS_PER_S,
                )
            if not reply.is_pending:
                turn = Turn(self._granted_at(server, reply), reply.version)
                self._check_listed(wanted, server, turn)
                return turn
            if left_s <= wait_s:
                self._end(server.ip, wanted.turn_id)
                raise errors.RefusalError(
                    errors.ErrorKind.DEADLINE_UNREACHABLE,
                    'no turn within the time of the request',
                )

    def _granted_at(
        self, server: backend_list.BackendServer, reply: grant.TurnReply
    ) -> backend_list.BackendServer:
        # The sidecar sees a restart of its engine before the list tells
        # of it, and its grant is for the new incarnation.
        name = reply.backend_server
        if not name or name == server.name:
            return server
        return dataclasses.replace(server, name=name)

    def _check_listed(
        self,
        wanted: WantedTurn,
        server: backend_list.BackendServer,
        turn: Turn,
    ) -> None:
        # Its engine may have said that it leaves while the turn was waited
        # for, and the list tells it here before its sidecar knows.
        if turn.server.name != server.name:
            return
        if self._servers.find(wanted.service, server.name) is None:
            self._end(server.ip, wanted.turn_id)
            raise errors.RefusalError(
                errors.ErrorKind.DRAINING,
                'the engine left while the turn was waited for',
            )

    def _learn(
        self, server: backend_list.BackendServer, reply: grant.TurnReply
    ) -> None:
        is_current = self._servers.note_start(server.name, reply.started_at_ms)
        if reply.hint is not None and is_current:
            self._placement.learn_hint(server.name, reply.hint)
        self._note_configuration(server.ip, reply.configuration_version)
        self._note_entries(reply.entry_count)

    def _without_sidecar(
        self, server: backend_list.BackendServer, wanted: WantedTurn
    ) -> Turn | None:
        """Return a turn at an engine that is known to hold the adapter.

        An engine serves on while its sidecar is frozen or restarts.  It
        refuses what it does not hold, so that a list that is out of date
        costs an attempt and no wrong answer.
        """
        if not wanted.adapter:
            return Turn(server, 0)
        held = server.adapters.get(f'{wanted.model}/{wanted.adapter}')
        if held is None or held < wanted.version:
            return None
        return Turn(server, held)

    def _any_holding(
        self, wanted: WantedTurn, excluded: Collection[str]
    ) -> Turn | None:
        for server in self._servers.serving(wanted.service):
            if server.name not in excluded:
                turn = self._without_sidecar(server, wanted)
                if turn is not None:
                    return turn
        return None

    def _instances_of(self, service: str) -> Sequence[live_list.Instance]:
        servers = self._servers.serving(service)
        known = self._instances.get(service)
        if known is not None and known[0] is servers:
            return known[1]
        found = tuple(map(_instance, servers))
        if known is not None and known[1] == found:
            # Placement knows a list by its identity, and would weigh all
            # engines anew each time that one of them loads an adapter.
            found = known[1]
        else:
            self._retain(service, found)
        self._learn_listed(known[0] if known else (), servers)
        self._instances[service] = (servers, found)
        return found

    def _learn_listed(
        self,
        before: Sequence[backend_list.BackendServer],
        servers: Sequence[backend_list.BackendServer],
    ) -> None:
        known = {server.name: server.adapters for server in before}
        for server in servers:
            if known.get(server.name) is not server.adapters:
                self._placement.learn_listed(
                    server.name, _slot_names(server.adapters)
                )

    def _retain(
        self, service: str, instances: tuple[live_list.Instance, ...]
    ) -> None:
        others = [
            instance
            for name, (_, found) in self._instances.items()
            if name != service
            for instance in found
        ]
        self._placement.retain([*others, *instances])

    def _left_s(self, wanted: WantedTurn) -> float:
        return wanted.start_by_s - self._clock.monotonic_s()

    def _end(self, ip: str, turn_id: str) -> None:
        if len(self._ends[ip]) < _MAX_KEPT_ENDS:
            self._ends[ip].append(turn_id)

    async def _send_ends(self, ip: str, turn_ids: list[str]) -> None:
        try:
            await self._link.end_turns(
                ip, grant.TurnEnds(turn_ids=tuple(turn_ids)), _ENDS_TIMEOUT_S
            )
        except errors.LinkError as error:
            # The sidecar finds out by the engine's report.
            log.info(
                'ends of turns not delivered',
                ip=ip,
                count=len(turn_ids),
                error=str(error),
            )


def _slot_names(adapters: Mapping[str, int]) -> Iterator[str]:
    # A request names a version only once a newer one was published.
    for key, version in adapters.items():
        model, _, adapter = key.partition('/')
        yield adapter_versions.slot_name(model, adapter, 0)
        yield adapter_versions.slot_name(model, adapter, version)


def _sidecar_key(server: backend_list.BackendServer) -> str:
    return _SIDECAR_KEY.format(server.name)


def _instance(server: backend_list.BackendServer) -> live_list.Instance:
    return live_list.Instance(
        name=server.name,
        role=live_list.Role.SIDECAR,
        region='',
        availability_zone=server.availability_zone,
        ip=server.ip,
        work_port=server.port,
        control_port=0,
        serves=server.service,
    )


def _soonest(refusals: list[errors.RefusalError]) -> errors.RefusalError:
    """Return the refusal that lets the caller come back first."""
    if not refusals:
        return errors.RefusalError(
            errors.ErrorKind.NO_BACKEND_SERVER,
            'no engine can be reached',
            retry_after_s=_NO_ENGINE_RETRY_S,
        )
    return min(refusals, key=lambda error: error.retry_after_s or 0.0)
