"""Which requests an engine takes, without an engine."""

import dataclasses
import random

import msgspec
import pytest

from lacewingpitch import admission
from lacewingpitch import errors
from lacewingpitch import turn_messages

REQUEST = turn_messages.TurnRequest(
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


@dataclasses.dataclass
class Engine:
    is_serving: bool = True
    is_leaving: bool = False
    is_starting: bool = False
    remaining_start_s: float = 1.0


def request(**fields):
    return msgspec.structs.replace(REQUEST, **fields)


def make_admission(**fields):
    return admission.Admission(Engine(**fields), random.Random(1))


class TestRefusal:
    def test_what_starts_in_time_is_taken(self):
        assert make_admission().refusal(REQUEST, 0.1) is None

    def test_what_would_start_late_is_told_when_to_come_back(self):
        """Guards against a queue that makes all answers late."""
        found = make_admission().refusal(REQUEST, 0.7)
        assert found.kind is errors.ErrorKind.DEADLINE_UNREACHABLE
        assert found.outcome is errors.Outcome.NOT_RUN
        # Let in at 0.6 s of waiting, it may come 0.1 s later.
        assert 0.2 <= found.retry_after_s <= 0.5

    def test_what_is_late_anyway_waits_a_little(self):
        """Guards against refusing a caller whose first engine died."""
        decides = make_admission()
        late = request(target_ms=-500)
        assert decides.refusal(late, 0.35) is None
        assert decides.refusal(late, 0.45) is not None

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
        found = make_admission(is_serving=False, **stage).refusal(REQUEST, 0.0)
        assert found.kind is kind
        assert found.retry_elsewhere
        assert least_s <= found.retry_after_s <= most_s


class TestAboveShare:
    def test_waits_only_where_the_queue_is_short(self):
        """Guards against a flood that fills the queue of all others."""
        decides = make_admission()
        assert decides.refusal(REQUEST, 0.3) is None
        assert decides.refusal(REQUEST, 0.3, is_above_share=True) is not None
        assert decides.refusal(REQUEST, 0.1, is_above_share=True) is None


class TestAwaitsStart:
    def test_only_those_that_ask_for_it(self):
        """Guards against waiting at a start while another engine serves."""
        decides = make_admission(is_serving=False, is_starting=True)
        assert not decides.awaits_start(REQUEST, 0)
        assert decides.awaits_start(request(waits_for_engine=True), 0)

    def test_not_beyond_the_time_of_the_caller(self):
        decides = make_admission(is_serving=False, is_starting=True)
        short = request(waits_for_engine=True, start_within_ms=900)
        assert not decides.awaits_start(short, 0)

    def test_not_without_bound(self):
        decides = make_admission(is_serving=False, is_starting=True)
        asks = request(waits_for_engine=True)
        assert decides.awaits_start(asks, 127)
        assert not decides.awaits_start(asks, 128)

    def test_not_at_one_that_serves_or_is_down(self):
        asks = request(waits_for_engine=True)
        assert not make_admission().awaits_start(asks, 0)
        down = make_admission(is_serving=False)
        assert not down.awaits_start(asks, 0)
