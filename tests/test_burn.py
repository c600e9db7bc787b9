"""Burn rates, compared with a direct computation from the events."""

from hypothesis import given
from hypothesis import strategies
import pytest

from lacewingpitch import account_rows
from lacewingpitch import burn
from lacewingpitch import contract
from lacewingpitch import errors

NOW_S = 1_800_000_123.0
OBJECTIVE = contract.Objective(served_ratio=0.99)
request_lists = strategies.lists(
    strategies.tuples(
        strategies.floats(0, 4 * 86400),
        strategies.booleans(),
    ),
    max_size=60,
)


def make_row(requests):
    row = {}
    for age_s, failed in requests:
        signals = {burn.Signal.ANSWERS: 1, burn.Signal.FAILED: int(failed)}
        account_rows.add(row, burn.slot_increments(NOW_S - age_s, signals))
    return row


def count_directly(requests, window):
    """Count directly, in whole slots from the oldest in the window."""
    slot_s = burn.RESOLUTIONS[window.resolution].slot_s
    start_s = (NOW_S - window.length_s) // slot_s * slot_s
    inside = [failed for age_s, failed in requests if NOW_S - age_s >= start_s]
    return len(inside), sum(inside)


class TestMeasure:
    @given(request_lists)
    def test_equals_direct_computation(self, requests):
        burns = {
            b.window: b
            for b in burn.measure_burns(make_row(requests), OBJECTIVE, NOW_S)
            if b.subject is burn.Subject.SERVED
        }
        for window in burn.WINDOWS:
            total, failed = count_directly(requests, window)
            measured = burns[window.name]
            assert measured.total_count == total
            assert measured.failed_count == failed
            if total:
                assert measured.burn_rate == pytest.approx(
                    failed / total / 0.01
                )
            else:
                assert measured.burn_rate is None

    @given(request_lists)
    def test_dropping_expired_slots_changes_no_window(self, requests):
        row = make_row(requests)
        before = burn.measure_burns(row, OBJECTIVE, NOW_S)
        for number in burn.expired_counters(row, NOW_S):
            del row[number]
        assert burn.measure_burns(row, OBJECTIVE, NOW_S) == before


class TestBound:
    def test_slots_of_a_busy_month_stay_bounded(self):
        row = {}
        for minute in range(31 * 24 * 60):
            at_s = NOW_S + 60.0 * minute
            signals = dict.fromkeys(burn.Signal, 1)
            account_rows.add(row, burn.slot_increments(at_s, signals))
            if minute % 60 == 0:
                for number in burn.expired_counters(row, at_s):
                    del row[number]
        for number in burn.expired_counters(row, at_s):
            del row[number]
        slots = sum(r.retention_s // r.slot_s + 2 for r in burn.RESOLUTIONS)
        assert len(row) <= slots * len(burn.Signal)


class TestAlerts:
    def test_needs_both_windows(self):
        old = [(3000.0, True)] * 50
        assert not [
            alert
            for alert in burn.firing_alerts(
                burn.measure_burns(make_row(old), OBJECTIVE, NOW_S)
            )
            if alert.long_window == '1 h'
        ]
        burning = old + [(10.0, True)] * 50
        assert [
            alert
            for alert in burn.firing_alerts(
                burn.measure_burns(make_row(burning), OBJECTIVE, NOW_S)
            )
            if alert.long_window == '1 h' and alert.severity == 'page'
        ]

    def test_nothing_counted_fires_nothing(self):
        assert not burn.firing_alerts(burn.measure_burns({}, OBJECTIVE, NOW_S))

    def test_limits_of_the_contract_spend_no_budget(self):
        assert not burn.spends_budget(errors.ErrorKind.RATE_LIMITED)
        assert burn.spends_budget(errors.ErrorKind.QUEUE_FULL)
