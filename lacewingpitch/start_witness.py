"""Connections that show whether a start of a server has gone on running."""

import asyncio
from types import TracebackType
from typing import Protocol, Self

from lacewingpitch import backend_list
from lacewingpitch import server_state

# A server needs longer than this to end and to start again, so that what
# accepts a connection by then is the start that got the request.
_MAX_WAITED_S = 1.0


class WitnessConnection(Protocol):
    """An open connection to a server."""

    async def state(self) -> server_state.ServerState:
        """Return whether the process that accepted it still runs."""
        ...

    def close(self) -> None:
        """Close it."""
        ...


class WitnessSource(Protocol):
    """Opens connections to servers."""

    async def open(
        self, server: backend_list.BackendServer
    ) -> WitnessConnection | None:
        """Return an open connection; ``None`` if there can be none."""
        ...


class StartWitness:
    """Watches the start of a server from the head of its answer to the end.

    A connection that was open before the end of the answer, and on which
    the server answers after it, shows that the same start still runs.  What
    accepts a new connection may be a start after a crash: behind a cut link
    the ends of the old connections come late.

    Parameters
    ----------
    waited_s
        Time from the request to the head of its answer.
    """

    def __init__(
        self,
        source: WitnessSource,
        server: backend_list.BackendServer,
        waited_s: float,
    ) -> None:
        self._source = source
        self._server = server
        self._waited_s = waited_s
        self._opening: asyncio.Task[WitnessConnection | None] | None = None

    async def __aenter__(self) -> Self:
        """Open the connection, without waiting for it."""
        if self._waited_s < _MAX_WAITED_S:
            opening = self._source.open(self._server)
            self._opening = asyncio.create_task(opening)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close the connection."""
        if self._opening is None:
            return
        self._opening.cancel()
        await asyncio.wait([self._opening])
        if not self._opening.cancelled():
            connection = self._opening.result()
            if connection is not None:
                connection.close()

    async def state(self) -> server_state.ServerState:
        """Return whether the start that began the answer still runs."""
        if self._opening is None:
            return server_state.ServerState.UNKNOWN
        connection = await self._opening
        if connection is None:
            return server_state.ServerState.UNKNOWN
        return await connection.state()
