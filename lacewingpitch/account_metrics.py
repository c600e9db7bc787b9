"""Metrics of one entry's account and its replication."""

from lacewingpitch import account as account_module
from lacewingpitch import account_copy
from lacewingpitch import metrics as metrics_module


def add_account(
    metrics: metrics_module.Metrics,
    account: account_module.Account,
    holder: account_copy.CopyHolder,
    copier: account_copy.AccountCopier,
) -> None:
    """Add the totals of an account, without a label for customers.

    A time series for each of 36,000 customers would cost every reader
    of the metrics more than the account itself.  The report has the
    counts by customer.
    """
    metrics.counter(
        'requests_received_total',
        'Requests that came in.',
        lambda: account.received_count,
    )
    metrics.counter_by(
        'requests_ended_total',
        'Requests that came to an end, by outcome.',
        'outcome',
        lambda: account.ended_by_outcome,
    )
    metrics.counter_by(
        'errors_total',
        'Requests without a whole answer, by kind of error.',
        'kind',
        lambda: account.errors_by_kind,
    )
    metrics.counter(
        'tokens_total',
        'Tokens of answers.',
        lambda: account.token_count,
    )
    metrics.counter(
        'load_stall_seconds_total',
        'Time that served requests waited for an adapter to be loaded.',
        lambda: account.stall_s,
    )
    metrics.gauge(
        'account_rows',
        'Customers with counts here.',
        lambda: len(account.rows),
    )
    metrics.gauge(
        'account_copies_held',
        "Accounts of other instances' incarnations held here.",
        lambda: len(holder.accounts),
    )
    metrics.gauge(
        'account_copy_age_seconds',
        'How long ago the account was last known to be copied whole.',
        copier.age_s,
    )
    metrics.counter(
        'account_copy_sent_bytes_total',
        'Bytes of copies sent, of all messages.',
        lambda: copier.sent_bytes,
    )
