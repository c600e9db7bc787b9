"""Decisions by what callers lose, without an engine."""

import asyncio
import random

import msgspec
import pytest

from benchmarks import virtual_time
from lacewingpitch import admission
from lacewingpitch import caller_loss
from lacewingpitch import errors
from lacewingpitch import parts
from lacewingpitch import put_off_queue
from lacewingpitch import routing
from lacewingpitch import turn_decision
from lacewingpitch import turn_lease
from lacewingpitch import wait_estimator
from tests import fake_engine
from tests import test_admission
from tests import test_engine_controller

REQUEST = msgspec.structs.replace(
    test_admission.REQUEST, rank=0, fingerprint='f', start_within_ms=2800
)
Tier = turn_decision.Tier


class Scene:
    """The decisions at one engine, whose room is set by the test."""

    def __init__(self, **engine_fields):
        clock = virtual_time.LoopClock()
        self.has_room = False
        self.put_off = put_off_queue.PutOffQueue(
            clock, lambda _request: self.has_room
        )
        engine = test_admission.Engine(**engine_fields)
        self.decider = caller_loss.CallerLoss(
            admission.Admission(
                engine, random.Random(1), test_admission.Returns()
            ),
            engine,
            self.put_off,
            clock,
            random.Random(1),
        )

    def decide(self, prompt_s=0.0, is_above_share=False, load_s=0.0, **fields):
        request = msgspec.structs.replace(REQUEST, **fields)
        wait = wait_estimator.WaitEstimate(load_s=load_s, prompt_s=prompt_s)
        return self.decider.decide(request, wait, 1.0, is_above_share)

    def fill(self, count):
        """Put other requests off, and leave them waiting."""
        now_s = asyncio.get_running_loop().time()
        return [
            asyncio.ensure_future(
                self.put_off.wait(
                    make_turn(now_s, put_off_order_s=now_s + 2.8)
                )
            )
            for _ in range(count)
        ]


def make_turn(now_s, put_off_order_s, **fields):
    return turn_lease.TurnLease(
        msgspec.structs.replace(REQUEST, **fields),
        now_s,
        now_s + 12.0,
        wait_estimator.WaitEstimate(),
        decision=turn_decision.Decision(
            tier=Tier.PUT_OFF, put_off_order_s=put_off_order_s
        ),
        is_put_off=True,
    )


def run(scenario):
    """Run a scenario with a scene in virtual time."""

    async def main():
        found = scenario(Scene())
        return await found if asyncio.iscoroutine(found) else found

    return virtual_time.run(main())


class TestTier:
    def test_request_in_time_goes_as_it_is_due(self):
        found = run(lambda scene: scene.decide(prompt_s=0.3))
        assert (found.tier, found.refusal) == (Tier.ON_TIME, None)
        assert found.order_s == pytest.approx(0.48)

    def test_late_request_is_put_off(self):
        found = run(lambda scene: scene.decide(prompt_s=0.6))
        assert (found.tier, found.refusal) == (Tier.PUT_OFF, None)
        assert found.order_s == pytest.approx(2.8)

    def test_late_request_that_delays_nobody_starts_at_once(self):
        found = run(
            lambda scene: scene.decide(
                prompt_s=0.1, load_s=0.6, target_ms=-500
            )
        )
        assert found.tier is Tier.SPARE_ROOM

    def test_patient_request_waits_longer_and_goes_later(self):
        found = run(
            lambda scene: scene.decide(prompt_s=1.5, target_ms=2000, rank=0)
        )
        assert found.tier is Tier.ON_TIME
        assert found.order_s == pytest.approx(1.6)

    def test_less_urgent_rank_finds_a_shorter_queue(self):
        """Guards against urgent callers that others make late."""
        found = run(
            lambda scene: [
                scene.decide(prompt_s=0.3, rank=rank).tier for rank in (0, 1)
            ]
        )
        assert found == [Tier.ON_TIME, Tier.PUT_OFF]

    def test_nothing_is_put_off_while_engines_are_compared(self):
        """Guards against waiting here while another engine is free."""
        found = run(
            lambda scene: scene.decide(prompt_s=0.5, accept_within_ms=400)
        )
        assert found.refusal.kind is errors.ErrorKind.DEADLINE_UNREACHABLE

    def test_negative_target_of_the_caller(self):
        """Guards against a caller whose time was over before it arrived."""
        found = run(lambda scene: scene.decide(prompt_s=0.3, target_ms=-9000))
        assert found.tier is Tier.PUT_OFF
        assert found.order_s == pytest.approx(2.8)


