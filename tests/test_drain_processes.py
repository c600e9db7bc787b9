"""Tests of SIGTERM during work, alone and together with another fault."""

import asyncio
import re

import aiohttp
import msgspec
import pytest

from lacewingpitch import live_list
from lacewingpitch import work
from tests import fault_matrix
from tests import processes
from tests import relay as relay_module
from tests import sides as sides_module

Promise = fault_matrix.Promise
Fault = fault_matrix.Fault
Step = fault_matrix.Step

STREAM_END = 'data: [DONE]\n\n'
TOKENS = 60
LONG_TOKENS = 200
ADAPTERS = ('ficus', 'fern', 'moss', 'ivy')


@pytest.fixture
async def deployment(tmp_path):
    async with processes.Deployment(tmp_path) as found:
        yield found


async def ask(deployment, entry=None, adapter='ficus', **fields):
    async with deployment.call(
        entry or deployment.entries[0], 'haneul', adapter, **fields
    ) as response:
        return (
            response.headers.get(work.OUTCOME_HEADER, 'served'),
            response.headers[work.REQUEST_ID_HEADER],
            await response.text(),
        )


def add_customer(deployment, *adapters, repeatable=True):
    deployment.add_customer('haneul', *adapters)
    found = deployment.contracts['haneul']
    grants = tuple(
        msgspec.structs.replace(grant, repeatable=repeatable)
        for grant in found.adapters
    )
    deployment.contracts['haneul'] = msgspec.structs.replace(
        found, adapters=grants
    )


async def publish(deployment, repeatable=True):
    add_customer(deployment, 'ficus', repeatable=repeatable)
    await deployment.publish()


async def any_run(deployment):
    truths = [await deployment.engine_record(e) for e in deployment.engines]
    return any(truth.runs for truth in truths)


async def is_leaving(deployment, process):
    """Return whether a process has begun to drain."""
    try:
        async with deployment.session.get(process.url + '/readyz') as response:
            return response.status == 503
    except aiohttp.ClientError:
        return True


async def check_whole(deployment, streams):
    """Wait for streams; check that each is whole and ran once."""
    for _, request_id, text in await asyncio.gather(*streams):
        assert text.endswith(STREAM_END)
        assert numbers(text) == list(range(LONG_TOKENS))
        truths = [
            await deployment.engine_record(e) for e in deployment.engines
        ]
        (run,) = (
            run
            for truth in truths
            for run in truth.runs
            if run.run_id.startswith(request_id)
        )
        assert run.finished


def numbers(text):
    return [int(n) for n in re.findall(r':(\d+) ', text)]


