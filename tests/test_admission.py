"""Which requests an engine takes, without an engine."""

import dataclasses
import random

import msgspec
import pytest

from benchmarks import virtual_time
from lacewingpitch import admission
from lacewingpitch import errors
from lacewingpitch import grant
from lacewingpitch import prefill_pacer

REQUEST = grant.TurnRequest(
    entry='edge-1',
    turn_id='r.1',
    run_id='r',
    model='m',
    adapter='a',
    version=0,
    route='chat',
    rank=0,
    prompt_tokens=1000,
    max_tokens=100,
    wait_ms=400,
    start_within_ms=3000,
    target_ms=800,
    deadline_ms=12_000,
)
MANY_TOKENS = 20_000


@dataclasses.dataclass
class Engine:
    is_serving: bool = True
    is_leaving: bool = False
    is_starting: bool = False
    start_left_s: float = 1.0
    held: frozenset = frozenset({'m/a'})

    def holds(self, name):
        return name in self.held


def request(**fields):
    return msgspec.structs.replace(REQUEST, **fields)


def play(story, **fields):
    async def main():
        engine = Engine(**fields)
        pacer = prefill_pacer.PrefillPacer(virtual_time.LoopClock())
        story(
            admission.Admission(engine, engine, pacer, random.Random(1)),
            pacer,
        )

    virtual_time.run(main())


class TestRefusal:
    def test_what_starts_in_time_is_taken(self):
        def story(decides, pacer):
            wait_s = decides.expected_wait_s(REQUEST, 'm/a')
            assert wait_s < 0.1
            assert decides.refusal(REQUEST, wait_s) is None

        play(story)

    def test_what_would_start_late_is_told_when_to_come_back(self):
        """A queue grows until all answers are late.

        More is asked for than the engine can read.
        """

        def story(decides, pacer):
            with pacer.expecting(MANY_TOKENS):
                wait_s = decides.expected_wait_s(REQUEST, 'm/a')
                assert wait_s > 0.6
                found = decides.refusal(REQUEST, wait_s)
                assert found.kind is errors.ErrorKind.DEADLINE_UNREACHABLE
                assert found.outcome is errors.Outcome.NOT_RUN
                assert wait_s + 0.3 <= found.retry_after_s <= wait_s + 1.5

        play(story)

    def test_a_missing_adapter_counts(self):
        def story(decides, pacer):
            with_it = decides.expected_wait_s(REQUEST, 'm/a')
            without = decides.expected_wait_s(REQUEST, 'm/b')
            assert without == pytest.approx(with_it + 0.3)

        play(story)

    def test_what_is_late_anyway_waits_a_little(self):
        """A caller whose first engine died is refused for a short wait."""

        def story(decides, pacer):
            late = request(target_ms=-500)
            assert decides.refusal(late, 0.35) is None
            assert decides.refusal(late, 0.45) is not None

        play(story)

    @pytest.mark.parametrize(
        ('stage', 'kind', 'least_s', 'most_s'),
        [
            ({'is_leaving': True}, errors.ErrorKind.DRAINING, 0.2, 0.2),
            (
                {'is_starting': True},
                errors.ErrorKind.BACKEND_STARTING,
                1.5,
                3.0,
            ),
            ({}, errors.ErrorKind.DRAINING, 1.5, 3.0),
        ],
    )
    def test_an_engine_that_does_not_serve(self, stage, kind, least_s, most_s):
        def story(decides, pacer):
            found = decides.refusal(REQUEST, 0.0)
            assert found.kind is kind
            assert found.retry_elsewhere
            assert least_s <= found.retry_after_s <= most_s

        play(story, is_serving=False, **stage)


class TestAwaitsStart:
    def test_only_those_that_ask_for_it(self):
        """Callers wait at an engine that starts while another serves."""

        def story(decides, pacer):
            assert not decides.awaits_start(REQUEST, 0)
            assert decides.awaits_start(request(waits_for_engine=True), 0)

        play(story, is_serving=False, is_starting=True)

    def test_not_beyond_the_time_of_the_caller(self):
        def story(decides, pacer):
            short = request(waits_for_engine=True, start_within_ms=900)
            assert not decides.awaits_start(short, 0)

        play(story, is_serving=False, is_starting=True)

    def test_not_without_bound(self):
        def story(decides, pacer):
            asks = request(waits_for_engine=True)
            assert decides.awaits_start(asks, 127)
            assert not decides.awaits_start(asks, 128)

        play(story, is_serving=False, is_starting=True)

    def test_not_at_one_that_serves_or_is_down(self):
        def story(decides, pacer):
            assert not decides.awaits_start(request(waits_for_engine=True), 0)

        play(story)
        play(story, is_serving=False)
