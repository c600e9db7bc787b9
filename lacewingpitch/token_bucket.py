"""A token bucket, which limits a rate and allows bursts."""


class TokenBucket:
    """Tokens that refill at a rate up to a capacity.

    The level may be negative: work whose cost is known only afterwards is
    charged then, and later work waits until the debt is refilled.

    Parameters
    ----------
    rate_per_s
        Tokens refilled per second.
    capacity
        The most tokens that the bucket holds.
    level
        Tokens in the bucket at `now_s`.
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
        """Return the number of tokens, negative for a debt."""
        if now_s > self._at_s:
            refilled = self._level + self.rate_per_s * (now_s - self._at_s)
            self._level = min(self.capacity, refilled)
            self._at_s = now_s
        return self._level

    def add(self, amount: float, now_s: float) -> None:
        """Add tokens, or remove them if `amount` is negative."""
        self._level = min(self.capacity, self.level(now_s) + amount)

    def change(self, rate_per_s: float, capacity: float, now_s: float) -> None:
        """Change the rate and the capacity, from now on."""
        self.level(now_s)
        self.rate_per_s = rate_per_s
        self.capacity = capacity
        self._level = min(self._level, capacity)

    def wait_s(self, amount: float, now_s: float) -> float:
        """Return the time until the bucket holds `amount`.

        An amount above the capacity counts as the capacity.
        """
        missing = min(amount, self.capacity) - self.level(now_s)
        return max(0.0, missing / self.rate_per_s)

    def is_full(self, now_s: float) -> bool:
        """Whether the bucket holds its whole capacity."""
        return self.level(now_s) >= self.capacity
