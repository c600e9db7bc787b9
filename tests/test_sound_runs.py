"""Parts of prompts that ran without a crash."""

from lacewingpitch import sound_runs
from tests import clocks


class TestSoundRuns:
    def test_are_remembered_for_a_while(self):
        clock = clocks.ManualClock(100.0)
        runs = sound_runs.SoundRuns(clock)
        runs.record(['a'])
        clock.now_s += 29.0
        assert runs.has_recent('a')
        assert not runs.has_recent('b')
        clock.now_s += 2.0
        assert not runs.has_recent('a')

    def test_memory_is_bounded_and_keeps_the_latest(self):
        """Guards against memory that grows with the parts of a calm day."""
        runs = sound_runs.SoundRuns(clocks.ManualClock(100.0))
        for number in range(20_000):
            runs.record([f'part:{number}', 'shared'])
        assert runs.has_recent('shared')
        assert runs.has_recent('part:19999')
        assert not runs.has_recent('part:0')
        assert len(runs._seen_at_s) <= 8192

    def test_work_for_one_run_is_bounded(self):
        """Guards against a prompt whose parts take an entry's time."""
        runs = sound_runs.SoundRuns(clocks.ManualClock(100.0))
        numbers = iter(range(6000))
        runs.record(f'part:{number}' for number in numbers)
        assert next(numbers) == 1024
        assert runs.has_recent('part:1023')
