"""A small deployment under faults, and checks of the answers it gave.

It has two engines with one adapter slot each, a plain service and two
entries.  There are more adapters than slots, so that a mistake with an
adapter shows in the final check, which all cells of the fault matrix
share.
"""

import asyncio
import collections
import contextlib
import dataclasses
import functools
import itertools
import re

import aiohttp
import msgspec

from lacewingpitch import contract
from lacewingpitch import settings
from lacewingpitch import work
from tests import fault_matrix
from tests import processes
from tests import relay

Step = fault_matrix.Step

STREAM_END = 'data: [DONE]\n\n'
TOKEN_COUNT = 30
FEW_TOKEN_COUNT = 4
CUT_AFTER_EVENTS = 12
DEADLINE_S = 3.0
RETRY_INTERVAL_S = 0.1
SERVICE = 'plain'
ADAPTERS = {'fern': 'again', 'moss': 'again', 'ficus': 'once', 'aloe': 'once'}
ENGINE_OPTIONS = ('--adapter-slots=1', '--load-s=0.3', '--token-s=0.03')
# Short, since voters grant no key made within the clock skew of their
# start.
CLOCK_SETTINGS = {'clock_skew_s': 0.5, 'list_lag_s': 5.0}


@dataclasses.dataclass
class Call:
    """One call and its answer.

    The label identifies the request in the runs that backend servers
    record; repeated calls of a request share label and key.  `versions`
    are the adapter versions that it may run on; calls of the same period
    share the set.
    """

    label: str
    entry: int
    adapter: str
    stream: bool
    versions: set[str]
    key: str = ''
    max_tokens: int = TOKEN_COUNT
    request_id: str = ''
    outcome: str = ''
    text: str = ''

    def tokens(self):
        """Return the run ID and the number of each token that arrived."""
        found = re.findall(r'([\w.\-/]+):(\d+)(?=[ "])', self.text)
        return [(run_id, int(number)) for run_id, number in found]

    def is_whole(self):
        if self.adapter == SERVICE:
            return self.outcome == 'served'
        is_ended = self.text.endswith(STREAM_END) or not self.stream
        return self.outcome == 'served' and is_ended


