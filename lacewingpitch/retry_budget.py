"""Budgets that limit retries to a share of the traffic."""

import random

import structlog

_FIRST_BACKOFF_S = 0.02
_MAX_BACKOFF_S = 1.0
log = structlog.get_logger(__name__)


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

    @property
    def tokens(self) -> float:
        """Return the tokens that are left."""
        return self._tokens

    def set_reserve(self, reserve: float) -> None:
        """Lower or raise the maximum number of tokens saved up."""
        self._reserve = reserve
        self._tokens = min(self._tokens, reserve)


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


class ServiceBudgets:
    """Retry budgets by service, each a share of a budget of all entries.

    All entry instances together may add a limited number of retries in a
    window.  Each gets an equal part of the fixed allowance, divided by the
    number of entries that it knows of and at least by `min_entries`: with
    too low a count, the entries would overdraw the common budget when all
    requests fail at once.

    Parameters
    ----------
    ratio
        Retries allowed per request of a service in the window.
    allowance
        Further retries in the window, of all entries together.
    min_entries
        Minimum number of entries that share the allowance.
    """

    # Requests counted in one window may be retried in the next, and entries
    # count the requests that they accepted, not those that arrived.
    _SAFE_RATIO = 0.8

    def __init__(
        self, ratio: float, allowance: float, min_entries: int
    ) -> None:
        self._ratio = ratio * self._SAFE_RATIO
        self._allowance = allowance * self._SAFE_RATIO
        self._entry_count = max(1, min_entries)
        self._budgets: dict[str, RetryBudget] = {}

    def record_entry_count(self, count: int) -> None:
        """Record how many entries share the budgets.

        The count never falls: entries that are partitioned off are not
        counted, but still retry.
        """
        if count > self._entry_count:
            self._entry_count = count
            for budget in self._budgets.values():
                budget.set_reserve(self._reserve)
            log.info(
                'retry budgets shared by more entries',
                entry_count=count,
                reserve=round(self._reserve, 2),
            )

    @property
    def entry_count(self) -> int:
        """Return how many entries share the budgets."""
        return self._entry_count

    @property
    def _reserve(self) -> float:
        return max(1.0, self._allowance / self._entry_count)

    def deposit(self, service: str) -> None:
        """Add the share of a request that is sent for the first time."""
        self._budget(service).deposit()

    def try_withdraw(self, service: str) -> bool:
        """Withdraw the token of one retry; return whether there was one."""
        return self._budget(service).try_withdraw()

    def tokens(self, service: str) -> float:
        """Return the tokens that are left for retries of a service."""
        return self._budget(service).tokens

    @property
    def least_tokens(self) -> float:
        """Return the tokens of the service that has least; 0 without any."""
        return min((b.tokens for b in self._budgets.values()), default=0.0)

    def _budget(self, service: str) -> RetryBudget:
        found = self._budgets.get(service)
        if found is None:
            found = RetryBudget(self._ratio, self._reserve)
            self._budgets[service] = found
        return found
