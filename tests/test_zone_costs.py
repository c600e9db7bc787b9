"""Placement by availability zone."""

import hypothesis
from hypothesis import strategies
import pytest

from lacewingpitch import hint
from lacewingpitch import placement
from lacewingpitch import settings
from lacewingpitch import zone_costs
from tests import clocks
from tests import samples
from tests import uneven_fleet

KEYS = [f'a{number}@1' for number in range(12)]
ENGINE_COUNT = 6
DURATION_S = 30.0


def make_instances(zones):
    return tuple(
        samples.sidecar(f's-{number}', availability_zone=zone)
        for number, zone in enumerate(zones)
    )


def make_placement(zone=None, instance='edge-1'):
    return placement.Placement(
        clocks.ManualClock(100.0),
        settings.ObjectiveSettings(stall_weight=1.0),
        no_spare_slot_penalty_s=0.0,
        instance=instance,
        zone_costs=zone_costs.ZoneCosts(zone) if zone else None,
    )


def make_hint(*adapters, **fields):
    values = {
        'running': 4,
        'queued': 0,
        'max_running': 32,
        'load_wait_ms': 300,
        'spare_slots': 4,
        'adapters': hint.encode_fingerprints(adapters),
    }
    return hint.Hint(**values | fields)


@pytest.fixture
def instances():
    return make_instances(['a', 'a', 'a', 'b', 'b', 'b'])


class TestRanking:
    def test_prefers_a_holder_in_the_own_zone(self, instances):
        for zone in 'ab':
            entry = make_placement(zone)
            for instance in instances:
                entry.apply_hint(instance.name, make_hint(*KEYS))
            for key in KEYS:
                first = entry.ranked_instances(key, instances)[0]
                assert first.availability_zone == zone

    def test_loads_nothing_to_stay_in_the_zone(self, instances):
        """An adapter is loaded in each zone that asks for it."""
        entry = make_placement('a')
        for instance in instances:
            held = KEYS if instance.availability_zone == 'b' else ()
            entry.apply_hint(instance.name, make_hint(*held))
        for key in KEYS:
            first = entry.ranked_instances(key, instances)[0]
            assert first.availability_zone == 'b'

    def test_home_is_the_same_from_every_zone(self, instances):
        """An adapter that nobody holds is loaded once by each zone."""
        for key in KEYS:
            homes = {
                make_placement(zone).ranked_instances(key, instances)[0].name
                for zone in 'ab'
            }
            assert len(homes) == 1

    def test_full_engine_in_the_own_zone_is_passed_over(self, instances):
        """The engines of a zone with many callers are overloaded."""
        entry = make_placement('a')
        for instance in instances:
            is_own = instance.availability_zone == 'a'
            full = {'running': 32, 'queued': 8, 'turn_wait_ms': 400}
            entry.apply_hint(
                instance.name, make_hint(*KEYS, **full if is_own else {})
            )
        for key in KEYS:
            first = entry.ranked_instances(key, instances)[0]
            assert first.availability_zone == 'b'

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, ENGINE_COUNT - 1),
                strategies.integers(0, 40),
                strategies.sets(strategies.sampled_from(KEYS)),
                strategies.sampled_from(KEYS),
            ),
            max_size=20,
        ),
        strategies.sampled_from(['a', 'elsewhere']),
    )
    def test_is_the_same_where_all_engines_share_a_zone(self, steps, zone):
        instances = make_instances(['a'] * ENGINE_COUNT)
        found, plain = make_placement(zone), make_placement()
        for number, running, held, key in steps:
            for entry in (found, plain):
                entry.apply_hint(
                    instances[number].name, make_hint(*held, running=running)
                )
            assert found.ranked_instances(
                key, instances
            ) == plain.ranked_instances(key, instances)


@pytest.mark.parametrize('seed', [1, 2])
@pytest.mark.parametrize('skew_ratio', [0.0, 0.5])
class TestFleet:
    def test_more_turns_in_the_own_zone(self, seed, skew_ratio):
        """Answers cross zones although an engine of the own one is free."""
        plain, found = (
            uneven_fleet.Fleet(
                seed, True, uneven_fleet.uneven_ratios(), by_zone, skew_ratio
            )
            for by_zone in (False, True)
        )
        for fleet in (plain, found):
            fleet.play(uneven_fleet.make_requests(seed, DURATION_S))
        before, after = plain.outcomes, found.outcomes
        assert after['own zone'] > 1.3 * before['own zone']
        assert after['loads'] < 1.1 * before['loads']
        assert after['good'] > 0.99 * before['good']
        assert after['refused'] <= before['refused'] + 0.001 * before['served']
