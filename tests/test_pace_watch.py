"""What a sidecar knows about its engine's pace, and when it doesn't."""

import asyncio
import random

import structlog.testing

from benchmarks import virtual_time
from lacewingpitch import answer_deadline
from lacewingpitch import engine_pace
from lacewingpitch import engine_snapshot
from lacewingpitch import errors
from lacewingpitch import hint as hint_module
from lacewingpitch import pace_watch
from lacewingpitch import prefill_pacer
from lacewingpitch import prefill_rates
from lacewingpitch import turn_messages
from lacewingpitch import wait_estimator

POLL_S = 0.1
TOKENS_PER_EVENT = 8
CONSTANT = prefill_rates.ConstantRates()


def snapshot(events_by_run, run_ids=None):
    return engine_snapshot.EngineSnapshot(
        order_count=0,
        is_leaving=False,
        is_busy=False,
        models=frozenset({'m'}),
        held={},
        pending={},
        run_ids=frozenset(events_by_run if run_ids is None else run_ids),
        queued=0,
        running=len(events_by_run),
        events_by_run=events_by_run,
    )


def request(name='r', **fields):
    return turn_messages.TurnRequest(
        **{
            'entry': 'edge-1',
            'turn_id': f'{name}.1',
            'run_id': name,
            'model': 'm',
            'adapter': '',
            'version': 0,
            'route': 'chat',
            'rank': 0,
            'prompt_tokens': 800,
            'max_tokens': 0,
            'wait_ms': 1000,
            'start_within_ms': 3000,
            'target_ms': 500,
            'deadline_ms': 12_000,
            'gap_ms': 300,
            **fields,
        }
    )


class Scene:
    """An engine whose streams advance by a token time."""

    def __init__(self, token_s, gap_ms):
        self.watch = pace_watch.MeasuringPaceWatch(
            virtual_time.LoopClock(), lambda: TOKENS_PER_EVENT
        )
        self.token_s = token_s
        self.slowdown = 1.0
        self.tokens = dict.fromkeys('abcd', 0.0)
        for number, name in enumerate(self.tokens):
            self.tokens[name] = 8.0 + 2.0 * number
            self.watch.record_granted(request(name, gap_ms=gap_ms))

    async def advance(self, duration_s, reports=True):
        loop = asyncio.get_running_loop()
        ends_at_s = loop.time() + duration_s
        while loop.time() < ends_at_s - 1e-6:
            await asyncio.sleep(POLL_S)
            for name in self.tokens:
                self.tokens[name] += POLL_S / self.token_s / self.slowdown
            if reports:
                self.report()

    def report(self, age_s=0.0):
        at_s = asyncio.get_running_loop().time() - age_s
        self.watch.record_report(snapshot(self.events), at_s)

    @property
    def events(self):
        return {
            name: int(tokens / TOKENS_PER_EVENT)
            for name, tokens in self.tokens.items()
        }

    def rates(self):
        rates = self.watch.rates
        return (
            rates.base_tokens_per_s,
            rates.max_tokens_per_s,
            rates.burst_tokens,
        )


def play(story, token_s=0.0086, gap_ms=300):
    async def main():
        scene = Scene(token_s, gap_ms)
        await story(scene)

    virtual_time.run(main())


CONSTANT_RATES = (
    CONSTANT.base_tokens_per_s,
    CONSTANT.max_tokens_per_s,
    CONSTANT.burst_tokens,
)


class TestRates:
    def test_follow_the_pace(self):
        async def story(scene):
            assert scene.rates() == CONSTANT_RATES
            await scene.advance(5.0)
            pace = scene.watch.pace
            assert abs(pace.token_s / 0.0086 - 1.0) < 0.1
            base_per_s, max_per_s, _ = scene.rates()
            assert base_per_s == max_per_s
            # An event takes half of the allowed pause at this rate.
            left_ratio = 1.0 - max_per_s / pace.prompt_tokens_per_s
            event_s = TOKENS_PER_EVENT * pace.token_s / left_ratio
            assert abs(event_s - 0.15) < 0.001

        play(story)

    def test_slowest_engine_still_reads_prompts(self):
        """Guards against prompts that a slow engine never gets."""

        async def story(scene):
            await scene.advance(10.0)
            pace = scene.watch.pace
            ratio = scene.rates()[1] / pace.prompt_tokens_per_s
            assert 0.3 < ratio < 0.5

        play(story, token_s=0.06)

    def test_idle_engine_reads_at_its_full_rate(self):
        async def story(scene):
            await scene.advance(5.0)
            scene.tokens.clear()
            await scene.advance(0.2)
            pace = scene.watch.pace
            assert scene.rates()[1] == pace.prompt_tokens_per_s

        play(story)

    def test_unlimited_pauses_leave_the_constant_rates(self):
        async def story(scene):
            await scene.advance(5.0)
            assert scene.watch.pace.is_known
            assert scene.rates() == CONSTANT_RATES

        play(story, gap_ms=0)


