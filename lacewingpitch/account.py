"""The account of service: what each customer got, counted at one entry.

A customer's row maps the number of a counter to its count.  Counts only
grow while an incarnation lives, so a copy of a row is merged by taking
the greater count of each: order, loss and repetition do not matter.
"""

import bisect
import collections
from collections.abc import Iterator, Mapping
import contextlib
import enum
import functools
import math
import secrets

import msgspec
import structlog

from lacewingpitch import account_rows
from lacewingpitch import burn
from lacewingpitch import clock as clock_module
from lacewingpitch import contract as contract_module
from lacewingpitch import errors
from lacewingpitch import settings as settings_module

# Customer of a request that no API key identifies.
UNIDENTIFIED = ''
log = structlog.get_logger(__name__)


class Counter(enum.IntEnum):
    """Numbers of the plain counters; they are never reused."""

    RECEIVED = 0
    SERVED = 1
    CALLER_GONE = 2
    TOKENS = 3
    STALLED = 4
    STALL_MS = 5
    STALL_NOT_MEASURED = 6


_ONE_RECEIVED: Mapping[int, int] = {Counter.RECEIVED: 1}
_REFUSED = 32
_UNKNOWN = 96
_PARTIAL = 160
_BASES = {
    errors.Outcome.NOT_RUN: _REFUSED,
    errors.Outcome.UNKNOWN: _UNKNOWN,
    errors.Outcome.PARTIAL: _PARTIAL,
}
_KINDS_PER_OUTCOME = 64
_OTHER_KIND = 0

# Two versions of the system count together during a rolling upgrade, so
# a kind keeps its number for good; new kinds take new numbers.
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
}
_KIND_NAMES = {number: kind for kind, number in KIND_NUMBERS.items()}


class Histogram(enum.IntEnum):
    """First number of each histogram's buckets."""

    FIRST_TOKEN = 256
    BETWEEN_TOKENS = 512
    LOAD_STALL = 768


_BETWEEN_TOKENS = int(Histogram.BETWEEN_TOKENS)
_BUCKETS_PER_DOUBLING = 4
_SMALLEST_S = 0.001
_LAST_BUCKET = 100


class AccountId(msgspec.Struct, frozen=True, array_like=True):
    """Whose counts they are: one incarnation of one instance."""

    instance: str
    incarnation: str
    availability_zone: str
    started_at_s: float


def new_account_id(
    settings: settings_module.ProcessSettings, started_at_s: float
) -> AccountId:
    """Return the identity of a process that starts now."""
    return AccountId(
        settings.instance,
        secrets.token_hex(4),
        settings.availability_zone,
        started_at_s,
    )


def bucket_limit_s(bucket: int) -> float:
    """Return the longest time that falls into a bucket."""
    return float(_SMALLEST_S * 2 ** (bucket / _BUCKETS_PER_DOUBLING))


_BUCKET_LIMITS_S = [bucket_limit_s(n) for n in range(_LAST_BUCKET)]


def bucket_of(time_s: float) -> int:
    """Return the bucket of a time, each a quarter doubling wide."""
    return bisect.bisect_left(_BUCKET_LIMITS_S, time_s)


def histogram(row: Mapping[int, int], of: Histogram) -> dict[int, int]:
    """Return the counts by bucket of one histogram."""
    return {
        bucket: row[of + bucket]
        for bucket in range(_LAST_BUCKET + 1)
        if of + bucket in row
    }


def quantile_s(counts: Mapping[int, int], ratio: float) -> float | None:
    """Return the time within which `ratio` of the counts lie."""
    wanted = ratio * sum(counts.values())
    seen = 0
    for bucket in sorted(counts):
        seen += counts[bucket]
        if seen >= wanted:
            return bucket_limit_s(bucket)
    return None


def ended_count(row: Mapping[int, int]) -> int:
    """Return how many requests came to an end, whatever the end."""
    ended = row.get(Counter.SERVED, 0) + row.get(Counter.CALLER_GONE, 0)
    return ended + sum(
        sum(ended_by_kind(row, outcome).values()) for outcome in _BASES
    )


def ended_by_kind(
    row: Mapping[int, int], outcome: errors.Outcome
) -> dict[str, int]:
    """Return the requests of one outcome that was not whole, by kind."""
    base = _BASES[outcome]
    return {
        _KIND_NAMES.get(number, 'other'): row[base + number]
        for number in range(_KINDS_PER_OUTCOME)
        if base + number in row
    }


