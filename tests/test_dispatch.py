"""What is sent again, and how often, with the real dispatcher."""

import asyncio
import contextlib

import pytest

from lacewingpitch import errors
from tests import fake_sidecars

ErrorKind = errors.ErrorKind
bench = fake_sidecars.bench


class TestSendingAgain:
    async def test_what_did_not_run_goes_elsewhere(self, bench):
        bench.fail_with(ErrorKind.QUEUE_FULL)
        bench.sidecars[2].kind = None
        for _ in range(3):
            assert await bench.send(repeatable=False) == b'done'

    @pytest.mark.parametrize(
        'kind', [ErrorKind.OUTCOME_UNKNOWN, ErrorKind.WRONG_ADAPTER]
    )
    async def test_what_may_have_run_goes_again_if_repeatable(
        self, bench, kind
    ):
        bench.fail_with(kind)
        with pytest.raises(errors.RefusalError):
            await bench.send(repeatable=False)
        assert bench.calls == 1
        with pytest.raises(errors.RefusalError):
            await bench.send(repeatable=True)
        assert bench.calls > 2

    async def test_not_run_is_not_said_after_an_attempt_that_may_have_run(
        self, bench
    ):
        """A caller is told "not run", and the engine worked on it.

        The first attempt reaches an engine that restarts empty; the next
        is refused before it runs, as the adapter cannot be loaded in
        time.  The last refusal was passed on as if it spoke for both.
        """
        bench.fail_in_turn(
            ErrorKind.OUTCOME_UNKNOWN, ErrorKind.DEADLINE_UNREACHABLE
        )
        with pytest.raises(errors.RefusalError) as told:
            await bench.send(repeatable=True)
        assert bench.calls > 1
        assert told.value.outcome is errors.Outcome.UNKNOWN
        assert told.value.status == 504
        assert told.value.retry_after_s == 2.0

    async def test_what_no_other_can_do_better_stays(self, bench):
        bench.fail_with(ErrorKind.BAD_REQUEST)
        with pytest.raises(errors.RefusalError):
            await bench.send()
        assert bench.calls == 1

    async def test_attempts_share_one_deadline(self, bench):
        bench.fail_with(ErrorKind.QUEUE_FULL)
        with pytest.raises(errors.RefusalError):
            await bench.send()
        orders = [o for sidecar in bench.sidecars for o in sidecar.orders]
        orders.sort(key=lambda order: order.attempt)
        left = [order.deadline_s for order in orders]
        assert left == sorted(left, reverse=True)
        assert left[-1] < left[0]


class TestOutage:
    async def test_calls_per_request_stay_under_the_goal(self, bench):
        """An outage becomes worse because everybody tries three times.

        Every sidecar refuses; the requests may be sent again.
        """
        bench.fail_with(ErrorKind.QUEUE_FULL)

        async def send():
            with contextlib.suppress(errors.RefusalError):
                await bench.send()

        for _ in range(20):
            await asyncio.gather(*(send() for _ in range(20)))
        assert bench.calls / 400 < 1.2
