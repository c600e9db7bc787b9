"""Estimated and actual waits of requests at an engine."""

import asyncio
import random

import msgspec
import pytest

from benchmarks import virtual_time
from lacewingpitch import prefill_pacer
from lacewingpitch import routing
from lacewingpitch import slot_simulation
from lacewingpitch import turn_pacer
from lacewingpitch import wait_estimator
from tests import fake_engine
from tests import test_admission
from tests import test_engine_controller

REQUEST = test_admission.REQUEST
MANY_TOKENS = 20_000


class AdapterSlots:
    """Adapter slots at which the next adapter waits for a given time."""

    def __init__(self, slot_s=0.0, load_s=0.0):
        self.wait = slot_simulation.AdapterWait(slot_s, load_s)

    def expected_wait(self, name=''):
        return self.wait


class FreeBatch:
    """A batch whose next turn is free at a given time."""

    def __init__(self, free_in_s=0.0):
        self.free_in_s = free_in_s

    def wait_s(self, prepared_in_s, _flow, _weight, _order_s):
        return max(0.0, self.free_in_s - prepared_in_s)


def estimate(slots, tokens_ahead=0, batch=None, **fields):
    async def main():
        clock = virtual_time.LoopClock()
        pacer = prefill_pacer.PrefillPacer(clock)
        estimator = wait_estimator.WaitEstimator(
            slots,
            batch or FreeBatch(),
            pacer,
            turn_pacer.TurnPacer(clock, random.Random(1)),
        )
        with pacer.expecting(tokens_ahead):
            request = msgspec.structs.replace(REQUEST, **fields)
            return estimator.estimate(
                request, 'm/a' if request.adapter else ''
            )

    return virtual_time.run(main())


class TestParts:
    def test_an_idle_engine_costs_nothing(self):
        assert estimate(AdapterSlots()).total_s < 0.1

    def test_slot_and_load_are_counted(self):
        found = estimate(AdapterSlots(0.4, 0.25))
        assert found.load_s == pytest.approx(0.25)
        # Includes the safety factor for most admitted requests to be on time.
        assert found.slot_s == pytest.approx(0.6)

    def test_the_base_model_needs_no_slot(self):
        assert estimate(AdapterSlots(0.4, 0.25), adapter='').adapter_s == 0.0

    def test_turn_wait_overlaps_the_adapter_wait(self):
        found = estimate(AdapterSlots(0.0, 0.25), batch=FreeBatch(0.6))
        assert found.turn_s == pytest.approx(0.35)
        assert found.total_s == pytest.approx(0.6)

    def test_prompts_are_read_while_the_adapter_loads(self):
        alone = estimate(AdapterSlots(), MANY_TOKENS).prompt_s
        beside = estimate(AdapterSlots(0.2, 0.2), MANY_TOKENS).prompt_s
        assert alone > 0.5
        assert beside == pytest.approx(alone - 0.5)


class TestUnderLoad:
    """More adapters are required than an engine holds."""

    REQUEST_COUNT = 400

    def play(self, seed):
        """Return the waits of the granted turns."""
        limits = routing.EngineLimits(64, 6, (fake_engine.MODEL,))
        source = random.Random(seed)
        found = []

        async def story(scene):
            async def one(number):
                await asyncio.sleep(number * 0.07)
                name = f'r{number}'
                adapter = f'a{int(source.paretovariate(0.5)) % 40}'
                # Short runs, and some that last seven times as long; callers
                # declare the length with an error of up to a half or so.
                run_s, tokens = (1.7, 170) if number % 5 == 0 else (0.25, 24)
                declared_tokens = int(tokens * source.uniform(0.5, 1.7))
                started_s = scene.clock.monotonic_s()
                reply = await scene.request_turn(
                    name,
                    adapter=adapter,
                    wait_ms=3000,
                    expected_tokens=declared_tokens,
                )
                if reply.refusal is None:
                    found.append(scene.clock.monotonic_s() - started_s)
                    scene.engine.runs.add(name)
                    await asyncio.sleep(run_s)
                    scene.engine.runs.discard(name)
                    await scene.end_turn(name)

            await asyncio.gather(*map(one, range(self.REQUEST_COUNT)))

        test_engine_controller.play(story, limits=limits, slot_count=6)
        return found

    @pytest.mark.parametrize('seed', [5, 6, 7])
    def test_admitted_requests_are_on_time(self, seed):
        """Guards against admitting requests that wait too long for a slot."""
        waits_s = self.play(seed)
        late = sum(wait_s > 0.75 for wait_s in waits_s)
        assert late / len(waits_s) < 0.1
        assert len(waits_s) > 0.75 * self.REQUEST_COUNT
