"""Ends of answers that mark no end of their own.

An answer with neither a length nor chunks ends with its connection.  A
server that crashes closes its connections as well, so that the end alone
does not show whether the answer is whole.
"""

from collections.abc import AsyncIterator, Awaitable, Callable
import contextlib
import dataclasses
from typing import Protocol

import structlog

from lacewingpitch import backend_call
from lacewingpitch import backend_list
from lacewingpitch import crash_detector
from lacewingpitch import errors
from lacewingpitch import server_state
from lacewingpitch import start_witness
from lacewingpitch import turn_end_reporter
from lacewingpitch import turn_messages

# A sidecar polls its engine, which takes a few milliseconds unless the
# engine is down.
_SIDECAR_TIMEOUT_S = 0.7
log = structlog.get_logger(__name__)


class StateProbe(Protocol):
    """Finds out whether anything accepts connections at an address."""

    async def __call__(self, ip: str, port: int) -> server_state.ServerState:
        """Return what a new connection shows."""
        ...


class AnswerEnd:
    """Confirms that a server was running as its answer ended.

    Parameters
    ----------
    link
        Messages to the sidecars of engines.
    has_sidecar
        Returns whether the servers of a service have a sidecar.
    probe
        Is used where a sidecar does not know.
    detector
        Learns that a server has ended.
    witnesses
        Opens connections to servers without a sidecar.

    Attributes
    ----------
    interrupted_count
        Number of answers that ended with their server.
    """

    def __init__(
        self,
        link: turn_end_reporter.TurnEndLink,
        has_sidecar: Callable[[str], bool],
        probe: StateProbe,
        detector: crash_detector.CrashDetector,
        witnesses: start_witness.WitnessSource,
    ) -> None:
        self._witnesses = witnesses
        self._link = link
        self._has_sidecar = has_sidecar
        self._probe = probe
        self._detector = detector
        self.interrupted_count = 0

    @contextlib.asynccontextmanager
    async def watch(
        self, server: backend_list.BackendServer, waited_s: float
    ) -> AsyncIterator[backend_call.EndWatch]:
        """Watch a server while its answer comes; see `EndCheck`."""
        if self._has_sidecar(server.service):
            yield _Watch(self, server, lambda: self.state(server))
            return
        async with start_witness.StartWitness(
            self._witnesses, server, waited_s
        ) as witness:
            yield _Watch(self, server, witness.state)

    def check(
        self,
        server: backend_list.BackendServer,
        request_id: str,
        state: server_state.ServerState,
    ) -> None:
        """Check that the server of an answer that has ended runs on.

        Raises
        ------
        AnswerLostError
            The server has ended, or nothing shows that it runs.
        """
        if state is server_state.ServerState.RUNNING:
            return
        self.interrupted_count += 1
        log.info(
            'answer ended with its server',
            request_id=request_id,
            backend_server=server.name,
            state=state.value,
        )
        if state is server_state.ServerState.ENDED:
            self._detector.record_exit(server)
        raise backend_call.AnswerLostError(
            f'the answer ended, and its server is {state.value}'
        )

    async def state(
        self, server: backend_list.BackendServer
    ) -> server_state.ServerState:
        """Return whether a start of a server runs, as far as is known."""
        state = server_state.ServerState.UNKNOWN
        if self._has_sidecar(server.service):
            state = await self._state_by_sidecar(server)
        if state is server_state.ServerState.UNKNOWN:
            state = await self._probe(server.ip, server.port)
        return state

    async def _state_by_sidecar(
        self, server: backend_list.BackendServer
    ) -> server_state.ServerState:
        message = turn_messages.TurnEnds(turn_ids=(), asks_state=True)
        try:
            reply = await self._link.end_turns(
                server.ip, message, _SIDECAR_TIMEOUT_S
            )
        except errors.LinkError as error:
            log.info(
                'engine state not known',
                backend_server=server.name,
                error=str(error),
            )
            return server_state.ServerState.UNKNOWN
        return turn_end_reporter.state_of(server, reply)


@dataclasses.dataclass(frozen=True, slots=True)
class _Watch:
    """The watch of one answer."""

    ends: AnswerEnd
    server: backend_list.BackendServer
    state_of: Callable[[], Awaitable[server_state.ServerState]]

    async def confirm(self, request_id: str) -> None:
        """Confirm that the answer has ended by itself; see `EndWatch`."""
        self.ends.check(self.server, request_id, await self.state_of())
