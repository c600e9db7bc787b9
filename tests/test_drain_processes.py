"""SIGTERM in the middle of work, alone and with another fault."""

import asyncio
import re

import msgspec
import pytest

from lacewingpitch import work
from tests import fault_matrix
from tests import processes
from tests import relay as relay_module

Promise = fault_matrix.Promise
Fault = fault_matrix.Fault
Step = fault_matrix.Step

END = 'data: [DONE]\n\n'
TOKENS = 60
LONG_TOKENS = 200


@pytest.fixture
async def deployment(tmp_path):
    async with processes.Deployment(tmp_path) as found:
        yield found


async def ask(deployment, customer='haneul', **fields):
    async with deployment.call(
        deployment.entries[0], customer, 'ficus', **fields
    ) as response:
        return (
            response.headers.get(work.OUTCOME_HEADER, 'served'),
            response.headers[work.REQUEST_ID_HEADER],
            await response.text(),
        )


async def publish(deployment, repeatable=True):
    deployment.add_customer('haneul', 'ficus')
    found = deployment.contracts['haneul']
    grants = tuple(
        msgspec.structs.replace(grant, repeatable=repeatable)
        for grant in found.adapters
    )
    deployment.contracts['haneul'] = msgspec.structs.replace(
        found, adapters=grants
    )
    await deployment.publish()


async def any_run(deployment):
    truths = [await deployment.truth(e) for e in deployment.engines]
    return any(truth.runs for truth in truths)


def numbers(text):
    return [int(n) for n in re.findall(r':(\d+) ', text)]


class TestSidecar:
    @pytest.mark.proves(Promise.DRAIN, Fault.LINK_CUT, Step.MID_STREAM)
    @pytest.mark.proves(Promise.DRAIN, Fault.TWO_FAULTS, Step.MID_STREAM)
    async def test_ends_only_after_streams_are_taken_up(self, deployment):
        """A stream is lost when its sidecar leaves.

        The link breaks just before SIGTERM: the sidecar has no
        connection any more, and seems idle.
        """
        await deployment.add_engine('--token-s', '0.02')
        sidecar = deployment.instances[0]
        async with relay_module.Relay(sidecar.work_port) as relay:
            deployment.instances[0] = msgspec.structs.replace(
                sidecar, work_port=relay.port
            )
            await deployment.add_entry()
            await publish(deployment, repeatable=False)
            asking = asyncio.create_task(
                ask(deployment, stream=True, max_tokens=TOKENS)
            )
            await processes.until(lambda: any_run(deployment))
            relay.reset()
            deployment.sidecars[0].terminate()
            _, _, text = await asking
            assert text.endswith(END)
            assert numbers(text) == list(range(TOKENS))
            assert await deployment.sidecars[0].exited() == 0
        (run,) = (await deployment.truth(deployment.engines[0])).runs
        assert run.finished

    @pytest.mark.proves(Promise.DRAIN, Fault.NONE, Step.SENT)
    async def test_ends_only_after_work_that_nobody_waits_for(
        self, deployment
    ):
        """A watering plan is made by half.

        The caller goes away, then the sidecar is told to leave; the
        work may not be repeated, so it has to end.
        """
        await deployment.add_engine('--token-s', '0.02')
        await deployment.add_entry()
        await publish(deployment, repeatable=False)
        async with deployment.call(
            deployment.entries[0],
            'haneul',
            'ficus',
            stream=True,
            max_tokens=LONG_TOKENS,
        ) as response:
            await response.content.readline()
            response.close()
        deployment.sidecars[0].terminate()
        assert await deployment.sidecars[0].exited() == 0
        (run,) = (await deployment.truth(deployment.engines[0])).runs
        assert run.finished
        assert not run.cancelled

    @pytest.mark.proves(Promise.NOT_RUN, Fault.NONE, Step.DRAINING)
    @pytest.mark.proves(Promise.LEAVING, Fault.LIST_WRONG, Step.DRAINING)
    async def test_new_work_goes_elsewhere_while_it_drains(self, deployment):
        """Callers get errors while a backend server leaves.

        The list still shows it as live; work goes on to arrive.
        """
        for _ in range(3):
            await deployment.add_engine('--token-s', '0.01')
        await deployment.add_entry()
        await publish(deployment, repeatable=False)
        results = []
        stopping = asyncio.Event()

        async def keep_asking():
            while not stopping.is_set():
                results.append(await ask(deployment))

        asking = [asyncio.create_task(keep_asking()) for _ in range(6)]
        await processes.until(lambda: any_run(deployment))
        for sidecar in deployment.sidecars[:2]:
            sidecar.terminate()
            assert await sidecar.exited() == 0
        stopping.set()
        await asyncio.gather(*asking)
        truths = [await deployment.truth(e) for e in deployment.engines]
        ran = [run.run_id[:36] for truth in truths for run in truth.runs]
        assert len(ran) == len(set(ran))
        for outcome, request_id, _ in results:
            assert outcome in ('served', 'not-run')
            assert (request_id in ran) == (outcome == 'served')
        assert sum(outcome == 'served' for outcome, *_ in results) > 10


class TestEntry:
    @pytest.mark.proves(Promise.DRAIN, Fault.TWO_FAULTS, Step.MID_STREAM)
    async def test_with_its_sidecar_leaving_too(self, deployment):
        """A stream ends early when both its ends leave at once."""
        await deployment.add_engine('--token-s', '0.02')
        await deployment.add_entry()
        await publish(deployment)
        asking = [
            asyncio.create_task(
                ask(deployment, stream=stream, max_tokens=TOKENS)
            )
            for stream in (True, True, False)
        ]
        await processes.until(lambda: any_run(deployment))
        deployment.sidecars[0].terminate()
        deployment.entries[0].terminate()
        for outcome, _, text in await asyncio.gather(*asking):
            assert outcome == 'served'
            assert text.count(f':{TOKENS - 1}') == 1
        assert await deployment.entries[0].exited() == 0
        assert await deployment.sidecars[0].exited() == 0
