"""Counts the entries that send requests to one sidecar."""

import collections
import math

from lacewingpitch import clock as clock_module

# An entry that sent nothing for longer has earned no retries.
_ACTIVE_WINDOW_S = 10.0
# Bounds the memory; the window is shorter if more requests arrive.
_MAX_REQUESTS = 4096
# Fewer requests say little about how many entries there are.
_MIN_REQUESTS = 30
# Share of the requests from entries that sent others.  With fewer, most
# entries send too rarely to be heard in the window.
_MIN_COVERAGE = 0.5


class ActiveEntries:
    """Counts the entries that have recently sent requests.

    Entries share the retry budget of a service, and learn their number
    from the sidecars; they have no other source for it.

    Parameters
    ----------
    clock
        Source of time.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        # Time and entry of each request, the oldest first.
        self._requests: collections.deque[tuple[float, str]] = (
            collections.deque()
        )
        self._counts: collections.Counter[str] = collections.Counter()

    def __len__(self) -> int:
        """Return how many entries sent requests in the window."""
        return len(self._counts)

    def estimate(self) -> int:
        """Return how many entries there are; 0 if it cannot be told.

        Some of them may not have sent a request to this sidecar.  The share
        of requests whose entry sent no other is about the chance that the
        next one comes from an entry not heard yet.
        """
        if len(self._requests) < _MIN_REQUESTS:
            return 0
        single = sum(count == 1 for count in self._counts.values())
        coverage = 1.0 - single / len(self._requests)
        if coverage < _MIN_COVERAGE:
            return 0
        return math.ceil(len(self._counts) / coverage)

    def record(self, entry: str) -> None:
        """Record a request of an entry."""
        now_s = self._clock.monotonic_s()
        self._requests.append((now_s, entry))
        self._counts[entry] += 1
        while self._is_expired(now_s):
            _, oldest = self._requests.popleft()
            self._counts[oldest] -= 1
            if not self._counts[oldest]:
                del self._counts[oldest]

    def _is_expired(self, now_s: float) -> bool:
        is_old = now_s - self._requests[0][0] > _ACTIVE_WINDOW_S
        return is_old or len(self._requests) > _MAX_REQUESTS
