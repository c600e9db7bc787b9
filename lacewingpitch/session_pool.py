"""Pool of HTTP sessions with persistent connections to backend servers."""

import collections
from collections.abc import AsyncIterator, Callable
import contextlib
import dataclasses

import aiohttp

from lacewingpitch import backend_call
from lacewingpitch import backend_list

# Twice the number of engines in a deployment of the target size.  Sessions of
# servers that are gone are evicted as the least recently used.
_MAX_SESSIONS = 2048


@dataclasses.dataclass(slots=True, eq=False)
class _PooledSession:
    session: aiohttp.ClientSession
    in_use_count: int = 0


class SessionPool:
    """One session for each backend server, until a response is incomplete.

    A faulty server may have left unread bytes on any of its connections:
    a duplicate response that arrives late is taken for the response to the
    next request, whose own response is then taken for that of the one
    after it, and so on.  After the first incomplete response, all idle
    connections to the server are therefore discarded together.

    Parameters
    ----------
    new_session
        Returns a session with persistent connections.
    """

    def __init__(
        self, new_session: Callable[[], aiohttp.ClientSession]
    ) -> None:
        self._new_session = new_session
        self._sessions: collections.OrderedDict[
            tuple[str, int], _PooledSession
        ] = collections.OrderedDict()
        # Removed from the pool, but with requests in progress.
        self._closing: set[_PooledSession] = set()

    @contextlib.asynccontextmanager
    async def use(
        self, server: backend_list.BackendServer
    ) -> AsyncIterator[aiohttp.ClientSession]:
        """Yield the session of a server for one request and its response."""
        address = (server.ip, server.port)
        pooled = await self._session_for(address)
        pooled.in_use_count += 1
        try:
            yield pooled.session
        except (
            backend_call.AnswerLostError,
            backend_call.StaleConnectionError,
        ):
            if self._sessions.get(address) is pooled:
                del self._sessions[address]
                self._closing.add(pooled)
            raise
        finally:
            pooled.in_use_count -= 1
            if pooled in self._closing and not pooled.in_use_count:
                self._closing.discard(pooled)
                await pooled.session.close()

    async def close(self) -> None:
        """Close all sessions, also those in use."""
        for pooled in (*self._sessions.values(), *self._closing):
            await pooled.session.close()

    async def _session_for(self, address: tuple[str, int]) -> _PooledSession:
        pooled = self._sessions.get(address)
        if pooled is None:
            pooled = self._sessions[address] = _PooledSession(
                self._new_session()
            )
            if len(self._sessions) > _MAX_SESSIONS:
                await self._evict_least_recently_used()
        self._sessions.move_to_end(address)
        return pooled

    async def _evict_least_recently_used(self) -> None:
        _, evicted = self._sessions.popitem(last=False)
        if evicted.in_use_count:
            self._closing.add(evicted)
        else:
            await evicted.session.close()
