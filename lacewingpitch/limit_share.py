"""An entry's share of a limit that nobody else counts."""

import random

from lacewingpitch import clock as clock_module

# An allowed request that is not sent within this time is forfeited.  If
# entries saved up their requests, all could send them at the same time.
_MAX_HOLD_S = 1.0


class LimitShare:
    """Allows requests at times of a period that starts at random.

    Entries that know of each other only how many they are use a limit
    together: each sends one request in each of its periods.  The random
    phases spread the requests of many entries over the period.

    Parameters
    ----------
    rate_per_s
        The entry's share of the limit.
    """

    def __init__(
        self,
        rate_per_s: float,
        clock: clock_module.Clock,
        source: random.Random,
    ) -> None:
        self._clock = clock
        self._period_s = 1.0 / rate_per_s
        self._hold_s = min(_MAX_HOLD_S, self._period_s)
        # No request is allowed before the first period.
        self._next_at_s = clock.boot_s() + source.uniform(0.0, self._period_s)

    @property
    def period_s(self) -> float:
        """Return the time from one allowed request to the next."""
        return self._period_s

    def wait_s(self) -> float:
        """Return the time until a request is allowed; 0 if it is now."""
        self._skip_forfeited()
        return max(0.0, self._next_at_s - self._clock.boot_s())

    def try_acquire(self) -> bool:
        """Use the allowed request, if any; return whether there was one."""
        if self.wait_s():
            return False
        self._next_at_s += self._period_s
        return True

    def _skip_forfeited(self) -> None:
        late_s = self._clock.boot_s() - self._hold_s - self._next_at_s
        if late_s > 0.0:
            periods = late_s // self._period_s + 1
            self._next_at_s += periods * self._period_s
