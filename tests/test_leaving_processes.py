"""Tests that a backend server that is leaving gets no new work."""

import asyncio
import collections
import time

import msgspec
import pytest

from lacewingpitch import live_list
from lacewingpitch import settings
from tests import fault_matrix
from tests import processes
from tests import relay

Promise = fault_matrix.Promise
Fault = fault_matrix.Fault
Step = fault_matrix.Step
LEAVER = 2
# Time after which no new run may start.
LEAVING_S = 3.0


@pytest.fixture
async def deployment(tmp_path):
    async with processes.Deployment(tmp_path) as found:
        for _ in range(2):
            await found.add_engine()
        await found.add_entry()
        found.add_customer(
            'haneul',
            *(f'ficus-{n}' for n in range(8)),
            limits=processes.WIDE_LIMITS,
        )
        await found.publish()
        yield found


async def list_as_leaving(deployment, number):
    """List a sidecar as leaving."""
    name = f'sidecar-{number}'
    deployment.instances = [
        msgspec.structs.replace(i, state=live_list.InstanceState.LEAVING)
        if i.name == name
        else i
        for i in deployment.instances
    ]
    await deployment.publish_instances()


async def list_as_leaving_and_wait(deployment, number):
    """List a sidecar as leaving; wait until it has read the list."""
    await list_as_leaving(deployment, number)
    await until_not_ready(deployment, deployment.sidecars[number])


async def until_not_ready(deployment, sidecar):
    async def is_refusing():
        async with deployment.session.get(sidecar.url + '/readyz') as response:
            return response.status == 503

    await processes.wait_until(is_refusing)


async def call_all(deployment, entry):
    for customer, contract in deployment.contracts.items():
        for grant in contract.adapters:
            async with deployment.call(
                entry, customer, grant.name
            ) as response:
                await response.read()
                assert response.status == 200


async def start_stale_platform(deployment):
    """Start a platform whose list never changes."""
    stale = await deployment.run('standin', 'platform')
    await deployment.put(stale, '/v1/instances', tuple(deployment.instances))
    return stale, settings.Address(
        ip=processes.IP, port=stale.ports['work_port']
    )


async def run_counts(deployment):
    truths = [await deployment.engine_record(e) for e in deployment.engines]
    return [len(truth.runs) for truth in truths]


class TestLeaving:
    @pytest.mark.proves(
        Promise.LEAVING, Fault.LIST_WRONG, Step.BEFORE_ADMISSION
    )
    async def test_entry_with_a_stale_list_starts_no_run(self, deployment):
        """Guards against losing requests with a server that shuts down.

        The entry's list stays stale and still shows the backend server as
        live.  The sidecar must refuse new work once its own list says that
        it is leaving.
        """
        _, stale = await start_stale_platform(deployment)
        stale_entry = await deployment.add_entry(live_list=stale)
        await deployment.publish_instances()
        await deployment.wait_until_ready(stale_entry)
        await call_all(deployment, stale_entry)
        before = await run_counts(deployment)
        assert min(before) > 0
        await list_as_leaving_and_wait(deployment, 0)
        await call_all(deployment, stale_entry)
        after = await run_counts(deployment)
        assert after[0] == before[0]
        assert sum(after) == sum(before) + 8

    @pytest.mark.proves(Promise.LEAVING, Fault.FROZEN, Step.BEFORE_ADMISSION)
    async def test_resumed_entry_starts_no_run(self, deployment):
        """As above, by an entry that was frozen when the list changed."""
        entry = deployment.entries[0]
        entry.freeze()
        await list_as_leaving_and_wait(deployment, 0)
        entry.resume()
        await call_all(deployment, entry)
        assert await run_counts(deployment) == [0, 8]

    @pytest.mark.proves(Promise.LEAVING, Fault.NONE, Step.DRAINING)
    async def test_terminated_sidecar_accepts_no_new_work(self, deployment):
        """Guards against new requests that delay a shutdown.

        The sidecar gets SIGTERM during a stream, while the list still shows
        it as live.  A drain must not admit new requests.
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

    @pytest.mark.proves(Promise.LEAVING, Fault.HALF_OPEN, Step.SENT)
    @pytest.mark.proves(Promise.LEAVING, Fault.TWO_FAULTS, Step.SENT)
    async def test_order_that_arrives_late_is_refused(self, deployment):
        """Guards against losing a request that arrives too late.

        The link delays it until the backend server is leaving, and the
        entry's list is stale.  The sidecar must check its own list for
        every order, not only when it makes a promise.
        """
        first = deployment.instances[0]
        async with relay.Relay(first.work_port) as link:
            deployment.instances[0] = msgspec.structs.replace(
                first, work_port=link.port
            )
            _, stale = await start_stale_platform(deployment)
            stale_entry = await deployment.add_entry(live_list=stale)
            await deployment.wait_until_ready(stale_entry)
            link.half_open()
            sent = link.wait_for(b'POST /run')
            calling = asyncio.create_task(call_all(deployment, stale_entry))
            async with asyncio.timeout(processes.WAIT_TIMEOUT_S):
                await sent.wait()
            await list_as_leaving_and_wait(deployment, 0)
            link.heal()
            await calling
        assert await run_counts(deployment) == [0, 8]


class TestUnderLoad:
    @pytest.mark.parametrize(
        'outdated',
        [
            'nobody',
            pytest.param(
                'its own list',
                marks=pytest.mark.proves(
                    Promise.LEAVING, Fault.LIST_WRONG, Step.ANY
                ),
            ),
            pytest.param(
                'a paused entry',
                marks=pytest.mark.proves(
                    Promise.LEAVING, Fault.FROZEN, Step.ANY
                ),
            ),
        ],
    )
    async def test_no_new_run_after_seconds(
        self, deployment, outdated, record_property
    ):
        """Guards against new work on a backend server about to shut down.

        Callers send requests through two entries while the list shows the
        server as leaving.  In further cases its own list still shows it as
        live, or an entry was frozen before the change and resumes later.
        """
        _, stale = await start_stale_platform(deployment)
        fields = {'live_list': stale} if outdated == 'its own list' else {}
        await deployment.add_engine(**fields)
        await deployment.add_entry()
        await deployment.publish()
        served = collections.Counter()

        async def keep_calling(entry):
            while True:
                await call_all(deployment, entry)
                served[entry] += 1

        calling = [
            asyncio.create_task(keep_calling(entry))
            for entry in deployment.entries
        ]

        async def all_ran():
            return min(await run_counts(deployment)) > 0

        await processes.wait_until(all_ran)
        paused = deployment.entries[1]
        if outdated == 'a paused entry':
            paused.freeze()
        count = (await run_counts(deployment))[LEAVER]
        await list_as_leaving(deployment, LEAVER)
        listed_at_s = last_run_at_s = time.monotonic()
        while time.monotonic() < listed_at_s + LEAVING_S:
            found = (await run_counts(deployment))[LEAVER]
            if found != count:
                count, last_run_at_s = found, time.monotonic()
            await asyncio.sleep(processes.POLL_INTERVAL_S)
        record_property('last_new_run_s', last_run_at_s - listed_at_s)
        print(
            f'last new run {last_run_at_s - listed_at_s:.3f} s after the list'
        )
        paused.resume()
        before = served.copy()

        async def all_served():
            assert not any(task.done() for task in calling)
            return all(served[e] > before[e] + 2 for e in deployment.entries)

        await processes.wait_until(all_served)
        assert (await run_counts(deployment))[LEAVER] == count
        for task in calling:
            task.cancel()
        await asyncio.wait(calling)
