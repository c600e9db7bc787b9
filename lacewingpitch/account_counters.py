"""Counter numbers of a row, and the totals and histograms of a row.

Histograms have exponential buckets, four per doubling of the time.
"""

import bisect
from collections.abc import Mapping
import enum
import functools

from lacewingpitch import errors

_REFUSED_BASE = 32
_UNKNOWN_BASE = 96
_PARTIAL_BASE = 160
_BASE_BY_OUTCOME = {
    errors.Outcome.NOT_RUN: _REFUSED_BASE,
    errors.Outcome.UNKNOWN: _UNKNOWN_BASE,
    errors.Outcome.PARTIAL: _PARTIAL_BASE,
}
_KINDS_PER_OUTCOME = 64
_OTHER_KIND = 0

# Two versions of the system count together during a rolling upgrade, so
# the number of a kind never changes, and new kinds get new numbers.
KIND_NUMBERS: Mapping[str, int] = {
    'bad-request': 1,
    'body-too-large': 2,
    'unauthenticated': 3,
    'not-in-contract': 4,
    'bad-idempotency-key': 5,
    'key-out-of-window': 6,
    'key-in-use': 7,
    'rate-limited': 8,
    'concurrency-limited': 9,
    'queue-full': 10,
    'deadline-unreachable': 11,
    'adapter-unavailable': 12,
    'no-backend-server': 13,
    'claim-unavailable': 14,
    'contract-outdated': 15,
    'draining': 16,
    'foreign-process': 17,
    'wrong-adapter': 18,
    'caller-gone': 19,
    'outcome-unknown': 20,
    'answer-cut': 21,
    'internal': 22,
    'not-found': 23,
    'body-too-slow': 24,
    'attempt-out-of-window': 25,
    'attempt-withdrawn': 26,
    'backend-starting': 27,
    'configuration-outdated': 28,
    'crashes-backend-servers': 29,
    'server-limited': 30,
    'server-backoff': 31,
    'headers-too-large': 32,
    'memory-short': 33,
}
_KIND_NAMES = {number: kind for kind, number in KIND_NUMBERS.items()}
_BUCKETS_PER_DOUBLING = 4
_SMALLEST_S = 0.001
_LAST_BUCKET = 100


class Counter(enum.IntEnum):
    """Numbers of the plain counters, which are never reused."""

    RECEIVED = 0
    SERVED = 1
    CALLER_GONE = 2
    TOKENS = 3
    STALLED = 4
    STALL_MS = 5
    STALL_NOT_MEASURED = 6


class Histogram(enum.IntEnum):
    """First number of each histogram's buckets."""

    FIRST_TOKEN = 256
    BETWEEN_TOKENS = 512
    LOAD_STALL = 768


def bucket_limit_s(bucket: int) -> float:
    """Return the upper bound of a bucket, inclusive, in seconds."""
    return float(_SMALLEST_S * 2 ** (bucket / _BUCKETS_PER_DOUBLING))


_BUCKET_LIMITS_S = [bucket_limit_s(n) for n in range(_LAST_BUCKET)]


def bucket_of(time_s: float) -> int:
    """Return the bucket of a time."""
    return bisect.bisect_left(_BUCKET_LIMITS_S, time_s)


def histogram(row: Mapping[int, int], of: Histogram) -> dict[int, int]:
    """Return one histogram's counts by bucket."""
    return {
        bucket: row[of + bucket]
        for bucket in range(_LAST_BUCKET + 1)
        if of + bucket in row
    }


def quantile_s(counts: Mapping[int, int], ratio: float) -> float | None:
    """Return a quantile, rounded up to the upper bound of its bucket.

    Parameters
    ----------
    counts
        Counts by bucket.
    ratio
        Share of the counts that are at most the returned time.

    Returns
    -------
    float | None
        Time in seconds; ``None`` without counts.
    """
    threshold = ratio * sum(counts.values())
    cumulative_count = 0
    for bucket in sorted(counts):
        cumulative_count += counts[bucket]
        if cumulative_count >= threshold:
            return bucket_limit_s(bucket)
    return None


def ended_count(row: Mapping[int, int]) -> int:
    """Return the number of ended requests, over all outcomes."""
    ended = row.get(Counter.SERVED, 0) + row.get(Counter.CALLER_GONE, 0)
    return ended + sum(
        sum(ended_by_kind(row, outcome).values())
        for outcome in _BASE_BY_OUTCOME
    )


def ended_by_kind(
    row: Mapping[int, int], outcome: errors.Outcome
) -> dict[str, int]:
    """Return the requests of one outcome other than served, by kind.

    Kinds that this version does not know are counted as ``other``.
    """
    base = _BASE_BY_OUTCOME[outcome]
    return {
        _KIND_NAMES.get(number, 'other'): row[base + number]
        for number in range(_KINDS_PER_OUTCOME)
        if base + number in row
    }


@functools.cache
def kind_counter(outcome: errors.Outcome, kind: str) -> int:
    """Return the counter of requests with this outcome and error kind."""
    return _BASE_BY_OUTCOME[outcome] + KIND_NUMBERS.get(kind, _OTHER_KIND)