class TestSidecar:
    @pytest.mark.proves(Promise.DRAIN, Fault.LINK_CUT, Step.MID_STREAM)
    @pytest.mark.proves(Promise.DRAIN, Fault.TWO_FAULTS, Step.MID_STREAM)
    async def test_ends_only_after_streams_are_resumed(self, deployment):
        """Guards against losing a stream when its sidecar shuts down.

        The link breaks just before SIGTERM, so the sidecar has no connection
        and seems idle.
        """
        await deployment.add_engine('--token-s', '0.02')
        sidecar = deployment.instances[0]
        async with relay_module.Relay(sidecar.work_port) as relay:
            deployment.instances[0] = msgspec.structs.replace(
                sidecar, work_port=relay.port
            )
            await deployment.add_entry()
            await publish(deployment, repeatable=False)
            requests = asyncio.create_task(
                ask(deployment, stream=True, max_tokens=TOKENS)
            )
            await processes.wait_until(lambda: any_run(deployment))
            relay.reset()
            deployment.sidecars[0].terminate()
            _, _, text = await requests
            assert text.endswith(STREAM_END)
            assert numbers(text) == list(range(TOKENS))
            assert await deployment.sidecars[0].wait_for_exit() == 0
        (run,) = (await deployment.engine_record(deployment.engines[0])).runs
        assert run.finished

    @pytest.mark.proves(Promise.DRAIN, Fault.NONE, Step.SENT)
    async def test_ends_only_after_work_without_a_caller(self, deployment):
        """Guards against a run that is ended half way.

        The caller disconnects, then the sidecar gets SIGTERM.  The request
        is not repeatable, so its run has to be finished.
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
        assert await deployment.sidecars[0].wait_for_exit() == 0
        (run,) = (await deployment.engine_record(deployment.engines[0])).runs
        assert run.finished
        assert not run.cancelled

    @pytest.mark.proves(Promise.NOT_RUN, Fault.NONE, Step.DRAINING)
    @pytest.mark.proves(Promise.LEAVING, Fault.LIST_WRONG, Step.DRAINING)
    async def test_new_work_is_sent_elsewhere_while_it_drains(
        self, deployment
    ):
        """Guards against errors while a backend server shuts down.

        The list still shows it as live, so new work keeps arriving.
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

        requests = [asyncio.create_task(keep_asking()) for _ in range(6)]
        await processes.wait_until(lambda: any_run(deployment))
        for sidecar in deployment.sidecars[:2]:
            sidecar.terminate()
            assert await sidecar.wait_for_exit() == 0
        stopping.set()
        await asyncio.gather(*requests)
        truths = [
            await deployment.engine_record(e) for e in deployment.engines
        ]
        ran = [run.run_id[:36] for truth in truths for run in truth.runs]
        assert len(ran) == len(set(ran))
        for outcome, request_id, _ in results:
            assert outcome in ('served', 'not-run')
            assert (request_id in ran) == (outcome == 'served')
        assert sum(outcome == 'served' for outcome, *_ in results) > 10


class TestEntry:
    @pytest.mark.proves(Promise.DRAIN, Fault.TWO_FAULTS, Step.MID_STREAM)
    async def test_shuts_down_together_with_its_sidecar(self, deployment):
        """Guards against cutting a stream as both its ends shut down."""
        await deployment.add_engine('--token-s', '0.02')
        await deployment.add_entry()
        await publish(deployment)
        requests = [
            asyncio.create_task(
                ask(deployment, stream=stream, max_tokens=TOKENS)
            )
            for stream in (True, True, False)
        ]
        await processes.wait_until(lambda: any_run(deployment))
        deployment.sidecars[0].terminate()
        deployment.entries[0].terminate()
        for outcome, _, text in await asyncio.gather(*requests):
            assert outcome == 'served'
            assert text.count(f':{TOKENS - 1}') == 1
        assert await deployment.entries[0].wait_for_exit() == 0
        assert await deployment.sidecars[0].wait_for_exit() == 0


