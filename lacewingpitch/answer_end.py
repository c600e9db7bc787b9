"""Ends of answers that mark no end of their own.

An answer with neither a length nor chunks ends with its connection.  A
server that crashes closes its connections as well, so that the end alone
does not show whether the answer is whole.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
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
# engine is down.  After this time the engine is asked as well.
_SIDECAR_ALONE_S = 0.7
# A sound sidecar, or its engine, may be silent for a moment.
_SIDECAR_TIMEOUT_S = 2.5
_SIDECAR_INTERVAL_S = 0.25
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
        Shows that an engine has ended where its sidecar does not know.
    detector
        Learns that a server has ended.
    witnesses
        Opens connections to servers.

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
        async with start_witness.StartWitness(
            self._witnesses, server, waited_s
        ) as witness:
            yield _Watch(self, server, witness)

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
            state = await self._state_by_sidecar(server, _SIDECAR_ALONE_S)
        if state is server_state.ServerState.UNKNOWN:
            state = await self._state_by_probe(server)
        return state

    async def state_at_end(
        self,
        server: backend_list.BackendServer,
        witness: start_witness.StartWitness,
    ) -> server_state.ServerState:
        """Return whether the start that began an answer runs at its end."""
        if not self._has_sidecar(server.service):
            return await witness.state()
        state = await self._state_of_engine(server, witness)
        if state is server_state.ServerState.UNKNOWN:
            state = await self._state_by_probe(server)
        return state

    async def _state_of_engine(
        self,
        server: backend_list.BackendServer,
        witness: start_witness.StartWitness,
    ) -> server_state.ServerState:
        """Ask the sidecar of an engine, and the engine if it can't tell."""
        asking = asyncio.create_task(self._state_by_patience(server))
        try:
            await asyncio.wait([asking], timeout=_SIDECAR_ALONE_S)
            state = server_state.ServerState.UNKNOWN
            if asking.done():
                state = asking.result()
            if state is server_state.ServerState.UNKNOWN:
                state = await witness.state()
            if state is server_state.ServerState.UNKNOWN:
                state = await asking
        finally:
            asking.cancel()
        return state

    async def _state_by_patience(
        self, server: backend_list.BackendServer
    ) -> server_state.ServerState:
        """Ask a sidecar until it knows the state, for a limited time."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + _SIDECAR_TIMEOUT_S
        while True:
            left_s = until_s - loop.time()
            state = await self._state_by_sidecar(server, left_s)
            if state is not server_state.ServerState.UNKNOWN:
                return state
            if loop.time() + _SIDECAR_INTERVAL_S >= until_s:
                return state
            await asyncio.sleep(_SIDECAR_INTERVAL_S)

    async def _state_by_probe(
        self, server: backend_list.BackendServer
    ) -> server_state.ServerState:
        state = await self._probe(server.ip, server.port)
        if state is server_state.ServerState.ENDED:
            return state
        # What accepts a connection may be a start after a crash.
        return server_state.ServerState.UNKNOWN

    async def _state_by_sidecar(
        self, server: backend_list.BackendServer, timeout_s: float
    ) -> server_state.ServerState:
        message = turn_messages.TurnEnds(turn_ids=(), asks_state=True)
        try:
            reply = await self._link.end_turns(server.ip, message, timeout_s)
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
    witness: start_witness.StartWitness

    async def confirm(self, request_id: str) -> None:
        """Confirm that the answer has ended by itself; see `EndWatch`."""
        state = await self.ends.state_at_end(self.server, self.witness)
        self.ends.check(self.server, request_id, state)
