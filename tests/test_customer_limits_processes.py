"""Customers' limits over real entry processes and the engines' runs."""

import asyncio
import contextlib
import itertools
import time

import msgspec
import pytest

from lacewingpitch import contract
from lacewingpitch import limit_lease
from lacewingpitch import limit_ownership
from lacewingpitch import link as link_module
from lacewingpitch import live_list
from lacewingpitch import settings
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
LARGE = 'caravan-yard'
LARGE_BURST = 30
# A new owner starts with a third of the burst; the rest refills at the
# rate of the limit.
REFILL_S = (LARGE_BURST - LARGE_BURST / 3) / RATE_PER_S
LOAD_S = 6.0
CALLERS = 3


def limits(burst_requests):
    return contract.Limits(
        requests_per_s=RATE_PER_S,
        burst_requests=burst_requests,
        concurrent_requests=50,
        queued_requests=50,
        tokens_per_s=1e6,
    )


async def start(found, **lists):
    """Start three entries, some with a list of their own, by name."""
    await found.add_engine('--token-s', '0.001')
    for number in range(3):
        fields = {}
        if f'entry-{number}' in lists:
            port = lists[f'entry-{number}'].ports['work_port']
            fields['live_list'] = settings.Address(ip=processes.IP, port=port)
        await found.add_entry(**fields)
    for customer, burst in ((CUSTOMER, BURST), (LARGE, LARGE_BURST)):
        found.add_customer(
            customer, ADAPTER, region='region-a', limits=limits(burst)
        )
    found.add_customer('caravan', ADAPTER, region='region-a')


@pytest.fixture
async def deployment(tmp_path):
    async with processes.Deployment(tmp_path) as found:
        await start(found)
        await found.publish()
        yield found


class ZeroClock:
    def monotonic_s(self):
        return 0.0

    def wall_s(self):
        return 0.0


def owner_number(customer, listed=range(3)):
    """Return which entry owns a customer, by a list of some entries."""
    ownership = limit_ownership.LimitOwnership(ZeroClock(), '', 'region-a')
    entries = [
        live_list.Instance(
            name=f'entry-{number}',
            role=live_list.Role.ENTRY,
            region='region-a',
            availability_zone='zone-a',
            ip=processes.IP,
            work_port=0,
            control_port=0,
        )
        for number in listed
    ]
    ownership.update(1, entries)
    return int(ownership.owner(customer, 'region-a').name.split('-')[1])


async def until_leasing(deployment, number, customer):
    """Wait until an entry grants leases of a customer, as the owner."""
    signer = link_module.MessageSigner('test', deployment.secret, 'test')
    port = deployment.entries[number].ports['control_port']
    sequence = itertools.count(1)

    async def is_leasing():
        ask = limit_lease.LeaseAsk(
            holder='test',
            incarnation='test',
            sequence=next(sequence),
            wants=(limit_lease.LeaseWant(customer),),
        )
        reply = await peer.ask(
            ask, limit_lease.LeaseReply, processes.WAIT_TIMEOUT_S
        )
        return bool(reply.parts)

    peer = link_module.Peer(signer, processes.IP, port)
    with contextlib.closing(peer):
        await processes.wait_until(is_leasing)


async def until_burst_refilled(deployment, number):
    """Wait until the bucket of a new owner holds the whole large burst."""
    await until_leasing(deployment, number, LARGE)
    await asyncio.sleep(REFILL_S)


class SteadyCallers:
    """Callers that send to some entries as fast as they get answers."""

    def __init__(self, deployment, entries, load_s=LOAD_S, customer=CUSTOMER):
        self._deployment = deployment
        self._customer = customer
        self._entries = entries
        self._press_s = load_s
        self.served = {}
        self.kinds = set()
        self._limited = set()

    async def run(self, until_limited=False):
        """Send for `load_s`, or until all entries refuse if that's later."""
        self._until_limited = until_limited
        started_s = time.monotonic()
        self._until_s = started_s + self._press_s
        await asyncio.gather(
            *(
                self._call(number)
                for number in self._entries
                for _ in range(CALLERS)
            )
        )
        self.elapsed_s = time.monotonic() - started_s
        return self

    def _goes_on(self):
        if self._until_limited and self._limited != set(self._entries):
            return True
        return time.monotonic() < self._until_s

    async def _call(self, number):
        entry = self._deployment.entries[number]
        while self._goes_on():
            async with self._deployment.call(
                entry, self._customer, ADAPTER
            ) as response:
                if response.status == 200:
                    await response.read()
                    served = self.served.get(number, 0)
                    self.served[number] = served + 1
                    continue
                kind = response.headers[work.KIND_HEADER]
                self.kinds.add(kind)
                if kind == 'rate-limited':
                    self._limited.add(number)
                assert response.headers[work.OUTCOME_HEADER] == 'not-run'
                assert int(response.headers['Retry-After']) >= 1
            await asyncio.sleep(0.05)

    @property
    def total(self):
        return sum(self.served.values())


