"""Placement by the pace of engines."""

import math
import random

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from lacewingpitch import answer_needs
from lacewingpitch import cached_copies
from lacewingpitch import engine_pace
from lacewingpitch import hint
from lacewingpitch import pace_table
from lacewingpitch import placement
from lacewingpitch import probe_budget
from lacewingpitch import settings
from lacewingpitch import stall_costs
from tests import clocks
from tests import samples

ENGINE_COUNT = 6
KEYS = [f'a{number}@1' for number in range(8)]
LONG = answer_needs.AnswerNeeds(300, 12.0, True)
SHORT = answer_needs.AnswerNeeds(8, 12.0, True)
SLOW = {'token_us': 20_000, 'stalls_per_1000s': 400}
FAST = {'token_us': 7_000, 'stalls_per_1000s': 1}


@pytest.fixture
def clock():
    return clocks.ManualClock(100.0)


@pytest.fixture
def instances():
    return tuple(samples.sidecar(f's-{n}') for n in range(ENGINE_COUNT))


def make_placement(clock, costs=None, instance='edge-1'):
    return placement.Placement(
        clock,
        settings.ObjectiveSettings(stall_weight=1.0),
        no_spare_slot_penalty_s=0.0,
        load_max_age_s=2.0,
        cached_copies=cached_copies.CachedCopies(),
        instance=instance,
        stall_costs=costs,
    )


def make_costs(clock, instance='edge-1'):
    return stall_costs.StallCosts(clock, instance)


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


def apply_paces(entry, instances, slow=(), fast_pace=FAST, **fields):
    for number, instance in enumerate(instances):
        pace = SLOW if number in slow else fast_pace
        entry.apply_hint(instance.name, make_hint(**pace, **fields))


SLOW_PACE = make_hint(**SLOW).pace


def home_of(key, instances):
    ranked = placement.rank_by_hash(key, instances)
    return instances.index(ranked[0])


HINTS = strategies.builds(
    make_hint,
    running=strategies.integers(0, 40),
    queued=strategies.integers(0, 8),
    turn_wait_ms=strategies.integers(0, 900),
    load_wait_ms=strategies.integers(0, 2000),
    adapters=strategies.sets(strategies.sampled_from(KEYS)).map(
        hint.encode_fingerprints
    ),
)
TOKEN_US = strategies.integers(0, 50_000)
STALLS = strategies.integers(0, 3000)
STEPS = strategies.lists(
    strategies.tuples(
        strategies.integers(0, ENGINE_COUNT - 1),
        HINTS,
        TOKEN_US,
        STALLS,
        strategies.sampled_from(KEYS),
        strategies.floats(0.0, 6.0),
    ),
    min_size=1,
    max_size=20,
)


class TestSameRanking:
    """Rankings against those of placement without pace."""

    def check(self, steps, costs_of, pace_of):
        clock = clocks.ManualClock(100.0)
        found = make_placement(clock, costs_of(clock))
        plain = make_placement(clock)
        instances = tuple(
            samples.sidecar(f's-{n}') for n in range(ENGINE_COUNT)
        )
        for number, sent, token_us, stalls, key, pause_s in steps:
            clock.now_s += pause_s
            name = instances[number].name
            plain.apply_hint(name, sent)
            fields = msgspec.structs.asdict(sent)
            found.apply_hint(
                name, hint.Hint(**fields | pace_of(token_us, stalls))
            )
            for needs in (LONG, SHORT):
                assert found.rank(
                    key, instances, needs
                ).instances == plain.ranked_instances(key, instances)

    @hypothesis.given(STEPS)
    def test_when_the_part_is_off(self, steps):
        self.check(
            steps,
            lambda clock: None,
            lambda token_us, stalls: {
                'token_us': token_us,
                'stalls_per_1000s': stalls,
            },
        )

    @hypothesis.given(STEPS)
    def test_when_no_pace_is_known(self, steps):
        self.check(
            steps,
            make_costs,
            lambda token_us, stalls: {'stalls_per_1000s': stalls},
        )

    @hypothesis.given(STEPS)
    def test_when_all_engines_are_as_slow(self, steps):
        """Requests move between engines of which none is better."""
        self.check(steps, make_costs, lambda token_us, stalls: SLOW)


