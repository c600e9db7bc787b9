"""Retry budgets of all entries together, in virtual time."""

import random

import pytest

from lacewingpitch import active_entries
from lacewingpitch import service_budgets
from tests import arrivals
from tests import clocks

RATIO = 0.2
ALLOWANCE = 52.0
MIN_ENTRIES = 10
WINDOW_S = 10.0
STEP_S = 0.05
SEEDS = range(20)


class Fleet:
    """Entries whose requests all fail and are all retried.

    Parameters
    ----------
    rate_per_s
        Requests of all entries together.
    sidecar_count
        Sidecars, of which each request asks one; none if it is 0.
    failing_from_s
        Time from which requests fail.
    """

    def __init__(
        self,
        entry_count,
        rate_per_s,
        seed=1,
        sidecar_count=0,
        failing_from_s=20.0,
        allowance=ALLOWANCE,
        window_s=WINDOW_S,
    ):
        self.clock = clocks.ManualClock()
        self.window_s = window_s
        self.random = random.Random(seed)
        self.allowance = allowance
        self._rate_per_s = rate_per_s
        self._failing_from_s = failing_from_s
        self.entries = [self._start() for _ in range(entry_count)]
        self.sidecars = [
            active_entries.ActiveEntries(self.clock)
            for _ in range(sidecar_count)
        ]
        self.sent = []
        self.repeats = []

    def _start(self):
        return service_budgets.ServiceBudgets(
            RATIO,
            self.allowance,
            self.window_s,
            MIN_ENTRIES,
            self.clock,
            self.random,
        )

    def restart(self, number):
        self.entries[number] = self._start()

    def run(self, until_s, on_step=lambda: None):
        while self.clock.now_s < until_s:
            self.clock.now_s += STEP_S
            on_step()
            expected = self._rate_per_s * STEP_S
            count = int(expected) + (self.random.random() < expected % 1)
            for _ in range(count):
                self.send(self.random.randrange(len(self.entries)))

    def send(self, number):
        entry = self.entries[number]
        now_s = self.clock.now_s
        self.sent.append(now_s)
        entry.deposit('s')
        if self.sidecars:
            sidecar = self.random.choice(self.sidecars)
            sidecar.record(str(number))
            entry.record_entry_count(sidecar.estimate())
        if now_s >= self._failing_from_s and entry.try_withdraw('s'):
            self.repeats.append(now_s)

    def used_ratio(self):
        return arrivals.worst_window(
            self.repeats, self.sent, RATIO, self.allowance, self.window_s
        ).used_ratio


class TestRestarts:
    @pytest.mark.parametrize('interval_s', [0.1, 0.4, 2.0])
    def test_give_no_further_retries(self, interval_s):
        """Guards against a full allowance for each process that starts."""
        for seed in SEEDS:
            fleet = Fleet(8, 20.0, seed, sidecar_count=2, failing_from_s=5.0)
            restarted_at_s = [0.0]

            def restart(fleet=fleet, restarted_at_s=restarted_at_s):
                if fleet.clock.now_s - restarted_at_s[0] >= interval_s:
                    restarted_at_s[0] = fleet.clock.now_s
                    fleet.restart(fleet.random.randrange(8))

            fleet.run(40.0, restart)
            assert fleet.used_ratio() <= 1.0, seed

    def test_of_all_entries_at_once_give_no_further_retries(self):
        """Guards against a full allowance after a loss of power."""
        for seed in SEEDS:
            fleet = Fleet(8, 20.0, seed, sidecar_count=2)
            for until_s in (21.0, 23.0, 25.0, 27.0):
                fleet.run(until_s)
                for number in range(8):
                    fleet.restart(number)
            fleet.run(40.0)
            assert fleet.used_ratio() <= 1.0, seed

    def test_a_calm_restart_costs_few_retries(self):
        """Guards against callers that fail since an entry has restarted."""
        refused = lost = 0
        for seed in SEEDS:
            fleet = Fleet(4, 40.0, seed, sidecar_count=9, failing_from_s=1e9)
            for _ in range(4):
                fleet.run(fleet.clock.now_s + 5.0)
                for number in range(4):
                    fleet.restart(number)
                for _ in range(400):
                    fleet.clock.now_s += 0.025
                    number = fleet.random.randrange(4)
                    fleet.send(number)
                    if fleet.random.random() < 0.02:
                        lost += 1
                        entry = fleet.entries[number]
                        refused += not entry.try_withdraw('s')
        assert refused < 0.1 * lost


class TestWindow:
    @pytest.mark.parametrize('window_s', [2.0, 5.0, 30.0])
    def test_is_that_of_the_settings(self, window_s):
        """Guards against budgets for a window that does not apply."""
        for seed in SEEDS[:5]:
            fleet = Fleet(8, 400.0, seed, sidecar_count=2, window_s=window_s)
            fleet.run(60.0)
            assert 0.3 < fleet.used_ratio() <= 1.0, seed


