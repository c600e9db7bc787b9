"""How long runs are expected to take."""

import random

import pytest

from lacewingpitch import run_duration


class TestRunTimes:
    def test_begins_with_a_bounded_guess(self):
        assert run_duration.RunDurationEstimator().expected_s(
            100
        ) == pytest.approx(0.1)

    def test_follows_the_length_of_answers(self):
        """Places are expected to be free that are kept for seconds more.

        Short and long answers run at one engine; the mean of both tells
        of neither.
        """
        times = run_duration.RunDurationEstimator()
        source = random.Random(3)
        for _ in range(300):
            tokens = source.choice([9, 24, 150, 400])
            told = int(tokens * source.uniform(0.6, 1.6))
            times.learn(told, 0.15 + 0.015 * tokens)
        # The mean of all is 2.3 s; what callers tell is wrong by a half.
        assert 0.15 < times.expected_s(10) < 0.8
        assert times.expected_s(400) == pytest.approx(6.0, rel=0.2)

    def test_is_never_negative(self):
        times = run_duration.RunDurationEstimator()
        for _ in range(100):
            times.learn(100, 1.0)
            times.learn(200, 3.0)
        assert times.expected_s(0) == 0.0

    def test_follows_an_engine_that_turns_slow(self):
        times = run_duration.RunDurationEstimator()
        for factor in (1.0, 4.0):
            for number in range(300):
                tokens = 10 + number % 200
                times.learn(tokens, factor * 0.01 * tokens)
        assert times.expected_s(100) == pytest.approx(4.0, rel=0.2)
