"""Outlier ejection: temporary exclusion of backend servers that fail."""

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
# A server that fails only part of its requests seldom fails three in a row.
# Its failure ratio covers about ten requests and decays within seconds, so
# that a server which gets fewer requests is tried again.
_RATIO_HALF_LIFE_S = 3.0
_RATIO_PRIOR_COUNT = 2.0
# A lower ratio counts as no failures.
_MIN_RATIO = 0.01
_MAX_SERVERS = 4096
log = structlog.get_logger(__name__)


@dataclasses.dataclass(slots=True)
class Health:
    """Consecutive failures and ejections of one backend server.

    Parameters
    ----------
    failures
        Failures since the last answer.
    ejections
        Ejections since the last answer.
    ejected_until_s
        Monotonic time until which it is ejected; ``None`` if it is not.
    trial_until_s
        Monotonic time until which a request in progress tries the server
        after its ejection.
    is_unresponsive
        Whether it did not answer when it was last tried.
    """

    failures: int = 0
    ejections: int = 0
    ejected_until_s: float | None = None
    trial_until_s: float = 0.0
    is_unresponsive: bool = False


@dataclasses.dataclass(slots=True)
class _DecayingCounts:
    """Exponentially decaying counts of failures and of all requests."""

    failed: float = 0.0
    total: float = 0.0
    at_s: float = 0.0

    def decay(self, now_s: float) -> None:
        """Decay the counts to a point in time."""
        kept_ratio = 0.5 ** ((now_s - self.at_s) / _RATIO_HALF_LIFE_S)
        self.failed *= kept_ratio
        self.total *= kept_ratio
        self.at_s = now_s


class Ejector:
    """Ejects a backend server after consecutive failures.

    After the ejection, a single request tries the server, and the others
    avoid it until the trial has succeeded.  Each failed trial doubles the
    length of the next ejection.
    """

    def __init__(
        self, clock: clock_module.Clock, source: random.Random
    ) -> None:
        self._clock = clock
        self._source = source
        self._health: dict[str, Health] = {}
        self._counts: dict[str, _DecayingCounts] = {}

    def allowed(self, names: Sequence[str]) -> list[str]:
        """Return the servers to use, in the given order.

        At most `MAX_EJECTED_RATIO` of them are excluded.  When more of them
        fail, the fault is likely elsewhere, and the remaining servers would
        be overloaded.
        """
        excludable_count = int(len(names) * MAX_EJECTED_RATIO)
        allowed = []
        for name in names:
            if excludable_count and not self._is_usable(name):
                excludable_count -= 1
                continue
            allowed.append(name)
        return allowed

    def record_start(self, name: str) -> None:
        """Record that a request to a server starts.

        If the server is ejected, the request is its trial.
        """
        found = self._health.get(name)
        if found is not None and found.ejected_until_s is not None:
            now_s = self._clock.monotonic_s()
            found.trial_until_s = now_s + _TRIAL_TIMEOUT_S

    def record_success(self, name: str) -> None:
        """Record an answer, which ends any ejection of the server."""
        before = self._health.pop(name, None)
        if before is not None and before.ejected_until_s is not None:
            log.info(
                'backend server no longer ejected',
                backend_server=name,
                ejections=before.ejections,
            )
        self._count_request(name, 0.0)

    def record_end(self, name: str) -> None:
        """Record that a request has ended, with any outcome.

        A trial can end inconclusively: its caller disconnects, or the
        server refuses the request for a reason of the request itself.  The
        next request is then a new trial; otherwise a healthy server would
        be avoided until the trial's timeout.
        """
        found = self._health.get(name)
        if found is not None:
            found.trial_until_s = 0.0

    def failure_ratio(self, name: str) -> float:
        """Return the ratio of recent requests that failed."""
        counts = self._counts.get(name)
        if counts is None:
            return 0.0
        counts.decay(self._clock.monotonic_s())
        # The prior keeps a single failure from dominating a small count.
        ratio = counts.failed / (counts.total + _RATIO_PRIOR_COUNT)
        return ratio if ratio >= _MIN_RATIO else 0.0

    def record_failure(self, name: str) -> None:
        """Record a failure of the server, rather than of the request."""
        self._count_request(name, 1.0)
        found = self._health.setdefault(name, Health())
        found.failures += 1
        now_s = self._clock.monotonic_s()
        if found.ejected_until_s is None:
            if found.failures < _FAILURES_TO_EJECT:
                return
        elif now_s < found.ejected_until_s:
            # The request was sent before the ejection.
            return
        ejection_s = min(
            _FIRST_EJECTION_S * 2**found.ejections, _MAX_EJECTION_S
        )
        found.ejections += 1
        found.trial_until_s = 0.0
        # Jitter keeps entry instances from trying the server all at once.
        ejection_s *= self._source.uniform(0.75, 1.25)
        found.ejected_until_s = now_s + ejection_s
        log.warning(
            'backend server ejected',
            backend_server=name,
            failures=found.failures,
            ejections=found.ejections,
            silent=found.is_unresponsive,
            for_s=round(ejection_s, 3),
        )

    def record_silence(self, name: str) -> None:
        """Record that a request waits too long; it counts as a failure."""
        self.record_failure(name)

    def retract_silence(self, name: str) -> None:
        """Record that a wait that counted as a failure has ended.

        It ends an ejection that needed this failure.
        """
        counts = self._counts.get(name)
        if counts is not None:
            counts.failed = max(0.0, counts.failed - 1.0)
            counts.total = max(0.0, counts.total - 1.0)
        found = self._health.get(name)
        if found is None or not found.failures:
            return
        found.failures -= 1
        if (
            found.failures < _FAILURES_TO_EJECT
            and found.ejected_until_s is not None
        ):
            found.ejected_until_s = None
            found.ejections -= 1
            log.info(
                'backend server no longer ejected',
                backend_server=name,
                ejections=found.ejections,
            )

    def record_unresponsive(self, name: str) -> None:
        """Record that a server does not answer, and eject it at once."""
        found = self._health.setdefault(name, Health())
        found.is_unresponsive = True
        found.failures = max(found.failures, _FAILURES_TO_EJECT - 1)
        self.record_failure(name)

    def is_unresponsive(self, name: str) -> bool:
        """Whether a server did not answer when it was last tried."""
        found = self._health.get(name)
        return found is not None and found.is_unresponsive

    def forget(self, name: str) -> None:
        """Forget the state of a server, which has restarted."""
        self._health.pop(name, None)
        self._counts.pop(name, None)

    def _count_request(self, name: str, failed: float) -> None:
        counts = self._counts.get(name)
        if counts is None:
            if len(self._counts) >= _MAX_SERVERS:
                del self._counts[next(iter(self._counts))]
            counts = self._counts[name] = _DecayingCounts()
        counts.decay(self._clock.monotonic_s())
        counts.failed += failed
        counts.total += 1.0

    def _is_usable(self, name: str) -> bool:
        found = self._health.get(name)
        if found is None or found.ejected_until_s is None:
            return True
        now_s = self._clock.monotonic_s()
        return found.ejected_until_s <= now_s >= found.trial_until_s
