"""Expected duration of runs."""

import random

import pytest

from lacewingpitch import run_duration


class TestRunDurationEstimator:
    def test_initial_estimate(self):
        assert run_duration.RunDurationEstimator().expected_s(
            100
        ) == pytest.approx(0.1)

    def test_follows_the_length_of_answers(self):
        """Guards against turns that are expected seconds too early.

        Short and long answers run at one engine, and their mean duration
        fits neither.
        """
        estimator = run_duration.RunDurationEstimator()
        source = random.Random(3)
        for _ in range(300):
            tokens = source.choice([9, 24, 150, 400])
            expected_tokens = int(tokens * source.uniform(0.6, 1.6))
            estimator.record(expected_tokens, 0.15 + 0.015 * tokens)
        # The mean of all runs is 2.3 s; the expected tokens are wrong by up
        # to a half or so.
        assert 0.15 < estimator.expected_s(10) < 0.8
        assert estimator.expected_s(400) == pytest.approx(6.0, rel=0.2)

    def test_is_never_negative(self):
        estimator = run_duration.RunDurationEstimator()
        for _ in range(100):
            estimator.record(100, 1.0)
            estimator.record(200, 3.0)
        assert estimator.expected_s(0) == 0.0

    def test_follows_an_engine_that_slows_down(self):
        estimator = run_duration.RunDurationEstimator()
        for factor in (1.0, 4.0):
            for number in range(300):
                tokens = 10 + number % 200
                estimator.record(tokens, factor * 0.01 * tokens)
        assert estimator.expected_s(100) == pytest.approx(4.0, rel=0.2)
