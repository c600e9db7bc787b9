import msgspec
import pytest

from lacewingpitch import live_list
from lacewingpitch import settings
from tests import fault_matrix
from tests import processes

Promise = fault_matrix.Promise
Fault = fault_matrix.Fault
Step = fault_matrix.Step


@pytest.fixture
async def deployment(tmp_path):
    async with processes.Deployment(tmp_path) as found:
        for _ in range(2):
            await found.add_engine()
        await found.add_entry()
        found.add_customer('haneul', *(f'ficus-{n}' for n in range(8)))
        await found.publish()
        yield found


async def tell_to_leave(deployment, number):
    """List a sidecar as leaving, and wait until it knows."""
    name = f'sidecar-{number}'
    deployment.instances = [
        msgspec.structs.replace(i, state=live_list.InstanceState.LEAVING)
        if i.name == name
        else i
        for i in deployment.instances
    ]
    await deployment.publish_instances()

    await until_not_ready(deployment, deployment.sidecars[number])


async def until_not_ready(deployment, sidecar):
    async def is_refusing():
        async with deployment.session.get(sidecar.url + '/readyz') as response:
            return response.status == 503

    await processes.until(is_refusing)


async def call_all(deployment, entry):
    for customer, contract in deployment.contracts.items():
        for grant in contract.adapters:
            async with deployment.call(
                entry, customer, grant.name
            ) as response:
                await response.read()
                assert response.status == 200


async def run_counts(deployment):
    truths = [await deployment.truth(e) for e in deployment.engines]
    return [len(truth.runs) for truth in truths]


class TestLeaving:
    @pytest.mark.proves(
        Promise.LEAVING, Fault.LIST_WRONG, Step.BEFORE_ADMISSION
    )
    async def test_entry_with_a_stale_list_runs_nothing_there(
        self, deployment
    ):
        """Requests die with a backend server that was told to leave.

        The entry's list is stale for good and still calls it live.  The
        cause would be a sidecar that takes what an entry sends, although
        its own list says that it leaves.
        """
        stale = await deployment.run('standin', 'platform')
        await deployment.put(
            stale, '/v1/instances', tuple(deployment.instances)
        )
        behind = await deployment.add_entry(
            live_list=settings.Address(
                ip=processes.IP, port=stale.ports['work_port']
            )
        )
        await deployment.publish_instances()
        await deployment.ready(behind)
        await call_all(deployment, behind)
        before = await run_counts(deployment)
        assert min(before) > 0
        await tell_to_leave(deployment, 0)
        await call_all(deployment, behind)
        after = await run_counts(deployment)
        assert after[0] == before[0]
        assert sum(after) == sum(before) + 8

    @pytest.mark.proves(Promise.LEAVING, Fault.FROZEN, Step.BEFORE_ADMISSION)
    async def test_woken_entry_runs_nothing_there(self, deployment):
        """As above, by an entry that was frozen while it was told."""
        entry = deployment.entries[0]
        entry.freeze()
        await tell_to_leave(deployment, 0)
        entry.wake()
        await call_all(deployment, entry)
        assert await run_counts(deployment) == [0, 8]

    @pytest.mark.proves(Promise.LEAVING, Fault.NONE, Step.DRAINING)
    async def test_terminated_sidecar_takes_no_new_work(self, deployment):
        """New requests keep a backend server busy that is to shut down.

        Its sidecar gets SIGTERM while a stream runs, and the list still
        calls it live.  The cause would be a drain that admits more.
        """
        entry = deployment.entries[0]
        grants = deployment.contracts['haneul'].adapters
        async with deployment.call(
            entry, 'haneul', grants[0].name, stream=True, max_tokens=1000
        ) as response:
            await response.content.readline()
            before = await run_counts(deployment)
            busy = before.index(max(before))
            deployment.sidecars[busy].terminate()
            await until_not_ready(deployment, deployment.sidecars[busy])
            await call_all(deployment, entry)
            after = await run_counts(deployment)
            assert after[busy] == before[busy]
            text = await response.text()
            assert text.endswith('data: [DONE]\n\n')