class TestRanking:
    @pytest.mark.parametrize('key', KEYS)
    def test_long_answer_avoids_a_slow_home(self, clock, instances, key):
        entry = make_placement(clock, make_costs(clock))
        home = home_of(key, instances)
        apply_paces(entry, instances, {home})
        ranked = entry.rank(key, instances, LONG).instances
        assert ranked[0] != instances[home]

    @pytest.mark.parametrize('key', KEYS)
    def test_short_answer_stays_at_a_slow_home(self, clock, instances, key):
        entry = make_placement(clock, make_costs(clock))
        home = home_of(key, instances)
        apply_paces(entry, instances, {home})
        ranked = entry.rank(key, instances, SHORT).instances
        assert ranked[0] == instances[home]

    def test_entries_agree_on_the_next_engine(self, clock, instances):
        """An adapter is loaded at several engines instead of its home."""
        entries = [
            make_placement(clock, make_costs(clock, name), name)
            for name in ('edge-1', 'edge-2')
        ]
        for key in KEYS:
            for entry in entries:
                apply_paces(entry, instances, {home_of(key, instances)})
            first, second = (
                entry.rank(key, instances, LONG).instances[0]
                for entry in entries
            )
            assert first == second

    def test_answer_that_cannot_end_in_time_goes_elsewhere(
        self, clock, instances
    ):
        entry = make_placement(clock, make_costs(clock))
        needs = answer_needs.AnswerNeeds(900, 12.0, False)
        home = home_of(KEYS[0], instances)
        apply_paces(entry, instances, {home})
        ranked = entry.rank(KEYS[0], instances, needs).instances
        assert ranked[0] != instances[home]

    def test_counts_moved_requests(self, clock, instances):
        costs = make_costs(clock)
        entry = make_placement(clock, costs)
        home = home_of(KEYS[0], instances)
        apply_paces(entry, instances, {home})
        entry.rank(KEYS[0], instances, SHORT)
        assert costs.moved_count == 0
        entry.rank(KEYS[0], instances, LONG)
        assert costs.moved_count == 1


class TestToldPace:
    def test_outlives_the_load_and_the_hint(self, clock, instances):
        """Requests go to a slow engine once its load report is old."""
        entry = make_placement(clock, make_costs(clock))
        home = home_of(KEYS[0], instances)
        apply_paces(entry, instances, {home})
        clock.now_s += placement.HINT_MAX_AGE_S + 1.0
        # The budget of probes would allow one at this age.
        for number, instance in enumerate(instances):
            if number != home:
                entry.apply_hint(instance.name, make_hint(**FAST))
        chosen = [
            entry.rank(KEYS[0], instances, LONG).instances[0]
            for _ in range(20)
        ]
        assert chosen.count(instances[home]) <= 1

    def test_unlisted_engine_is_forgotten(self, clock, instances):
        entry = make_placement(clock, make_costs(clock))
        apply_paces(entry, instances)
        assert entry.known_pace_count == len(instances)
        entry.retain(instances[:2])
        assert entry.known_pace_count == 2

    def test_restart_forgets_it(self, clock, instances):
        """A restarted engine is avoided for what it was before."""
        entry = make_placement(clock, make_costs(clock))
        home = home_of(KEYS[0], instances)
        apply_paces(entry, instances, {home})
        entry.reset_instance(instances[home].name)
        ranked = entry.rank(KEYS[0], instances, LONG).instances
        assert ranked[0] == instances[home]

    def test_is_forgotten_when_the_sidecar_tells_none(self, clock, instances):
        """An engine is avoided for ever as its sidecar no longer measures."""
        entry = make_placement(clock, make_costs(clock))
        home = home_of(KEYS[0], instances)
        apply_paces(entry, instances, {home})
        clock.now_s += 60.0
        entry.apply_hint(instances[home].name, make_hint())
        ranked = entry.rank(KEYS[0], instances, LONG).instances
        assert ranked[0] == instances[home]

    def test_hint_without_a_pace_keeps_it(self, clock, instances):
        entry = make_placement(clock, make_costs(clock))
        home = home_of(KEYS[0], instances)
        apply_paces(entry, instances, {home})
        entry.apply_hint(instances[home].name, make_hint())
        ranked = entry.rank(KEYS[0], instances, LONG).instances
        assert ranked[0] != instances[home]


class TestProbes:
    def test_cost_of_a_slow_engine_is_bounded(self, clock, instances):
        """Probes of an engine that stays slow cost many requests."""
        costs = make_costs(clock)
        entry = make_placement(clock, costs)
        home = home_of(KEYS[0], instances)
        losses = 0.0
        for _ in range(2000):
            clock.now_s += 6.0
            apply_paces(entry, instances, {home})
            clock.now_s += 6.0
            ranked = entry.rank(KEYS[0], instances, LONG).instances
            if ranked[0] == instances[home]:
                losses += SLOW_PACE.stall_probability(LONG.tokens)
        assert costs.probe_count > 0
        assert losses <= 0.01 * 2000 + 1.0

    def test_engine_that_turned_well_is_found(self, clock, instances):
        """An engine that recovered stays without requests."""
        entry = make_placement(clock, make_costs(clock))
        home = home_of(KEYS[0], instances)
        apply_paces(entry, instances, {home})
        for _ in range(200):
            clock.now_s += 0.5
            first = entry.rank(KEYS[0], instances, LONG).instances[0]
            entry.apply_hint(first.name, make_hint(**FAST))
        ranked = entry.rank(KEYS[0], instances, LONG).instances
        assert ranked[0] == instances[home]

    def test_recent_news_needs_no_probe(self, clock, instances):
        costs = make_costs(clock)
        entry = make_placement(clock, costs)
        home = home_of(KEYS[0], instances)
        for _ in range(300):
            clock.now_s += 1.0
            apply_paces(entry, instances, {home})
            entry.rank(KEYS[0], instances, LONG)
        assert costs.probe_count == 0

    def test_entries_probe_at_different_times(self):
        """All entries probe a slow engine at the same moment."""
        firsts = set()
        for number in range(30):
            budget = probe_budget.ProbeBudget(f'edge-{number}')
            count = 0
            while not budget.try_acquire(0.9):
                budget.record_request()
                count += 1
            firsts.add(count)
        assert len(firsts) > 15


