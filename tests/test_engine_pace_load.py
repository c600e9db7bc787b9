"""What callers get from a slow and a fast engine, by how prompts are paced."""

import collections

import pytest

from benchmarks import pace_scene

SEEDS = (1, 2)


def outcomes(speed, way, per_s, falter_ratio=0.0):
    """Return shares of the requests, and the times of their first events."""
    total = collections.Counter()
    first_s = []
    for seed in SEEDS:
        scene = pace_scene.play(speed, way, per_s, falter_ratio, seed)
        total += scene.outcomes
        first_s += scene.first_s
    shares = {name: count / total.total() for name, count in total.items()}
    return collections.defaultdict(float, shares), sorted(first_s)


class TestSlowEngine:
    @pytest.mark.parametrize('per_s', [3.0, 5.0])
    def test_fewer_answers_are_late(self, per_s):
        """Guards against prompts that leave streams no time."""
        before, _ = outcomes(pace_scene.SLOW, pace_scene.constant, per_s)
        now, _ = outcomes(pace_scene.SLOW, pace_scene.measured, per_s)
        assert before['late by a pause'] > 0.25
        assert now['late by a pause'] < before['late by a pause'] / 4
        late = 1.0 - now['on time']
        assert late < 0.7 * (1.0 - before['on time'])

    def test_fewer_answers_are_late_while_it_falters(self):
        before, _ = outcomes(pace_scene.SLOW, pace_scene.constant, 3.0, 0.15)
        now, _ = outcomes(pace_scene.SLOW, pace_scene.measured, 3.0, 0.15)
        assert now['on time'] > before['on time'] + 0.05


class TestFastEngine:
    @pytest.mark.parametrize('per_s', [6.0, 12.0])
    def test_first_events_are_no_later(self, per_s):
        """Guards against prompts that wait for an engine that has time."""
        before, first_s = outcomes(pace_scene.FAST, pace_scene.constant, per_s)
        now, sooner_s = outcomes(pace_scene.FAST, pace_scene.measured, per_s)
        assert now['on time'] >= before['on time']
        for ratio in (0.5, 0.9, 0.99):
            before_s = first_s[int(ratio * len(first_s))]
            assert sooner_s[int(ratio * len(sooner_s))] <= before_s + 0.01
