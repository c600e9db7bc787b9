"""How many requests may be sent again, as a share of the traffic."""

import random

_FIRST_BACKOFF_S = 0.02
_MAX_BACKOFF_S = 1.0


class RetryBudget:
    """Tokens for retries: each request earns a share of one.

    An outage makes every request fail; were each of them sent three
    times, the servers that still work would get three times the load.
    With a budget the load grows by `ratio` at most, whatever fails.

    Parameters
    ----------
    ratio
        Retries allowed per request in the long run.
    reserve
        Tokens that a quiet time saves up at most.
    """

    def __init__(self, ratio: float = 0.1, reserve: float = 10.0) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._tokens = reserve

    def deposit(self) -> None:
        """Record a request that is sent for the first time."""
        self._tokens = min(self._tokens + self._ratio, self._reserve)

    def try_withdraw(self) -> bool:
        """Take the token of one retry; return whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def limit(self, reserve: float) -> None:
        """Save up no more than this from now on."""
        self._reserve = reserve
        self._tokens = min(self._tokens, reserve)


class RetryPermit:
    """The right of one attempt to be followed by another.

    Parameters
    ----------
    budget
        Is charged once, when the right is first taken.
    can_leave
        Whether another attempt may follow while this one may still run.
    """

    def __init__(self, budget: RetryBudget, can_leave: bool) -> None:
        self._budget = budget
        self._can_leave = can_leave
        self._is_paid = False

    def acquire_early(self) -> bool:
        """Take the right before the attempt has ended."""
        # Requests that leave a silent server together must not count on
        # the same token: who finds none left would end in an error, and
        # might have been served once the server wakes up.
        return self._can_leave and self.acquire()

    def acquire(self) -> bool:
        """Take the right; return whether there was a token for it."""
        self._is_paid = self._is_paid or self._budget.try_withdraw()
        return self._is_paid


def backoff_s(retry: int, source: random.Random) -> float:
    """Return how long to wait before a retry, counted from 1.

    The whole of the wait is random, so that requests which failed
    together do not come back together.
    """
    limit_s = min(_FIRST_BACKOFF_S * 2 ** (retry - 1), _MAX_BACKOFF_S)
    return source.uniform(0.0, limit_s)


class ServiceBudgets:
    """Retry budgets of the services, each a share of a common one.

    All entry instances together may add so many retries in a window.
    Each takes its part of the fixed allowance, for as many entries as it
    knows of, and never fewer than `least_entries`: a count that is too
    low would overdraw the common budget when all fail at once.

    Parameters
    ----------
    ratio
        Retries allowed per request of a service in the window.
    allowance
        Further retries in the window, of all entries together.
    """

    # Requests that are counted in one window may be followed by retries
    # in the next, and entries count what they took and not what arrived.
    _SAFE_RATIO = 0.8

    def __init__(
        self, ratio: float, allowance: float, least_entries: int
    ) -> None:
        self._ratio = ratio * self._SAFE_RATIO
        self._allowance = allowance * self._SAFE_RATIO
        self._entry_count = max(1, least_entries)
        self._budgets: dict[str, RetryBudget] = {}

    def record_entry_count(self, count: int) -> None:
        """Take note of how many entries were seen to share the budget.

        The count never falls: entries that are cut off are not seen, and
        retry all the same.
        """
        if count > self._entry_count:
            self._entry_count = count
            for budget in self._budgets.values():
                budget.limit(self._reserve)

    @property
    def entry_count(self) -> int:
        """Return how many entries share the budgets."""
        return self._entry_count

    @property
    def _reserve(self) -> float:
        return max(1.0, self._allowance / self._entry_count)

    def deposit(self, service: str) -> None:
        """Record a request that is sent for the first time."""
        self._budget(service).deposit()

    def try_withdraw(self, service: str) -> bool:
        """Take the token of one retry; return whether there was one."""
        return self._budget(service).try_withdraw()

    def _budget(self, service: str) -> RetryBudget:
        found = self._budgets.get(service)
        if found is None:
            found = RetryBudget(self._ratio, self._reserve)
            self._budgets[service] = found
        return found
