"""Servers whose requests were abandoned as they began to run."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable

import structlog

from lacewingpitch import backend_list
from lacewingpitch import crash_detector
from lacewingpitch import server_state

# A request that crashes its server does so within this time of its start.
_CRASH_WITHIN_S = 0.5
_MAX_SERVERS = 256
_MAX_RUNS_PER_SERVER = 64
log = structlog.get_logger(__name__)

StateSource = Callable[
    [backend_list.BackendServer], Awaitable[server_state.ServerState]
]


class AbandonedRuns:
    """Finds out whether a server ends under a request that was abandoned.

    The connection of an attempt is closed as its caller leaves, or as its
    deadline passes, so that it can't break any more.  The server is asked
    for its state a moment later instead, once for all attempts that were
    abandoned there meanwhile.

    Parameters
    ----------
    state_of
        Finds out the state of a start of a server.
    detector
        Learns which requests ran as a server ended.
    """

    def __init__(
        self, state_of: StateSource, detector: crash_detector.CrashDetector
    ) -> None:
        self._state_of = state_of
        self._detector = detector
        # Keys of the requests, by the server's start.
        self._runs: dict[str, list[Iterable[str]]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def record(
        self, keys: Iterable[str], server: backend_list.BackendServer
    ) -> None:
        """Record that a request was abandoned as it began to run.

        Parameters
        ----------
        keys
            Keys of the request, which can be iterated more than once; see
            `suspect_keys`.
        """
        runs = self._runs.get(server.start_id)
        if runs is None:
            if len(self._runs) >= _MAX_SERVERS:
                log.warning('abandoned run not followed', server=server.name)
                return
            runs = self._runs[server.start_id] = []
            task = asyncio.create_task(self._check(server))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        if len(runs) < _MAX_RUNS_PER_SERVER:
            runs.append(keys)

    async def close(self) -> None:
        """Stop following servers."""
        for task in self._tasks:
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def _check(self, server: backend_list.BackendServer) -> None:
        await asyncio.sleep(_CRASH_WITHIN_S)
        runs = self._runs.pop(server.start_id)
        state = await self._state_of(server)
        if state is not server_state.ServerState.ENDED:
            return
        log.info(
            'server ended under abandoned requests',
            backend_server=server.name,
            requests=len(runs),
        )
        for keys in runs:
            self._detector.record_disconnect(keys, server)
        self._detector.record_exit(server)
