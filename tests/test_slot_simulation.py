"""Simulated waits for adapter slots."""

import pytest

from lacewingpitch import slot_simulation

LOAD = slot_simulation.Occupancy(load_s=0.25, use_s=1.0)


def waits_s(free_in_s, load_count, count):
    simulation = slot_simulation.SlotSimulation(free_in_s, load_count)
    return [simulation.assign_next(LOAD).total_s for _ in range(count)]


class TestAssignNext:
    def test_free_slot_costs_only_the_load(self):
        assert waits_s([0.0, 2.0], 4, 1) == [0.25]

    def test_assigns_the_slot_that_comes_free_first(self):
        found = slot_simulation.SlotSimulation([2.0, 0.5], 4).assign_next(LOAD)
        assert (found.slot_s, found.load_s) == (0.5, 0.25)

    def test_earlier_adapters_keep_their_slots(self):
        assert waits_s([0.0, 0.1], 4, 3) == pytest.approx([0.25, 0.35, 1.5])

    def test_loads_wait_for_each_other(self):
        assert waits_s([0.0] * 4, 2, 4) == [0.25, 0.25, 0.5, 0.5]

    def test_without_a_slot_the_wait_is_unbounded(self):
        assert waits_s([], 4, 1)[0] >= 3600.0


class TestBusyExtension:
    def test_is_zero_without_demand(self):
        assert slot_simulation.busy_extension_s(1.0, 0.0, 0.5) == 0.0

    def test_is_long_for_a_hot_adapter(self):
        """A request waits for a slot that never comes free.

        The running requests end within half a second, but the adapter is
        requested four times a second.
        """
        found = slot_simulation.busy_extension_s(0.5, 4.0, 0.8)
        assert found > 4.0

    def test_is_short_for_a_cold_adapter(self):
        assert slot_simulation.busy_extension_s(0.5, 0.1, 0.5) < 0.05

    def test_is_bounded(self):
        assert slot_simulation.busy_extension_s(1.0, 1000.0, 9.0) < 1.0