class Scene:
    """A deployment with a relay in front of each engine's sidecar.

    A split deployment has two sides, each with an engine, an entry and a
    platform of its own; `cross_links` are all links between the sides.
    """

    def __init__(self, deployment):
        self.deployment = deployment
        self.relays = []
        self.cross_links = []
        self.platforms = [deployment.platform]
        self.calls = []
        self.pending = []
        self.killed_entries = set()
        self.versions = {'1'}
        self.is_sent_twice = False
        self.has_wrong_engine = False
        self._forbidden_runs = set()
        self._labels = itertools.count()

    async def build(self, exits, engine_options, is_split, max_running):
        """Start all processes, and wait until all adapters are served."""
        found = self.deployment
        other = {}
        if is_split:
            self.platforms.append(await found.run('standin', 'platform'))
            address = _address(self.platforms[1])
            other = {'config_service': address, 'live_list': address}
        *engines, service = await asyncio.gather(
            found.start_engine(*ENGINE_OPTIONS, *engine_options),
            found.start_engine(*ENGINE_OPTIONS, *engine_options),
            found.start_service('--answer-s=1'),
        )
        backends = [self._engine(engine, max_running) for engine in engines]
        backends.append(
            settings.ServiceSettings(
                address=_address(service), name=SERVICE, max_running=16
            )
        )
        await asyncio.gather(
            found.add_sidecar(backends[0], **CLOCK_SETTINGS),
            found.add_sidecar(backends[1], **CLOCK_SETTINGS, **other),
            found.add_sidecar(backends[2], **CLOCK_SETTINGS),
            found.add_entry(**CLOCK_SETTINGS),
            found.add_entry(**CLOCK_SETTINGS, **other),
        )
        direct = list(found.instances)
        for number in range(2):
            self.relays.append(
                await self._relay(exits, direct[number].work_port)
            )
            found.instances[number] = msgspec.structs.replace(
                direct[number], work_port=self.relays[number].port
            )
        self._remote_instances = {}
        if is_split:
            for instance in direct:
                self._remote_instances[
                    instance.name
                ] = await self._make_remote(exits, instance)
        self._add_customers()
        await self.publish_instances()
        await self.publish_contracts(*self.platforms)
        for entry in found.entries:
            await found.wait_until_ready(entry)
        await self.wait_until_recovered()

    @staticmethod
    def _engine(process, max_running):
        return settings.EngineSettings(
            address=_address(process),
            base_model='base',
            adapter_slots=1,
            max_running=max_running,
        )

    async def _relay(self, exits, port):
        return await exits.enter_async_context(relay.Relay(port))

    async def _make_remote(self, exits, instance):
        """Return an instance as the other side lists it, behind relays."""
        ports = {}
        for name in ('work_port', 'control_port'):
            cross_link = await self._relay(exits, getattr(instance, name))
            self.cross_links.append(cross_link)
            ports[name] = cross_link.port
        return msgspec.structs.replace(instance, **ports)

    async def publish_instances(self):
        """Publish each side's list of instances."""
        found = self.deployment
        for side, platform in enumerate(self.platforms):
            listed = [
                self._remote_instances[i.name]
                if self._remote_instances
                and (i.name[-1] == '1') != (side == 1)
                else i
                for i in found.instances
            ]
            await found.put(platform, '/v1/instances', listed)

    async def publish_contracts(self, *platforms):
        for platform in platforms:
            self.deployment.platform = platform
            await self.deployment.publish_contracts()
        self.deployment.platform = self.platforms[0]

    def _add_customers(self):
        for customer in ('again', 'once'):
            self.deployment.add_customer(
                customer,
                *(name for name in ADAPTERS if ADAPTERS[name] == customer),
                deadline_s=DEADLINE_S,
                limits=processes.WIDE_LIMITS,
                services=(contract.ServiceGrant(name=SERVICE),),
            )
            self._grant(customer, repeatable=customer == 'again')

    def _grant(self, customer, **fields):
        contracts = self.deployment.contracts
        contracts[customer] = msgspec.structs.replace(
            contracts[customer],
            adapters=tuple(
                msgspec.structs.replace(grant, **fields)
                for grant in contracts[customer].adapters
            ),
        )

    async def change_versions(self, *versions):
        """Publish new versions of all adapters, one after another."""
        for version in versions:
            self.versions.add(version)
            contracts = self.deployment.contracts
            for customer, found in contracts.items():
                contracts[customer] = msgspec.structs.replace(
                    found, revision=found.revision + 1
                )
                self._grant(customer, version=version)
            await self.publish_contracts(self.platforms[0])

    def next_version(self, step=1):
        return str(int(max(self.versions)) + step)

    async def wait_until_in_force(self, *entries):
        """Wait until entries, all by default, have the newest contracts."""
        for number in entries or self._running_entries():
            await processes.wait_until(
                functools.partial(self._is_in_force, number)
            )
        if not entries:
            self.versions = {max(self.versions)}

    async def _is_in_force(self, number):
        for key in self.deployment.keys.values():
            async with self.deployment.session.get(
                self.deployment.entries[number].url + '/v1/models',
                headers={'Authorization': f'Bearer {key}'},
            ) as response:
                models = (await response.json())['data']
            if {m['version'] for m in models} != {max(self.versions)}:
                return False
        return True

    def _running_entries(self):
        return sorted({0, 1} - self.killed_entries)

    def send_all(self):
        """Start calls of every kind through both entries."""
        for adapter in ADAPTERS:
            for stream in (True, False):
                self.send(adapter, len(self.calls) % 3 % 2, stream)
        self.send(SERVICE, 0)
        for entry, adapter in enumerate(('ficus', 'aloe')):
            self.send(adapter, entry, stream=True, key=processes.new_key())
            self.send(adapter, entry, key=processes.new_key())
        self.send(SERVICE, 1, key=processes.new_key())

    def send(self, adapter, entry, stream=False, **fields):
        if entry in self.killed_entries:
            entry = 1 - entry
        label = f'call-{next(self._labels)}'
        call = Call(label, entry, adapter, stream, self.versions, **fields)
        self._start(call)
        if call.key and self.is_sent_twice:
            self.send_again(call)
        return call

    def send_again(self, call):
        """Send a request once more through the other entry."""
        self._start(
            dataclasses.replace(
                call, entry=1 - call.entry, request_id='', outcome='', text=''
            )
        )

    def _start(self, call):
        self.calls.append(call)
        self.pending.append(asyncio.create_task(self._call(call)))

    async def _call(self, call):
        try:
            async with self._open(call) as response:
                headers = response.headers
                call.request_id = headers.get(work.REQUEST_ID_HEADER, '')
                async for line in response.content:
                    call.text += line.decode()
                outcome = headers.get(work.OUTCOME_HEADER, 'served')
        except aiohttp.ClientError:
            outcome = 'lost'
        error_event = re.search(
            r'event: error\n.*"outcome":"([\w-]+)"', call.text
        )
        call.outcome = error_event[1] if error_event else outcome

    def _open(self, call):
        entry = self.deployment.entries[call.entry]
        if call.adapter == SERVICE:
            return self.deployment.call_service(
                entry, 'once', 'valve', data=call.label.encode(), key=call.key
            )
        return self.deployment.call(
            entry,
            ADAPTERS[call.adapter],
            call.adapter,
            key=call.key,
            stream=call.stream,
            max_tokens=call.max_tokens,
            user=call.label,
        )

    async def wait_for_answers(self):
        async with asyncio.timeout(2 * processes.WAIT_TIMEOUT_S):
            await asyncio.gather(*self.pending)

    async def engine_record(self, number):
        return await self.deployment.engine_record(
            self.deployment.engines[number]
        )

    async def report(self, number):
        engine = self.deployment.engines[number]
        async with self.deployment.session.get(
            engine.url + '/v1/report'
        ) as response:
            return await response.json()

    async def metric(self, process, pattern):
        """Return the sum of the samples whose lines begin with a pattern."""
        async with self.deployment.session.get(
            process.url + '/metrics'
        ) as response:
            text = await response.text()
        found = re.findall(rf'^{pattern}[^\n]*}} (\S+)$', text, re.M)
        return sum(map(float, found))

    @contextlib.asynccontextmanager
    async def forbid_new_runs(self, number):
        """Have `check` fail if an engine runs calls that are sent from now on.

        It begins once the sidecar refuses new work.
        """
        process = self.deployment.sidecars[number]

        async def is_refusing():
            try:
                async with self.deployment.session.get(
                    process.url + '/readyz'
                ) as response:
                    return response.status == 503
            except aiohttp.ClientError:
                return True

        await processes.wait_until(is_refusing)
        # Calls from before may run there, also when they are repeated.
        before = {call.label for call in self.calls}
        self.send_all()
        yield
        later = {call.label for call in self.calls} - before
        self._forbidden_runs |= {(number, label) for label in later}

    async def wait_for_step(self, step):
        """Wait until a request is at a step; return its engine's number."""
        found = []

        async def is_reached():
            if all(task.done() for task in self.pending):
                # All calls passed the step between two polls.
                self.send_all()
            for number in range(len(self.deployment.engines)):
                if await self._has_request_at(step, number):
                    found.append(number)
                    return True
            return False

        await processes.wait_until(is_reached)
        return found[0]

    async def _has_request_at(self, step, number):
        sidecar = self.deployment.sidecars[number]
        if step is Step.QUEUED:
            return await self.metric(sidecar, 'lacewingpitch_requests_queued')
        labels = {
            call.label for call in self.calls if call.max_tokens == TOKEN_COUNT
        }
        record = await self.engine_record(number)
        runs = [run for run in record.runs if label_of(run) in labels]
        if step is Step.CLAIMED:
            begun = {run.run_id.partition('.')[0] for run in runs}
            return claimed(sidecar) - begun - self.claimed_before
        if step is Step.LOADING:
            return record.loading
        if step is Step.SENT:
            return any(not run.finished for run in runs)
        if step is Step.BEFORE_DELIVERY:
            return any(run.finished for run in runs)
        wanted = 1 if step is Step.FIRST_TOKEN else CUT_AFTER_EVENTS // 2
        open_runs = {run.run_id for run in runs if not run.finished}
        return any(
            (run_id, wanted - 1) in call.tokens()
            for call in self.calls
            for run_id in open_runs
        )

    async def wait_until_recovered(self):
        """Wait until every entry that is left serves everything again."""
        await self.wait_until_served(
            (*ADAPTERS, SERVICE), *self._running_entries(), has_keys=True
        )
        self.claimed_before = set().union(
            *map(claimed, self.deployment.sidecars)
        )

    async def wait_until_served(self, names, *entries, has_keys=False):
        """Wait until each of some names is served through some entries."""
        unserved = {}
        try:
            async with asyncio.timeout(processes.WAIT_TIMEOUT_S):
                await asyncio.gather(
                    *(
                        self._wait_until_whole(name, entry, has_keys, unserved)
                        for name in names
                        for entry in entries
                    )
                )
        except TimeoutError as error:
            raise AssertionError(f'never served: {unserved}') from error

    async def _wait_until_whole(self, name, entry, has_keys, unserved):
        """Call until an answer is whole; keep the last one in `unserved`."""
        has_key = has_keys and ADAPTERS.get(name) != 'again'
        while True:
            key = processes.new_key() if has_key else ''
            call = self.send(name, entry, key=key, max_tokens=FEW_TOKEN_COUNT)
            await self.pending[-1]
            if call.is_whole():
                unserved.pop((name, entry), None)
                return
            unserved[name, entry] = (call.outcome, call.text[:200])
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def check(self):
        """Check every answer against the runs on the backend servers."""
        runs = collections.defaultdict(list)
        for number in range(len(self.deployment.engines)):

            async def idle(number=number):
                return (await self.report(number))['running'] == 0

            await processes.wait_until(idle)
            record = await self.engine_record(number)
            assert not record.evictions_under_run
            for run in record.runs:
                label = label_of(run)
                assert (number, label) not in self._forbidden_runs
                runs[label].append(run)
        service = self.deployment.services[0]
        for run in await self.deployment.service_runs(service):
            runs[run.body.decode()].append(run)
        calls_by_label = collections.defaultdict(list)
        for call in self.calls:
            calls_by_label[call.label].append(call)
        assert runs.keys() <= calls_by_label.keys()
        for label, calls in calls_by_label.items():
            self._check_request(calls, runs[label])
        await self._check_account()

    def _check_request(self, calls, runs):
        first = calls[0]
        is_service = first.adapter == SERVICE
        if first.key or is_service or ADAPTERS[first.adapter] == 'once':
            assert len(runs) <= 1, calls
        if all(call.outcome == 'not-run' for call in calls):
            assert not runs, calls
        for call in calls:
            assert call.is_whole() or call.outcome in {
                'not-run',
                'unknown',
                'partial',
                'lost',
            }, call
            if call.outcome == 'not-run':
                own = [r for r in runs if r.run_id.startswith(call.request_id)]
                assert not own, call
            if is_service:
                assert not call.is_whole() or call.text == call.label
            else:
                self._check_answer(call, runs)

    def _check_answer(self, call, runs):
        expected = {f'{call.adapter}@{v}' for v in call.versions}
        right = {run.run_id for run in runs if run.adapter in expected}
        if not self.has_wrong_engine:
            assert len(right) == len(runs), call
        got = call.tokens()
        assert {run_id for run_id, _ in got} <= right, call
        numbers = [number for _, number in got]
        assert numbers == list(range(len(numbers))), call
        if call.is_whole():
            assert len(numbers) == call.max_tokens, call

    async def _check_account(self):
        pattern = r'lacewingpitch_requests_ended_total\{[^\n]*'
        for number in self._running_entries():
            entry = self.deployment.entries[number]
            own = [call for call in self.calls if call.entry == number]
            whole = sum(call.is_whole() for call in own)
            served = await self.metric(entry, pattern + 'outcome="served"')
            assert served == whole
            assert await self.metric(entry, pattern) == len(own)


def _address(process):
    port = process.ports['work_port']
    return settings.Address(ip=processes.IP, port=port)


def label_of(run):
    return msgspec.json.decode(run.body)['user']


def claimed(sidecar):
    """Return the IDs of the requests that a sidecar has claimed."""
    return {
        line['request_id']
        for line in sidecar.log
        if line['event'] == 'claimed'
    }
