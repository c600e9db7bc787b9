"""A small deployment under faults, and what its callers got of it.

Two engines with one slot each and a plain service, two entries, and more
adapters than slots: whatever is done wrongly shows in the check at the
end, which all cells share.
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

END = 'data: [DONE]\n\n'
TOKENS = 30
FEW_TOKENS = 4
CUT_AT = 12
DEADLINE_S = 3.0
RETRY_S = 0.1
SERVICE = 'plain'
ADAPTERS = {'fern': 'again', 'moss': 'again', 'ficus': 'once', 'aloe': 'once'}
ENGINE_OPTIONS = ('--adapter-slots=1', '--load-s=0.3', '--token-s=0.03')
# Voters back no key made within the skew of their start.
CLOCKS = {'clock_skew_s': 0.5, 'list_lag_s': 5.0}


@dataclasses.dataclass
class Call:
    """One call, its label in the truth, and what its caller got.

    `versions` are those it may run on; calls of one time share the set.
    Sendings of the same request share label and key.
    """

    label: str
    entry: int
    adapter: str
    stream: bool
    versions: set[str]
    key: str = ''
    max_tokens: int = TOKENS
    request_id: str = ''
    outcome: str = ''
    text: str = ''

    def tokens(self):
        """Return the run and the number of each token that arrived."""
        found = re.findall(r'([\w.\-/]+):(\d+)(?=[ "])', self.text)
        return [(run_id, int(number)) for run_id, number in found]

    def is_whole(self):
        if self.adapter == SERVICE:
            return self.outcome == 'served'
        is_ended = self.text.endswith(END) or not self.stream
        return self.outcome == 'served' and is_ended


class Scene:
    """A deployment with a relay before each engine's sidecar.

    A split one has two sides, each with an engine, an entry and a
    platform of its own; `borders` are all links between the sides.
    """

    def __init__(self, deployment):
        self.deployment = deployment
        self.relays = []
        self.borders = []
        self.platforms = [deployment.platform]
        self.calls = []
        self.asking = []
        self.lost_entries = set()
        self.versions = {'1'}
        self.is_sent_twice = False
        self.has_wrong_engine = False
        self._barred = set()
        self._labels = itertools.count()

    async def build(self, exits, engine_options, is_split, max_running):
        """Start all processes, and wait until all of them serve."""
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
            found.add_sidecar(backends[0], **CLOCKS),
            found.add_sidecar(backends[1], **CLOCKS, **other),
            found.add_sidecar(backends[2], **CLOCKS),
            found.add_entry(**CLOCKS),
            found.add_entry(**CLOCKS, **other),
        )
        direct = list(found.instances)
        for number in range(2):
            self.relays.append(
                await self._relay(exits, direct[number].work_port)
            )
            found.instances[number] = msgspec.structs.replace(
                direct[number], work_port=self.relays[number].port
            )
        self._far = {}
        if is_split:
            for instance in direct:
                self._far[instance.name] = await self._across(exits, instance)
        self._add_customers()
        await self.publish_instances()
        await self.publish_contracts(*self.platforms)
        for entry in found.entries:
            await found.ready(entry)
        await self.recover()

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

    async def _across(self, exits, instance):
        """Return an instance as it is seen from the other side."""
        ports = {}
        for name in ('work_port', 'control_port'):
            border = await self._relay(exits, getattr(instance, name))
            self.borders.append(border)
            ports[name] = border.port
        return msgspec.structs.replace(instance, **ports)

    async def publish_instances(self):
        """Publish the list, as each side sees it."""
        found = self.deployment
        for side, platform in enumerate(self.platforms):
            seen = [
                self._far[i.name]
                if self._far and (i.name[-1] == '1') != (side == 1)
                else i
                for i in found.instances
            ]
            await found.put(platform, '/v1/instances', seen)

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
        """Publish new versions of all adapters, one after the other."""
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

    async def in_force(self, *entries):
        """Wait until entries know the newest contracts."""
        for number in entries or self._left():
            await processes.until(functools.partial(self._is_in_force, number))
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

    def _left(self):
        return sorted({0, 1} - self.lost_entries)

    def ask_all(self):
        """Start calls of every kind, through both entries."""
        for adapter in ADAPTERS:
            for stream in (True, False):
                self.ask(adapter, len(self.calls) % 3 % 2, stream)
        self.ask(SERVICE, 0)
        for entry, adapter in enumerate(('ficus', 'aloe')):
            self.ask(adapter, entry, stream=True, key=processes.new_key())
            self.ask(adapter, entry, key=processes.new_key())
        self.ask(SERVICE, 1, key=processes.new_key())

    def ask(self, adapter, entry, stream=False, **fields):
        if entry in self.lost_entries:
            entry = 1 - entry
        label = f'call-{next(self._labels)}'
        call = Call(label, entry, adapter, stream, self.versions, **fields)
        self._start(call)
        if call.key and self.is_sent_twice:
            self.ask_again(call)
        return call

    def ask_again(self, call):
        """Send a request once more, through the other entry."""
        self._start(
            dataclasses.replace(
                call, entry=1 - call.entry, request_id='', outcome='', text=''
            )
        )

    def _start(self, call):
        self.calls.append(call)
        self.asking.append(asyncio.create_task(self._ask(call)))

    async def _ask(self, call):
        try:
            async with self._send(call) as response:
                headers = response.headers
                call.request_id = headers.get(work.REQUEST_ID_HEADER, '')
                async for line in response.content:
                    call.text += line.decode()
                outcome = headers.get(work.OUTCOME_HEADER, 'served')
        except aiohttp.ClientError:
            outcome = 'lost'
        told = re.search(r'event: error\n.*"outcome":"([\w-]+)"', call.text)
        call.outcome = told[1] if told else outcome

    def _send(self, call):
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

    async def ended(self):
        async with asyncio.timeout(2 * processes.WAIT_S):
            await asyncio.gather(*self.asking)

    async def truth(self, number):
        return await self.deployment.truth(self.deployment.engines[number])

    async def report(self, number):
        engine = self.deployment.engines[number]
        async with self.deployment.session.get(
            engine.url + '/v1/report'
        ) as response:
            return await response.json()

    async def metric(self, process, pattern):
        """Return the sum of the samples that a pattern begins."""
        async with self.deployment.session.get(
            process.url + '/metrics'
        ) as response:
            text = await response.text()
        found = re.findall(rf'^{pattern}[^\n]*}} (\S+)$', text, re.M)
        return sum(map(float, found))

    @contextlib.asynccontextmanager
    async def leaving(self, number):
        """Hold that an engine runs nothing that is asked from now on."""
        process = self.deployment.sidecars[number]

        async def is_refusing():
            try:
                async with self.deployment.session.get(
                    process.url + '/readyz'
                ) as response:
                    return response.status == 503
            except aiohttp.ClientError:
                return True

        await processes.until(is_refusing)
        # What was asked before may run there, also if it is sent again.
        before = {call.label for call in self.calls}
        self.ask_all()
        yield
        later = {call.label for call in self.calls} - before
        self._barred |= {(number, label) for label in later}

    async def reach(self, step):
        """Wait until a request is at a step; return its engine's number."""
        found = []

        async def is_reached():
            if all(task.done() for task in self.asking):
                # It was passed between two looks.
                self.ask_all()
            for number in range(len(self.deployment.engines)):
                if await self._is_at(step, number):
                    found.append(number)
                    return True
            return False

        await processes.until(is_reached)
        return found[0]

    async def _is_at(self, step, number):
        sidecar = self.deployment.sidecars[number]
        if step is Step.QUEUED:
            return await self.metric(sidecar, 'lacewingpitch_requests_queued')
        asked = {
            call.label for call in self.calls if call.max_tokens == TOKENS
        }
        truth = await self.truth(number)
        runs = [run for run in truth.runs if label_of(run) in asked]
        if step is Step.CLAIMED:
            begun = {run.run_id.partition('.')[0] for run in runs}
            return claimed(sidecar) - begun - self.claimed_before
        if step is Step.LOADING:
            return truth.loading
        if step is Step.SENT:
            return any(not run.finished for run in runs)
        if step is Step.BEFORE_DELIVERY:
            return any(run.finished for run in runs)
        wanted = 1 if step is Step.FIRST_TOKEN else CUT_AT // 2
        open_runs = {run.run_id for run in runs if not run.finished}
        return any(
            (run_id, wanted - 1) in call.tokens()
            for call in self.calls
            for run_id in open_runs
        )

    async def recover(self):
        """Wait until all is served again through each entry left."""
        await self.serve((*ADAPTERS, SERVICE), *self._left(), has_keys=True)
        self.claimed_before = set().union(
            *map(claimed, self.deployment.sidecars)
        )

    async def serve(self, names, *entries, has_keys=False):
        """Wait until each of these is served through these entries."""
        unserved = {}
        try:
            async with asyncio.timeout(processes.WAIT_S):
                await asyncio.gather(
                    *(
                        self._served(name, entry, has_keys, unserved)
                        for name in names
                        for entry in entries
                    )
                )
        except TimeoutError as error:
            raise AssertionError(f'never served: {unserved}') from error

    async def _served(self, name, entry, has_keys, unserved):
        """Ask until it is served, and keep what came last in `unserved`."""
        has_key = has_keys and ADAPTERS.get(name) != 'again'
        while True:
            key = processes.new_key() if has_key else ''
            call = self.ask(name, entry, key=key, max_tokens=FEW_TOKENS)
            await self.asking[-1]
            if call.is_whole():
                unserved.pop((name, entry), None)
                return
            unserved[name, entry] = (call.outcome, call.text[:200])
            await asyncio.sleep(RETRY_S)

    async def check(self):
        """Hold what every caller got against the engines' truth."""
        runs = collections.defaultdict(list)
        for number in range(len(self.deployment.engines)):

            async def idle(number=number):
                return (await self.report(number))['running'] == 0

            await processes.until(idle)
            truth = await self.truth(number)
            assert not truth.evictions_under_run
            for run in truth.runs:
                label = label_of(run)
                assert (number, label) not in self._barred
                runs[label].append(run)
        service = self.deployment.services[0]
        for run in await self.deployment.service_truth(service):
            runs[run.body.decode()].append(run)
        sendings = collections.defaultdict(list)
        for call in self.calls:
            sendings[call.label].append(call)
        assert runs.keys() <= sendings.keys()
        for label, calls in sendings.items():
            self._check_sendings(calls, runs[label])
        await self._check_account()

    def _check_sendings(self, calls, runs):
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
        for number in self._left():
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
    """Return the requests whose claim a sidecar has completed."""
    return {
        line['request_id']
        for line in sidecar.log
        if line['event'] == 'claimed'
    }
