"""Rolling upgrades: two versions side by side, as real processes."""

import asyncio
import collections
import itertools
import time

import msgspec
import pytest

from lacewingpitch import contract
from lacewingpitch import report as report_module
from lacewingpitch import response_format
from lacewingpitch import work
from tests import processes

TOKEN = 'token-of-operators'
OPERATED = {'operator_token_digest': contract.digest_key(TOKEN)}
CUSTOMER = 'haneul'
KEYED = 'caravan'
CLOCKS = {'clock_skew_s': 0.5, 'list_lag_s': 5.0}
ADAPTERS = tuple(f'ficus-{number}' for number in range(8))
ONCE = 'fern'


async def start(deployment):
    deployment.add_customer(CUSTOMER, *ADAPTERS, limits=processes.WIDE_LIMITS)
    for zone in 'abc':
        await deployment.add_engine(availability_zone=f'zone-{zone}', **CLOCKS)
    for _ in range(2):
        await deployment.add_entry(**CLOCKS, **OPERATED)
    deployment.add_customer(KEYED, ONCE, limits=processes.WIDE_LIMITS)
    await deployment.publish()


class Callers:
    """Callers that send requests while processes are replaced."""

    def __init__(self, deployment):
        self._deployment = deployment
        self._in_progress = collections.Counter()
        self._stopping = asyncio.Event()
        self.entries = list(deployment.entries)
        self.ids = collections.defaultdict(list)

    async def call(self, entry, adapter, **fields):
        async with self._deployment.call(
            entry, CUSTOMER, adapter, **fields
        ) as response:
            body = await response.read()
            assert response.status == 200, body
        self.ids[entry].append(response.headers[work.REQUEST_ID_HEADER])
        if fields.get('stream'):
            assert body.endswith(response_format.STREAM_END)

    async def run(self):
        for number in itertools.count():
            if self._stopping.is_set():
                return
            entry = self.entries[number % len(self.entries)]
            adapter = ADAPTERS[number % len(ADAPTERS)]
            self._in_progress[entry] += 1
            await self.call(entry, adapter, stream=number % 3 == 0)
            self._in_progress[entry] -= 1

    async def stop_using(self, entry):
        """Send nothing to an entry, as a load balancer before SIGTERM."""
        self.entries.remove(entry)

        async def is_idle():
            return not self._in_progress[entry]

        await processes.wait_until(is_idle)

    def stop(self):
        self._stopping.set()


async def replace_sidecar(deployment, number):
    old = deployment.sidecars[number]
    old.terminate()
    successor = await deployment.spawn_successor(number)
    assert await old.wait_for_exit() == 0
    await successor.wait_until_listening()
    await deployment.wait_until_ready(successor)
    # The start time distinguishes the two: without it, entries to which the
    # old one announced its leaving would not use the new one for a minute.
    deployment.instances = [
        msgspec.structs.replace(i, started_at_s=time.time())
        if i.name == f'sidecar-{number}'
        else i
        for i in deployment.instances
    ]


async def runs(deployment):
    """Return the requests that each engine ran, in order."""
    records = [await deployment.engine_record(e) for e in deployment.engines]
    return [[run.run_id[:36] for run in record.runs] for record in records]


async def check_claims(deployment, entries):
    """Send one key through each entry; the request runs once."""
    key = ''

    async def send(entry):
        async with deployment.call(
            entry, KEYED, ONCE, key=key, messages=[{'content': key}]
        ) as response:
            return response.status, await response.read()

    async def is_accepted():
        # New voters do not vote for keys created before their start.
        nonlocal key
        key = processes.new_key()
        return (await send(entries[0]))[0] == 200

    await processes.wait_until(is_accepted)
    answers = [await send(entry) for entry in entries]
    assert [status for status, _ in answers] == [200] * len(entries)
    assert len(set(answers)) == 1
    records = [await deployment.engine_record(e) for e in deployment.engines]
    matching_runs = [
        run
        for record in records
        for run in record.runs
        if key in str(run.body)
    ]
    assert len(matching_runs) == 1


