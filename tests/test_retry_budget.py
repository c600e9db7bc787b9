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
