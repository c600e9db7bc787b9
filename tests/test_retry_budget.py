"""Retries as a share of the traffic."""

import random

from lacewingpitch import retry_budget


class TestBudget:
    def test_outage_increases_load_at_most_by_the_ratio(self):
        budget = retry_budget.RetryBudget(ratio=0.1, reserve=10.0)
        retries = 0
        for _ in range(10_000):
            budget.deposit()
            retries += budget.try_withdraw()
            retries += budget.try_withdraw()
        assert retries <= 10 + 0.1 * 10_000

    def test_quiet_time_saves_up_at_most_the_reserve(self):
        budget = retry_budget.RetryBudget(ratio=0.1, reserve=5.0)
        for _ in range(1000):
            budget.deposit()
        assert sum(budget.try_withdraw() for _ in range(100)) == 5

    def test_few_requests_can_still_be_retried(self):
        assert retry_budget.RetryBudget().try_withdraw()


class TestBackoff:
    def test_is_random_and_bounded(self):
        source = random.Random(1)
        for retry in range(1, 12):
            waits = [retry_budget.backoff_s(retry, source) for _ in range(50)]
            assert 0.0 <= min(waits) < max(waits) <= 1.0
        assert max(waits) > 0.5


class TestServiceBudgets:
    def test_entries_together_stay_within_the_common_budget(self):
        """Guards against retries of all entries flooding failing servers.

        Everything fails at once, after a quiet time in which each of ten
        entries has saved up retries.
        """
        ratio, allowance, entries = 0.2, 52.0, 10
        retries = 0
        for _ in range(entries):
            budgets = retry_budget.ServiceBudgets(ratio, allowance, entries)
            for _ in range(100):
                budgets.deposit('s')
                retries += budgets.try_withdraw('s')
        assert retries <= ratio * 100 * entries + allowance

    def test_services_have_budgets_of_their_own(self):
        budgets = retry_budget.ServiceBudgets(0.0, 8.0, 4)
        assert budgets.try_withdraw('a')
        assert not budgets.try_withdraw('a')
        assert budgets.try_withdraw('b')

    def test_more_entries_than_expected_share_it(self):
        budgets = retry_budget.ServiceBudgets(0.0, 100.0, 1)
        assert budgets.try_withdraw('s')
        budgets.record_entry_count(40)
        budgets.record_entry_count(2)
        spent = sum(budgets.try_withdraw('s') for _ in range(100))
        assert spent <= 100.0 / 40
