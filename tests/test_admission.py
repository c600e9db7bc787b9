"""Admission control at an engine, without an engine."""

import dataclasses
import random

import msgspec
import pytest

from lacewingpitch import admission
from lacewingpitch import errors
from lacewingpitch import turn_messages
from lacewingpitch import wait_estimator

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
    is_silent: bool = False
    is_leaving: bool = False
    is_starting: bool = False
    remaining_start_s: float = 1.0


class Returns:
    """Tells refused callers to return after their expected wait."""

    def next_return_s(self, wait_s):
        return wait_s


def waiting(turn_s, limit_s=0.0):
    return wait_estimator.WaitEstimate(turn_s=turn_s, limit_s=limit_s)


def request(**fields):
    return msgspec.structs.replace(REQUEST, **fields)


def make_admission(**fields):
    return admission.Admission(Engine(**fields), random.Random(1), Returns())


class TestRefusal:
    def test_request_in_time_is_admitted(self):
        assert make_admission().refusal(REQUEST, waiting(0.1)) is None

    def test_late_request_gets_a_retry_time(self):
        """Guards against a queue that makes all answers late."""
        found = make_admission().refusal(REQUEST, waiting(0.7))
        assert found.kind is errors.ErrorKind.DEADLINE_UNREACHABLE
        assert found.outcome is errors.Outcome.NOT_RUN
        # It would be admitted with a wait of 0.6 s, hence 0.1 s later.
        assert 0.2 <= found.retry_after_s <= 0.5

    def test_overdue_request_may_wait_briefly(self):
        """Guards against refusing a caller whose first engine crashed."""
        controller = make_admission()
        late = request(target_ms=-500)
        assert controller.refusal(late, waiting(0.35)) is None
        assert controller.refusal(late, waiting(0.45)) is not None

    @pytest.mark.parametrize(
        ('stage', 'kind', 'min_s', 'max_s'),
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
    def test_engine_that_is_not_serving_refuses(
        self, stage, kind, min_s, max_s
    ):
        found = make_admission(is_serving=False, **stage).refusal(
            REQUEST, waiting(0.0)
        )
        assert found.kind is kind
        assert found.retry_elsewhere
        assert min_s <= found.retry_after_s <= max_s


class TestAboveShare:
    def test_admitted_only_if_the_wait_is_short(self):
        """Guards against a flood that fills the queue of other callers."""
        controller = make_admission()
        assert controller.refusal(REQUEST, waiting(0.3)) is None
        assert (
            controller.refusal(REQUEST, waiting(0.3), is_above_share=True)
            is not None
        )
        assert (
            controller.refusal(REQUEST, waiting(0.1), is_above_share=True)
            is None
        )


class TestLimitedEngine:
    def test_what_the_limit_delays_returns_when_the_limit_allows_it(self):
        """Guards against refused callers that return all at once."""
        found = make_admission().refusal(REQUEST, waiting(0.1, limit_s=2.0))
        assert found.kind is errors.ErrorKind.SERVER_LIMITED
        assert found.outcome is errors.Outcome.NOT_RUN
        assert found.retry_elsewhere
        assert found.retry_after_s == 2.1

    def test_what_would_be_late_anyway_is_not_refused_for_the_limit(self):
        found = make_admission().refusal(REQUEST, waiting(3.0, limit_s=2.0))
        assert found.kind is errors.ErrorKind.DEADLINE_UNREACHABLE


class TestStartingEngine:
    def test_only_requests_with_the_flag_wait(self):
        """Guards against waiting for a start while another engine serves."""
        controller = make_admission(is_serving=False, is_starting=True)
        assert not controller.must_await_start(REQUEST, 0)
        assert controller.must_await_start(request(waits_for_engine=True), 0)

    def test_no_wait_beyond_the_deadline(self):
        controller = make_admission(is_serving=False, is_starting=True)
        short = request(waits_for_engine=True, start_within_ms=900)
        assert not controller.must_await_start(short, 0)

    def test_waiting_requests_are_limited(self):
        controller = make_admission(is_serving=False, is_starting=True)
        waiting = request(waits_for_engine=True)
        assert controller.must_await_start(waiting, 127)
        assert not controller.must_await_start(waiting, 128)

    def test_no_wait_at_a_serving_or_stopped_engine(self):
        waiting = request(waits_for_engine=True)
        assert not make_admission().must_await_start(waiting, 0)
        down = make_admission(is_serving=False)
        assert not down.must_await_start(waiting, 0)
