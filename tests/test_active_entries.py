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


class TestEstimate:
    def estimate(self, *names):
        entries = active_entries.ActiveEntries(clocks.ManualClock())
        for name in names:
            entries.record(name)
        return entries.estimate()

    def test_is_the_number_of_entries_that_are_heard_often(self):
        assert self.estimate(*'abc' * 10) == 3

    def test_is_unknown_if_most_are_heard_once(self):
        """Guards against a count of the few that were heard by chance."""
        assert self.estimate(*map(str, range(100))) == 0

    def test_is_unknown_after_few_requests(self):
        """Guards against a count that is far too high for good."""
        assert self.estimate() == 0
        assert self.estimate(*'aabbc') == 0

    def test_allows_for_entries_that_were_not_heard(self):
        assert self.estimate(*'abc' * 9, *'defgh') == 10