class TestRefusal:
    def test_run_that_would_end_after_its_deadline_is_refused(self):
        """Guards against waiting for an answer that can't be complete."""
        found = run(lambda scene: scene.decide(prompt_s=0.6, deadline_ms=1200))
        assert found.refusal.outcome is errors.Outcome.NOT_RUN

    def test_put_off_requests_are_limited_by_what_was_released(self):
        """Guards against waiting in vain while nothing is left over."""

        async def scenario(scene):
            waiting = scene.fill(2)
            await asyncio.sleep(0.1)
            found = scene.decide(prompt_s=0.6)
            await asyncio.gather(*waiting, return_exceptions=True)
            return found

        assert run(scenario).refusal is not None

    def test_organisation_above_its_share_has_one_put_off_at_most(self):
        """Guards against a flood that takes all that is left over."""

        async def scenario(scene):
            first = scene.decide(prompt_s=0.6, is_above_share=True)
            waiting = scene.fill(1)
            await asyncio.sleep(0.0)
            second = scene.decide(prompt_s=0.6, is_above_share=True)
            await asyncio.gather(*waiting, return_exceptions=True)
            return first, second

        first, second = run(scenario)
        assert first.tier is Tier.PUT_OFF
        assert second.refusal is not None

    def test_organisation_above_its_share_goes_behind_the_others(self):
        found = run(
            lambda scene: scene.decide(prompt_s=0.1, is_above_share=True)
        )
        assert found.order_s == pytest.approx(2.8)

    def test_callers_do_not_return_together(self):
        """Guards against callers that are refused again together."""
        found = run(
            lambda scene: [
                scene.decide(
                    prompt_s=0.6, deadline_ms=1100, fingerprint=f'f{n}'
                ).refusal.retry_after_s
                for n in range(8)
            ]
        )
        assert sorted(found) == found
        assert min(b - a for a, b in zip(found, found[1:], strict=False)) > 0.1

    def test_engine_that_does_not_serve(self):
        async def main():
            return Scene(is_serving=False).decide()

        found = virtual_time.run(main())
        assert found.refusal.kind is errors.ErrorKind.DRAINING


class TestReturn:
    def test_returning_caller_is_late_since_its_first_attempt(self):
        """Guards against a late caller that goes before those on time."""

        async def scenario(scene):
            scene.decide(prompt_s=0.6, deadline_ms=1100)
            await asyncio.sleep(0.7)
            return scene.decide(prompt_s=0.3, run_id='other')

        found = run(scenario)
        assert found.is_return
        assert found.tier is Tier.PUT_OFF

    def test_returning_caller_goes_before_others_that_are_put_off(self):
        async def scenario(scene):
            scene.decide(prompt_s=0.6, deadline_ms=1100)
            waiting = scene.fill(2)
            await asyncio.sleep(0.7)
            found = scene.decide(prompt_s=0.6, run_id='other')
            await asyncio.gather(*waiting, return_exceptions=True)
            return found

        found = run(scenario)
        assert found.tier is Tier.PUT_OFF
        assert found.put_off_order_s == pytest.approx(0.8)

    def test_other_asks_of_one_attempt_are_no_return(self):
        """Guards against demoting a caller whose entry compares engines."""

        def scenario(scene):
            scene.decide(prompt_s=0.6, deadline_ms=1100)
            return scene.decide(prompt_s=0.1)

        assert not run(scenario).is_return

    def test_caller_that_never_returns_is_forgotten(self):
        """Guards against memory and room that are kept for nobody."""

        async def scenario(scene):
            refusal = scene.decide(prompt_s=0.6, deadline_ms=1100).refusal
            await asyncio.sleep(refusal.retry_after_s + 1.1)
            return scene.decide(prompt_s=0.1, run_id='other')

        found = run(scenario)
        assert (found.tier, found.is_return) == (Tier.ON_TIME, False)

    def test_return_at_another_engine_is_as_new(self):
        """Guards against an engine that depends on what another one knows."""

        def scenario(scene):
            scene.decide(prompt_s=0.6, deadline_ms=1100)
            return Scene().decide(prompt_s=0.3, run_id='other')

        assert run(scenario).tier is Tier.ON_TIME


