"""What loads are expected to take."""

import pytest

from lacewingpitch import load_times
from tests import clocks

FIRST_S = 0.3
STORE_S = 0.25
COPY_S = 0.03


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def times(clock):
    return load_times.LoadTimes(clock, FIRST_S)


class TestStore:
    def test_begins_with_the_guess(self, times):
        assert times.expected_s('a') == pytest.approx(FIRST_S)

    def test_follows_what_loads_take(self, times):
        for number in range(30):
            times.loaded(f'a{number}', 0.6)
        assert times.expected_s('x') == pytest.approx(0.6, rel=0.05)

    def test_slow_loads_are_forgotten(self, times, clock):
        """Every request that needs a load is refused.

        Some loads were slow; none is ordered after that, so that none
        shows that they are quick again.
        """
        for number in range(30):
            times.loaded(f'a{number}', 3.0)
        clock.now_s += 30.0
        assert times.expected_s('x') == pytest.approx(FIRST_S, rel=0.1)


class TestCopies:
    def test_what_was_held_of_late_loads_faster(self, times):
        for number in range(4):
            times.loaded(f'a{number}', STORE_S)
        for _ in range(20):
            times.loaded('a0', COPY_S)
        assert times.expected_s('a0') < 0.05
        assert times.expected_s('new') > 0.2

    @pytest.mark.parametrize('kept', [3, 36])
    def test_their_number_is_learned(self, times, kept):
        """Loads are expected to be fast that are not, or the reverse.

        Engines keep copies of 3 or of 36 adapters, and do not say so.
        """
        for number in range(400):
            name = number % 50 if number % 3 else number % (kept - 1)
            rank = times._age_rank(f'a{name}')
            times.loaded(f'a{name}', COPY_S if rank <= kept else STORE_S)
        assert kept / 2 <= times.copy_count <= kept

    def test_a_restart_takes_them(self, times):
        times.loaded('a', STORE_S)
        assert times.expected_s('a') < FIRST_S / 2
        times.forget_copies()
        assert times.expected_s('a') > FIRST_S / 2
