"""Contracts in force while both sides of a partitioned fleet serve."""

import asyncio
import contextlib
import time

import msgspec
import pytest

from lacewingpitch import contract_gossip
from lacewingpitch import live_list
from tests import fault_matrix
from tests import processes
from tests import sides as sides_module

Promise = fault_matrix.Promise
Fault = fault_matrix.Fault
Step = fault_matrix.Step

LEFT, RIGHT = 0, 1
CUSTOMERS = ('haneul', 'caravan')
ADAPTER = 'ficus'
# Stated bound for a change to come into force.
IN_FORCE_S = 5.0
REVOKED = 403
# Stands for a revoked contract; above every version.
REVOKED_VERSION = 1 << 30


@pytest.fixture
async def deployment(tmp_path):
    async with processes.Deployment(tmp_path) as found:
        for customer in CUSTOMERS:
            found.add_customer(customer, ADAPTER, limits=processes.WIDE_LIMITS)
        yield found


@pytest.fixture
async def sides(deployment):
    async with sides_module.Sides(
        deployment,
        zones='ab',
        left_count=1,
        entries=((LEFT, 'a'), (LEFT, 'a'), (RIGHT, 'b'), (RIGHT, 'b')),
        joins_entries=True,
        own_config=True,
    ) as found:
        yield found


async def change(sides, side, customer, **fields):
    """Publish the next revision of a contract on one side only.

    The revision is also the version of its adapter, so that the answer to
    a request shows under which contract it ran.
    """
    found = sides.deployment
    old = found.contracts[customer]
    revision = old.revision + 1
    (grant,) = old.adapters
    found.contracts[customer] = msgspec.structs.replace(
        old,
        revision=revision,
        adapters=(msgspec.structs.replace(grant, version=str(revision)),),
        **fields,
    )
    sides.published[side][customer] = found.contracts[customer]
    await sides.publish_contracts(side)


async def in_force(deployment, entry, customer):
    """Return the version in force at an entry, as callers see it."""
    headers = {'Authorization': f'Bearer {deployment.keys[customer]}'}
    async with deployment.session.get(
        entry.url + '/v1/models', headers=headers
    ) as response:
        if response.status == REVOKED:
            return REVOKED_VERSION
        if response.status != 200:
            return None
        (model,) = (await response.json())['data']
        return int(model['version'])


async def until_in_force(deployment, entries, customer, version):
    """Wait until a version is in force at entries; return the time."""
    started_s = time.monotonic()
    for entry in entries:

        async def is_in_force(entry=entry):
            found = await in_force(deployment, entry, customer)
            return found == version

        await processes.wait_until(is_in_force, IN_FORCE_S)
    return time.monotonic() - started_s


async def status(deployment, entry):
    async with deployment.session.get(entry.url + '/readyz') as response:
        return msgspec.json.decode(
            await response.read(), type=contract_gossip.ContractStatus
        )


async def call(deployment, entry, customer):
    async with deployment.call(entry, customer, ADAPTER) as response:
        await response.read()
        return response.status


async def runs(deployment, number):
    """Return the adapters and versions that one engine ran."""
    truth = await deployment.engine_record(deployment.engines[number])
    return [run.adapter for run in truth.runs]


async def check_served_versions(sides, versions):
    """Call every entry, and check which version each side's engine ran."""
    deployment = sides.deployment
    before = [await runs(deployment, side) for side in (LEFT, RIGHT)]
    for side in (LEFT, RIGHT):
        for entry in sides.entries(side):
            assert await call(deployment, entry, 'haneul') == 200
    for side, version in enumerate(versions):
        ran = await runs(deployment, side)
        assert set(ran[len(before[side]) :]) == {f'{ADAPTER}@{version}'}


class ContractMonitor:
    """Repeatedly reads the versions in force from every entry."""

    def __init__(self, deployment):
        self._deployment = deployment
        self.seen = {}

    async def run(self):
        while True:
            for entry in tuple(self._deployment.entries):
                for customer in CUSTOMERS:
                    await self._read(entry, customer)
            await asyncio.sleep(processes.POLL_INTERVAL_S)

    async def _read(self, entry, customer):
        found = await in_force(self._deployment, entry, customer)
        if found is not None:
            self.seen.setdefault((entry, customer), []).append(found)

    def check(self):
        """Check that no entry ever returned to a lower version."""
        assert self.seen
        for seen in self.seen.values():
            assert seen == sorted(seen)


@contextlib.asynccontextmanager
async def checked_for_reversion(deployment):
    """Check that no version reverts while the context is open."""
    monitor = ContractMonitor(deployment)
    task = asyncio.create_task(monitor.run())
    try:
        yield
        if task.done():
            task.result()
        monitor.check()
    finally:
        task.cancel()


