"""A token bucket, the measure of a rate with bursts."""


class TokenBucket:
    """Tokens that refill at a rate up to a capacity.

    The level may be negative: work whose size shows only afterwards is
    charged then, and later work waits until the debt is refilled.

    Parameters
    ----------
    rate_per_s
        Tokens that come back in a second.
    capacity
        Tokens that an idle bucket holds.
    level
        Tokens that it holds at `now_s`.
    now_s
        Monotonic time.
    """

    __slots__ = ('rate_per_s', 'capacity', '_level', '_at_s')

    def __init__(
        self, rate_per_s: float, capacity: float, level: float, now_s: float
    ) -> None:
        self.rate_per_s = rate_per_s
        self.capacity = capacity
        self._level = min(level, capacity)
        self._at_s = now_s

    def level(self, now_s: float) -> float:
        """Return the tokens it holds."""
        if now_s > self._at_s:
            refilled = self._level + self.rate_per_s * (now_s - self._at_s)
            self._level = min(self.capacity, refilled)
            self._at_s = now_s
        return self._level

    def add(self, amount: float, now_s: float) -> None:
        """Put tokens back, or take them where `amount` is negative."""
        self._level = min(self.capacity, self.level(now_s) + amount)

    def change(self, rate_per_s: float, capacity: float, now_s: float) -> None:
        """Put another rate and capacity in force."""
        self.level(now_s)
        self.rate_per_s = rate_per_s
        self.capacity = capacity
        self._level = min(self._level, capacity)

    def wait_s(self, amount: float, now_s: float) -> float:
        """Return the time until it holds `amount`."""
        missing = min(amount, self.capacity) - self.level(now_s)
        return max(0.0, missing / self.rate_per_s)

    def is_full(self, now_s: float) -> bool:
        """Whether it is as good as a new one."""
        return self.level(now_s) >= self.capacity