class TestRanks:
    def test_no_rank_is_served_more_often_than_a_more_urgent_one(self):
        """Guards against patient callers that crowd out urgent ones."""

        def scenario(scene):
            for number in range(40):
                scene.decide(
                    prompt_s=0.6 if number % 2 else 0.1,
                    deadline_ms=1100,
                    fingerprint=f'u{number}',
                )
                scene.decide(rank=2, fingerprint=f'p{number}', prompt_s=0.3)
            return scene.decide(rank=2, fingerprint='p', prompt_s=0.3)

        assert run(scenario).tier is not Tier.ON_TIME

    def test_neglected_rank_finds_the_whole_queue(self):
        """Guards against starving a less urgent rank."""

        def scenario(scene):
            served_count = 0
            for number in range(40):
                scene.decide(prompt_s=0.1, fingerprint=f'u{number}')
                found = scene.decide(
                    rank=1,
                    prompt_s=0.45,
                    deadline_ms=1100,
                    fingerprint=f's{number}',
                )
                served_count += found.refusal is None
            return served_count

        assert run(scenario) >= 20


class TestSwitch:
    @pytest.mark.parametrize(
        ('has_part', 'organisations', 'is_on'),
        [(False, (), False), (True, None, False), (True, (), True)],
    )
    def test_sidecar_decides_so_only_with_part_and_organisations(
        self, has_part, organisations, is_on
    ):
        """Guards against a part that is on by default, or never."""

        async def story(scene):
            await scene.request_turn('first', adapter='')
            scene.engine.runs.add('first')
            await asyncio.sleep(1.0)
            reply = await scene.request_turn(
                'second', adapter='', deadline_ms=400
            )
            details.append(reply.detail)

        details: list[str] = []
        test_engine_controller.play(
            story,
            limits=routing.EngineLimits(1, 2, (fake_engine.MODEL,)),
            parts=(parts.Part.CALLER_LOSS,) if has_part else (),
            organisations=organisations,
        )
        (detail,) = details
        assert detail.startswith('the expected wait for a turn is')
        assert ('put off' in detail) == is_on


class TestPutOffQueue:
    def test_released_one_by_one_in_the_order_of_giving_up(self):
        async def scenario(scene):
            released = []

            async def wait(order_s):
                turn = make_turn(0.0, order_s)
                await scene.put_off.wait(turn)
                released.append((order_s, turn.put_off_s))

            waiting = [asyncio.ensure_future(wait(s)) for s in (3.0, 1.0, 2.0)]
            await asyncio.sleep(0.5)
            assert not released
            scene.has_room = True
            await asyncio.gather(*waiting)
            return released

        released = run(scenario)
        assert [order_s for order_s, _ in released] == [1.0, 2.0, 3.0]
        times_s = [put_off_s for _, put_off_s in released]
        assert times_s[0] < times_s[1] < times_s[2]

    def test_request_that_would_start_too_late_is_refused_before(self):
        """Guards against holding a request until its caller gives up."""

        async def scenario(scene):
            turn = make_turn(0.0, 2.8)
            with pytest.raises(errors.RefusalError) as refused:
                await scene.put_off.wait(turn)
            return refused.value, asyncio.get_running_loop().time()

        error, at_s = run(scenario)
        assert error.outcome is errors.Outcome.NOT_RUN
        assert at_s < 2.8

    def test_request_of_a_frozen_entry_is_given_up(self):
        """Guards against a frozen entry whose request takes a turn."""

        async def scenario(scene):
            turn = make_turn(0.0, 2.8)
            turn.record_ask(0.0, 0.4)
            with pytest.raises(errors.RefusalError) as refused:
                await scene.put_off.wait(turn)
            return refused.value.kind, asyncio.get_running_loop().time()

        kind, at_s = run(scenario)
        assert kind is errors.ErrorKind.CALLER_GONE
        assert at_s == pytest.approx(1.4, abs=0.05)

    def test_caller_that_leaves_is_forgotten(self):
        async def scenario(scene):
            waiting = scene.fill(1)
            await asyncio.sleep(0.1)
            waiting[0].cancel()
            await asyncio.wait(waiting)
            return len(scene.put_off)

        assert run(scenario) == 0

    def test_count_is_bounded(self):
        """Guards against memory that grows with a flood."""

        async def scenario(scene):
            waiting = scene.fill(64)
            await asyncio.sleep(0.0)
            is_full = scene.put_off.is_full
            for task in waiting:
                task.cancel()
            await asyncio.wait(waiting)
            return is_full

        assert run(scenario)
