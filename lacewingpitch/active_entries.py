"""Counts the entries that send requests to one sidecar."""

from lacewingpitch import clock as clock_module

# Equals the window of the shared retry budget, so that an entry that still
# has retries left is counted.
_ACTIVE_WINDOW_S = 10.0


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
        # In order of the last request, the oldest first.
        self._last_request_s: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the number of active entries."""
        return len(self._last_request_s)

    def record(self, entry: str) -> None:
        """Record a request of an entry."""
        now_s = self._clock.monotonic_s()
        self._last_request_s.pop(entry, None)
        self._last_request_s[entry] = now_s
        oldest = next(iter(self._last_request_s))
        if now_s - self._last_request_s[oldest] > _ACTIVE_WINDOW_S:
            self._last_request_s = {
                name: at_s
                for name, at_s in self._last_request_s.items()
                if now_s - at_s <= _ACTIVE_WINDOW_S
            }