class TestMissingSignal:
    def test_silent_engine_becomes_unknown(self):
        """Guards against a pace that is kept while no report arrives."""

        async def story(scene):
            await scene.advance(5.0)
            assert scene.watch.pace.is_known
            await scene.advance(3.0, reports=False)
            assert not scene.watch.pace.is_known
            assert scene.rates() == CONSTANT_RATES

        play(story)

    def test_reports_without_events_show_no_pace(self):
        """Guards against reports of engines that don't state events."""

        async def story(scene):
            await scene.advance(5.0)
            for _ in range(30):
                await asyncio.sleep(POLL_S)
                scene.watch.record_report(
                    snapshot({}, run_ids=scene.tokens),
                    asyncio.get_running_loop().time(),
                )
            assert scene.watch.pace == engine_pace.UNKNOWN_PACE

        play(story)

    def test_late_report_is_ignored(self):
        """Guards against events of an uncertain time."""

        async def story(scene):
            await scene.advance(5.0)
            token_s = scene.watch.pace.token_s
            for _ in range(10):
                await scene.advance(POLL_S, reports=False)
                scene.report(age_s=0.15)
            assert scene.watch.pace.token_s == token_s

        play(story)

    def test_frozen_sidecar_keeps_the_pace(self):
        """Guards against a freeze of this process taken for a slow engine."""

        async def story(scene):
            await scene.advance(5.0)
            token_s = scene.watch.pace.token_s
            await asyncio.sleep(4.0)
            await scene.advance(0.3)
            assert abs(scene.watch.pace.token_s / token_s - 1.0) < 0.2

        play(story)

    def test_earlier_start_is_forgotten(self):
        """Guards against the pace of a start that has ended."""

        async def story(scene):
            await scene.advance(5.0)
            scene.watch.reset()
            assert not scene.watch.pace.is_known
            assert scene.rates() == CONSTANT_RATES
            await scene.advance(0.3)
            assert not scene.watch.pace.is_known

        play(story)


class TestLog:
    def test_one_line_for_each_clear_change(self):
        """Guards against a log that grows with the number of reports."""

        async def story(scene):
            await scene.advance(10.0)
            scene.slowdown = 4.0
            await scene.advance(6.0)
            scene.slowdown = 1.0
            await scene.advance(6.0)

        with structlog.testing.capture_logs() as lines:
            play(story, token_s=0.0035)
        found = [line for line in lines if line['event'] == 'engine pace']
        assert 3 <= len(found) <= 8
        assert found[0]['token_ms_before'] == 0.0
        assert abs(found[0]['token_ms'] - 3.5) < 0.7
        assert max(line['token_ms'] for line in found) > 9.0
        assert found[-1]['token_ms'] < 5.0


class TestPartThatIsOff:
    def test_rates_and_hint_are_as_before(self):
        """Guards against a part that acts although it is off."""
        watch = pace_watch.NoPaceWatch()
        watch.record_granted(request())
        watch.record_report(snapshot({'r': 5}), 0.0)
        watch.reset()
        assert watch.pace == engine_pace.UNKNOWN_PACE
        assert watch.poll_interval_s(0.2) == 0.2
        rates = watch.rates
        assert CONSTANT_RATES == (12_000.0, 22_000.0, 1_000.0)
        assert (
            rates.base_tokens_per_s,
            rates.max_tokens_per_s,
            rates.burst_tokens,
        ) == CONSTANT_RATES

    def test_pacer_releases_at_the_same_times(self):
        """Guards against polls that change when prompts are released."""
        source = random.Random(1)
        arrivals = [
            (source.uniform(0.0, 3.0), source.choice((400, 800, 2400)))
            for _ in range(60)
        ]

        def release_times(polls):
            async def main():
                pacer = prefill_pacer.PrefillPacer(
                    virtual_time.LoopClock(), pace_watch.NoPaceWatch().rates
                )
                loop = asyncio.get_running_loop()

                async def one(at_s, tokens):
                    await asyncio.sleep(at_s)
                    await pacer.admit(tokens, 'r', 0)
                    return loop.time()

                async def poll():
                    while polls:
                        pacer.update_rates()
                        await asyncio.sleep(0.013)

                polling = asyncio.create_task(poll())
                times_s = await asyncio.gather(*(one(*a) for a in arrivals))
                polling.cancel()
                return times_s

            return virtual_time.run(main())

        assert release_times(True) == release_times(False)

    def test_hint_has_the_same_bytes(self):
        fields = {'running': 3, 'queued': 1, 'max_running': 32}
        plain = hint_module.Hint(**fields, load_wait_ms=5)
        zero = hint_module.Hint(
            **fields, load_wait_ms=5, token_us=0, stalls_per_1000s=0
        )
        assert hint_module.encode_hint(plain) == hint_module.encode_hint(zero)


class TestAnswerDeadline:
    def refusal(self, pace, wait_s=0.0, **fields):
        return answer_deadline.refusal(
            request(**fields), wait_estimator.WaitEstimate(wait_s), pace
        )

    def test_answer_that_would_miss_it_is_refused(self):
        """Guards against runs that occupy a turn until their deadline."""
        slow = engine_pace.EnginePace(0.03, 6000.0)
        error = self.refusal(slow, expected_tokens=900)
        assert error.kind is errors.ErrorKind.DEADLINE_UNREACHABLE
        assert error.retry_elsewhere
        assert self.refusal(slow, max_tokens=900).kind is error.kind

    def test_shorter_answer_than_expected_may_make_it(self):
        pace = engine_pace.EnginePace(0.0145, 12_000.0)
        assert pace.run_s(900) > 12.0
        assert self.refusal(pace, expected_tokens=900) is None

    def test_stated_length_goes_before_the_longest(self):
        slow = engine_pace.EnginePace(0.03, 6000.0)
        assert self.refusal(slow, expected_tokens=90, max_tokens=900) is None

    def test_wait_counts(self):
        pace = engine_pace.EnginePace(0.018, 12_000.0)
        assert self.refusal(pace, 0.0, expected_tokens=900) is None
        assert self.refusal(pace, 2.0, expected_tokens=900) is not None

    def test_unknown_pace_or_length_is_never_refused(self):
        """Guards against refusals without a measured reason."""
        unknown = engine_pace.UNKNOWN_PACE
        assert self.refusal(unknown, expected_tokens=90_000) is None
        slow = engine_pace.EnginePace(0.03, 6000.0)
        assert self.refusal(slow) is None
