"""Request rate limits that backend servers name, as known to one entry."""

import asyncio
import collections
from collections.abc import Callable, Iterable
import dataclasses
import random
from typing import Protocol

import structlog

from lacewingpitch import backend_list
from lacewingpitch import clock as clock_module
from lacewingpitch import errors
from lacewingpitch import limit_share
from lacewingpitch import named_limit
from lacewingpitch import return_times
from lacewingpitch import turn_messages
from lacewingpitch import turn_pacer

# Few servers name a limit at the same time.
_MAX_SERVERS = 1024
_REPORT_TIMEOUT_S = 1.0
# Reports in progress; further answers of the same servers say the same.
_MAX_REPORTS = 64
# The sidecar of an engine may grant turns to other entries while this entry
# sends without its consent.
_UNCONFIRMED_RATIO = 0.5
# Entries don't know each other's phases, so that more than the mean can send
# in the same seconds.
_SHARED_RATIO = 0.75
_MS_PER_S = 1000
log = structlog.get_logger(__name__)


class SidecarLink(Protocol):
    """Messages to the sidecars of engines."""

    async def report_limit(
        self, ip: str, message: turn_messages.AnsweredLimit, timeout_s: float
    ) -> None:
        """Tell a sidecar whether an answer of its engine names a limit."""
        ...


@dataclasses.dataclass(slots=True)
class _ServerLimit:
    """The limit of one start of a server, and this entry's share of it."""

    named: named_limit.NamedLimit
    returns: return_times.ReturnTimes
    share: limit_share.LimitShare | None = None


class ServerLimits:
    """Follows the limits that backend servers name in their answers.

    The sidecar of an engine paces the turns that it grants, and is told at
    once what the engine's answers say.  Without the sidecar, and at plain
    servers, which have none, each entry uses an equal share of the limit.

    A limit belongs to one start of a server, and ends with it.

    Parameters
    ----------
    instance
        Name of this entry.
    has_sidecar
        Whether the servers of a service have sidecars.
    entry_count
        Returns the known number of entries.
    source
        Source of random phases and jitter.

    Attributes
    ----------
    exceeded_count
        Requests that a share did not allow.
    """

    def __init__(
        self,
        instance: str,
        link: SidecarLink,
        has_sidecar: Callable[[str], bool],
        entry_count: Callable[[], int],
        clock: clock_module.Clock,
        source: random.Random,
    ) -> None:
        self._instance = instance
        self._link = link
        self._has_sidecar = has_sidecar
        self._entry_count = entry_count
        self._clock = clock
        self._random = source
        self._limits: collections.OrderedDict[str, _ServerLimit] = (
            collections.OrderedDict()
        )
        self._reports: set[asyncio.Task[None]] = set()
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
        per_s: float | None,
        asked_at_s: float,
    ) -> None:
        """Record the limit of an engine that its sidecar states.

        Parameters
        ----------
        asked_at_s
            When the sidecar was asked, by the boot clock.
        """
        self._record(server, per_s, asked_at_s, 'sidecar')

    def try_acquire(self, server: backend_list.BackendServer) -> bool:
        """Whether a request may be sent without a sidecar's consent.

        It then counts against this entry's share of the server's limit.
        """
        found = self._limits.get(server.start_id)
        if found is None or found.share is None:
            return True
        if found.share.try_acquire():
            return True
        self.exceeded_count += 1
        return False

    def refusal(
        self, server: backend_list.BackendServer
    ) -> errors.RefusalError:
        """Return the refusal of a request that the share doesn't allow."""
        retry_after_s = 0.0
        found = self._limits.get(server.start_id)
        if found is not None and found.share is not None:
            retry_after_s = found.returns.next_s(
                found.share.wait_s(), found.share.period_s
            )
        return errors.RefusalError(
            errors.ErrorKind.SERVER_LIMITED,
            'the backend server accepts no more requests now',
            retry_after_s=retry_after_s,
        )

    def earliest_refusal(
        self, servers: Iterable[backend_list.BackendServer]
    ) -> errors.RefusalError:
        """Return the refusal for the server that is free first."""
        return self.refusal(min(servers, key=self._share_wait_s))

    async def close(self) -> None:
        """Cancel the reports in progress."""
        for task in self._reports:
            task.cancel()
        if self._reports:
            await asyncio.wait(self._reports)

    def _share_wait_s(self, server: backend_list.BackendServer) -> float:
        found = self._limits.get(server.start_id)
        if found is None or found.share is None:
            return 0.0
        return found.share.wait_s()

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
        ratio = _SHARED_RATIO
        if self._has_sidecar(server.service):
            ratio = _UNCONFIRMED_RATIO
        rate_per_s = max(turn_pacer.MIN_RATE_PER_S, ratio * per_s)
        return limit_share.LimitShare(
            rate_per_s / max(1, self._entry_count()),
            self._clock,
            self._random,
        )

    def _start_report(
        self,
        server: backend_list.BackendServer,
        per_s: float | None,
        asked_at_s: float,
    ) -> None:
        if len(self._reports) >= _MAX_REPORTS:
            return
        message = turn_messages.AnsweredLimit(
            entry=self._instance,
            server_start_id=server.start_id,
            limit_per_s=per_s,
            answer_age_ms=int((self._clock.boot_s() - asked_at_s) * _MS_PER_S),
        )
        task = asyncio.create_task(self._report(server.ip, message))
        self._reports.add(task)
        task.add_done_callback(self._reports.discard)

    async def _report(
        self, ip: str, message: turn_messages.AnsweredLimit
    ) -> None:
        try:
            await self._link.report_limit(ip, message, _REPORT_TIMEOUT_S)
        except errors.LinkError as error:
            # The entry's next request for a turn tells the sidecar as well.
            log.info('server limit not reported', ip=ip, error=str(error))
