"""Retry budgets of an entry that has served requests for a while."""

from lacewingpitch import service_budgets

_REQUEST_COUNT = 25
_ALLOWANCE_AT_START = 100.0


def new(ratio, allowance, clock, source):
    """Return the budgets of a single entry, with all that can be saved up.

    An allowance of 1.25 is one retry.  With 0, the entry has just started.
    """
    budgets = service_budgets.ServiceBudgets(
        ratio, allowance or _ALLOWANCE_AT_START, 1, clock, source
    )
    if allowance:
        budgets.record_entry_count(1)
        for _ in range(_REQUEST_COUNT):
            budgets.deposit('s')
    return budgets
