"""Retry budgets of an entry that has served requests for a while."""

from lacewingpitch import service_budgets

_REQUEST_COUNT = 25


def new(ratio, allowance, clock, source):
    """Return the budgets of a single entry, with all that can be saved up.

    An allowance of 1.25 is one retry; without an allowance there is none.
    """
    budgets = service_budgets.ServiceBudgets(
        ratio, allowance, 1, clock, source
    )
    if allowance:
        budgets.record_entry_count(1)
        for _ in range(_REQUEST_COUNT):
            budgets.deposit('s')
    return budgets
