"""Request rate limits that backend servers name, as known to one entry."""

import collections
from collections.abc import Callable, Iterable
import dataclasses
import random
from typing import Protocol

import structlog

from lacewingpitch import backend_list
from lacewingpitch import clock as clock_module
from lacewingpitch import errors
from lacewingpitch import limit_news
from lacewingpitch import limit_share
from lacewingpitch import named_limit
from lacewingpitch import permit_client
from lacewingpitch import return_times
from lacewingpitch import server_permits
from lacewingpitch import sidecar_reporter
from lacewingpitch import turn_messages
from lacewingpitch import turn_pacer

# Few servers name a limit at the same time.
_MAX_SERVERS = 1024
_REPORT_TIMEOUT_S = 1.0
_MS_PER_S = 1000
log = structlog.get_logger(__name__)


class SidecarLink(permit_client.PermitLink, Protocol):
    """Messages to sidecars."""

    async def report_limit(
        self, ip: str, message: turn_messages.AnsweredLimit, timeout_s: float
    ) -> None:
        """Tell a sidecar whether an answer of its engine names a limit."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class _Parts:
    """Parts of a limit for requests that no sidecar of the server paces.

    Parameters
    ----------
    permitted_ratio
        Part that the owner of its permits grants.
    shared_ratio
        Part that entries share which can't reach that owner.
    """

    permitted_ratio: float
    shared_ratio: float


# The sidecar of an engine may grant all of the limit to other entries at the
# same time, and the owner its part to some of them.
_ENGINE_PARTS = _Parts(permitted_ratio=0.25, shared_ratio=0.25)
_PLAIN_PARTS = _Parts(permitted_ratio=1.0, shared_ratio=0.5)


@dataclasses.dataclass(slots=True)
class _ServerLimit:
    """The limit of one start of a server.

    Parameters
    ----------
    share
        This entry's share, while the owner of the permits can't be reached.
    refused_until_s
        When to ask the owner of the permits again, by the boot clock.
    """

    named: named_limit.NamedLimit
    returns: return_times.ReturnTimes
    share: limit_share.LimitShare | None = None
    refused_until_s: float = 0.0


class ServerLimits:
    """Follows the limits that backend servers name in their answers.

    The sidecar of an engine paces the turns that it grants, and is told at
    once what the engine's answers say.  Without that sidecar, and at plain
    servers, which have none, requests need a permit of the sidecar that owns
    the limit.  If it does not answer, each entry uses an equal share.

    A limit belongs to one start of a server, and ends with it.

    Parameters
    ----------
    instance
        Name of this entry.
    owners
        Finds the owners of permits.
    servers
        Returns all listed servers.
    has_sidecar
        Whether the servers of a service have sidecars.
    entry_count
        Returns the known number of entries.
    source
        Source of random phases and jitter.
    reporter
        Sends what answers say to the sidecars.

    Attributes
    ----------
    exceeded_count
        Requests that neither a permit nor a share allowed.
    """

    def __init__(
        self,
        instance: str,
        link: SidecarLink,
        owners: permit_client.Owners,
        servers: Callable[[], Iterable[backend_list.BackendServer]],
        has_sidecar: Callable[[str], bool],
        entry_count: Callable[[], int],
        clock: clock_module.Clock,
        source: random.Random,
        reporter: sidecar_reporter.SidecarReporter,
    ) -> None:
        self._instance = instance
        self._link = link
        self._permits = permit_client.PermitClient(
            instance, link, owners, clock
        )
        self._servers = servers
        self._has_sidecar = has_sidecar
        self._entry_count = entry_count
        self._clock = clock
        self._random = source
        self._limits: collections.OrderedDict[str, _ServerLimit] = (
            collections.OrderedDict()
        )
        self._reporter = reporter
        self.exceeded_count = 0

    def per_s(self, server: backend_list.BackendServer) -> float | None:
        """Return the limit of a server; ``None`` if it names none."""
        found = self._limits.get(server.start_id)
        return found.named.per_s if found else None

    def record_answer(
        self,
        server: backend_list.BackendServer,
        per_s: float | None,
        asked_at_s: float,
    ) -> None:
        """Record whether an answer of a server names a limit.

        Parameters
        ----------
        per_s
            The limit; ``None`` if the answer names none.
        asked_at_s
            When the request was sent, by the boot clock.
        """
        was_limited = self.per_s(server) is not None
        self._record(server, per_s, asked_at_s, 'answer')
        is_news = was_limited or per_s is not None
        if is_news and self._has_sidecar(server.service):
            self._start_report(server, per_s, asked_at_s)

    def record_reply(
        self,
        server: backend_list.BackendServer,
        reply: turn_messages.TurnReply,
        asked_at_s: float,
    ) -> None:
        """Record what a sidecar states of its engine and of other servers.

        Parameters
        ----------
        asked_at_s
            When the sidecar was asked, by the boot clock.
        """
        if reply.is_limit_known:
            self._record(server, reply.limit_per_s, asked_at_s, 'sidecar')
        if reply.limit_news:
            self._apply_news(reply.limit_news)

    def news(self) -> tuple[limit_news.LimitNews, ...]:
        """Return what was heard of limits lately, for other entries."""
        now_s = self._clock.boot_s()
        found = [
            limit_news.new_news(
                start_id, limit.named.per_s, now_s - limit.named.asked_at_s
            )
            for start_id, limit in self._limits.items()
            if now_s - limit.named.asked_at_s < limit_news.MAX_AGE_S
        ]
        return tuple(found[: limit_news.MAX_COUNT])

    def _apply_news(self, news: Iterable[limit_news.LimitNews]) -> None:
        servers = {server.start_id: server for server in self._servers()}
        now_s = self._clock.boot_s()
        for item in news:
            server = servers.get(item.server_start_id)
            if server is not None:
                self._record(server, item.per_s, now_s - item.age_s, 'entry')

    async def try_acquire(
        self, server: backend_list.BackendServer
    ) -> errors.RefusalError | None:
        """Acquire what a request needs that no sidecar of the server paces.

        Returns
        -------
        errors.RefusalError or None
            Why the request may not be sent there now; ``None`` if it may.
        """
        limit = self._limits.get(server.start_id)
        if limit is None or limit.share is None:
            return None
        # The limit may end or change while the owner is asked.
        share = limit.share
        now_s = self._clock.boot_s()
        if now_s < limit.refused_until_s:
            return self._refused(limit, share, limit.refused_until_s - now_s)
        reply = await self._request_permit(server, limit)
        if reply is None:
            if share.try_acquire():
                return None
            return self._refused(limit, share, share.wait_s())
        if not reply.wait_ms:
            return None
        wait_s = reply.wait_ms / _MS_PER_S
        if limit.share is share:
            limit.refused_until_s = now_s + wait_s
        return self._refused(limit, share, wait_s)

    def _refused(
        self,
        limit: _ServerLimit,
        share: limit_share.LimitShare,
        wait_s: float,
    ) -> errors.RefusalError:
        self.exceeded_count += 1
        return errors.RefusalError(
            errors.ErrorKind.SERVER_LIMITED,
            'the backend server accepts no more requests now',
            retry_after_s=limit.returns.next_s(wait_s, share.period_s),
        )

    async def _request_permit(
        self, server: backend_list.BackendServer, limit: _ServerLimit
    ) -> server_permits.PermitReply | None:
        """Request a permit; return ``None`` if no owner answers."""
        rate_per_s = max(turn_pacer.MIN_RATE_PER_S, limit.named.per_s or 0.0)
        ratio = self._parts(server).permitted_ratio
        return await self._permits.request(server, ratio * rate_per_s)

    def _record(
        self,
        server: backend_list.BackendServer,
        per_s: float | None,
        asked_at_s: float,
        source: str,
    ) -> None:
        limit = self._limits.get(server.start_id)
        if limit is None:
            if per_s is None:
                return
            limit = self._add(server.start_id)
        before = limit.named.per_s
        now_s = self._clock.boot_s()
        if not limit.named.record(per_s, asked_at_s, now_s):
            return
        limit.share = self._new_share(server, limit.named.per_s)
        limit.refused_until_s = 0.0
        limit.returns.reset()
        log.info(
            'server limit changed',
            backend_server=server.name,
            limit_per_s=limit.named.per_s,
            limit_before_per_s=before,
            answer_age_s=round(now_s - asked_at_s, 3),
            source=source,
        )

    def _add(self, start_id: str) -> _ServerLimit:
        if len(self._limits) >= _MAX_SERVERS:
            self._limits.popitem(last=False)
        limit = self._limits[start_id] = _ServerLimit(
            named_limit.NamedLimit(),
            return_times.ReturnTimes(self._clock, self._random),
        )
        return limit

    def _new_share(
        self, server: backend_list.BackendServer, per_s: float | None
    ) -> limit_share.LimitShare | None:
        if per_s is None:
            return None
        rate_per_s = max(turn_pacer.MIN_RATE_PER_S, per_s)
        ratio = self._parts(server).shared_ratio
        return limit_share.LimitShare(
            ratio * rate_per_s / max(1, self._entry_count()),
            self._clock,
            self._random,
        )

    def _parts(self, server: backend_list.BackendServer) -> _Parts:
        if self._has_sidecar(server.service):
            return _ENGINE_PARTS
        return _PLAIN_PARTS

    def _start_report(
        self,
        server: backend_list.BackendServer,
        per_s: float | None,
        asked_at_s: float,
    ) -> None:
        message = turn_messages.AnsweredLimit(
            entry=self._instance,
            server_start_id=server.start_id,
            limit_per_s=per_s,
            answer_age_ms=int((self._clock.boot_s() - asked_at_s) * _MS_PER_S),
        )
        # The entry's next request for a turn tells the sidecar as well.
        self._reporter.start(
            server.ip,
            lambda: self._link.report_limit(
                server.ip, message, _REPORT_TIMEOUT_S
            ),
        )
