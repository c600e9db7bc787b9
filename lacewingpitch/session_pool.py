"""Connections to backend servers that are kept for the next request."""

import collections
from collections.abc import AsyncIterator, Callable
import contextlib
import dataclasses

import aiohttp

from lacewingpitch import backend_call
from lacewingpitch import backend_list

# Twice the engines of the target; servers that are gone fall out of use.
_MAX_SERVERS = 2048


@dataclasses.dataclass(slots=True, eq=False)
class _Kept:
    session: aiohttp.ClientSession
    in_use_count: int = 0


class SessionPool:
    """One session for each backend server, as long as it is well.

    A server that hands out wrong bytes may have left some on any of its
    connections: a second answer that comes late lies where the next one is
    due, that one then lies in the way of the one after it, and so on.  With
    the first answer that is not whole, all connections to the server that
    are idle are given up together.

    Parameters
    ----------
    new_session
        Returns a session that keeps its connections.
    """

    def __init__(
        self, new_session: Callable[[], aiohttp.ClientSession]
    ) -> None:
        self._new_session = new_session
        self._kept: collections.OrderedDict[tuple[str, int], _Kept] = (
            collections.OrderedDict()
        )
        # Given up, with requests in progress.
        self._ending: set[_Kept] = set()

    @contextlib.asynccontextmanager
    async def use(
        self, server: backend_list.BackendServer
    ) -> AsyncIterator[aiohttp.ClientSession]:
        """Use a server's connections for one request and its answer."""
        address = (server.ip, server.port)
        kept = await self._of(address)
        kept.in_use_count += 1
        try:
            yield kept.session
        except (
            backend_call.AnswerLostError,
            backend_call.StaleConnectionError,
        ):
            if self._kept.get(address) is kept:
                del self._kept[address]
                self._ending.add(kept)
            raise
        finally:
            kept.in_use_count -= 1
            if kept in self._ending and not kept.in_use_count:
                self._ending.discard(kept)
                await kept.session.close()

    async def close(self) -> None:
        """Close all connections."""
        for kept in (*self._kept.values(), *self._ending):
            await kept.session.close()

    async def _of(self, address: tuple[str, int]) -> _Kept:
        kept = self._kept.get(address)
        if kept is None:
            kept = self._kept[address] = _Kept(self._new_session())
            if len(self._kept) > _MAX_SERVERS:
                await self._drop_oldest()
        self._kept.move_to_end(address)
        return kept

    async def _drop_oldest(self) -> None:
        _, oldest = self._kept.popitem(last=False)
        if oldest.in_use_count:
            self._ending.add(oldest)
        else:
            await oldest.session.close()