class TestBothSidesServing:
    @pytest.mark.proves(Promise.CONTRACTS, Fault.PARTITION, Step.ANY)
    @pytest.mark.proves(Promise.CONTRACTS, Fault.LINK_CUT, Step.ANY)
    @pytest.mark.proves(Promise.CONTRACTS, Fault.HALF_OPEN, Step.ANY)
    @pytest.mark.proves(Promise.CONTRACTS, Fault.SAME_TWICE, Step.ANY)
    @pytest.mark.parametrize('how', ['cut', 'half-open'])
    async def test_each_change_wins_everywhere(self, deployment, sides, how):
        """Guards against changes that are lost or reverted after a heal.

        Each side of a partitioned fleet accepts a change of another
        customer, one of them twice in a row; the links heal, and each
        side's configuration service still has the other's old contract.
        The last one read must not win.
        """
        all_entries = deployment.entries
        async with checked_for_reversion(deployment):
            await sides.split(how)
            await sides.publish(live_list.InstanceState.LEAVING)
            await change(sides, LEFT, 'haneul')
            await change(sides, LEFT, 'haneul')
            await change(sides, RIGHT, 'caravan')
            for side, customer, version in (
                (LEFT, 'haneul', 3),
                (RIGHT, 'caravan', 2),
            ):
                await until_in_force(
                    deployment, sides.entries(side), customer, version
                )
                for entry in sides.entries(1 - side):
                    assert await in_force(deployment, entry, customer) == 1
            await check_served_versions(sides, (3, 1))
            await sides.heal()
            await until_in_force(deployment, all_entries, 'haneul', 3)
            await until_in_force(deployment, all_entries, 'caravan', 2)
            # The services are read again, and each has an old contract.
            await change(sides, RIGHT, 'caravan')
            await until_in_force(deployment, all_entries, 'caravan', 3)
            await change(sides, LEFT, 'haneul')
            await until_in_force(deployment, all_entries, 'haneul', 4)
            await sides.publish(live_list.InstanceState.LIVE)
            for entry in all_entries:
                assert await call(deployment, entry, 'haneul') == 200
        for number in (LEFT, RIGHT):
            ran = await runs(deployment, number)
            assert ran == sorted(ran)

    @pytest.mark.proves(Promise.CONTRACTS, Fault.CONFIG_DOWN, Step.ANY)
    @pytest.mark.proves(Promise.CONTRACTS, Fault.TWO_FAULTS, Step.ANY)
    async def test_isolated_side_reports_the_age_of_its_view(
        self, deployment, sides
    ):
        """Guards against an old contract that operators can't detect.

        The fleet is partitioned while the configuration service is down on
        one side.  That side's view is as old as the partition, and its
        status must show that until the links heal.
        """
        await deployment.set_faults(sides.platforms[RIGHT], config_down=True)
        await sides.split('cut')
        split_s = time.monotonic()
        await sides.publish(live_list.InstanceState.LEAVING)
        await change(sides, LEFT, 'haneul')
        await until_in_force(deployment, sides.entries(LEFT), 'haneul', 2)
        read_s = time.monotonic()
        for entry in sides.entries(RIGHT):
            before_s = time.monotonic()
            found = await status(deployment, entry)
            assert found.view_age_s >= before_s - split_s
            assert await in_force(deployment, entry, 'haneul') == 1
            assert await call(deployment, entry, 'haneul') == 200
        await sides.heal()
        await until_in_force(deployment, sides.entries(RIGHT), 'haneul', 2)
        for entry in sides.entries(RIGHT):

            async def is_younger_than_the_split(entry=entry):
                found = await status(deployment, entry)
                return found.view_age_s < time.monotonic() - split_s

            await processes.wait_until(is_younger_than_the_split, IN_FORCE_S)
        assert read_s > split_s

    @pytest.mark.proves(Promise.CONTRACTS, Fault.HALF_OPEN, Step.ANY)
    async def test_one_way_links_bring_changes(self, deployment, sides):
        """Guards against changes delayed by links that only lose replies.

        Every link delivers messages and holds back their replies.
        """
        async with checked_for_reversion(deployment):
            await sides.split('one-way')
            await change(sides, LEFT, 'haneul')
            await until_in_force(deployment, deployment.entries, 'haneul', 2)


class TestRevoked:
    @pytest.mark.proves(
        Promise.CONTRACTS, Fault.PARTITION, Step.BEFORE_ADMISSION
    )
    @pytest.mark.proves(
        Promise.CONTRACTS, Fault.TWO_FAULTS, Step.BEFORE_ADMISSION
    )
    @pytest.mark.parametrize('replaced', [1, 2])
    async def test_entry_restarted_on_the_cut_side(
        self, deployment, sides, replaced
    ):
        """Guards against a revoked customer served by a restarted entry.

        The configuration service of one side has a state from before the
        revocation, which came from peers.  The fleet is partitioned, and
        one entry of that side or all of them are replaced.  A new instance
        must not rely on the service alone.
        """
        await change(sides, LEFT, 'haneul', revoked=True)
        await until_in_force(
            deployment, deployment.entries, 'haneul', REVOKED_VERSION
        )
        await deployment.wait_for_revision(
            deployment.sidecars[RIGHT], 'haneul', 2
        )
        await sides.split('cut')
        await sides.publish(live_list.InstanceState.LEAVING)
        for entry in sides.entries(RIGHT)[:replaced]:
            await entry.kill()
        restarted = [
            await sides.add_entry(RIGHT, 'b') for _ in range(replaced)
        ]
        await sides.publish(live_list.InstanceState.LEAVING)
        for entry in restarted:
            await deployment.wait_until_ready(entry)
            # Listing models asks no sidecar, so the entry itself must know.
            assert (
                await in_force(deployment, entry, 'haneul') == REVOKED_VERSION
            )
            assert await call(deployment, entry, 'haneul') == REVOKED
            assert await call(deployment, entry, 'caravan') == 200
        assert await runs(deployment, RIGHT) == [f'{ADAPTER}@1'] * replaced
