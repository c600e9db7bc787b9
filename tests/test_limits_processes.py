"""Limits over real entry processes, held against what engines ran."""

import asyncio
import time

import msgspec
import pytest

from lacewingpitch import contract
from lacewingpitch import entry_ring
from lacewingpitch import live_list
from lacewingpitch import work
from tests import fault_matrix
from tests import processes
from tests import relay

Promise = fault_matrix.Promise
Fault = fault_matrix.Fault
Step = fault_matrix.Step
CUSTOMER = 'haneul'
ADAPTER = 'ficus'
RATE_PER_S = 10.0
BURST = 10
PRESS_S = 6.0
CALLERS = 3


@pytest.fixture
async def deployment(tmp_path):
    async with processes.Deployment(tmp_path) as found:
        await found.add_engine('--token-s', '0.001')
        for _ in range(3):
            await found.add_entry()
        found.add_customer(
            CUSTOMER,
            ADAPTER,
            region='region-a',
            limits=contract.Limits(
                requests_per_s=RATE_PER_S,
                burst_requests=BURST,
                concurrent_requests=50,
                queued_requests=50,
                tokens_per_s=1e6,
            ),
        )
        found.add_customer('caravan', ADAPTER, region='region-a')
        await found.publish()
        yield found


class Clockless:
    def monotonic_s(self):
        return 0.0

    def wall_s(self):
        return 0.0


def owner_number(deployment):
    """Return which entry owns the customer, by the published list."""
    ring = entry_ring.EntryRing(Clockless(), '', 'region-a')
    ring.update(1, deployment.instances)
    return int(ring.owner(CUSTOMER, 'region-a').name.split('-')[1])


class Press:
    """Callers that send to some entries as fast as they are answered."""

    def __init__(self, deployment, entries, press_s=PRESS_S):
        self._deployment = deployment
        self._entries = entries
        self._press_s = press_s
        self.served = {}
        self.kinds = set()

    async def run(self):
        started_s = time.monotonic()
        self._until_s = started_s + self._press_s
        await asyncio.gather(
            *(
                self._call(number)
                for number in self._entries
                for _ in range(CALLERS)
            )
        )
        self.passed_s = time.monotonic() - started_s
        return self

    async def _call(self, number):
        entry = self._deployment.entries[number]
        while time.monotonic() < self._until_s:
            async with self._deployment.call(
                entry, CUSTOMER, ADAPTER
            ) as response:
                if response.status == 200:
                    await response.read()
                    served = self.served.get(number, 0)
                    self.served[number] = served + 1
                    continue
                self.kinds.add(response.headers[work.KIND_HEADER])
                assert response.headers[work.OUTCOME_HEADER] == 'not-run'
                assert int(response.headers['Retry-After']) >= 1
            await asyncio.sleep(0.05)

    @property
    def total(self):
        return sum(self.served.values())


async def runs(deployment):
    truths = [await deployment.truth(e) for e in deployment.engines]
    return sum(len(truth.runs) for truth in truths)


class TestLimits:
    async def test_all_traffic_at_one_entry_gets_the_limit(self, deployment):
        owner = owner_number(deployment)
        press = await Press(deployment, [(owner + 1) % 3]).run()
        assert press.kinds == {'rate-limited'}
        most = BURST + RATE_PER_S * press.passed_s
        assert 0.5 * RATE_PER_S * PRESS_S <= press.total <= most + 1
        assert press.total == await runs(deployment)

    async def test_all_entries_together_get_one_limit(self, deployment):
        press = await Press(deployment, range(3)).run()
        most = BURST + RATE_PER_S * press.passed_s
        assert 0.5 * RATE_PER_S * PRESS_S <= press.total <= most + 1
        assert press.total == await runs(deployment)

    async def test_another_customer_is_served_meanwhile(self, deployment):
        pressing = asyncio.create_task(Press(deployment, range(3)).run())
        await asyncio.sleep(1.0)
        for number in range(9):
            async with deployment.call(
                deployment.entries[number % 3], 'caravan', ADAPTER
            ) as response:
                assert response.status == 200
                await response.read()
        await pressing