class Account:
    """The counts of one incarnation of an entry, row by customer.

    Its rows are bounded by the customers that have contracts and by
    `burn.expired`; the row of a customer that sends nothing is packed.
    """

    def __init__(
        self, account_id: AccountId, clock: clock_module.Clock
    ) -> None:
        self.account_id = account_id
        self.rows = account_rows.RowTable()
        self.received_count = 0
        self.token_count = 0
        self.stall_s = 0.0
        self.ended_by_outcome: collections.Counter[str] = collections.Counter()
        self.errors_by_kind: collections.Counter[str] = collections.Counter()
        self._clock = clock
        self._changed: dict[str, set[int]] = {}

    def add(self, customer: str, increments: Mapping[int, int]) -> None:
        """Add to a customer's counters."""
        account_rows.add(self.rows.writable(customer), increments)
        changed = self._changed.setdefault(customer, set())
        changed.update(n for n in increments if burn.is_copied(n))

    def identify(
        self, tally: 'Tally', contract: contract_module.Contract
    ) -> None:
        """Note whose request it is, as soon as that is known."""
        tally.identify(contract)
        self.add(contract.customer, _ONE_RECEIVED)

    def take_changes(self) -> dict[str, set[int]]:
        """Return which counters changed since the last time."""
        changed, self._changed = self._changed, {}
        return changed

    def sweep(self, count: int) -> None:
        """Drop expired slots and pack idle rows, `count` at a time."""
        self.rows.sweep(count, self._clock.wall_s())

    @contextlib.contextmanager
    def counted(self, request_id: str) -> Iterator['Tally']:
        """Count one request that came in, in exactly one bucket."""
        self.received_count += 1
        tally = Tally(request_id, self._clock)
        try:
            yield tally
        except (GeneratorExit, ConnectionError):
            tally.caller_gone()
            raise
        except Exception:
            tally.failed()
            raise
        except BaseException:
            # The server cancels a handler whose caller has vanished.
            tally.caller_gone()
            raise
        finally:
            self._count(tally)

    def _count(self, tally: 'Tally') -> None:
        if tally.customer == UNIDENTIFIED:
            self.add(UNIDENTIFIED, _ONE_RECEIVED)
        self.add(tally.customer, tally.increments())
        self.ended_by_outcome[tally.end] += 1
        if tally.kind:
            self.errors_by_kind[tally.kind] += 1
        self.token_count += tally.token_count
        self.stall_s += tally.load_stall_s or 0.0
        log.info(
            'answered',
            instance=self.account_id.instance,
            availability_zone=self.account_id.availability_zone,
            **tally.log_fields(),
        )


