"""Contents of a report: summaries of customers and of accounts read."""

import msgspec

from lacewingpitch import account_counters
from lacewingpitch import account_rows
from lacewingpitch import burn
from lacewingpitch import collected_accounts
from lacewingpitch import contract as contract_module
from lacewingpitch import errors

_DIRECT = 'itself'
_COPY = 'a copy'


class LatencySummary(msgspec.Struct, frozen=True):
    """Histogram of latencies, with its quantiles.

    Parameters
    ----------
    count
        Number of measurements.
    p50_s
        Median in seconds; ``None`` without measurements.
    p95_s
        95th percentile, likewise.
    p99_s
        99th percentile, likewise.
    count_by_limit_s
        Counts per bucket, not cumulative, by the bucket's upper bound
        in seconds.
    """

    count: int
    p50_s: float | None
    p95_s: float | None
    p99_s: float | None
    count_by_limit_s: dict[str, int]


class CustomerSummary(msgspec.Struct, frozen=True, kw_only=True):
    """Summary of one customer's requests over all accounts read.

    ``refused``, ``unknown`` and ``partial`` are counts by error kind.
    """

    customer: str
    received_count: int
    served_count: int
    caller_gone_count: int
    unended_count: int
    refused: dict[str, int]
    unknown: dict[str, int]
    partial: dict[str, int]
    token_count: int
    stalled_count: int
    stall_s: float
    stall_not_measured_count: int
    first_token: LatencySummary
    between_tokens: LatencySummary
    load_stall: LatencySummary
    burns: tuple[burn.Burn, ...]
    alerts: tuple[burn.FiringAlert, ...]


class Source(msgspec.Struct, frozen=True, kw_only=True):
    """One account that the report was assembled from.

    Parameters
    ----------
    read_from
        Whether the instance itself or a copy at another was read.
    complete_until_s
        Everything counted before is included, by that instance's clock.
    unended_count
        Requests received but not ended: in progress if the instance is
        running, interrupted if it ended.
    """

    instance: str
    incarnation: str
    availability_zone: str
    started_at_s: float
    read_from: str
    complete_until_s: float
    unended_count: int


def summarize_customer(
    customer: str,
    row: account_rows.Row,
    contract: contract_module.Contract | None,
    now_s: float,
) -> CustomerSummary:
    """Summarize a customer's row.

    Burn rates are measured by the objective of `contract`, or by the
    default objective without one.
    """
    counter = account_counters.Counter
    histogram = account_counters.Histogram
    objective = contract.objective if contract else contract_module.Objective()
    burns = burn.measure_burns(row, objective, now_s)
    return CustomerSummary(
        customer=customer,
        received_count=row.get(counter.RECEIVED, 0),
        served_count=row.get(counter.SERVED, 0),
        caller_gone_count=row.get(counter.CALLER_GONE, 0),
        unended_count=_unended_count(row),
        refused=account_counters.ended_by_kind(row, errors.Outcome.NOT_RUN),
        unknown=account_counters.ended_by_kind(row, errors.Outcome.UNKNOWN),
        partial=account_counters.ended_by_kind(row, errors.Outcome.PARTIAL),
        token_count=row.get(counter.TOKENS, 0),
        stalled_count=row.get(counter.STALLED, 0),
        stall_s=row.get(counter.STALL_MS, 0) / 1000,
        stall_not_measured_count=row.get(counter.STALL_NOT_MEASURED, 0),
        first_token=_summarize_latency(row, histogram.FIRST_TOKEN),
        between_tokens=_summarize_latency(row, histogram.BETWEEN_TOKENS),
        load_stall=_summarize_latency(row, histogram.LOAD_STALL),
        burns=tuple(burns),
        alerts=tuple(burn.firing_alerts(burns)),
    )


def _summarize_latency(
    row: account_rows.Row, of: account_counters.Histogram
) -> LatencySummary:
    counts = account_counters.histogram(row, of)
    return LatencySummary(
        count=sum(counts.values()),
        p50_s=account_counters.quantile_s(counts, 0.5),
        p95_s=account_counters.quantile_s(counts, 0.95),
        p99_s=account_counters.quantile_s(counts, 0.99),
        count_by_limit_s={
            f'{account_counters.bucket_limit_s(bucket):.6g}': count
            for bucket, count in counts.items()
        },
    )


def describe_source(snapshot: collected_accounts.AccountSnapshot) -> Source:
    """Describe one account that was read."""
    account_id = snapshot.account_id
    return Source(
        instance=account_id.instance,
        incarnation=account_id.incarnation,
        availability_zone=account_id.availability_zone,
        started_at_s=account_id.started_at_s,
        read_from=_DIRECT if snapshot.is_direct else _COPY,
        complete_until_s=snapshot.complete_until_s,
        unended_count=sum(
            _unended_count(row) for row in snapshot.rows.values()
        ),
    )


def _unended_count(row: account_rows.Row) -> int:
    received = row.get(account_counters.Counter.RECEIVED, 0)
    return received - account_counters.ended_count(row)
