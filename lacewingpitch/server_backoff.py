"""Backoffs that backend servers have asked this entry for."""

import dataclasses
import math

import structlog

from lacewingpitch import backend_list
from lacewingpitch import clock as clock_module

# A server that asks for more by mistake is used again after this time.
_MAX_BACKOFF_S = 3600.0
# A trial without an answer for this long is followed by another.
_TRIAL_S = 1.0
_MAX_SERVERS = 4096
log = structlog.get_logger(__name__)


@dataclasses.dataclass(slots=True)
class _Backoff:
    """A backoff at one start of a server, until it has served again.

    Parameters
    ----------
    until_s
        When it ends, by the boot clock.
    trial_until_s
        Time until which a request tries the server, by the boot clock.
    """

    until_s: float
    trial_until_s: float = -math.inf


class ServerBackoffs:
    """Follows the backoffs that servers ask this entry for.

    A backoff belongs to one start of a server and to this entry alone.  At
    its end, one request tries the server, and the others follow once it has
    an answer: all of them at the same time would only be turned away again.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._backoffs: dict[str, _Backoff] = {}

    def __len__(self) -> int:
        """Return the number of servers that this entry backs off from."""
        now_s = self._clock.boot_s()
        return sum(now_s < b.until_s for b in self._backoffs.values())

    def record(
        self, server: backend_list.BackendServer, backoff_s: float
    ) -> None:
        """Record an answer that asks for a backoff.

        It counts from when the answer is read, which is not earlier than when
        the server wrote it.  The latest end of several counts.
        """
        now_s = self._clock.boot_s()
        until_s = now_s + min(backoff_s, _MAX_BACKOFF_S)
        found = self._backoffs.get(server.start_id)
        if found is None:
            self._make_room(now_s)
            self._backoffs[server.start_id] = _Backoff(until_s)
        else:
            found.until_s = max(found.until_s, until_s)
            found.trial_until_s = -math.inf
        log.info(
            'backend server asked for backoff',
            backend_server=server.name,
            backoff_s=backoff_s,
        )

    def record_served(
        self, server: backend_list.BackendServer, asked_at_s: float
    ) -> None:
        """Record an answer that asks for no backoff.

        Parameters
        ----------
        asked_at_s
            When its request was sent, by the boot clock.  An answer to a
            request from before the end of the backoff proves nothing.
        """
        found = self._backoffs.get(server.start_id)
        if found is not None and asked_at_s >= found.until_s:
            del self._backoffs[server.start_id]

    def wait_s(self, server: backend_list.BackendServer) -> float:
        """Return the time until a request may be sent; 0 if it may now."""
        found = self._backoffs.get(server.start_id)
        if found is None:
            return 0.0
        until_s = max(found.until_s, found.trial_until_s)
        return max(0.0, until_s - self._clock.boot_s())

    def unproven(self) -> frozenset[str]:
        """Return the names of the servers that have not served again."""
        return frozenset(
            backend_list.split_start_id(start_id)[0]
            for start_id in self._backoffs
        )

    def record_sending(self, server: backend_list.BackendServer) -> None:
        """Record that a request is sent, which may try the server."""
        found = self._backoffs.get(server.start_id)
        if found is not None:
            found.trial_until_s = self._clock.boot_s() + _TRIAL_S

    def _make_room(self, now_s: float) -> None:
        if len(self._backoffs) < _MAX_SERVERS:
            return
        # The first to end has the least effect.
        ended = min(
            self._backoffs, key=lambda name: self._backoffs[name].until_s
        )
        del self._backoffs[ended]
