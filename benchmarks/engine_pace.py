"""Ways to measure an engine's pace, and to release prompts by it.

Prints how near two ways come to the known speed of an engine, and what
callers get while prompts are released at constant rates, by the measured
pace, or by feedback from pauses.
"""

import collections
import statistics
import sys

import structlog

from benchmarks import pace_scene
from lacewingpitch import engine_pace
from lacewingpitch import pace_meter
from lacewingpitch import pace_watch

_SEEDS = (1, 2, 3)
_WARM_UP_S = 8.0
_OUTCOMES = ('on time', 'late first event', 'late by a pause', 'refused')


class RegressionMeter(pace_meter.PaceMeter):
    """Recursive least squares of time over tokens and prompt tokens."""

    DECAY_PER_S = 0.37
    PROMPT_UNIT = 200.0

    def __init__(self):
        super().__init__()
        self._sums = [0.0] * 5

    def record(self, interval, tokens_per_event, now_s):
        super().record(interval, tokens_per_event, now_s)
        if len(interval.run_ids) < 2:
            return
        seconds = interval.duration_s
        tokens = interval.events * tokens_per_event
        prompts = interval.prompt_tokens / self.PROMPT_UNIT
        ratio = self.DECAY_PER_S**seconds
        added = (
            tokens**2,
            tokens * prompts,
            prompts**2,
            tokens * seconds,
            prompts * seconds,
        )
        self._sums = [
            old * ratio + new
            for old, new in zip(self._sums, added, strict=True)
        ]

    def pace(self, gap_s, tokens_per_event, now_s):
        if not super().pace(gap_s, tokens_per_event, now_s).is_known:
            return engine_pace.UNKNOWN_PACE
        tt, tp, pp, ts, ps = self._sums
        tt += 1e-6
        pp += 1e-3
        determinant = tt * pp - tp**2
        token_s = (ts * pp - ps * tp) / determinant
        prompt_s = max(1e-6, (tt * ps - tp * ts) / determinant)
        return engine_pace.EnginePace(token_s, self.PROMPT_UNIT / prompt_s)


class ScaledMeter(pace_meter.PaceMeter):
    """Time for tokens alone, and prompts at a fixed ratio to it."""

    PROMPT_TOKENS_PER_TOKEN = 200.0
    DECAY_PER_S = 0.37

    def __init__(self):
        super().__init__()
        self._seconds = 0.0
        self._tokens = 0.0

    def record(self, interval, tokens_per_event, now_s):
        super().record(interval, tokens_per_event, now_s)
        if len(interval.run_ids) < 2:
            return
        ratio = self.DECAY_PER_S**interval.duration_s
        tokens = interval.events * tokens_per_event
        self._seconds = self._seconds * ratio + interval.duration_s
        self._tokens = self._tokens * ratio + tokens

    def pace(self, gap_s, tokens_per_event, now_s):
        if not super().pace(gap_s, tokens_per_event, now_s).is_known:
            return engine_pace.UNKNOWN_PACE
        token_s = self._seconds / max(1.0, self._tokens)
        return engine_pace.EnginePace(
            token_s, self.PROMPT_TOKENS_PER_TOKEN / token_s
        )


class _Meters(pace_meter.PaceMeter):
    """Records what several meters find, and knows no pace itself."""

    def __init__(self):
        super().__init__()
        self._meters = {
            'usual and recent': pace_meter.PaceMeter(),
            'regression': RegressionMeter(),
            'scaled': ScaledMeter(),
        }
        self.found = collections.defaultdict(list)

    def record(self, interval, tokens_per_event, now_s):
        for name, meter in self._meters.items():
            meter.record(interval, tokens_per_event, now_s)
            pace = meter.pace(pace_scene.GAP_S, tokens_per_event, now_s)
            if pace.is_known and now_s > _WARM_UP_S:
                self.found[name].append(pace)

    def pace(self, gap_s, tokens_per_event, now_s):
        return engine_pace.UNKNOWN_PACE


class RecordingWatch(pace_watch.MeasuringPaceWatch):
    """Measures in several ways, and changes no rate."""

    def __init__(self, clock):
        super().__init__(clock, lambda: pace_scene.TOKENS_PER_EVENT)
        self._meter = _Meters()

    @property
    def found(self):
        return self._meter.found


