"""Number of entries that send requests to a sidecar."""

from lacewingpitch import active_entries
from tests import clocks


class TestActiveEntries:
    def test_each_entry_counts_once_within_the_window(self):
        """Guards against replaced entries that keep counting.

        They would keep their share of the retry budget for good.
        """
        clock = clocks.ManualClock()
        entries = active_entries.ActiveEntries(clock)
        for name in ('a', 'b', 'a'):
            entries.record(name)
        assert len(entries) == 2
        clock.now_s = 6.0
        entries.record('a')
        clock.now_s = 11.0
        entries.record('c')
        assert len(entries) == 2
