"""Tests of frozen sidecars and half-open links, with real processes."""

import asyncio
import contextlib

import msgspec
import pytest

from tests import fault_matrix
from tests import processes
from tests import relay as relay_module

Promise = fault_matrix.Promise
Fault = fault_matrix.Fault
Step = fault_matrix.Step

ADAPTER = 'fern'
DEADLINE_S = 60.0
TOKENS = 5


async def engine_index_of(deployment):
    """Serve one request; return the number of the engine it ran on."""
    assert await ask(deployment, 'warm') == 200
    for number, engine in enumerate(deployment.engines):
        if (await deployment.engine_record(engine)).runs:
            return number
    raise AssertionError('the request ran on no engine')


async def ask(deployment, label):
    async with deployment.call(
        deployment.entries[0],
        'haneul',
        ADAPTER,
        max_tokens=TOKENS,
        user=label,
    ) as response:
        await response.read()
        return response.status


async def run_count(deployment, label):
    truths = [await deployment.engine_record(e) for e in deployment.engines]
    users = [
        msgspec.json.decode(run.body)['user']
        for truth in truths
        for run in truth.runs
    ]
    return users.count(label)


@pytest.fixture
async def start(tmp_path):
    """Return a function that starts two engines, each behind a relay."""
    async with contextlib.AsyncExitStack() as exits:
        deployment = await exits.enter_async_context(
            processes.Deployment(tmp_path)
        )

        async def started(repeatable):
            relays = []
            for number in range(2):
                await deployment.add_engine()
                found = deployment.instances[number]
                relay = relay_module.Relay(found.work_port)
                relays.append(await exits.enter_async_context(relay))
                deployment.instances[number] = msgspec.structs.replace(
                    found, work_port=relay.port
                )
            await deployment.add_entry()
            add_customer(deployment, repeatable)
            await deployment.publish()
            return deployment, relays

        yield started


def add_customer(deployment, repeatable):
    deployment.add_customer(
        'haneul',
        ADAPTER,
        deadline_s=DEADLINE_S,
        limits=processes.WIDE_LIMITS,
    )
    found = deployment.contracts['haneul']
    deployment.contracts['haneul'] = msgspec.structs.replace(
        found,
        adapters=tuple(
            msgspec.structs.replace(grant, repeatable=repeatable)
            for grant in found.adapters
        ),
    )


@pytest.mark.proves(Promise.WHOLE_ANSWER, Fault.FROZEN, Step.BEFORE_ADMISSION)
async def test_frozen_sidecar_does_not_delay_repeatable_requests(start):
    """Guards against callers that wait while one of two sidecars is frozen.

    The sidecar is listed, keeps its port and accepts connections, so requests
    for the adapters that its engine holds are still sent there.  The test
    ends only if they are served before the sidecar resumes.
    """
    deployment, _ = await start(repeatable=True)
    index = await engine_index_of(deployment)
    deployment.sidecars[index].freeze()
    labels = [f'call-{number}' for number in range(4)]
    statuses = await asyncio.gather(*(ask(deployment, x) for x in labels))
    assert statuses == [200] * len(labels)
    deployment.sidecars[index].resume()


@pytest.mark.proves(Promise.WHOLE_ANSWER, Fault.HALF_OPEN, Step.SENT)
@pytest.mark.proves(
    Promise.AT_MOST_ONCE, Fault.HALF_OPEN, Step.BEFORE_ADMISSION
)
async def test_request_stuck_in_a_link_runs_once_elsewhere(start):
    """Guards against a request that waits in a half-open link.

    The request may run only once.  The link accepts bytes and delivers none;
    the sidecar behind it is well and has not received the request.  When the
    link heals, the request does arrive at the sidecar.
    """
    deployment, relays = await start(repeatable=False)
    index = await engine_index_of(deployment)
    sidecar = deployment.instances[index]
    await processes.wait_until(
        lambda: deployment.voids_unknown_attempt(sidecar)
    )
    relays[index].half_open()
    assert await ask(deployment, 'stuck') == 200
    relays[index].heal()
    assert await ask(deployment, 'after') == 200
    assert await run_count(deployment, 'stuck') == 1