class TestUnknownEntries:
    @pytest.mark.parametrize('entry_count', [11, 20, 30, 41])
    def test_share_the_allowance_without_sidecars(self, entry_count):
        """Guards against entries that assume they are ten."""
        for seed in SEEDS:
            fleet = Fleet(entry_count, 100.0, seed)
            fleet.run(40.0)
            assert fleet.used_ratio() <= 1.0, seed

    def test_share_the_allowance_if_sidecars_rarely_hear_them(self):
        """Guards against a count of the few entries that a sidecar hears."""
        for seed in SEEDS:
            fleet = Fleet(100, 200.0, seed, sidecar_count=300, allowance=240.0)
            fleet.run(40.0)
            assert fleet.used_ratio() <= 1.0, seed

    @pytest.mark.parametrize('entry_count', [60, 120, 400])
    def test_more_idle_entries_than_tokens_share_the_allowance(
        self, entry_count
    ):
        """Guards against one token for each of many entries."""
        for seed in SEEDS:
            fleet = Fleet(entry_count, 100.0, seed, sidecar_count=2)
            fleet.run(40.0)
            assert fleet.used_ratio() <= 1.0, seed


class TestBusyFleet:
    def test_needs_no_count_of_the_entries(self):
        """Guards against budgets that grow with entries nobody counts."""
        fleet = Fleet(200, 4000.0, sidecar_count=500, allowance=440.0)
        fleet.run(32.0)
        assert 0.5 < fleet.used_ratio() <= 1.0

    def test_a_lull_is_not_spent_later(self):
        """Guards against retries that were earned by requests long ago."""
        fleet = Fleet(8, 400.0, sidecar_count=2, failing_from_s=40.0)
        fleet.run(20.0)
        fleet._rate_per_s = 5.0
        fleet.run(60.0)
        assert fleet.used_ratio() <= 1.0


class TestServiceBudgets:
    def make(self, allowance=ALLOWANCE, count=4):
        self.clock = clocks.ManualClock()
        budgets = service_budgets.ServiceBudgets(
            RATIO, allowance, WINDOW_S, 1, self.clock, random.Random(1)
        )
        budgets.record_entry_count(count)
        return budgets

    def spend(self, budgets, service='s'):
        return sum(budgets.try_withdraw(service) for _ in range(100))

    def test_services_have_budgets_of_their_own(self):
        budgets = self.make()
        for _ in range(1000):
            budgets.deposit('a')
        assert self.spend(budgets, 'a') > 1
        assert self.spend(budgets, 'a') == 0
        assert self.spend(budgets, 'b') == 1

    def test_entries_together_stay_within_the_common_budget(self):
        """Guards against retries of all entries flooding failing servers."""
        retries = 0
        for _ in range(10):
            budgets = self.make(count=10)
            for _ in range(100):
                budgets.deposit('s')
            for _ in range(100):
                budgets.deposit('s')
                retries += budgets.try_withdraw('s')
        assert retries <= RATIO * 100 * 10 + ALLOWANCE

    def test_more_entries_than_expected_share_it(self):
        budgets = self.make(allowance=100.0, count=1)
        for _ in range(50):
            budgets.deposit('s')
        budgets.record_entry_count(40)
        budgets.record_entry_count(2)
        budgets.record_entry_count(0)
        assert 0 < self.spend(budgets) <= 100.0 / 40

    def test_a_new_entry_has_one_retry_and_another_later(self):
        """Guards against callers that fail since an entry has restarted."""
        budgets = self.make(count=10)
        budgets.deposit('s')
        assert self.spend(budgets) == 1
        self.clock.now_s += 4.0
        assert self.spend(budgets) == 0
        self.clock.now_s += 6.0
        assert self.spend(budgets) == 1

    def test_parts_that_come_over_time_are_at_most_the_allowance(self):
        """Guards against parts that add up over restarts and pauses."""
        for seed in SEEDS:
            fleet = Fleet(8, 1.0, seed, failing_from_s=0.0)
            for entry in fleet.entries:
                entry.record_entry_count(8)
            fleet.sent += [0.0] * 10

            def press(fleet=fleet):
                if fleet.clock.now_s < 20.0:
                    return
                for entry in fleet.entries:
                    while entry.try_withdraw('s'):
                        fleet.repeats.append(fleet.clock.now_s)
                if fleet.random.random() < 0.02:
                    number = fleet.random.randrange(8)
                    fleet.restart(number)
                    fleet.entries[number].record_entry_count(8)

            fleet.run(60.0, press)
            assert 0.4 < fleet.used_ratio() <= 1.0, seed

    def test_an_unknown_count_gives_no_more_than_the_allowance(self):
        """Guards against retries where the settings allow none."""
        self.clock = clocks.ManualClock()
        budgets = service_budgets.ServiceBudgets(
            RATIO, 0.0, WINDOW_S, 1, self.clock, random.Random(1)
        )
        self.clock.now_s += 60.0
        assert self.spend(budgets) == 0

    def test_a_refund_can_be_spent_again(self):
        budgets = self.make()
        for _ in range(100):
            budgets.deposit('s')
        before = budgets.tokens('s')
        assert budgets.try_withdraw('s')
        budgets.refund('s')
        assert budgets.tokens('s') == before
