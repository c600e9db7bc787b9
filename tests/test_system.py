"""The path of a request through real processes."""

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
    async with processes.Deployment(tmp_path) as scene:
        for _ in range(4):
            await scene.add_engine()
        for _ in range(2):
            await scene.add_entry()
        scene.add_customer('haneul', 'ficus', 'fern')
        scene.add_customer('caravan', 'trade-in')
        await scene.publish()
        yield scene


class TestWholePath:
    async def test_serves_plain_and_streamed_answers_by_both_entries(
        self, deployment
    ):
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

    async def test_refuses_an_adapter_outside_the_contract(self, deployment):
        async with deployment.call(
            deployment.entries[0], 'caravan', 'ficus'
        ) as response:
            assert response.status == 403
            assert response.headers[work.OUTCOME_HEADER] == 'not-run'
        records = [
            await deployment.engine_record(e) for e in deployment.engines
        ]
        assert not any(record.runs for record in records)


class TestDrain:
    @pytest.mark.proves(Promise.DRAIN, Fault.NONE, Step.MID_STREAM)
    async def test_termination_under_load_interrupts_no_stream(
        self, deployment
    ):
        """Guards against streams that end early when an instance leaves.

        It occurs if a process exits before its work in progress has
        ended.  Streams run through both entries and all sidecars; then
        one entry and three sidecars get SIGTERM in the middle of them.
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
