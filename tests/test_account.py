"""Request counters, latency histograms and row storage of one entry."""

import asyncio
import math

from hypothesis import given
from hypothesis import strategies
import pytest

from lacewingpitch import account as account_module
from lacewingpitch import account_counters
from lacewingpitch import account_rows
from lacewingpitch import burn
from lacewingpitch import clock
from lacewingpitch import contract
from lacewingpitch import errors
from tests import clocks
from tests import fault_matrix

Promise = fault_matrix.Promise
Fault = fault_matrix.Fault
Step = fault_matrix.Step
HANEUL = contract.Contract(customer='haneul', revision=1, key_digests=())


def new_account(source=None):
    return account_module.Account(
        account_module.AccountId('entry-0', 'one', 'zone-a', 0.0),
        source or clock.SystemClock(),
    )


def refuse(kind):
    def ending(tally):
        tally.record_error(errors.RefusalError(kind, ''))
        tally.record_delivery()

    return ending


def raise_error(error):
    def ending(_tally):
        raise error

    return ending


ENDINGS = [
    lambda tally: tally.record_delivery(),
    lambda tally: (tally.record_truncation(), tally.record_delivery()),
    lambda tally: tally.record_events(3),
    *map(refuse, errors.ErrorKind),
    raise_error(asyncio.CancelledError()),
    raise_error(ConnectionResetError()),
    raise_error(ValueError()),
]


def count_request(account, ending, is_identified):
    with account.track_request('id') as tally:
        if is_identified:
            account.identify(tally, HANEUL)
        ending(tally)


class TestOutcomes:
    @given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(ENDINGS), strategies.booleans()
            ),
            max_size=30,
        )
    )
    def test_each_request_has_exactly_one_outcome(self, requests):
        account = new_account()
        for ending, is_identified in requests:
            try:
                count_request(account, ending, is_identified)
            except (Exception, asyncio.CancelledError):
                continue
        rows = [account.rows.row(customer) for customer in account.rows]
        counter = account_counters.Counter.RECEIVED
        assert account.received_count == len(requests)
        assert sum(row[counter] for row in rows) == len(requests)
        assert sum(map(account_counters.ended_count, rows)) == len(requests)
        assert sum(account.ended_by_outcome.values()) == len(requests)

    def test_request_in_progress_is_received_and_not_ended(self):
        account = new_account()
        with account.track_request('id') as tally:
            account.identify(tally, HANEUL)
            row = account.rows.row('haneul')
            assert row[account_counters.Counter.RECEIVED] == 1
            assert account_counters.ended_count(row) == 0

    @pytest.mark.proves(Promise.ACCOUNT, Fault.LINK_CUT, Step.BEFORE_DELIVERY)
    def test_caller_gone_before_the_last_byte_is_not_served(self):
        """The account shows an answer as served that never arrived.

        The entry has the complete answer, and the caller's connection
        breaks before the last byte is sent.  This happens if requests
        are counted when the answer is produced, not when the connection
        accepts it.
        """
        account = new_account()
        with pytest.raises(ConnectionResetError):
            count_request(account, raise_error(ConnectionResetError()), True)
        row = account.rows.row('haneul')
        assert account_counters.Counter.SERVED not in row
        assert row[account_counters.Counter.CALLER_GONE] == 1

    def test_every_kind_has_a_number_of_its_own(self):
        numbers = account_counters.KIND_NUMBERS
        assert set(numbers) >= {kind.value for kind in errors.ErrorKind}
        assert len(set(numbers.values())) == len(numbers)

    def test_kind_of_a_newer_version_is_counted_as_other(self):
        outcome = errors.Outcome.NOT_RUN
        number = account_counters.kind_counter(outcome, 'from-the-future')
        assert account_counters.ended_by_kind({number: 1}, outcome) == {
            'other': 1
        }


class TestTimes:
    def test_first_token_and_gaps(self):
        source = clocks.ManualClock(clocks.WALL_START_S)
        account = new_account(source)
        with account.track_request('id') as tally:
            account.identify(tally, HANEUL)
            for wait_s, events in ((0.7, 1), (0.02, 3), (0.1, 1), (0, 0)):
                source.now_s += wait_s
                tally.record_events(events)
            tally.record_delivery()
        row = account.rows.row('haneul')
        histogram = account_counters.Histogram
        first = account_counters.histogram(row, histogram.FIRST_TOKEN)
        gaps = account_counters.histogram(row, histogram.BETWEEN_TOKENS)
        assert row[account_counters.Counter.TOKENS] == 5
        assert first == {account_counters.bucket_of(0.7): 1}
        assert gaps == {
            0: 2,
            account_counters.bucket_of(0.02): 1,
            account_counters.bucket_of(0.1): 1,
        }
        window = burn.WINDOWS[0].name
        signals = burn.count_signals(row, source.now_s)
        assert signals[window, burn.Signal.STREAMS] == 1
        assert signals[window, burn.Signal.SLOW_FIRST_TOKENS] == 1
        assert signals[window, burn.Signal.SLOW_STREAMS] == 1

    @pytest.mark.parametrize(
        ('header', 'stalled', 'not_measured'),
        [
            (None, 0, 1),
            ('rubbish', 0, 1),
            ('nan', 0, 1),
            ('-1', 0, 1),
            ('0', 0, 0),
            ('1.5', 1, 0),
        ],
    )
    def test_load_stall_header(self, header, stalled, not_measured):
        account = new_account()
        with account.track_request('id') as tally:
            tally.record_load_stall(header)
            tally.record_delivery()
        row = account.rows.row(account_module.UNIDENTIFIED)
        counter = account_counters.Counter
        assert row.get(counter.STALLED, 0) == stalled
        assert row.get(counter.STALL_NOT_MEASURED, 0) == not_measured

    @given(
        strategies.lists(strategies.floats(0.0001, 1000), min_size=1),
        strategies.sampled_from([0.5, 0.95, 0.99]),
    )
    def test_quantile_is_at_most_a_bucket_too_long(self, times_s, ratio):
        counts = {}
        for time_s in times_s:
            bucket = account_counters.bucket_of(time_s)
            counts[bucket] = counts.get(bucket, 0) + 1
        index = math.ceil(ratio * len(times_s)) - 1
        true_s = max(sorted(times_s)[index], 0.001)
        found_s = account_counters.quantile_s(counts, ratio)
        assert true_s * 0.999 <= found_s <= true_s * 2**0.25 * 1.001


class TestRowTable:
    @given(
        strategies.lists(
            strategies.one_of(
                strategies.tuples(
                    strategies.sampled_from('abcdef'),
                    strategies.integers(0, 1000),
                ),
                strategies.integers(1, 8),
            ),
            max_size=60,
        )
    )
    def test_packing_loses_nothing(self, steps):
        table = account_rows.RowTable()
        plain = {}
        for step in steps:
            if isinstance(step, int):
                table.sweep(step, 0.0)
                continue
            customer, number = step
            account_rows.add(table.writable_row(customer), {number: 1})
            account_rows.add(plain.setdefault(customer, {}), {number: 1})
        assert {c: dict(table.row(c)) for c in table} == plain
        assert len(table) == len(plain)