class FeedbackWatch(pace_watch.MeasuringPaceWatch):
    """Halves the rate when a stream pauses too long, and recovers slowly."""

    MIN_TOKENS_PER_S = 3000.0
    MAX_TOKENS_PER_S = 60_000.0
    GROWTH_PER_S = 1.15

    def __init__(self, clock):
        super().__init__(clock, lambda: pace_scene.TOKENS_PER_EVENT)
        self.base_tokens_per_s = 22_000.0
        self.burst_tokens = 1000.0
        self._changed_at_s = 0.0
        self.rates = self

    @property
    def max_tokens_per_s(self):
        return self.base_tokens_per_s

    def record_report(self, snapshot, polled_at_s):
        stalls_before = self._meter._stall_rate._stalls
        super().record_report(snapshot, polled_at_s)
        now_s = self._clock.monotonic_s()
        has_stalled = self._meter._stall_rate._stalls > stalls_before
        age_s = now_s - self._changed_at_s
        if has_stalled and age_s > pace_scene.GAP_S:
            self.base_tokens_per_s *= 0.5
            self._changed_at_s = now_s
        else:
            self.base_tokens_per_s *= self.GROWTH_PER_S**0.1
        self.base_tokens_per_s = min(
            max(self.base_tokens_per_s, self.MIN_TOKENS_PER_S),
            self.MAX_TOKENS_PER_S,
        )


def _print_meters():
    sys.stdout.write(
        '| engine | a second | falters | way | token ms | error '
        '| prompt tokens a second | error |\n'
        '| --- | --- | --- | --- | --- | --- | --- | --- |\n'
    )
    for name, speed, loads in (
        ('fast', pace_scene.FAST, (3.0, 8.0)),
        ('slow', pace_scene.SLOW, (3.0, 5.0)),
    ):
        for per_s in loads:
            for falter_ratio in (0.0, 0.15):
                _print_meter_rows(name, speed, per_s, falter_ratio)


def _print_meter_rows(name, speed, per_s, falter_ratio):
    found = collections.defaultdict(list)
    for seed in _SEEDS:
        scene = pace_scene.play(
            speed, RecordingWatch, per_s, falter_ratio, seed
        )
        for way, paces in scene.watch.found.items():
            found[way] += paces
    for way, paces in found.items():
        token_s = [pace.token_s for pace in paces]
        prompt_per_s = [pace.prompt_tokens_per_s for pace in paces]
        sys.stdout.write(
            f'| {name} | {per_s:g} | {falter_ratio:g} | {way} '
            f'| {_error(token_s, speed.token_s, 1000, 2)} '
            f'| {_error(prompt_per_s, speed.prompt_tokens_per_s, 1, 0)} |\n'
        )


def _error(values, truth, factor, digits):
    median = statistics.median(values)
    error = statistics.fmean(abs(value / truth - 1.0) for value in values)
    return f'{median * factor:.{digits}f} | {error:.2f}'


def _print_releases():
    sys.stdout.write(
        '| engine | a second | falters | way | on time | first event late '
        '| late by a pause | refused | first event p90 ms |\n'
        '| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n'
    )
    ways = (pace_scene.constant, pace_scene.measured, FeedbackWatch)
    for name, speed, loads in (
        ('fast', pace_scene.FAST, (6.0, 12.0, 18.0)),
        ('slow', pace_scene.SLOW, (3.0, 5.0, 7.0)),
    ):
        for per_s in loads:
            for falter_ratio in (0.0, 0.15):
                for way in ways:
                    _print_release_row(name, speed, per_s, falter_ratio, way)


def _print_release_row(name, speed, per_s, falter_ratio, way):
    total = collections.Counter()
    first_s = []
    for seed in _SEEDS:
        scene = pace_scene.play(speed, way, per_s, falter_ratio, seed)
        total += scene.outcomes
        first_s += scene.first_s
    shares = ' | '.join(
        f'{total[outcome] / total.total():.3f}' for outcome in _OUTCOMES
    )
    p90_ms = sorted(first_s)[int(0.9 * len(first_s))] * 1000
    sys.stdout.write(
        f'| {name} | {per_s:g} | {falter_ratio:g} | {way.__name__} '
        f'| {shares} | {p90_ms:.0f} |\n'
    )


def main():
    """Print both comparisons."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(40)
    )
    _print_meters()
    sys.stdout.write('\n')
    _print_releases()


if __name__ == '__main__':
    main()
