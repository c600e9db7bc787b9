"""What callers get from a fleet whose engines differ in pace."""

import itertools

import pytest

from lacewingpitch import answer_needs
from lacewingpitch import placement
from tests import uneven_fleet

SEEDS = [1, 2]
DURATION_S = 30.0


def play(seed, by_pace, ratios, change=None):
    fleet = uneven_fleet.Fleet(seed, by_pace, ratios)
    if change is not None:
        change(fleet)
    fleet.play(uneven_fleet.make_requests(seed, DURATION_S))
    return fleet


def play_both(seed, ratios, change=None):
    """Return the outcomes without and with placement by pace."""
    plain = play(seed, False, ratios, change)
    by_pace = play(seed, True, ratios, change)
    return plain, by_pace


def every_sixth(fleet):
    return list(fleet.engines.values())[::6]


def preferring_count(fleet, name):
    """Return how many entries send an unheld adapter to its home there."""
    keys = (f'unheld-{number}' for number in itertools.count())
    key = next(
        key
        for key in keys
        if placement.rank_by_hash(key, fleet.instances)[0].name == name
    )
    return sum(
        prefers(entry, key, fleet.instances, name) for entry in fleet.entries
    )


def prefers(entry, key, instances, name):
    """Return whether an engine ranks first, and not to be probed."""
    needs = answer_needs.AnswerNeeds(300, uneven_fleet.WITHIN_S, True)
    probe_count = entry._stall_costs.probe_count
    first = entry.rank(key, instances, needs).instances[0]
    return first.name == name and (
        entry._stall_costs.probe_count == probe_count
    )


@pytest.mark.parametrize('seed', SEEDS)
class TestSlowThird:
    def test_callers_get_more(self, seed):
        """Slow engines get as many streams as the others, which stall."""
        plain, found = play_both(seed, uneven_fleet.uneven_ratios())
        before, after = plain.outcomes, found.outcomes
        assert after['stalled'] < 0.5 * before['stalled']
        assert after['late'] < before['late']
        assert after['cut'] < 0.5 * before['cut']
        assert after['refused'] <= before['refused']
        lost = after['long'] - after['long and good']
        assert lost < 0.5 * (before['long'] - before['long and good'])
        assert after['loads'] < 1.1 * before['loads']

    def test_new_entry_loads_few_adapters_again(self, seed):
        """An entry that knows no paces sends adapters to other homes."""
        known = play(seed, True, uneven_fleet.uneven_ratios())
        fleet = uneven_fleet.Fleet(seed, True, uneven_fleet.uneven_ratios())
        requests = uneven_fleet.make_requests(seed, DURATION_S)
        half = len(requests) // 2
        fleet.play(requests[:half])
        fleet.entries[0] = fleet.new_entry(0)
        fleet.play(requests[half:])
        assert fleet.outcomes['loads'] < 1.05 * known.outcomes['loads']


@pytest.mark.parametrize('seed', SEEDS)
class TestWrongNews:
    def test_some_sidecars_tell_nothing(self, seed):
        """Engines without news of their pace are avoided or overloaded."""

        def silence(fleet):
            for engine in every_sixth(fleet):
                engine.is_silent = True

        ratios = uneven_fleet.uneven_ratios()
        plain, found = play_both(seed, ratios, silence)
        assert found.outcomes['good'] > plain.outcomes['good']
        assert found.outcomes['refused'] <= plain.outcomes['refused']
        assert found.outcomes['loads'] < 1.1 * plain.outcomes['loads']

    def test_slow_engines_say_that_they_are_fast(self, seed):
        """Wrong news draws requests to slow engines."""

        def mislead(fleet):
            for engine in every_sixth(fleet):
                engine.told_ratio = 1.0

        ratios = uneven_fleet.uneven_ratios()
        plain, found = play_both(seed, ratios, mislead)
        assert found.outcomes['good'] > plain.outcomes['good']
        assert found.outcomes['refused'] <= plain.outcomes['refused']

    def test_no_sidecar_tells_anything(self, seed):
        """Requests move although nothing is known."""

        def silence(fleet):
            for engine in fleet.engines.values():
                engine.is_silent = True

        ratios = uneven_fleet.uneven_ratios()
        plain, found = play_both(seed, ratios, silence)
        assert found.outcomes == plain.outcomes
        assert found.requests_by_engine == plain.requests_by_engine


@pytest.mark.parametrize('seed', SEEDS)
class TestChanges:
    def test_all_engines_are_as_slow(self, seed):
        """Requests are refused because no engine is fast."""
        ratios = [1.5] * uneven_fleet.ENGINE_COUNT
        plain, found = play_both(seed, ratios)
        count = plain.outcomes['served'] + plain.outcomes['refused']
        refused = found.outcomes['refused'] - plain.outcomes['refused']
        assert refused < 0.01 * count
        assert found.outcomes['good'] > 0.99 * plain.outcomes['good']

    def test_engine_slows_tenfold_and_recovers(self, seed):
        """An engine that recovered is avoided for ever."""
        ratios = [1.0] * uneven_fleet.ENGINE_COUNT
        fleet = uneven_fleet.Fleet(seed, True, ratios)
        requests = uneven_fleet.make_requests(seed, 60.0)
        engine = fleet.engines['engine-3']
        fleet.play(requests[:1000])
        engine.pace_ratio = 10.0
        fleet.play(requests[1000:4000])
        assert preferring_count(fleet, 'engine-3') < 0.25 * len(fleet.entries)
        engine.pace_ratio = 1.0
        fleet.play(requests[4000:])
        assert preferring_count(fleet, 'engine-3') > 0.5 * len(fleet.entries)

    def test_pace_of_an_earlier_start_is_forgotten(self, seed):
        """A fast engine is avoided as its predecessor was slow."""

        ratios = [1.0] * uneven_fleet.ENGINE_COUNT
        fleet = uneven_fleet.Fleet(seed, True, ratios)
        fleet.engines['engine-3'].pace_ratio = 10.0
        fleet.play(uneven_fleet.make_requests(seed, 15.0))
        assert preferring_count(fleet, 'engine-3') < 0.25 * len(fleet.entries)
        fleet.restart('engine-3')
        assert preferring_count(fleet, 'engine-3') > 0.9 * len(fleet.entries)
