"""Retry budgets of an entry that has served requests for a while."""

from lacewingpitch import service_budgets

_MANY = 40
_REQUESTS = 1010


def new(clock, source, retry_count=_MANY):
    """Return budgets with so many retries of service ``s``.

    More come by requests only.
    """
    budgets = service_budgets.ServiceBudgets(0.2, 0.0, 10.0, 1, clock, source)
    for _ in range(_REQUESTS):
        budgets.deposit('s')
    for _ in range(_MANY - retry_count):
        assert budgets.try_withdraw('s')
    return budgets
