"""Tests that the policy benchmark measures what callers would see."""

import asyncio

import pytest

from benchmarks import policy
from benchmarks import policy_machines
from benchmarks import policy_workloads
from benchmarks import virtual_time
from lacewingpitch import errors
from lacewingpitch import settings

_KEY = 'a@1'
_DEADLINE_S = 5.0


def _make_machine(kind):
    clock = virtual_time.LoopClock()
    site = policy_workloads.HANEUL
    workload = policy_workloads.Workload('one turn', site)
    run = policy.Run(workload, kind, site.stall_weight)
    run.pacers = {}
    store = policy_machines.Store(
        settings.StoreSettings(loads_per_s=100.0, loads_at_once=1), run.random
    )
    engine = policy_machines.BenchEngine(store, 1, 1)
    issuer = policy.store_pacing.PermitIssuer(clock, site.store, print)
    slots = run._make_slots('engine', engine, issuer, 1)
    return slots, run._make_turns(engine, slots)


async def _hold_turn(turns, order, held_s):
    async with turns.turn(_KEY, order):
        await asyncio.sleep(held_s)


class TestDeadline:
    @pytest.mark.parametrize('kind', ['hash', 'lacewingpitch'])
    def test_holds_for_the_turn_under_every_policy(self, kind):
        """A policy scores well because its callers wait without a limit.

        One request holds the only turn for longer than another one's
        deadline.  If the deadline covered only the wait for the adapter,
        the baselines would start requests late and count them as served
        without a stall, where the product refuses them and counts 30 s.
        """

        async def scenario():
            slots, turns = _make_machine(kind)
            request = policy_workloads.Request(0.0, 1, 1, 0, 0, 10)
            order = policy_workloads.make_order(request, _KEY, _DEADLINE_S)
            first = asyncio.create_task(
                _hold_turn(turns, order, 2 * _DEADLINE_S)
            )
            await asyncio.sleep(1.0)
            with pytest.raises(errors.RefusalError) as refused:
                await _hold_turn(turns, order, 0.0)
            assert asyncio.get_running_loop().time() <= _DEADLINE_S + 1.0
            assert refused.value.outcome is errors.Outcome.NOT_RUN
            await first
            assert (turns.running, turns.queued) == (0, 0)
            await slots.close()

        virtual_time.run(scenario())
