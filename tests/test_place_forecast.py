"""When an adapter finds a place, played forward."""

import pytest

from lacewingpitch import place_forecast

LOAD = place_forecast.Occupancy(load_s=0.25, use_s=1.0)


def waits_s(free_in_s, load_count, count):
    forecast = place_forecast.PlaceForecast(free_in_s, load_count)
    return [forecast.take(LOAD).total_s for _ in range(count)]


class TestTake:
    def test_a_free_place_costs_the_load_alone(self):
        assert waits_s([0.0, 2.0], 4, 1) == [0.25]

    def test_the_soonest_place_is_taken(self):
        found = place_forecast.PlaceForecast([2.0, 0.5], 4).take(LOAD)
        assert (found.place_s, found.load_s) == (0.5, 0.25)

    def test_those_ahead_keep_their_places(self):
        assert waits_s([0.0, 0.1], 4, 3) == pytest.approx([0.25, 0.35, 1.5])

    def test_loads_wait_for_each_other(self):
        assert waits_s([0.0] * 4, 2, 4) == [0.25, 0.25, 0.5, 0.5]

    def test_without_a_place_it_never_comes(self):
        assert waits_s([], 4, 1) == [float('inf')]
