"""Forecast of a request's turn in the batch of its engine."""

import asyncio
import random

import msgspec
import pytest

from benchmarks import virtual_time
from lacewingpitch import batch_forecast
from lacewingpitch import errors
from lacewingpitch import routing
from lacewingpitch import turn_lease
from lacewingpitch import wait_estimator
from tests import fake_engine
from tests import test_admission
from tests import test_engine_controller


def make_lease(run_s, steps, granted_at_s=None):
    found = turn_lease.TurnLease(
        test_admission.REQUEST, 0.0, 12.0, wait_estimator.WaitEstimate(), run_s
    )
    for _ in range(steps):
        found.record_step(0.0)
    found.granted_at_s = granted_at_s
    return found


def wait_s(leases, turn_count, prepared_in_s=0.0):
    async def main():
        forecast = batch_forecast.BatchForecast(
            dict(enumerate(leases)), turn_count, virtual_time.LoopClock()
        )
        return forecast.wait_s(prepared_in_s)

    return virtual_time.run(main())


class TestWait:
    def test_no_wait_for_a_free_turn(self):
        assert wait_s([make_lease(2.0, 3, 0.0)], 2) == 0.0

    def test_full_batch_frees_a_turn_when_its_first_run_ends(self):
        runs = [make_lease(2.0, 3, 0.0), make_lease(0.5, 3, 0.0)]
        assert wait_s(runs, 2) == pytest.approx(0.5)

    def test_prepared_requests_go_first(self):
        runs = [
            make_lease(2.0, 3, 0.0),
            make_lease(0.5, 3, 0.0),
            make_lease(0.3, 2),
        ]
        assert wait_s(runs, 2) == pytest.approx(0.8)

    def test_requests_without_adapter_are_overtaken(self):
        runs = [
            make_lease(2.0, 3, 0.0),
            make_lease(0.5, 3, 0.0),
            make_lease(0.3, 1),
        ]
        assert wait_s(runs, 2) == pytest.approx(0.5)

    def test_turn_wait_overlaps_the_adapter_wait(self):
        runs = [make_lease(2.0, 3, 0.0), make_lease(0.5, 3, 0.0)]
        assert wait_s(runs, 2, 0.3) == pytest.approx(0.2)


def make_queued_lease(organisation, run_s=0.2):
    request = msgspec.structs.replace(
        test_admission.REQUEST, organisation=organisation
    )
    return turn_lease.TurnLease(
        request, 0.0, 12.0, wait_estimator.WaitEstimate(), run_s
    )


class TestFlows:
    running = make_lease(0.5, 3, 0.0)

    def wait_s(self, leases, organisation, weight=1.0):
        async def main():
            forecast = batch_forecast.BatchForecast(
                dict(enumerate(leases)), 1, virtual_time.LoopClock()
            )
            return forecast.wait_s(0.0, f'{organisation}/chat', weight)

        return virtual_time.run(main())

    def test_long_queue_of_another_flow_does_not_delay(self):
        """Guards against refusals caused by the queue of a flood."""
        leases = [
            self.running,
            *(make_queued_lease('flooder') for _ in range(20)),
        ]
        assert self.wait_s(leases, 'other') == pytest.approx(0.7)
        assert self.wait_s(leases, 'flooder') == pytest.approx(4.5)

    def test_flow_with_a_larger_weight_goes_ahead(self):
        leases = [
            self.running,
            *(make_queued_lease('flooder') for _ in range(20)),
        ]
        assert self.wait_s(leases, 'other', 0.5) == pytest.approx(0.9)


class TestUnderLoad:
    """More requests arrive than an engine batches, for a few adapters."""

    REQUEST_COUNT = 300
    TARGET_S = 0.8

    def play(self, seed):
        """Return the waits of granted turns, and the refusals."""
        limits = routing.EngineLimits(12, 11, (fake_engine.MODEL,))
        source = random.Random(seed)
        waits_s = []
        refusals = []

        async def story(scene):
            async def one(number):
                # Runs of 1.5 s on average on 12 turns: 8 requests per second
                # fill the batch, and 10 arrive.
                await asyncio.sleep(number * 0.1)
                name = f'r{number}'
                tokens = int(source.uniform(100, 500))
                declared_tokens = int(tokens * source.uniform(0.5, 1.7))
                started_s = scene.clock.monotonic_s()
                reply = await scene.request_turn(
                    name,
                    adapter=f'a{number % 4}',
                    wait_ms=5000,
                    start_within_ms=8000,
                    expected_tokens=declared_tokens,
                )
                if reply.refusal is not None:
                    refusals.append(reply)
                    return
                waits_s.append(scene.clock.monotonic_s() - started_s)
                scene.engine.runs.add(name)
                await asyncio.sleep(tokens * 0.005)
                scene.engine.runs.discard(name)
                await scene.end_turn(name)

            await asyncio.gather(*map(one, range(self.REQUEST_COUNT)))

        test_engine_controller.play(story, limits=limits, slot_count=11)
        return waits_s, refusals

    @pytest.mark.parametrize('seed', [3, 4, 5])
    def test_admitted_requests_are_on_time(self, seed):
        """Guards against admitting requests behind a full batch."""
        waits_s, refusals = self.play(seed)
        late = sum(wait_s > self.TARGET_S for wait_s in waits_s)
        assert late / len(waits_s) < 0.1
        assert len(waits_s) > 0.7 * self.REQUEST_COUNT
        kinds = {reply.refusal for reply in refusals}
        assert kinds == {errors.ErrorKind.DEADLINE_UNREACHABLE}
        assert all(reply.retry_after_ms > 0 for reply in refusals)
