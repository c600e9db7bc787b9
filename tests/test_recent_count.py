"""Counts of events in a sliding window."""

import random

from lacewingpitch import recent_count
from tests import clocks


class TestRecentCount:
    def test_never_counts_too_many_and_hardly_too_few(self):
        source = random.Random(1)
        clock = clocks.ManualClock()
        counted = recent_count.RecentCount(10.0, clock)
        events = []
        for _ in range(5000):
            clock.now_s += source.expovariate(20.0)
            counted.add()
            events.append(clock.now_s)
            exact = sum(at_s > clock.now_s - 10.0 for at_s in events)
            least = sum(at_s > clock.now_s - 9.5 for at_s in events)
            assert least <= counted.count <= exact

    def test_forgets_all_after_a_pause(self):
        clock = clocks.ManualClock()
        counted = recent_count.RecentCount(10.0, clock)
        counted.add()
        clock.now_s = 10.1
        assert counted.count == 0