class Tally:
    """What is known of one request while it is being answered.

    Parameters
    ----------
    request_id
        Identifies the request in the log.
    clock
        Source of time.
    """

    __slots__ = (
        '_buckets',
        '_clock',
        '_first_token_s',
        '_gap_count',
        '_is_delivered',
        '_is_gone',
        '_last_s',
        '_objective',
        '_slow_gap_count',
        '_started_s',
        'adapter',
        'customer',
        'kind',
        'load_stall_s',
        'outcome',
        'request_id',
        'token_count',
    )

    def __init__(self, request_id: str, clock: clock_module.Clock) -> None:
        self.request_id = request_id
        self.customer = UNIDENTIFIED
        self.adapter = ''
        self.outcome = errors.Outcome.SERVED
        self.kind = ''
        self.load_stall_s: float | None = None
        self._clock = clock
        self._objective = contract_module.Objective()
        self._started_s = clock.monotonic_s()
        self._last_s = self._started_s
        self._first_token_s: float | None = None
        self.token_count = 0
        self._gap_count = 0
        self._slow_gap_count = 0
        self._buckets: account_rows.Row = {}
        self._is_delivered = False
        self._is_gone = False

    @property
    def end(self) -> str:
        """Return how the request ended, as text."""
        if self._is_gone:
            return errors.ErrorKind.CALLER_GONE.value
        return self.outcome.value

    def identify(self, contract: contract_module.Contract) -> None:
        """Note whose request it is."""
        self.customer = contract.customer
        self._objective = contract.objective

    def stalled(self, header: str | None) -> None:
        """Note the load stall that a sidecar's header tells."""
        with contextlib.suppress(TypeError, ValueError):
            stall_s = float(header)  # type: ignore[arg-type]
            if math.isfinite(stall_s) and stall_s >= 0:
                self.load_stall_s = stall_s

    def wrote(self, event_count: int) -> None:
        """Note that so many events of a stream went out together."""
        if event_count <= 0:
            return
        now_s = self._clock.monotonic_s()
        self.token_count += event_count
        if self._first_token_s is None:
            self._first_token_s = now_s - self._started_s
        else:
            self._note_gaps(now_s - self._last_s, 1)
        if event_count > 1:
            # The others of the group came with no gap at all.
            self._note_gaps(0.0, event_count - 1)
        self._last_s = now_s

    def has_tokens(self, token_count: int) -> None:
        """Note how many tokens the answer has."""
        self.token_count = token_count

    def refused(self, error: errors.RefusalError) -> None:
        """Note that the answer is an error."""
        self.outcome = error.outcome
        self.kind = error.kind.value
        self._is_gone = error.kind is errors.ErrorKind.CALLER_GONE

    def cut(self) -> None:
        """Note that a stream ended without its explicit end."""
        self.outcome = errors.Outcome.PARTIAL
        self.kind = errors.ErrorKind.ANSWER_CUT.value

    def failed(self) -> None:
        """Note that answering failed by a fault of this program."""
        self.outcome = errors.Outcome.UNKNOWN
        self.kind = errors.ErrorKind.INTERNAL.value

    def caller_gone(self) -> None:
        """Note that the caller vanished before its answer was out."""
        # A body that cannot be whole ends with its connection torn down
        # by this program; the caller did not go of itself.
        is_torn = self.outcome is errors.Outcome.PARTIAL
        self._is_gone = not self._is_delivered and not is_torn

    def delivered(self) -> None:
        """Note that the connection took the answer's last byte."""
        self._is_delivered = True

    def increments(self) -> account_rows.Row:
        """Return what this request adds to its customer's row."""
        row = {self._bucket(): 1}
        if self.token_count:
            row[Counter.TOKENS] = self.token_count
        self._add_stall(row)
        if self._first_token_s is not None:
            row[Histogram.FIRST_TOKEN + bucket_of(self._first_token_s)] = 1
        row.update(self._buckets)
        row.update(burn.increments(self._clock.wall_s(), self._signals()))
        return row

    def log_fields(self) -> dict[str, object]:
        """Return the account line of this request."""
        return {
            'request_id': self.request_id,
            'customer': self.customer,
            'adapter': self.adapter,
            'outcome': self.end,
            'kind': self.kind,
            'tokens': self.token_count,
            'first_token_s': _rounded(self._first_token_s),
            'load_stall_s': _rounded(self.load_stall_s),
            'duration_s': _rounded(
                self._clock.monotonic_s() - self._started_s
            ),
        }

    def _note_gaps(self, gap_s: float, count: int) -> None:
        number = _BETWEEN_TOKENS + bucket_of(gap_s)
        self._buckets[number] = self._buckets.get(number, 0) + count
        self._gap_count += count
        if gap_s > self._objective.between_tokens_s:
            self._slow_gap_count += count

    def _bucket(self) -> int:
        if self._is_gone:
            return Counter.CALLER_GONE
        if self.outcome is errors.Outcome.SERVED:
            return Counter.SERVED
        return kind_counter(self.outcome, self.kind)

    def _add_stall(self, row: account_rows.Row) -> None:
        if self.outcome is not errors.Outcome.SERVED:
            return
        if self.load_stall_s is None:
            row[Counter.STALL_NOT_MEASURED] = 1
            return
        if self.load_stall_s:
            row[Counter.STALLED] = 1
            row[Counter.STALL_MS] = round(self.load_stall_s * 1000)
            row[Histogram.LOAD_STALL + bucket_of(self.load_stall_s)] = 1

    def _signals(self) -> dict[burn.Signal, int]:
        if self._is_gone:
            return {}
        is_failed = self.outcome is not errors.Outcome.SERVED
        if is_failed and not burn.spends_budget(errors.ErrorKind(self.kind)):
            return {}
        first_s = self._first_token_s
        is_late = first_s is not None and (
            first_s > self._objective.first_token_s
        )
        may_be_slow = self._gap_count * (1 - burn.LATENCY_RATIO)
        is_slow = self._slow_gap_count > may_be_slow
        return {
            burn.Signal.ANSWERS: 1,
            burn.Signal.FAILED: int(is_failed),
            burn.Signal.STREAMS: int(first_s is not None),
            burn.Signal.SLOW_FIRST_TOKENS: int(is_late),
            burn.Signal.SLOW_STREAMS: int(is_slow),
        }


@functools.cache
def kind_counter(outcome: errors.Outcome, kind: str) -> int:
    """Return the counter of requests that ended so."""
    return _BASES[outcome] + KIND_NUMBERS.get(kind, _OTHER_KIND)


def _rounded(time_s: float | None) -> float | None:
    return None if time_s is None else round(time_s, 6)
