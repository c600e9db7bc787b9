"""How many entries ask one sidecar."""

from lacewingpitch import clock as clock_module

# As long as the window of the common retry budget, so that an entry which
# still has retries to spend is counted.
_KEPT_S = 10.0


class ActiveEntries:
    """Counts the entries that asked of late.

    Entries share the retry budget of a service, and learn from sidecars
    how many they are: nothing else tells them of each other.

    Parameters
    ----------
    clock
        Source of time.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        # The one that asked longest ago comes first.
        self._asked_at_s: dict[str, float] = {}

    def __len__(self) -> int:
        """Return how many entries asked of late."""
        return len(self._asked_at_s)

    def note(self, entry: str) -> None:
        """Take note that an entry asks."""
        now_s = self._clock.monotonic_s()
        self._asked_at_s.pop(entry, None)
        self._asked_at_s[entry] = now_s
        oldest = next(iter(self._asked_at_s))
        if now_s - self._asked_at_s[oldest] > _KEPT_S:
            self._asked_at_s = {
                name: at_s
                for name, at_s in self._asked_at_s.items()
                if now_s - at_s <= _KEPT_S
            }