async def runs(deployment):
    reports = [await deployment.engine_record(e) for e in deployment.engines]
    return sum(len(report.runs) for report in reports)


def instances_without(deployment, number):
    """Return the instance list without an entry."""
    return [i for i in deployment.instances if i.name != f'entry-{number}']


def route_through_relay(deployment, number, link):
    """Publish a relay's port as the control port of an entry."""
    deployment.instances = [
        msgspec.structs.replace(instance, control_port=link.port)
        if instance.name == f'entry-{number}'
        else instance
        for instance in deployment.instances
    ]


class TestLimits:
    async def test_all_traffic_at_one_entry_gets_the_limit(self, deployment):
        owner = owner_number(CUSTOMER)
        callers = await SteadyCallers(deployment, [(owner + 1) % 3]).run()
        assert callers.kinds == {'rate-limited'}
        most = BURST + RATE_PER_S * callers.elapsed_s
        assert 0.5 * RATE_PER_S * LOAD_S <= callers.total <= most + 1
        assert callers.total == await runs(deployment)

    async def test_all_entries_together_get_one_limit(self, deployment):
        callers = await SteadyCallers(deployment, range(3)).run()
        most = BURST + RATE_PER_S * callers.elapsed_s
        assert 0.5 * RATE_PER_S * LOAD_S <= callers.total <= most + 1
        assert callers.total == await runs(deployment)

    async def test_another_customer_is_served_meanwhile(self, deployment):
        callers = SteadyCallers(deployment, range(3))
        running = asyncio.create_task(callers.run())

        async def is_at_its_limit():
            return 'rate-limited' in callers.kinds

        await processes.wait_until(is_at_its_limit)
        for number in range(9):
            async with deployment.call(
                deployment.entries[number % 3], 'caravan', ADAPTER
            ) as response:
                assert response.status == 200
                await response.read()
        assert not running.done()
        await running


