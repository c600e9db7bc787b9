"""Request rate limits that backend servers name, as known to one entry."""

import collections

import structlog

from lacewingpitch import backend_list
from lacewingpitch import clock as clock_module
from lacewingpitch import named_limit

# Few servers name a limit at the same time.
_MAX_SERVERS = 1024
log = structlog.get_logger(__name__)


class ServerLimits:
    """Records the limits that backend servers name in their answers.

    A limit belongs to one start of a server, and ends with it.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._limits: collections.OrderedDict[str, named_limit.NamedLimit] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of servers with a limit."""
        return sum(limit.per_s is not None for limit in self._limits.values())

    def per_s(self, server: backend_list.BackendServer) -> float | None:
        """Return the limit of a server; ``None`` if it names none."""
        found = self._limits.get(server.start_id)
        return found.per_s if found else None

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
        limit = self._limits.get(server.start_id)
        if limit is None:
            if per_s is None:
                return
            limit = self._add(server.start_id)
        before = limit.per_s
        if limit.record(per_s, asked_at_s, self._clock.boot_s()):
            log.info(
                'server limit changed',
                backend_server=server.name,
                limit_per_s=limit.per_s,
                limit_before_per_s=before,
                answer_age_s=round(self._clock.boot_s() - asked_at_s, 3),
            )

    def _add(self, start_id: str) -> named_limit.NamedLimit:
        if len(self._limits) >= _MAX_SERVERS:
            self._limits.popitem(last=False)
        limit = self._limits[start_id] = named_limit.NamedLimit()
        return limit
