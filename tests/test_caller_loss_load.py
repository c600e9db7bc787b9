"""Callers that compete for the turns of two engines, in virtual time."""

import dataclasses
import functools
import hashlib

import pytest

from benchmarks import caller_loss as benchmark
from lacewingpitch import parts

SEEDS = (1, 2)
LOADS = {
    '1.2 times': (benchmark.Phase(1.2, 10.0),),
    '1.5 times': (benchmark.Phase(1.5, 10.0),),
    '2 times': (benchmark.Phase(2.0, 10.0),),
    'burst': (
        benchmark.Phase(0.7, 4.0),
        benchmark.Phase(2.2, 3.0),
        benchmark.Phase(0.7, 6.0),
    ),
}
# Outcomes of a load without the part, as they were before it existed.
STANDING_DIGEST = '2243c44aff15cad2'


def play(load, is_on, seed=1, events=()):
    """Return what became of each call of a load."""
    on = (parts.Part.CALLER_LOSS,) if is_on else ()
    fates, _ = benchmark.play(
        benchmark.calls(load, seed), seed, events, parts=on
    )
    return fates


@functools.cache
def played(name, is_on):
    """Return what became of each call of a named load, over the seeds."""
    fates = []
    for seed in SEEDS:
        fates += play(LOADS[name], is_on, seed)
    return fates


def summary(fates, kind=None):
    """Return the summary of the calls of a kind."""
    return benchmark.Summary.of(
        f for f in fates if kind is None or f.call.kind is kind
    )


class TestSwitch:
    def test_without_the_part_each_outcome_is_as_before(self):
        """Guards against a switch that changes deployments without it."""
        fates = play((benchmark.Phase(1.5, 6.0),), is_on=False)
        text = ','.join(
            f'{fate.call.number}:{fate.outcome}:{fate.refused_count}'
            f':{fate.first_event_s:.4f}'
            for fate in fates
        )
        digest = hashlib.sha256(text.encode()).hexdigest()
        assert digest[:16] == STANDING_DIGEST

    def test_nothing_changes_while_nothing_is_scarce(self):
        """Guards against refusing or delaying callers without need."""
        load = (benchmark.Phase(0.3, 10.0),)
        before = play(load, is_on=False)
        after = play(load, is_on=True)
        assert {fate.refused_count for fate in (*before, *after)} == {0}
        assert {fate.outcome for fate in (*before, *after)} == {'on time'}


@pytest.mark.parametrize('name', LOADS)
class TestOverload:
    def test_more_callers_are_on_time(self, name):
        """Guards against turns for callers that are late anyway."""
        before = summary(played(name, False))
        after = summary(played(name, True))
        assert after.on_time > before.on_time - 0.01
        assert after.lost < before.lost + 0.03

    def test_urgent_callers_are_on_time_no_less_often(self, name):
        """Guards against patient callers that delay urgent ones."""
        before = summary(played(name, False), benchmark.URGENT)
        after = summary(played(name, True), benchmark.URGENT)
        assert after.on_time >= before.on_time

    def test_no_kind_starves(self, name):
        """Guards against a kind that is served far less often than all."""
        fates = played(name, True)
        all_served = summary(fates).served
        for kind in benchmark.KINDS:
            assert summary(fates, kind).served > 0.5 * all_served

    def test_ranks_differ_less_than_before(self, name):
        """Guards against serving patient callers before urgent ones."""

        def excess(is_on):
            served = [
                summary(played(name, is_on), kind).served
                for kind in benchmark.KINDS
            ]
            return max(
                less_urgent - urgent
                for rank, urgent in enumerate(served)
                for less_urgent in served[rank:]
            )

        assert excess(True) < max(excess(False), 0.05)

    def test_large_requests_do_not_starve(self, name):
        """Guards against preferring small requests."""
        fates = played(name, True)
        for kind in benchmark.KINDS:
            largest = benchmark.Summary.of(benchmark.largest(fates, kind))
            assert largest.served > 0.5 * summary(fates, kind).served

    def test_no_organisation_starves(self, name):
        """Guards against an organisation that others crowd out."""
        fates = played(name, True)
        least = benchmark.least_served(fates)
        assert least > 0.5 * summary(fates).served


class TestOrganisationFlood:
    @pytest.mark.parametrize('flooder', [0, 8])
    def test_flood_does_not_starve_other_organisations(self, flooder):
        """Guards against one organisation's flood that makes others late."""
        name = benchmark.ORGANISATIONS[flooder]
        usual = benchmark.calls((benchmark.Phase(0.8, 10.0),), 1)
        load = benchmark.with_flood(usual, name, 1)
        fates, _ = benchmark.play(load, 1, parts=(parts.Part.CALLER_LOSS,))
        others = [f for f in fates if f.call.organisation != name]
        flood = [f for f in fates if f.call.organisation == name]
        assert benchmark.Summary.of(others).served > 0.85
        assert benchmark.Summary.of(flood).served > 0.25


class TestEngineAway:
    def test_callers_are_served_after_an_engine_was_away(self):
        """Guards against callers that return together to an engine."""
        load = (benchmark.Phase(0.7, 10.0),)
        events = benchmark.away(0, 3.0, 5.0)
        before = summary(play(load, False, events=events))
        after = summary(play(load, True, events=events))
        assert after.served > 0.9
        assert after.served >= before.served - 0.02
        assert after.on_time >= before.on_time - 0.02


class TestWrongEstimates:
    def check(self, load):
        """Check that callers lose no more than without the part."""
        standing = benchmark.Summary.of(benchmark.play(load, 1)[0])
        found = benchmark.Summary.of(
            benchmark.play(load, 1, parts=(parts.Part.CALLER_LOSS,))[0]
        )
        assert found.on_time >= standing.on_time - 0.02
        assert found.lost <= standing.lost + 0.05

    @pytest.mark.parametrize('ratio', [0.5, 2.0])
    def test_prompt_rates_that_are_wrong_by_two(self, ratio, monkeypatch):
        """Guards against decisions that need the exact rate of prompts."""
        rate_per_s = ratio * benchmark.PROMPT_TOKENS_PER_S
        monkeypatch.setattr(benchmark, 'PROMPT_TOKENS_PER_S', rate_per_s)
        self.check(benchmark.calls(LOADS['1.5 times'], 1))

    @pytest.mark.parametrize('ratio', [0.5, 2.0])
    def test_answer_lengths_that_are_wrong_by_two(self, ratio):
        """Guards against decisions that need the exact length of answers."""
        self.check(
            [
                dataclasses.replace(
                    call, expected_tokens=int(call.expected_tokens * ratio)
                )
                for call in benchmark.calls(LOADS['1.5 times'], 1)
            ]
        )
