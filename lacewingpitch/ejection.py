"""Passing over a backend server that keeps failing, and trying it again."""

from collections.abc import Sequence
import dataclasses
import random

import structlog

from lacewingpitch import clock as clock_module

MAX_EJECTED_RATIO = 0.5
_FAILURES_TO_EJECT = 3
_FIRST_EJECTION_S = 1.0
_MAX_EJECTION_S = 30.0
_TRIAL_TIMEOUT_S = 10.0
# A server that fails part of its requests never fails three in a row for
# long.  Its share of failures is kept over some ten requests, and fades
# within seconds, so that a server which is left gets another chance.
_RATIO_HALF_LIFE_S = 3.0
_RATIO_PRIOR_COUNT = 2.0
# Below this the server is as good as one without failures.
_LEAST_RATIO = 0.01
_MAX_RECORDS = 4096
log = structlog.get_logger(__name__)


@dataclasses.dataclass(slots=True)
class Health:
    """What this process has seen of one backend server."""

    failures: int = 0
    ejections: int = 0
    ejected_until_s: float | None = None
    trial_until_s: float = 0.0
    is_unresponsive: bool = False


@dataclasses.dataclass(slots=True)
class _Record:
    """Failures and answers of late, fading."""

    failed: float = 0.0
    total: float = 0.0
    at_s: float = 0.0

    def fade(self, now_s: float) -> None:
        """Let what was counted before lose weight."""
        kept_ratio = 0.5 ** ((now_s - self.at_s) / _RATIO_HALF_LIFE_S)
        self.failed *= kept_ratio
        self.total *= kept_ratio
        self.at_s = now_s


class Ejector:
    """Ejects a backend server after failures in a row.

    When its time is up, one request tries it; the others pass it over
    until that one has succeeded.  A trial that fails doubles the time.
    """

    def __init__(
        self, clock: clock_module.Clock, source: random.Random
    ) -> None:
        self._clock = clock
        self._source = source
        self._health: dict[str, Health] = {}
        self._records: dict[str, _Record] = {}

    def allowed(self, names: Sequence[str]) -> list[str]:
        """Return the servers to use, in the order given.

        At most `MAX_EJECTED_RATIO` of them are left out: when all fail,
        the fault is likely elsewhere, and the rest would be overloaded.
        """
        spare_count = int(len(names) * MAX_EJECTED_RATIO)
        allowed = []
        for name in names:
            if spare_count and not self._is_open(name):
                spare_count -= 1
                continue
            allowed.append(name)
        return allowed

    def record_start(self, name: str) -> None:
        """Record a request to a server; the first is its trial."""
        found = self._health.get(name)
        if found is not None and found.ejected_until_s is not None:
            now_s = self._clock.monotonic_s()
            found.trial_until_s = now_s + _TRIAL_TIMEOUT_S

    def record_success(self, name: str) -> None:
        """Record an answer: the server is well."""
        before = self._health.pop(name, None)
        if before is not None and before.ejected_until_s is not None:
            log.info(
                'backend server in use again',
                backend_server=name,
                ejections=before.ejections,
            )
        self._count(name, 0.0)

    def record_end(self, name: str) -> None:
        """Record that a request has ended, whatever came of it.

        A trial can end without a verdict: its caller leaves, or the
        server refuses it for a reason of the request's own.  The next
        request is a trial then; without this, a server that is well
        would be passed over until the trial's timeout.
        """
        found = self._health.get(name)
        if found is not None:
            found.trial_until_s = 0.0

    def failure_ratio(self, name: str) -> float:
        """Return the share of requests that failed of late."""
        record = self._records.get(name)
        if record is None:
            return 0.0
        record.fade(self._clock.monotonic_s())
        # A single failure tells little while nothing else is known.
        ratio = record.failed / (record.total + _RATIO_PRIOR_COUNT)
        return ratio if ratio >= _LEAST_RATIO else 0.0

    def record_failure(self, name: str) -> None:
        """Record a failure that tells of the server, not the request."""
        self._count(name, 1.0)
        found = self._health.setdefault(name, Health())
        found.failures += 1
        now_s = self._clock.monotonic_s()
        if found.ejected_until_s is None:
            if found.failures < _FAILURES_TO_EJECT:
                return
        elif now_s < found.ejected_until_s:
            # Sent before the ejection: it tells nothing new.
            return
        length_s = min(_FIRST_EJECTION_S * 2**found.ejections, _MAX_EJECTION_S)
        found.ejections += 1
        found.trial_until_s = 0.0
        # Spread out, so that entry instances do not try it all at once.
        length_s *= self._source.uniform(0.75, 1.25)
        found.ejected_until_s = now_s + length_s
        log.warning(
            'backend server ejected',
            backend_server=name,
            failures=found.failures,
            ejections=found.ejections,
            silent=found.is_unresponsive,
            for_s=round(length_s, 3),
        )

    def record_unresponsive(self, name: str) -> None:
        """Record that a server does not answer: eject it at once."""
        found = self._health.setdefault(name, Health())
        found.is_unresponsive = True
        found.failures = max(found.failures, _FAILURES_TO_EJECT - 1)
        self.record_failure(name)

    def is_unresponsive(self, name: str) -> bool:
        """Whether a server was silent when it was last tried."""
        found = self._health.get(name)
        return found is not None and found.is_unresponsive

    def forget(self, name: str) -> None:
        """Forget what was seen of a server: it has started again."""
        self._health.pop(name, None)
        self._records.pop(name, None)

    def _count(self, name: str, failed: float) -> None:
        record = self._records.get(name)
        if record is None:
            if len(self._records) >= _MAX_RECORDS:
                del self._records[next(iter(self._records))]
            record = self._records[name] = _Record()
        record.fade(self._clock.monotonic_s())
        record.failed += failed
        record.total += 1.0

    def _is_open(self, name: str) -> bool:
        found = self._health.get(name)
        if found is None or found.ejected_until_s is None:
            return True
        now_s = self._clock.monotonic_s()
        return found.ejected_until_s <= now_s >= found.trial_until_s
