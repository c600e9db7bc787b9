"""Tests of the dispatcher: which requests are retried, and how often."""

import asyncio
import contextlib

import pytest

from lacewingpitch import errors
from tests import fake_sidecars

ErrorKind = errors.ErrorKind
bench = fake_sidecars.bench


class TestRetries:
    async def test_request_that_did_not_run_is_sent_elsewhere(self, bench):
        bench.fail_with(ErrorKind.QUEUE_FULL)
        bench.sidecars[2].kind = None
        for _ in range(3):
            assert await bench.send(repeatable=False) == b'done'

    @pytest.mark.parametrize(
        'kind', [ErrorKind.OUTCOME_UNKNOWN, ErrorKind.WRONG_ADAPTER]
    )
    async def test_request_that_may_have_run_is_retried_only_if_repeatable(
        self, bench, kind
    ):
        bench.fail_with(kind)
        with pytest.raises(errors.RefusalError):
            await bench.send(repeatable=False)
        assert bench.calls == 1
        with pytest.raises(errors.RefusalError):
            await bench.send(repeatable=True)
        assert bench.calls > 2

    async def test_not_run_is_not_reported_after_an_attempt_that_may_have_run(
        self, bench
    ):
        """Guards against reporting "not run" after an engine has worked.

        The first attempt reaches an engine that restarts empty; the next
        is refused before it runs, as the adapter cannot be loaded in time.
        The second refusal must not be reported for both attempts.
        """
        bench.fail_once_then(
            ErrorKind.OUTCOME_UNKNOWN, ErrorKind.DEADLINE_UNREACHABLE
        )
        with pytest.raises(errors.RefusalError) as caught:
            await bench.send(repeatable=True)
        assert bench.calls > 1
        assert caught.value.outcome is errors.Outcome.UNKNOWN
        assert caught.value.status == 504
        assert caught.value.retry_after_s == 2.0

    async def test_refusal_that_holds_everywhere_is_not_retried(self, bench):
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
    async def test_calls_per_request_stay_below_the_limit(self, bench):
        """Guards against retries that make an outage worse.

        Every sidecar refuses, and every request may be sent three times.
        """
        bench.fail_with(ErrorKind.QUEUE_FULL)

        async def send():
            with contextlib.suppress(errors.RefusalError):
                await bench.send()

        for _ in range(20):
            await asyncio.gather(*(send() for _ in range(20)))
        assert bench.calls / 400 < 1.2
