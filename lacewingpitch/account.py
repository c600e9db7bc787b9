"""The account of service: usage and outcome counters of each customer.

An account belongs to one incarnation of one entry.  It has a row per
customer, which maps counter numbers to counts.  Counts only increase
during an incarnation, so copies of a row are merged by taking the
greater count of each counter; the order, loss and repetition of copies
do not matter.
"""

import collections
from collections.abc import Iterator, Mapping
import contextlib
import math
import secrets

import msgspec
import structlog

from lacewingpitch import account_counters
from lacewingpitch import account_rows
from lacewingpitch import burn
from lacewingpitch import clock as clock_module
from lacewingpitch import contract as contract_module
from lacewingpitch import errors
from lacewingpitch import settings as settings_module

# Customer of a request that no API key identifies.
UNIDENTIFIED = ''
log = structlog.get_logger(__name__)
_ONE_RECEIVED: Mapping[int, int] = {account_counters.Counter.RECEIVED: 1}
_BETWEEN_TOKENS = int(account_counters.Histogram.BETWEEN_TOKENS)


class AccountId(msgspec.Struct, frozen=True, array_like=True):
    """Identifies an account: one incarnation of one instance."""

    instance: str
    incarnation: str
    availability_zone: str
    started_at_s: float


def new_account_id(
    settings: settings_module.ProcessSettings, started_at_s: float
) -> AccountId:
    """Return the identifier for a new incarnation of an instance."""
    return AccountId(
        settings.instance,
        secrets.token_hex(4),
        settings.availability_zone,
        started_at_s,
    )


