"""How many entries ask one sidecar."""

from lacewingpitch import active_entries
from tests import clocks


class TestActiveEntries:
    def test_each_counts_once_and_for_a_while(self):
        """Retries stay scarce for good after many entries were replaced.

        Those that are gone would keep their share of the budget.
        """
        clock = clocks.ManualClock()
        entries = active_entries.ActiveEntries(clock)
        for name in ('a', 'b', 'a'):
            entries.note(name)
        assert len(entries) == 2
        clock.now_s = 6.0
        entries.note('a')
        clock.now_s = 11.0
        entries.note('c')
        assert len(entries) == 2