class TestPaceTable:
    def loss(self, needs, **fields):
        table = pace_table.PaceTable()
        for column, pace in enumerate([FAST, SLOW | fields]):
            told = engine_pace.ToldPace(make_hint(**pace).pace, 0.0)
            table.put(column, told)
        return table.losses(needs).get(1, 0.0)

    def test_loss_grows_with_the_length(self):
        losses = [
            self.loss(answer_needs.AnswerNeeds(tokens, math.inf, True))
            for tokens in (0, 8, 80, 800)
        ]
        assert losses == sorted(losses)
        assert losses[0] == 0.0
        assert losses[-1] > 0.9

    def test_no_loss_where_pauses_do_not_matter(self):
        assert self.loss(answer_needs.AnswerNeeds(100, 12.0, False)) == 0.0

    def test_small_difference_is_no_loss(self):
        """Noise of the measurements moves requests and loads adapters."""
        small = {'token_us': 7000, 'stalls_per_1000s': 5}
        assert self.loss(LONG, **small) == 0.0

    def test_is_relative_to_the_best_engine(self):
        probability = SLOW_PACE.stall_probability(LONG.tokens)
        least = make_hint(**FAST).pace.stall_probability(LONG.tokens)
        assert self.loss(LONG) == pytest.approx(probability - least)

    def test_forgotten_pace_is_no_loss(self):
        table = pace_table.PaceTable()
        table.put(0, engine_pace.ToldPace(SLOW_PACE, 0.0))
        table.put(1, engine_pace.ToldPace(make_hint(**FAST).pace, 0.0))
        table.put(0, None)
        assert table.losses(LONG) == {}


class TestStates:
    def test_states_of_many_hints_keep_the_last_pace(self, clock, instances):
        source = random.Random(7)
        entry = make_placement(clock, make_costs(clock))
        last = {}
        for _ in range(300):
            instance = source.choice(instances)
            token_us = source.randrange(1, 30_000)
            entry.apply_hint(instance.name, make_hint(token_us=token_us))
            entry.rank('a@1', instances, LONG)
            last[instance.name] = token_us / 1_000_000
        costs = entry._costs_for(instances)
        paces = {
            instances[column].name: told.pace.token_s
            for column, told in costs.paces._told.items()
        }
        assert paces == last


class TestOnlyUneven:
    """Fleets on which the part changes nothing."""

    def table(self, *token_ms):
        table = pace_table.PaceTable()
        for column, token in enumerate(token_ms):
            pace = engine_pace.EnginePace(token / 1000.0, 0.0, 0.1 * token)
            table.put(column, engine_pace.ToldPace(pace, 0.0))
        return table

    def added(self, table, only_uneven):
        waits_s = [0.0] * 6
        costs = stall_costs.StallCosts(
            clocks.ManualClock(), 'edge-1', only_uneven
        )
        needs = answer_needs.AnswerNeeds(300, 12.0, True)
        costs.add(waits_s, range(6), table, needs)
        return sum(waits_s)

    def test_nothing_is_added_where_engines_run_about_alike(self):
        """Guards against moves that only bring adapters to more engines."""
        table = self.table(5.0, 5.2, 5.0, 6.5, 6.6, 5.1)
        assert not table.is_uneven
        assert self.added(table, only_uneven=True) == 0.0
        assert self.added(table, only_uneven=False) > 0.0

    def test_one_slow_engine_does_not_make_a_fleet_uneven(self):
        table = self.table(5.0, 5.2, 5.0, 5.1, 5.0, 20.0)
        assert not table.is_uneven

    def test_slow_engines_cost_among_others_that_are_fast(self):
        table = self.table(3.5, 3.6, 3.5, 8.6, 8.6, 8.7)
        assert table.is_uneven
        assert self.added(table, only_uneven=True) > 0.0
