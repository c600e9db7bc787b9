"""When an adapter finds a place, played forward."""

import pytest

from lacewingpitch import slot_simulation

LOAD = slot_simulation.Occupancy(load_s=0.25, use_s=1.0)


def waits_s(free_in_s, load_count, count):
    forecast = slot_simulation.SlotSimulation(free_in_s, load_count)
    return [forecast.assign_next(LOAD).total_s for _ in range(count)]


class TestTake:
    def test_a_free_place_costs_the_load_alone(self):
        assert waits_s([0.0, 2.0], 4, 1) == [0.25]

    def test_the_soonest_place_is_taken(self):
        found = slot_simulation.SlotSimulation([2.0, 0.5], 4).assign_next(LOAD)
        assert (found.slot_s, found.load_s) == (0.5, 0.25)

    def test_those_ahead_keep_their_places(self):
        assert waits_s([0.0, 0.1], 4, 3) == pytest.approx([0.25, 0.35, 1.5])

    def test_loads_wait_for_each_other(self):
        assert waits_s([0.0] * 4, 2, 4) == [0.25, 0.25, 0.5, 0.5]

    def test_without_a_place_it_never_comes(self):
        assert waits_s([], 4, 1)[0] >= 3600.0


class TestRenewed:
    def test_an_adapter_that_nobody_asks_for_is_not_kept(self):
        assert slot_simulation.busy_extension_s(1.0, 0.0, 0.5) == 0.0

    def test_a_hot_one_is_never_idle(self):
        """A request waits for a place that never comes free.

        The runs that are there end within half a second, but the adapter
        is asked for four times a second.
        """
        found = slot_simulation.busy_extension_s(0.5, 4.0, 0.8)
        assert found > 4.0

    def test_a_cold_one_is_kept_hardly_longer(self):
        assert slot_simulation.busy_extension_s(0.5, 0.1, 0.5) < 0.05

    def test_is_bounded(self):
        assert slot_simulation.busy_extension_s(1.0, 1000.0, 9.0) < 1.0
