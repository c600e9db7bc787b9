"""Decides whether this entry may send requests to a backend server now."""

from collections.abc import Iterable
import math
import random

import structlog

from lacewingpitch import backend_call
from lacewingpitch import backend_list
from lacewingpitch import clock as clock_module
from lacewingpitch import errors
from lacewingpitch import leaving_news
from lacewingpitch import return_times
from lacewingpitch import server_backoff
from lacewingpitch import server_notice

# Time between callers that return after a backoff.
_RETURN_INTERVAL_S = 0.05
_MAX_SERVICES = 256
log = structlog.get_logger(__name__)


class ServerGate:
    """Keeps requests from servers that leave or asked for backoff.

    Selections skip closed servers.  What was selected earlier, and waited for
    a turn, a permit or a connection in the meantime, is stopped by `admit`,
    which every request passes just before it is sent.

    Parameters
    ----------
    source
        Source of jitter of the times at which callers return.

    Attributes
    ----------
    withheld_count
        Requests that `admit` has stopped.
    unlisted_count
        Requests that were sent to servers that were not listed.
    """

    def __init__(
        self,
        servers: backend_list.BackendList,
        clock: clock_module.Clock,
        source: random.Random,
    ) -> None:
        self._servers = servers
        self._clock = clock
        self._random = source
        self._news: leaving_news.RecentNews[str] = leaving_news.RecentNews(
            clock
        )
        self.backoffs = server_backoff.ServerBackoffs(clock)
        # By service.
        self._returns: dict[str, return_times.ReturnTimes] = {}
        self.withheld_count = 0
        self.unlisted_count = 0

    def is_open(self, server: backend_list.BackendServer) -> bool:
        """Whether a request may be sent to a server."""
        return not self.wait_s(server)

    def wait_s(self, server: backend_list.BackendServer) -> float:
        """Return the time until a server may get requests.

        Returns
        -------
        float
            0 if it may get one now, infinite if it leaves.
        """
        if self._servers.is_known_leaving(server):
            return math.inf
        return self.backoffs.wait_s(server)

    def admit(self, server: backend_list.BackendServer) -> None:
        """Admit a request that is about to be sent.

        Raises
        ------
        WithheldError
            It must not be sent.
        """
        wait_s = self.wait_s(server)
        if not wait_s:
            self.backoffs.record_sending(server)
            self._count_unlisted(server)
            return
        self.withheld_count += 1
        reason = 'backoff' if wait_s < math.inf else 'leaving'
        log.info('request withheld', backend_server=server.name, reason=reason)
        raise backend_call.WithheldError(reason)

    def refusal(
        self, servers: Iterable[backend_list.BackendServer]
    ) -> errors.RefusalError | None:
        """Return the refusal of a request that only closed servers could run.

        Returns
        -------
        errors.RefusalError or None
            ``None`` if none of the servers will open again.
        """
        waits_s: dict[str, float] = {}
        for server in servers:
            wait_s = self.wait_s(server)
            if 0.0 < wait_s < math.inf:
                known_s = waits_s.get(server.service, math.inf)
                waits_s[server.service] = min(known_s, wait_s)
        if not waits_s:
            return None
        service = min(waits_s, key=lambda name: waits_s[name])
        return errors.RefusalError(
            errors.ErrorKind.SERVER_BACKOFF,
            'the backend servers accept no requests of this entry now',
            retry_after_s=self._returns_to(service).next_s(
                waits_s[service], _RETURN_INTERVAL_S
            ),
        )

    def record_answer(
        self,
        server: backend_list.BackendServer,
        notice: server_notice.ServerNotice,
        asked_at_s: float,
    ) -> bool:
        """Record what an answer says; return whether it is news of leaving.

        Parameters
        ----------
        asked_at_s
            When the request was sent, by the boot clock.
        """
        if notice.backoff_s:
            self.backoffs.record(server, notice.backoff_s)
        else:
            self.backoffs.record_served(server, asked_at_s)
        if not notice.is_leaving:
            return False
        self._news.record(server.start_id)
        return self._servers.record_leaving(server.start_id, 'answer')

    def leaving_news(self) -> tuple[str, ...]:
        """Return the starts of servers that lately announced to leave."""
        return self._news.recent()

    def apply_news(self, start_ids: Iterable[str]) -> None:
        """Apply what other entries were told of servers that leave."""
        for start_id in start_ids:
            self._servers.record_leaving(start_id, 'entry')

    def _count_unlisted(self, server: backend_list.BackendServer) -> None:
        if self._servers.get(server.name) is not None:
            return
        self.unlisted_count += 1
        log.info(
            'request sent to an unlisted backend server',
            backend_server=server.name,
            list_age_s=round(self._servers.age_s, 3),
        )

    def _returns_to(self, service: str) -> return_times.ReturnTimes:
        if service not in self._returns:
            if len(self._returns) >= _MAX_SERVICES:
                self._returns.clear()
            self._returns[service] = return_times.ReturnTimes(
                self._clock, self._random
            )
        return self._returns[service]
