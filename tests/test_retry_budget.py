"""Retries as a share of the traffic."""

import random

from lacewingpitch import retry_budget


class TestBudget:
    def test_outage_grows_load_by_the_ratio_only(self):
        budget = retry_budget.RetryBudget(ratio=0.1, reserve=10.0)
        retries = 0
        for _ in range(10_000):
            budget.earn()
            retries += budget.spend()
            retries += budget.spend()
        assert retries <= 10 + 0.1 * 10_000

    def test_quiet_time_saves_up_a_reserve_only(self):
        budget = retry_budget.RetryBudget(ratio=0.1, reserve=5.0)
        for _ in range(1000):
            budget.earn()
        assert sum(budget.spend() for _ in range(100)) == 5

    def test_few_requests_can_still_be_retried(self):
        assert retry_budget.RetryBudget().spend()


class TestBackoff:
    def test_is_random_and_bounded(self):
        source = random.Random(1)
        for retry in range(1, 12):
            waits = [retry_budget.backoff_s(retry, source) for _ in range(50)]
            assert 0.0 <= min(waits) < max(waits) <= 1.0
        assert max(waits) > 0.5
