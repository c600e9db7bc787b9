"""Retry budgets that all entries share, by service."""

import random

import structlog

from lacewingpitch import clock as clock_module
from lacewingpitch import recent_count

# Of the retries that are allowed per request, these are earned by requests;
# the rest covers what entries have saved up when everything fails at once.
_EARNED_SHARE = 0.8
_SAVED_SHARE = 1.0 - _EARNED_SHARE
# Requests reach an entry later than the window in which they are counted.
_ALLOWANCE_SHARE = 0.8
# Tokens of a process that starts, in place of the first that come over time.
_START_TOKENS = 1.0
# Share of what may be saved up that retries which could wait leave to others.
_KEPT_SHARE = 0.5
# Part of the allowance of an entry that does not know how many there are.
_UNKNOWN_PART = 2.0
log = structlog.get_logger(__name__)


class ServiceBudgets:
    """Retry budgets by service, each a share of a budget of all entries.

    All entries together may add a limited number of retries in a window: a
    ratio of the requests, and a fixed allowance.  Each earns tokens by its
    own requests, and gets its part of the allowance over time.  A process
    that starts has one of these tokens ahead of time and no more: what the
    one before it has spent is forgotten, so that a full allowance would be
    spent once more at each start.  An entry saves up no more than its recent
    requests or its part allow.  The first limit holds without knowing the
    other entries.

    Parameters
    ----------
    ratio
        Retries allowed per request of a service in the window.
    allowance
        Further retries in the window, of all entries together.
    window_s
        Length of the window; any window of this length counts.
    min_entries
        Minimum number of entries that share the allowance.
    """

    def __init__(
        self,
        ratio: float,
        allowance: float,
        window_s: float,
        min_entries: int,
        clock: clock_module.Clock,
        source: random.Random,
    ) -> None:
        self._ratio = ratio
        self._allowance = allowance * _ALLOWANCE_SHARE
        self._window_s = window_s
        self._entry_count = max(1, min_entries)
        self._is_count_known = False
        self._clock = clock
        self._random = source
        self._started_at_s = clock.monotonic_s()
        self._budgets: dict[str, _ServiceBudget] = {}

    def record_entry_count(self, count: int) -> None:
        """Record how many entries share the budgets; 0 if unknown.

        The count never falls: entries that are partitioned off are not
        counted, but still retry.
        """
        if count <= 0:
            return
        is_changed = not self._is_count_known or count > self._entry_count
        self._is_count_known = True
        self._entry_count = max(self._entry_count, count)
        if is_changed:
            log.info(
                'retry budgets shared',
                entry_count=self._entry_count,
                part=round(self._part, 2),
            )

    @property
    def entry_count(self) -> int:
        """Return how many entries share the budgets, at least."""
        return self._entry_count

    def deposit(self, service: str) -> None:
        """Earn the share of a request that is sent for the first time."""
        self._budget(service).deposit(self._part)

    def try_withdraw(self, service: str, keeps_part: bool = False) -> bool:
        """Withdraw the token of one retry; return whether there was one.

        Parameters
        ----------
        keeps_part
            Whether a part of the tokens is left to other retries, as this
            one could wait.
        """
        return self._budget(service).try_withdraw(self._part, keeps_part)

    def refund(self, service: str) -> None:
        """Return the token of a retry that was not sent."""
        self._budget(service).refund(self._part)

    def tokens(self, service: str) -> float:
        """Return the tokens that are left for retries of a service."""
        return self._budget(service).tokens

    @property
    def least_tokens(self) -> float:
        """Return the tokens of the service that has least; 0 without any."""
        return min((b.tokens for b in self._budgets.values()), default=0.0)

    @property
    def _part(self) -> float:
        """Return this entry's part of the allowance."""
        if not self._is_count_known:
            return min(_UNKNOWN_PART, self._allowance)
        return self._allowance / self._entry_count

    def _budget(self, service: str) -> '_ServiceBudget':
        found = self._budgets.get(service)
        if found is None:
            found = _ServiceBudget(
                self._ratio,
                self._window_s,
                self._clock,
                self._random,
                self._started_at_s,
            )
            self._budgets[service] = found
        return found


class _ServiceBudget:
    """Tokens for retries of one service at this entry.

    Its methods take the entry's part of the allowance, which changes as the
    entry learns of others.

    Parameters
    ----------
    started_at_s
        Monotonic time since which the part comes.
    """

    def __init__(
        self,
        ratio: float,
        window_s: float,
        clock: clock_module.Clock,
        source: random.Random,
        started_at_s: float,
    ) -> None:
        self._ratio = ratio
        self._window_s = window_s
        self._clock = clock
        self._requests = recent_count.RecentCount(window_s, clock)
        self._random = source
        self._updated_at_s = started_at_s
        self.tokens = _START_TOKENS
        # Tokens of the start for which nothing has come over time yet.
        self._ahead = _START_TOKENS

    def deposit(self, part: float) -> None:
        self._requests.add()
        self._add(self._ratio * _EARNED_SHARE, part)

    def refund(self, part: float) -> None:
        self._add(1.0, part)

    def try_withdraw(self, part: float, keeps_part: bool) -> bool:
        self._add(0.0, part)
        if keeps_part and self.tokens < _KEPT_SHARE * self._limit(part):
            return False
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return True
        if self._limit(part) >= 1.0:
            return False
        # One token can never be saved up.  A retry that is drawn by chance
        # costs as much on average.
        chance, self.tokens = self.tokens, 0.0
        return self._random.random() < chance

    def _add(self, tokens: float, part: float) -> None:
        now_s = self._clock.monotonic_s()
        passed = (now_s - self._updated_at_s) / self._window_s
        self._updated_at_s = now_s
        came = passed * (part - _saved_part(part))
        repaid = min(came, self._ahead)
        self._ahead -= repaid
        tokens += came - repaid
        self.tokens = min(self.tokens + tokens, self._limit(part))

    def _limit(self, part: float) -> float:
        """Return how many tokens may be saved up now."""
        recent = self._ratio * _SAVED_SHARE * self._requests.count
        return max(_saved_part(part), recent)


def _saved_part(part: float) -> float:
    """Return how much of a part may be saved up; the rest comes over time.

    Both together are at most the part in any window, whenever a process
    starts.
    """
    return max(min(part, 1.0), part / 2.0)
