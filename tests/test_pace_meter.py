"""Pace of an engine, measured from intervals of a known truth."""

import random

from lacewingpitch import engine_pace
from lacewingpitch import hint as hint_module
from lacewingpitch import pace_meter
from lacewingpitch import run_progress
from lacewingpitch import stall_rate

TOKENS_PER_EVENT = 8
GAP_S = 0.3
INTERVAL_S = 0.1


class Engine:
    """Makes intervals of an engine that runs a few streams."""

    def __init__(self, token_s=0.0035, prompt_tokens_per_s=58_000.0):
        self.token_s = token_s
        self.prompt_tokens_per_s = prompt_tokens_per_s
        self.meter = pace_meter.PaceMeter()
        self.now_s = 0.0
        self._random = random.Random(1)
        self._phases = [self._random.random() for _ in range(6)]
        self._progress_events = 0.0

    def run(self, duration_s, slowdown=1.0, prompts_per_s=6.0, run_count=6):
        ends_at_s = self.now_s + duration_s
        while self.now_s < ends_at_s:
            self.now_s += INTERVAL_S
            self._interval(slowdown, prompts_per_s, run_count)

    def _interval(self, slowdown, prompts_per_s, run_count):
        prompt_tokens = 0
        if self._random.random() < prompts_per_s * INTERVAL_S:
            prompt_tokens = 800
        prompt_s = prompt_tokens / self.prompt_tokens_per_s
        tokens = (INTERVAL_S / slowdown - prompt_s) / self.token_s
        before = self._progress_events
        self._progress_events += tokens / TOKENS_PER_EVENT
        counts = [
            int(self._progress_events + phase) - int(before + phase)
            for phase in self._phases[:run_count]
        ]
        interval = run_progress.Interval(
            INTERVAL_S,
            sum(counts) / run_count,
            frozenset(f'r{n}' for n in range(run_count)),
            prompt_tokens,
            run_count * INTERVAL_S,
            0,
        )
        self.meter.record(interval, TOKENS_PER_EVENT, self.now_s)

    def idle(self, duration_s):
        self.now_s += duration_s

    @property
    def pace(self):
        return self.meter.pace(GAP_S, TOKENS_PER_EVENT, self.now_s)


def assert_near(value, truth, tolerance):
    assert abs(value / truth - 1.0) < tolerance, (value, truth)


class TestTruth:
    def test_fast_engine(self):
        engine = Engine(0.0035, 58_000.0)
        engine.run(10.0)
        assert_near(engine.pace.token_s, 0.0035, 0.1)
        assert_near(engine.pace.prompt_tokens_per_s, 58_000.0, 0.25)

    def test_slow_engine(self):
        engine = Engine(0.0086, 24_000.0)
        engine.run(10.0)
        assert_near(engine.pace.token_s, 0.0086, 0.1)
        assert_near(engine.pace.prompt_tokens_per_s, 24_000.0, 0.25)

    def test_prompts_that_are_read_slowly_for_the_token_time(self):
        engine = Engine(0.0035, 24_000.0)
        engine.run(15.0)
        assert_near(engine.pace.token_s, 0.0035, 0.15)
        assert_near(engine.pace.prompt_tokens_per_s, 24_000.0, 0.35)

    def test_busy_prompts_do_not_lengthen_the_token_time(self):
        engine = Engine()
        engine.run(10.0, prompts_per_s=1.0)
        calm_s = engine.pace.token_s
        engine.run(10.0, prompts_per_s=9.0)
        assert_near(engine.pace.token_s, calm_s, 0.15)


class TestEvidence:
    def test_unknown_at_first(self):
        engine = Engine()
        assert engine.pace == engine_pace.UNKNOWN_PACE
        engine.run(0.3)
        assert not engine.pace.is_known

    def test_known_within_a_second(self):
        engine = Engine()
        engine.run(1.0)
        assert engine.pace.is_known

    def test_a_single_run_shows_no_pace(self):
        """Guards against one request's delay taken for the engine's pace."""
        engine = Engine()
        engine.run(10.0, run_count=1)
        assert not engine.pace.is_known