async def check_contracts(deployment, all_processes):
    """Change a contract, and wait until each process has the change."""
    old = deployment.contracts[CUSTOMER]
    revision = old.revision + 1
    deployment.contracts[CUSTOMER] = msgspec.structs.replace(
        old, revision=revision
    )
    await deployment.publish_contracts()
    for process in all_processes:
        await deployment.wait_for_revision(process, CUSTOMER, revision)


async def check_account(deployment, entries, callers):
    """Wait until reports have no gap and count all received calls."""
    received = sum(len(ids) for ids in callers.ids.values())
    for entry in entries:

        async def is_complete(entry=entry):
            data = await report_module.fetch(entry.url, None, TOKEN)
            report = msgspec.json.decode(data, type=report_module.Report)
            (service,) = (s for s in report.services if s.customer == CUSTOMER)
            return not report.gaps and service.served_count == received

        await processes.wait_until(is_complete)


class TestRollingUpgrade:
    @pytest.mark.parametrize(
        'programs',
        [
            (processes.PREVIOUS_PROGRAM, processes.PROGRAM),
            (processes.PROGRAM, processes.NEXT_PROGRAM),
            (processes.NEXT_PROGRAM, processes.PROGRAM),
        ],
        ids=['from-the-previous', 'to-the-next', 'back'],
    )
    async def test_both_versions_serve_without_loss(self, tmp_path, programs):
        """Guards against requests that fail during a rolling upgrade.

        It occurs if one of the versions cannot read a message of the
        other.  Two of three sidecars and one of two entries are replaced
        under load by processes of a newer or an older release.  The next
        release has an additional field in all messages and a higher
        protocol version; the previous release knows only the long form.
        """
        async with processes.Deployment(tmp_path) as deployment:
            deployment.program, other = programs
            await start(deployment)
            callers = Callers(deployment)
            load_tasks = [asyncio.create_task(callers.run()) for _ in range(4)]
            deployment.program = other
            for number in (0, 1):
                await replace_sidecar(deployment, number)
            new = await deployment.add_entry(**CLOCKS, **OPERATED)
            await deployment.publish_instances()
            await deployment.wait_until_ready(new)
            callers.entries.append(new)
            leaving, old = deployment.entries[:2]
            all_processes = (*deployment.sidecars, leaving, old, new)
            await check_contracts(deployment, all_processes)
            await check_claims(deployment, (old, new))

            async def has_each_entry_used_each_engine():
                assert not any(task.done() for task in load_tasks)
                ids_by_engine = await runs(deployment)
                return all(
                    set(ids) & set(callers.ids[entry])
                    for ids in ids_by_engine
                    for entry in (old, new)
                )

            # With three entries in rotation, each of them requests every
            # adapter.  With two, each would request only every second
            # adapter, and never use an engine that holds the others.
            await processes.wait_until(has_each_entry_used_each_engine)
            await callers.stop_using(leaving)
            leaving.terminate()
            assert await leaving.wait_for_exit() == 0
            deployment.instances = [
                i for i in deployment.instances if i.name != 'entry-0'
            ]
            await deployment.publish_instances()
            served = sum(len(ids) for ids in callers.ids.values())

            async def are_requests_served():
                assert not any(task.done() for task in load_tasks)
                now = sum(len(ids) for ids in callers.ids.values())
                return now > served + 2 * len(ADAPTERS)

            await processes.wait_until(are_requests_served)
            callers.stop()
            await asyncio.gather(*load_tasks)
            counts = collections.Counter(sum(await runs(deployment), []))
            for ids in callers.ids.values():
                assert all(counts[request_id] == 1 for request_id in ids)
            await check_account(deployment, (old, new), callers)
            for process in all_processes:
                assert not process.has_logged('control handler failed')
