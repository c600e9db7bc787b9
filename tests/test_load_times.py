"""Load time estimates."""

import pytest

from lacewingpitch import load_times
from tests import clocks

INITIAL_S = 0.3
STORE_S = 0.25
COPY_S = 0.03


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def times(clock):
    return load_times.LoadTimes(clock, INITIAL_S)


class TestStore:
    def test_starts_with_the_initial_estimate(self, times):
        assert times.expected_s('a') == pytest.approx(INITIAL_S)

    def test_follows_measured_loads(self, times):
        for number in range(30):
            times.record_load(f'a{number}', 0.6)
        assert times.expected_s('x') == pytest.approx(0.6, rel=0.05)

    def test_slow_loads_are_forgotten(self, times, clock):
        """Every request that needs a load is refused after slow loads.

        The estimate stays high, so no load is started that would show
        that loads are fast again.
        """
        for number in range(30):
            times.record_load(f'a{number}', 3.0)
        clock.now_s += 30.0
        assert times.expected_s('x') == pytest.approx(INITIAL_S, rel=0.1)


class TestCopies:
    def test_recently_held_adapter_loads_faster(self, times):
        for number in range(4):
            times.record_load(f'a{number}', STORE_S)
        for _ in range(20):
            times.record_load('a0', COPY_S)
        assert times.expected_s('a0') < 0.05
        assert times.expected_s('new') > 0.2

    @pytest.mark.parametrize('cached', [3, 36])
    def test_their_number_is_learned(self, times, cached):
        """Load times are misjudged because the copy count is unknown.

        Engines cache copies of 3 or of 36 adapters and do not report
        the number.
        """
        for number in range(400):
            name = number % 50 if number % 3 else number % (cached - 1)
            rank = times._recency_rank(f'a{name}')
            times.record_load(
                f'a{name}', COPY_S if rank <= cached else STORE_S
            )
        assert cached / 2 <= times.copy_count <= cached

    def test_restart_clears_them(self, times):
        times.record_load('a', STORE_S)
        assert times.expected_s('a') < INITIAL_S / 2
        times.clear_copies()
        assert times.expected_s('a') > INITIAL_S / 2