class Account:
    """Counters of one incarnation of an entry, with a row per customer.

    The number of rows is bounded by the customers that have contracts,
    and the size of a row by `burn.expired_counters`.  Rows of idle
    customers are packed.
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
        account_rows.add(self.rows.writable_row(customer), increments)
        changed = self._changed.setdefault(customer, set())
        changed.update(n for n in increments if burn.is_copied(n))

    def identify(
        self, tally: 'Tally', contract: contract_module.Contract
    ) -> None:
        """Attribute a request to a customer, and count it as received.

        Call it as soon as the customer is known.
        """
        tally.identify(contract)
        self.add(contract.customer, _ONE_RECEIVED)

    def pop_changes(self) -> dict[str, set[int]]:
        """Return and clear the numbers of changed counters, by customer."""
        changed, self._changed = self._changed, {}
        return changed

    def sweep(self, count: int) -> None:
        """Drop expired slots and pack idle rows, among the next `count`."""
        self.rows.sweep(count, self._clock.wall_s())

    @contextlib.contextmanager
    def track_request(self, request_id: str) -> Iterator['Tally']:
        """Count one received request under exactly one outcome."""
        self.received_count += 1
        tally = Tally(request_id, self._clock)
        try:
            yield tally
        except (GeneratorExit, ConnectionError):
            tally.record_disconnect()
            raise
        except Exception:
            tally.record_internal_error()
            raise
        except BaseException:
            # The server cancels a handler whose caller has disconnected.
            tally.record_disconnect()
            raise
        finally:
            self._record_end(tally)

    def _record_end(self, tally: 'Tally') -> None:
        if tally.customer == UNIDENTIFIED:
            self.add(UNIDENTIFIED, _ONE_RECEIVED)
        self.add(tally.customer, tally.increments())
        self.ended_by_outcome[tally.final_outcome] += 1
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
    """Measurements of one request: outcome, tokens, latencies.

    Parameters
    ----------
    request_id
        Identifies the request in the log.
    clock
        Source of time.
    """

    __slots__ = (
        '_between_token_counts',
        '_clock',
        '_first_token_s',
        '_gap_count',
        '_is_delivered',
        '_is_disconnected',
        '_last_event_at_s',
        '_objective',
        '_slow_gap_count',
        '_started_at_s',
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
        self._started_at_s = clock.monotonic_s()
        self._last_event_at_s = self._started_at_s
        self._first_token_s: float | None = None
        self.token_count = 0
        self._gap_count = 0
        self._slow_gap_count = 0
        self._between_token_counts: account_rows.Row = {}
        self._is_delivered = False
        self._is_disconnected = False

    @property
    def final_outcome(self) -> str:
        """Return the outcome, or ``caller-gone`` after a disconnect."""
        if self._is_disconnected:
            return errors.ErrorKind.CALLER_GONE.value
        return self.outcome.value

    def identify(self, contract: contract_module.Contract) -> None:
        """Set the customer and the objective that applies."""
        self.customer = contract.customer
        self._objective = contract.objective

    def record_load_stall(self, header: str | None) -> None:
        """Record the load stall, in seconds, from a sidecar's header.

        Ignores a missing or invalid header: the stall then counts as not
        measured.
        """
        with contextlib.suppress(TypeError, ValueError):
            stall_s = float(header)  # type: ignore[arg-type]
            if math.isfinite(stall_s) and stall_s >= 0:
                self.load_stall_s = stall_s

    def record_events(self, event_count: int) -> None:
        """Record that events of a stream were written together.

        Each event counts as one token.
        """
        if event_count <= 0:
            return
        now_s = self._clock.monotonic_s()
        self.token_count += event_count
        if self._first_token_s is None:
            self._first_token_s = now_s - self._started_at_s
        else:
            self._record_gaps(now_s - self._last_event_at_s, 1)
        if event_count > 1:
            # The other events of the group follow without a gap.
            self._record_gaps(0.0, event_count - 1)
        self._last_event_at_s = now_s

    def set_token_count(self, token_count: int) -> None:
        """Set the answer's token count."""
        self.token_count = token_count

    def record_error(self, error: errors.RefusalError) -> None:
        """Record that the answer is an error."""
        self.outcome = error.outcome
        self.kind = error.kind.value
        self._is_disconnected = error.kind is errors.ErrorKind.CALLER_GONE

    def record_truncation(self) -> None:
        """Record that a stream ended without its end marker."""
        self.outcome = errors.Outcome.PARTIAL
        self.kind = errors.ErrorKind.ANSWER_CUT.value

    def record_internal_error(self) -> None:
        """Record that an internal error prevented the answer."""
        self.outcome = errors.Outcome.UNKNOWN
        self.kind = errors.ErrorKind.INTERNAL.value

    def record_disconnect(self) -> None:
        """Record that the connection closed.

        The caller counts as gone only if its answer was not delivered.
        """
        # This program itself closes the connection of an answer that it
        # cannot complete; the caller did not disconnect.
        is_truncated = self.outcome is errors.Outcome.PARTIAL
        self._is_disconnected = not self._is_delivered and not is_truncated

    def record_delivery(self) -> None:
        """Record that the connection accepted the answer's last byte."""
        self._is_delivered = True

    def increments(self) -> account_rows.Row:
        """Return the counts to add to the customer's row."""
        row = {self._outcome_counter(): 1}
        if self.token_count:
            row[account_counters.Counter.TOKENS] = self.token_count
        self._add_load_stall(row)
        if self._first_token_s is not None:
            row[
                account_counters.Histogram.FIRST_TOKEN
                + account_counters.bucket_of(self._first_token_s)
            ] = 1
        row.update(self._between_token_counts)
        row.update(
            burn.slot_increments(self._clock.wall_s(), self._burn_signals())
        )
        return row

    def log_fields(self) -> dict[str, object]:
        """Return the fields of this request's log line."""
        return {
            'request_id': self.request_id,
            'customer': self.customer,
            'adapter': self.adapter,
            'outcome': self.final_outcome,
            'kind': self.kind,
            'tokens': self.token_count,
            'first_token_s': _round_to_us(self._first_token_s),
            'load_stall_s': _round_to_us(self.load_stall_s),
            'duration_s': _round_to_us(
                self._clock.monotonic_s() - self._started_at_s
            ),
        }

    def _record_gaps(self, gap_s: float, count: int) -> None:
        number = _BETWEEN_TOKENS + account_counters.bucket_of(gap_s)
        self._between_token_counts[number] = (
            self._between_token_counts.get(number, 0) + count
        )
        self._gap_count += count
        if gap_s > self._objective.between_tokens_s:
            self._slow_gap_count += count

    def _outcome_counter(self) -> int:
        if self._is_disconnected:
            return account_counters.Counter.CALLER_GONE
        if self.outcome is errors.Outcome.SERVED:
            return account_counters.Counter.SERVED
        return account_counters.kind_counter(self.outcome, self.kind)

    def _add_load_stall(self, row: account_rows.Row) -> None:
        if self.outcome is not errors.Outcome.SERVED:
            return
        if self.load_stall_s is None:
            row[account_counters.Counter.STALL_NOT_MEASURED] = 1
            return
        if self.load_stall_s:
            row[account_counters.Counter.STALLED] = 1
            row[account_counters.Counter.STALL_MS] = round(
                self.load_stall_s * 1000
            )
            row[
                account_counters.Histogram.LOAD_STALL
                + account_counters.bucket_of(self.load_stall_s)
            ] = 1

    def _burn_signals(self) -> dict[burn.Signal, int]:
        if self._is_disconnected:
            return {}
        is_failed = self.outcome is not errors.Outcome.SERVED
        if is_failed and not burn.spends_budget(errors.ErrorKind(self.kind)):
            return {}
        first_token_s = self._first_token_s
        is_late = first_token_s is not None and (
            first_token_s > self._objective.first_token_s
        )
        allowed_slow_count = self._gap_count * (1 - burn.LATENCY_RATIO)
        is_slow = self._slow_gap_count > allowed_slow_count
        return {
            burn.Signal.ANSWERS: 1,
            burn.Signal.FAILED: int(is_failed),
            burn.Signal.STREAMS: int(first_token_s is not None),
            burn.Signal.SLOW_FIRST_TOKENS: int(is_late),
            burn.Signal.SLOW_STREAMS: int(is_slow),
        }


def _round_to_us(time_s: float | None) -> float | None:
    return None if time_s is None else round(time_s, 6)
