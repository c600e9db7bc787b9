"""Decides which requests a full server of a plain service doesn't get."""

from collections.abc import Iterable
import dataclasses
import math
import random
from typing import Protocol

from lacewingpitch import clock as clock_module
from lacewingpitch import errors

# A late answer, or a server without room, raises the share of refused requests
# by this part of the rest.
_RAISE_RATIO = 0.3
# An answer in time lowers it by this part.
_LOWER_RATIO = 0.03
_MAX_REFUSED_RATIO = 0.9
# While few requests are admitted, few answers show that the load is over.
_HALF_LIFE_S = 8.0
# Requests are refused only while the server turns others away, being full:
# late answers alone may have another cause.
_FULL_RETENTION_S = 4.0
# Range in which callers return, so that they do not return together.
_RETRY_AFTER_S = (0.3, 1.0)
_MAX_SERVERS = 1024


class ServiceAdmission(Protocol):
    """Decides which requests may be sent to a server of a plain service."""

    def refusal(
        self, server: str, target_s: float
    ) -> errors.RefusalError | None:
        """Return why a request is refused now; ``None`` if admitted.

        Parameters
        ----------
        target_s
            Target time until its answer.
        """
        ...

    def record_answer(self, server: str, latency_s: float) -> None:
        """Record the latency of an answer of the server."""
        ...

    def record_full(self, server: str) -> None:
        """Record that the server had no room for a request."""
        ...


class AdmitAll:
    """Admits every request."""

    def refusal(
        self, server: str, target_s: float
    ) -> errors.RefusalError | None:
        """Return ``None``."""
        return None

    def record_answer(self, server: str, latency_s: float) -> None:
        """Ignore an answer."""

    def record_full(self, server: str) -> None:
        """Ignore a server without room."""


@dataclasses.dataclass(slots=True)
class _ServerLoad:
    """Load of one server as this entry sees it.

    Parameters
    ----------
    target_s
        Target time until the answer of the last request.
    refused_ratio
        Share of the requests that are refused, as of `updated_at_s`.
    full_at_s
        When it last had no room.
    """

    target_s: float
    refused_ratio: float = 0.0
    updated_at_s: float = 0.0
    full_at_s: float = -math.inf


class LatencyAdmission:
    """Refuses a share of the requests, so that the others are in time.

    Intended for servers of plain services that get more requests than they
    can run.  Each queues requests until its queue is full, and then all its
    answers are late.  An entry sees a small part of a server's load, so that
    it cannot count the requests that are queued there; the latency of the
    answers shows them.  What one server refuses may go to another.

    Parameters
    ----------
    source
        Source of the choice of requests and of the jitter of retry times.
    """

    def __init__(
        self, clock: clock_module.Clock, source: random.Random
    ) -> None:
        self._clock = clock
        self._random = source
        self._loads: dict[str, _ServerLoad] = {}
        self.refused_count = 0

    def refused_ratios(self) -> Iterable[tuple[str, float]]:
        """Return the servers with the share of requests refused now."""
        for server, load in self._loads.items():
            yield server, self._refused_ratio(load)

    def refusal(
        self, server: str, target_s: float
    ) -> errors.RefusalError | None:
        """Return why a request is refused now; ``None`` if admitted."""
        load = self._load(server, target_s)
        ratio = self._refused_ratio(load)
        if self._random.random() >= ratio:
            return None
        self.refused_count += 1
        return errors.RefusalError(
            errors.ErrorKind.QUEUE_FULL,
            f'the server is full, {ratio:.2f} of the requests are refused',
            retry_after_s=self._random.uniform(*_RETRY_AFTER_S),
        )

    def record_answer(self, server: str, latency_s: float) -> None:
        """Record the latency of an answer of the server."""
        load = self._loads.get(server)
        if load is None:
            return
        if latency_s > load.target_s:
            self._raise(load)
            return
        ratio = (1.0 - _LOWER_RATIO) * self._decayed_ratio(load)
        load.refused_ratio = ratio
        load.updated_at_s = self._clock.monotonic_s()

    def record_full(self, server: str) -> None:
        """Record that the server had no room for a request."""
        load = self._loads.get(server)
        if load is not None:
            load.full_at_s = self._clock.monotonic_s()
            self._raise(load)

    def _raise(self, load: _ServerLoad) -> None:
        ratio = self._decayed_ratio(load)
        ratio += _RAISE_RATIO * (1.0 - ratio)
        load.refused_ratio = min(_MAX_REFUSED_RATIO, ratio)
        load.updated_at_s = self._clock.monotonic_s()

    def _load(self, server: str, target_s: float) -> _ServerLoad:
        load = self._loads.get(server)
        if load is None:
            if len(self._loads) >= _MAX_SERVERS:
                self._loads.clear()
            load = self._loads[server] = _ServerLoad(target_s)
        load.target_s = target_s
        return load

    def _refused_ratio(self, load: _ServerLoad) -> float:
        full_s = self._clock.monotonic_s() - load.full_at_s
        if full_s > _FULL_RETENTION_S:
            return 0.0
        return self._decayed_ratio(load)

    def _decayed_ratio(self, load: _ServerLoad) -> float:
        age_s = self._clock.monotonic_s() - load.updated_at_s
        return load.refused_ratio * 0.5 ** (age_s / _HALF_LIFE_S)