class TestOwner:
    @pytest.mark.proves(Promise.LIMITS, Fault.KILLED, Step.BEFORE_ADMISSION)
    async def test_killed(self, deployment):
        """Guards against refusals and against excess as an owner dies.

        Callers load the two other entries; the owner is killed, and the
        instance list drops it after a while.  Holders must not wait for
        the dead owner or use the whole limit, and the successor must not
        start with a whole burst.
        """
        owner = owner_number(LARGE)
        rest = [number for number in range(3) if number != owner]
        await until_burst_refilled(deployment, owner)
        callers = SteadyCallers(deployment, rest, 1.0, LARGE)
        before = await callers.run(until_limited=True)
        assert before.total >= LARGE_BURST
        await deployment.entries[owner].kill()
        without_owner = await SteadyCallers(deployment, rest, 3.0, LARGE).run()
        shares = 2 / 3 * (LARGE_BURST + RATE_PER_S * without_owner.elapsed_s)
        assert 0.5 * shares <= without_owner.total <= shares + RATE_PER_S
        listed_s = time.monotonic()
        deployment.instances = instances_without(deployment, owner)
        await deployment.publish_instances()
        successor = owner_number(LARGE, rest)
        await until_leasing(deployment, successor, LARGE)
        after = await SteadyCallers(deployment, rest, 2.0, LARGE).run()
        rate = RATE_PER_S * (time.monotonic() - listed_s)
        assert 0.4 * rate <= after.total <= LARGE_BURST / 2 + rate + 3
        total = before.total + without_owner.total + after.total
        assert total == await runs(deployment)

    @pytest.mark.proves(Promise.LIMITS, Fault.FROZEN, Step.BEFORE_ADMISSION)
    @pytest.mark.proves(Promise.LIMITS, Fault.LIST_WRONG, Step.ANY)
    @pytest.mark.proves(Promise.LIMITS, Fault.TWO_FAULTS, Step.ANY)
    async def test_frozen_and_woken(self, tmp_path):
        """Guards against a second limit from an owner that resumes.

        The owner is frozen for so long that its buckets refill, the list
        drops it, and another grants leases.  It resumes with its old list,
        and no message about the change has reached it; callers load it.
        It must not continue with its old state.
        """
        owner = owner_number(LARGE)
        rest = [number for number in range(3) if number != owner]
        async with (
            processes.Deployment(tmp_path) as deployment,
            contextlib.AsyncExitStack() as exits,
        ):
            lagging = await deployment.run('standin', 'platform')
            await start(deployment, **{f'entry-{owner}': lagging})
            port = deployment.entries[owner].ports['control_port']
            link = await exits.enter_async_context(relay.Relay(port))
            route_through_relay(deployment, owner, link)
            listed = tuple(deployment.instances)
            await deployment.put(lagging, '/v1/instances', listed)
            await deployment.publish()
            await until_burst_refilled(deployment, owner)
            callers = SteadyCallers(deployment, [owner], 1.0, LARGE)
            before = await callers.run(until_limited=True)
            assert before.total >= LARGE_BURST
            deployment.entries[owner].freeze()
            # Messages about its successor are lost, too.
            await link.cut()
            deployment.instances = instances_without(deployment, owner)
            await deployment.publish_instances()
            await until_leasing(deployment, owner_number(LARGE, rest), LARGE)
            # Its own lease expires meanwhile.
            during_pause = await SteadyCallers(
                deployment, rest, limit_lease.LEASE_DURATION_S + 0.5, LARGE
            ).run()
            assert (
                during_pause.total >= 0.4 * RATE_PER_S * during_pause.elapsed_s
            )
            resumed_s = time.monotonic()
            deployment.entries[owner].resume()
            resumed = await SteadyCallers(
                deployment, [owner], 1.0, LARGE
            ).run()
            share = (LARGE_BURST + RATE_PER_S * resumed.elapsed_s) / 3
            assert 0.5 * share <= resumed.total <= share + 1
            # The new list reaches it; from now on there is one limit.
            await link.reopen()
            listed = tuple(deployment.instances)
            await deployment.put(lagging, '/v1/instances', listed)
            after = await SteadyCallers(deployment, range(3), 3.0, LARGE).run()
            most = RATE_PER_S * (time.monotonic() - resumed_s) + share
            assert resumed.total + after.total <= most + RATE_PER_S / 2
            total = (
                before.total + during_pause.total + resumed.total + after.total
            )
            assert total == await runs(deployment)


class TestPartition:
    @pytest.mark.proves(Promise.LIMITS, Fault.PARTITION, Step.ANY)
    async def test_both_sides_serve_within_the_bound(self, deployment):
        """Guards against the whole limit on each side of a partition.

        The two other entries can't reach the owner; callers load all
        three.  Each side must admit its part of the limit, and not the
        whole of it.
        """
        owner = owner_number(CUSTOMER)
        rest = [number for number in range(3) if number != owner]
        control_port = deployment.entries[owner].ports['control_port']
        async with relay.Relay(control_port) as link:
            route_through_relay(deployment, owner, link)
            await deployment.publish_instances()
            before = await SteadyCallers(deployment, range(3), 3.0).run()
            link.half_open()
            cut = await SteadyCallers(deployment, range(3), 8.0).run()
            link.heal()
        total = before.total + cut.total
        elapsed_s = before.elapsed_s + cut.elapsed_s
        shares = 2 / 3 * (BURST + RATE_PER_S * cut.elapsed_s)
        assert total <= BURST + RATE_PER_S * elapsed_s + shares + 3
        share = RATE_PER_S / 3
        for number in range(3):
            assert cut.served[number] >= 0.3 * share * 8.0
        for number in rest:
            most = (BURST + RATE_PER_S * cut.elapsed_s) / 3
            assert cut.served[number] <= most + RATE_PER_S
        assert total == await runs(deployment)