class TestChange:
    def test_slow_for_seconds_shows_within_about_a_second(self):
        engine = Engine()
        engine.run(10.0)
        usual = engine.pace
        engine.run(1.2, slowdown=4.0)
        assert engine.pace.token_s > 2.0 * usual.token_s
        assert engine.pace.prompt_tokens_per_s < usual.prompt_tokens_per_s / 2
        engine.run(3.0, slowdown=4.0)
        engine.run(3.0)
        assert_near(engine.pace.token_s, usual.token_s, 0.25)

    def test_ten_times_slower_and_back(self):
        """Guards against a pace that stays wrong after a large change."""
        engine = Engine()
        engine.run(10.0)
        usual_s = engine.pace.token_s
        engine.run(8.0, slowdown=10.0)
        assert engine.pace.token_s > 5.0 * usual_s
        engine.run(5.0)
        assert_near(engine.pace.token_s, usual_s, 0.35)
        engine.run(30.0)
        assert_near(engine.pace.token_s, usual_s, 0.15)

    def test_lasting_change_is_learned(self):
        engine = Engine()
        engine.run(10.0)
        engine.run(40.0, slowdown=3.0)
        assert_near(engine.pace.token_s, 3 * 0.0035, 0.2)

    def test_slow_engine_without_work_stays_slow(self):
        """Guards against an idle slow engine that attracts all requests."""
        engine = Engine(0.0086, 24_000.0)
        engine.run(10.0)
        engine.idle(600.0)
        assert_near(engine.pace.token_s, 0.0086, 0.1)

    def test_slowed_engine_without_work_recovers(self):
        """Guards against an engine that gets nothing for one bad moment."""
        engine = Engine()
        engine.run(20.0)
        usual_s = engine.pace.token_s
        engine.run(2.0, slowdown=4.0)
        engine.idle(5.0)
        assert_near(engine.pace.token_s, usual_s, 0.4)


class TestBounds:
    def test_engine_that_makes_no_events_stays_within_a_hint(self):
        """Guards against a pace that no entry can decode."""
        engine = Engine()
        engine.run(5.0)
        engine.run(900.0, slowdown=1e9, prompts_per_s=0.0)
        pace = engine.pace
        hint = hint_module.Hint(
            running=1,
            queued=0,
            max_running=32,
            load_wait_ms=0,
            token_us=round(pace.token_s * 1_000_000),
            stalls_per_1000s=round(pace.stalls_per_s * 1000),
        )
        decoded = hint_module.decode_hint(hint_module.encode_hint(hint))
        assert decoded is not None
        engine.run(60.0)
        assert engine.pace.token_s < 0.01


class TestStallRate:
    def test_observed_pauses(self):
        rate = stall_rate.StallRate()
        for second in range(30):
            rate.record(2, 10.0, float(second))
        assert 0.15 < rate.per_s(0.028, GAP_S, 30.0) < 0.25

    def test_follows_from_the_event_time_without_streams(self):
        rate = stall_rate.StallRate()
        fast = rate.per_s(0.028, GAP_S, 0.0)
        slow = rate.per_s(0.069, GAP_S, 0.0)
        assert fast < 0.001
        assert 0.05 < slow < 1.0

    def test_returns_to_the_prior_when_nothing_runs(self):
        """Guards against a slow engine that looks smooth after a rest."""
        rate = stall_rate.StallRate()
        expected = rate.per_s(0.069, GAP_S, 0.0)
        for second in range(30):
            rate.record(0, 10.0, float(second))
        assert rate.per_s(0.069, GAP_S, 30.0) < expected / 5
        assert rate.per_s(0.069, GAP_S, 120.0) > 0.9 * expected

    def test_unlimited_pauses_never_stall(self):
        assert stall_rate.StallRate().per_s(0.069, 0.0, 0.0) == 0.0