class TestOwner:
    @pytest.mark.proves(Promise.LIMITS, Fault.KILLED, Step.BEFORE_ADMISSION)
    async def test_killed(self, deployment):
        """A customer gets nothing, or all it likes, as its owner dies.

        Callers press on the two others; the owner is killed, and the list
        is published without it after a while.  The cause would be a
        holder that waits for the dead owner, or a successor that starts
        with a whole burst.
        """
        owner = owner_number(deployment)
        rest = [number for number in range(3) if number != owner]
        before = await Press(deployment, rest, 2.0).run()
        await deployment.entries[owner].kill()
        silent = await Press(deployment, rest, 4.0).run()
        deployment.instances = [
            instance
            for instance in deployment.instances
            if instance.name != f'entry-{owner}'
        ]
        await deployment.publish_instances()
        after = await Press(deployment, rest, 4.0).run()
        presses = (before, silent, after)
        passed_s = sum(press.passed_s for press in presses)
        total = sum(press.total for press in presses)
        shares = 2 * BURST / 3 + BURST / 2
        assert total <= BURST + RATE_PER_S * (passed_s + 1) + shares + 3
        assert silent.total >= 0.3 * RATE_PER_S * 4.0
        assert after.total >= 0.4 * RATE_PER_S * 4.0
        assert total == await runs(deployment)

    @pytest.mark.proves(Promise.LIMITS, Fault.FROZEN, Step.BEFORE_ADMISSION)
    async def test_frozen_and_woken(self, deployment):
        """A customer gets a second limit from an owner that wakes up.

        The owner is frozen while callers press on the others, the list
        drops it, and it wakes with its old list; callers press on all.
        The cause would be an owner that goes on where it stopped.
        """
        owner = owner_number(deployment)
        rest = [number for number in range(3) if number != owner]
        before = await Press(deployment, rest, 2.0).run()
        deployment.entries[owner].freeze()
        silent = await Press(deployment, rest, 3.0).run()
        left = [
            instance
            for instance in deployment.instances
            if instance.name != f'entry-{owner}'
        ]
        await deployment.put(deployment.platform, '/v1/instances', tuple(left))
        await Press(deployment, rest, 3.0).run()
        await Press(deployment, rest, 1.0).run()
        ran = await runs(deployment)
        deployment.entries[owner].wake()
        after = await Press(deployment, range(3), 4.0).run()
        assert before.total and silent.total
        # The share of the woken one may come on top.
        most = RATE_PER_S * after.passed_s * (1 + 1 / 3)
        assert after.total <= BURST + most + BURST / 3 + 2
        assert after.total == await runs(deployment) - ran


class TestPartition:
    @pytest.mark.proves(Promise.LIMITS, Fault.PARTITION, Step.ANY)
    async def test_both_sides_serve_within_the_bound(self, deployment):
        """A customer gets its whole limit on each side of a partition.

        The owner cannot be reached by the two others; callers press on
        all three.  The cause would be a side that takes the limit for
        itself, or one that admits nothing.
        """
        owner = owner_number(deployment)
        rest = [number for number in range(3) if number != owner]
        name = f'entry-{owner}'
        control_port = deployment.entries[owner].ports['control_port']
        async with relay.Relay(control_port) as link:
            deployment.instances = [
                _with_control_port(instance, link.port)
                if instance.name == name
                else instance
                for instance in deployment.instances
            ]
            await deployment.publish_instances()
            before = await Press(deployment, range(3), 3.0).run()
            link.half_open()
            cut = await Press(deployment, range(3), 8.0).run()
            link.heal()
        total = before.total + cut.total
        passed_s = before.passed_s + cut.passed_s
        shares = 2 / 3 * (BURST + RATE_PER_S * cut.passed_s)
        assert total <= BURST + RATE_PER_S * passed_s + shares + 3
        share = RATE_PER_S / 3
        for number in range(3):
            assert cut.served[number] >= 0.3 * share * 8.0
        for number in rest:
            most = (BURST + RATE_PER_S * cut.passed_s) / 3
            assert cut.served[number] <= most + RATE_PER_S
        assert total == await runs(deployment)


def _with_control_port(instance: live_list.Instance, port):
    return msgspec.structs.replace(instance, control_port=port)
