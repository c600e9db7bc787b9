"""The whole path, as real processes."""

import asyncio

import pytest

from lacewingpitch import work
from tests import fault_matrix
from tests import processes

Promise = fault_matrix.Promise
Fault = fault_matrix.Fault
Step = fault_matrix.Step


@pytest.fixture
async def deployment(tmp_path):
    async with processes.Deployment(tmp_path) as found:
        for _ in range(4):
            await found.add_engine()
        for _ in range(2):
            await found.add_entry()
        found.add_customer('haneul', 'ficus', 'fern')
        found.add_customer('caravan', 'trade-in')
        await found.publish()
        yield found


class TestWholePath:
    async def test_serves_whole_and_streamed_through_both(self, deployment):
        for entry in deployment.entries:
            async with deployment.call(entry, 'haneul', 'ficus') as response:
                answer = await response.json()
                assert response.status == 200
                assert answer['model'] == 'ficus@1'
            async with deployment.call(
                entry, 'caravan', 'trade-in', stream=True
            ) as response:
                text = await response.text()
                assert text.endswith('data: [DONE]\n\n')
                assert text.count('trade-in@1') == 8

    async def test_refuses_what_no_contract_names(self, deployment):
        async with deployment.call(
            deployment.entries[0], 'caravan', 'ficus'
        ) as response:
            assert response.status == 403
            assert response.headers[work.OUTCOME_HEADER] == 'not-run'
        truths = [
            await deployment.engine_record(e) for e in deployment.engines
        ]
        assert not any(truth.runs for truth in truths)


class TestDrain:
    @pytest.mark.proves(Promise.DRAIN, Fault.NONE, Step.MID_STREAM)
    async def test_terminated_under_load_cuts_nothing(self, deployment):
        """A caller sees its stream end early when an instance leaves.

        Streams run through both entries and all sidecars; then one entry
        and one sidecar get SIGTERM in the middle of them.  The cause
        would be a process that ends before its work in progress.
        """
        started = asyncio.Event()

        async def stream(entry, adapter):
            async with deployment.call(
                entry, 'haneul', adapter, stream=True, max_tokens=200
            ) as response:
                await response.content.readline()
                started.set()
                return await response.text()

        streams = [
            asyncio.create_task(stream(entry, adapter))
            for entry in deployment.entries
            for adapter in ('ficus', 'fern')
        ]
        await started.wait()
        deployment.entries[0].terminate()
        for sidecar in deployment.sidecars[:3]:
            sidecar.terminate()
        for text in await asyncio.gather(*streams):
            assert text.endswith('data: [DONE]\n\n')
        assert await deployment.entries[0].wait_for_exit() == 0
