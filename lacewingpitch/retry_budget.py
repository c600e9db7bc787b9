"""Budgets that limit retries to a share of the traffic."""

import random

_FIRST_BACKOFF_S = 0.02
_MAX_BACKOFF_S = 1.0


class RetryBudget:
    """Token bucket for retries: each request deposits a part of a token.

    In an outage every request fails.  If each were sent three times, the
    servers that still work would get three times the load.  With a budget
    the load grows by at most `ratio`, however many requests fail.

    Parameters
    ----------
    ratio
        Retries allowed per request in the long run.
    reserve
        Maximum number of tokens saved up.
    """

    def __init__(self, ratio: float = 0.1, reserve: float = 10.0) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._tokens = reserve

    def deposit(self) -> None:
        """Add the share of a request that is sent for the first time."""
        self._tokens = min(self._tokens + self._ratio, self._reserve)

    def try_withdraw(self) -> bool:
        """Withdraw the token of one retry; return whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class RetryPermit:
    """Permit for one attempt to be followed by a retry.

    Parameters
    ----------
    budget
        Charged once, when the permit is first acquired.
    can_overlap
        Whether a retry may follow while this attempt may still run.
    """

    def __init__(self, budget: RetryBudget, can_overlap: bool) -> None:
        self._budget = budget
        self._can_overlap = can_overlap
        self._is_paid = False

    def acquire_early(self) -> bool:
        """Acquire the permit before the attempt has ended."""
        # The token is charged here and not at the retry: requests that
        # abandon an unresponsive server together must not rely on the same
        # token.  A request that then found none would fail, although the
        # server might have served it later.
        return self._can_overlap and self.acquire()

    def acquire(self) -> bool:
        """Acquire the permit; return whether there was a token for it."""
        self._is_paid = self._is_paid or self._budget.try_withdraw()
        return self._is_paid


def backoff_s(retry: int, source: random.Random) -> float:
    """Return the wait before a retry, in seconds; retries count from 1.

    The backoff has full jitter, so that requests which failed together are
    not retried together.
    """
    limit_s = min(_FIRST_BACKOFF_S * 2 ** (retry - 1), _MAX_BACKOFF_S)
    return source.uniform(0.0, limit_s)