class TestPartition:
    @pytest.fixture
    async def sides(self, deployment):
        add_customer(deployment, *ADAPTERS, repeatable=False)
        async with sides_module.Sides(
            deployment,
            zones='ab',
            left_count=1,
            entries=((0, 'a'), (1, 'b')),
            joins_entries=True,
            engine_options=('--token-s', '0.02'),
        ) as found:
            yield found

    @staticmethod
    async def streams(deployment):
        """Start streams through both entries, to both sidecars."""
        found = [
            asyncio.create_task(
                ask(
                    deployment,
                    entry,
                    adapter,
                    stream=True,
                    max_tokens=LONG_TOKENS,
                )
            )
            for entry in deployment.entries
            for adapter in ADAPTERS
        ]

        async def all_run():
            truths = [
                await deployment.engine_record(e) for e in deployment.engines
            ]
            counts = [len(truth.runs) for truth in truths]
            assert not any(task.done() for task in found)
            return sum(counts) == len(found) and all(counts)

        await processes.wait_until(all_run)
        return found

    @pytest.mark.proves(Promise.DRAIN, Fault.PARTITION, Step.MID_STREAM)
    @pytest.mark.proves(Promise.DRAIN, Fault.TWO_FAULTS, Step.DRAINING)
    @pytest.mark.proves(Promise.WHOLE_ANSWER, Fault.PARTITION, Step.MID_STREAM)
    async def test_sigterm_while_the_links_are_cut(self, deployment, sides):
        """Guards against cutting streams between zones during a shutdown.

        The deployment is partitioned.  An entry on one side and a sidecar on
        the other get SIGTERM while neither reaches the other, then the links
        heal.  A drain that counts only connections would end too early.
        """
        streams = await self.streams(deployment)
        await sides.split('cut')
        leaving = (deployment.entries[0], deployment.sidecars[1])
        for process in leaving:
            process.terminate()
            await processes.wait_until(
                lambda p=process: is_leaving(deployment, p)
            )
        await sides.heal()
        await check_whole(deployment, streams)
        for process in leaving:
            assert await process.wait_for_exit() == 0

    @pytest.mark.proves(Promise.DRAIN, Fault.PARTITION, Step.DRAINING)
    async def test_one_side_shuts_down_while_the_links_stay_cut(
        self, deployment, sides
    ):
        """Guards against a shutdown that waits forever for unreachable peers.

        The deployment is partitioned and does not heal.  An entry and its
        sidecar get SIGTERM with a stream of their own side in progress.  A
        drain must not need a reply from the other side.
        """
        await sides.split('half-open')
        await sides.publish(live_list.InstanceState.LEAVING)
        streams = [
            asyncio.create_task(
                ask(deployment, entry, stream=True, max_tokens=LONG_TOKENS)
            )
            for entry in deployment.entries
        ]

        async def all_run():
            truths = [
                await deployment.engine_record(e) for e in deployment.engines
            ]
            return all(truth.runs for truth in truths)

        await processes.wait_until(all_run)
        leaving = (deployment.entries[0], deployment.sidecars[0])
        for process in leaving:
            process.terminate()
        await check_whole(deployment, streams)
        for process in leaving:
            assert await process.wait_for_exit() == 0


class TestInstance:
    @pytest.mark.proves(Promise.DRAIN, Fault.CONFIG_DOWN, Step.MID_STREAM)
    @pytest.mark.proves(Promise.DRAIN, Fault.LIST_WRONG, Step.MID_STREAM)
    @pytest.mark.parametrize('leaver', ['entry', 'sidecar'])
    async def test_shuts_down_while_the_platform_is_down(
        self, deployment, leaver
    ):
        """Guards against an instance that needs the platform to shut down.

        The configuration service and the list are down, and with them every
        watch; then the instance gets SIGTERM during a stream.
        """
        await deployment.add_engine('--token-s', '0.02')
        await deployment.add_entry()
        await publish(deployment, repeatable=False)
        streams = [
            asyncio.create_task(
                ask(deployment, stream=True, max_tokens=LONG_TOKENS)
            )
        ]
        await processes.wait_until(lambda: any_run(deployment))
        await deployment.platform.kill()
        process = {
            'entry': deployment.entries[0],
            'sidecar': deployment.sidecars[0],
        }[leaver]
        process.terminate()
        await processes.wait_until(lambda: is_leaving(deployment, process))
        assert not streams[0].done()
        await check_whole(deployment, streams)
        assert await process.wait_for_exit() == 0

    @pytest.mark.proves(Promise.DRAIN, Fault.FROZEN, Step.MID_STREAM)
    @pytest.mark.parametrize('leaver', ['entry', 'sidecar'])
    async def test_sigterm_while_frozen(self, deployment, leaver):
        """Guards against cutting a stream when a frozen instance resumes.

        The instance is frozen during the stream and gets SIGTERM meanwhile.
        The engine continues, and everything arrives at once on resuming.
        """
        await deployment.add_engine('--token-s', '0.02')
        await deployment.add_entry()
        await publish(deployment, repeatable=False)
        streams = [
            asyncio.create_task(
                ask(deployment, stream=True, max_tokens=LONG_TOKENS)
            )
        ]
        await processes.wait_until(lambda: any_run(deployment))
        process = {
            'entry': deployment.entries[0],
            'sidecar': deployment.sidecars[0],
        }[leaver]
        process.freeze()
        process.terminate()
        engine = deployment.engines[0]

        async def is_finished():
            (run,) = (await deployment.engine_record(engine)).runs
            return run.finished

        await processes.wait_until(is_finished)
        process.resume()
        await check_whole(deployment, streams)
        assert await process.wait_for_exit() == 0
