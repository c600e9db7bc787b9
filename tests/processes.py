"""Real processes of a small deployment, to be killed, frozen and cut."""

import asyncio
import contextlib
import json
import os
import pathlib
import secrets
import signal
import sys
import uuid

import aiohttp
import msgspec
import uuid_utils

from lacewingpitch import contract
from lacewingpitch import contract_gossip
from lacewingpitch import ledger
from lacewingpitch import link
from lacewingpitch import live_list
from lacewingpitch import settings
from lacewingpitch import standin_engine
from lacewingpitch import standin_service
from lacewingpitch import voiding

IP = '127.0.0.1'
START_S = 30.0
WAIT_S = 30.0
POLL_S = 0.02
ROOT = pathlib.Path(__file__).parents[1]
PROGRAM = 'from lacewingpitch import cli; cli.main()'
PREVIOUS = 'from tests import other_versions; other_versions.run_previous()'
NEXT = 'from tests import other_versions; other_versions.run_next()'
# For tests in which no refusal is wanted, however fast they call.
WIDE_LIMITS = contract.Limits(
    requests_per_s=1e6,
    burst_requests=10**6,
    concurrent_requests=10**6,
    queued_requests=10**6,
    tokens_per_s=1e9,
)


class Process:
    """One real process that tells its ports in its first log lines."""

    def __init__(self, *arguments, program=PROGRAM, cwd=None):
        self.arguments = arguments
        self._program = program
        self._cwd = cwd or ROOT
        self.ports = {}
        self.log = []

    async def start(self):
        await self.spawn()
        return await self.listening()

    async def spawn(self):
        """Start it without waiting until it listens."""
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-c',
            self._program,
            *self.arguments,
            stderr=asyncio.subprocess.PIPE,
            limit=1 << 20,
            cwd=self._cwd,
        )
        self._listening = asyncio.Event()
        self._reading = asyncio.create_task(self._read_log(self._listening))

    async def listening(self):
        async with asyncio.timeout(START_S):
            await self._listening.wait()
        if not self.ports:
            raise RuntimeError(f'did not start: {self.log}')
        return self

    async def _read_log(self, listening):
        async for line in self._process.stderr:
            try:
                entry = json.loads(line)
            except ValueError:
                entry = {'event': line.decode()}
            self.log.append(entry)
            if entry['event'] == 'listening':
                self.ports = {k: v for k, v in entry.items() if 'port' in k}
                listening.set()
        listening.set()

    @property
    def pid(self):
        return self._process.pid

    @property
    def url(self):
        return f'http://{IP}:{self.ports["work_port"]}'

    def has_logged(self, event):
        return any(entry['event'] == event for entry in self.log)

    def freeze(self):
        os.kill(self._process.pid, signal.SIGSTOP)

    def wake(self):
        os.kill(self._process.pid, signal.SIGCONT)

    def terminate(self):
        self._process.terminate()

    async def exited(self):
        async with asyncio.timeout(WAIT_S):
            return await self._process.wait()

    async def kill(self):
        with contextlib.suppress(ProcessLookupError):
            self._process.kill()
        await self._process.wait()
        await self._reading


class Deployment:
    """Stand-ins, sidecars and entry instances, each a real process."""

    def __init__(self, folder: pathlib.Path):
        self._folder = folder
        # The folder whose code the processes started next run.
        self.cwd = ROOT
        self._exits = contextlib.AsyncExitStack()
        self.secret = secrets.token_hex()
        self.entries = []
        self.sidecars = []
        self.engines = []
        self.services = []
        self.instances = []
        self.contracts = {}
        self.shard_revision = 0
        self.keys = {}
        # What is started from now on, this version or the next.
        self.program = PROGRAM

    async def __aenter__(self):
        self.session = await self._exits.enter_async_context(
            aiohttp.ClientSession()
        )
        self.platform = await self.run('standin', 'platform')
        return self

    async def __aexit__(self, *exception):
        await self._exits.aclose()

    async def run(self, *arguments):
        return await self._start(self._new(*arguments))

    def _new(self, *arguments):
        return Process(*arguments, program=self.program, cwd=self.cwd)

    async def _start(self, process):
        self._exits.push_async_callback(process.kill)
        return await process.start()

    async def start_engine(self, *options):
        """Start a stand-in engine alone."""
        engine = self._new('standin', 'engine', *options)
        self.engines.append(engine)
        return await self._start(engine)

    async def start_service(self, *options):
        """Start a stand-in service alone."""
        service = self._new('standin', 'service', *options)
        self.services.append(service)
        return await self._start(service)

    async def add_engine(
        self,
        *options,
        base_model='base',
        adapter_slots=4,
        max_running=16,
        **fields,
    ):
        """Start a stand-in engine and the sidecar beside it."""
        engine = await self.start_engine(*options)
        port = engine.ports['work_port']
        return await self.add_sidecar(
            settings.EngineSettings(
                address=settings.Address(ip=IP, port=port),
                base_model=base_model,
                adapter_slots=adapter_slots,
                max_running=max_running,
            ),
            **fields,
        )

    async def add_service(self, *options, **fields):
        """Start a stand-in service and the sidecar beside it."""
        service = await self.start_service(*options)
        port = service.ports['work_port']
        return await self.add_sidecar(
            settings.ServiceSettings(
                address=settings.Address(ip=IP, port=port),
                name='plain',
                max_running=16,
            ),
            **fields,
        )

    async def add_sidecar(self, backend_server, **fields):
        name = f'sidecar-{len(self.sidecars)}'
        found = settings.SidecarSettings(
            **self._process(name, **fields), backend_server=backend_server
        )
        process = self._new('sidecar', self._write(name, found))
        self.sidecars.append(process)
        return await self._join(
            process,
            found,
            role=live_list.Role.SIDECAR,
            serves=getattr(backend_server, 'base_model', 'plain'),
        )

    async def spawn_successor(self, number):
        """Start the sidecar that takes the place of another one.

        It has the same settings, ports and backend server; return it
        before it listens, since the old process may hold the port.
        """
        old = self.sidecars[number]
        path = self._folder / f'sidecar-{number}.json'
        found = settings.load_settings(path, settings.SidecarSettings)
        path.write_bytes(
            msgspec.json.encode(msgspec.structs.replace(found, **old.ports))
        )
        process = self._new('sidecar', str(path))
        await process.spawn()
        self._exits.push_async_callback(process.kill)
        self.sidecars[number] = process
        return process

    async def add_entry(self, **fields):
        name = f'entry-{len(self.entries)}'
        found = settings.EntrySettings(**self._process(name, **fields))
        process = self._new('entry', self._write(name, found))
        self.entries.append(process)
        return await self._join(process, found, role=live_list.Role.ENTRY)

    async def _join(self, process, found, **fields):
        """Start a process of some settings, and list it."""
        # Those that start together keep the order of the calls.
        number = len(self.instances)
        self.instances.append(None)
        await self._start(process)
        self.instances[number] = live_list.Instance(
            name=found.instance,
            region=found.region,
            availability_zone=found.availability_zone,
            ip=IP,
            work_port=process.ports['work_port'],
            control_port=process.ports['control_port'],
            **fields,
        )
        return process

    def _process(self, name, **fields):
        port = self.platform.ports['work_port']
        platform = settings.Address(ip=IP, port=port)
        defaults = {
            'deployment': 'test',
            'secret': self.secret,
            'instance': name,
            'availability_zone': 'zone-a',
            'region': 'region-a',
            'ip': IP,
            'work_port': 0,
            'control_port': 0,
            'config_service': platform,
            'live_list': platform,
        }
        return defaults | fields

    def _write(self, name, found):
        path = self._folder / f'{name}.json'
        path.write_bytes(msgspec.json.encode(found))
        return str(path)

    async def put(self, process, path, value):
        async with self.session.put(
            process.url + path, data=msgspec.json.encode(value)
        ) as response:
            assert response.status == 200

    async def publish_instances(self):
        await self.put(self.platform, '/v1/instances', tuple(self.instances))

    def add_customer(self, customer, *adapters, **fields):
        """Write a contract; `publish_contracts` puts it in force."""
        self.keys[customer] = secrets.token_hex()
        self.contracts[customer] = contract.Contract(
            customer=customer,
            revision=1,
            key_digests=(contract.digest_key(self.keys[customer]),),
            adapters=tuple(
                contract.AdapterGrant(
                    name=name, version='1', base_model='base'
                )
                for name in adapters
            ),
            **fields,
        )

    async def publish_contracts(self, platform=None, contracts=None):
        """Publish contracts, all of them and at `platform` by default."""
        self.shard_revision += 1
        revision = self.shard_revision
        platform = platform or self.platform
        contracts = self.contracts if contracts is None else contracts
        await self.put(
            platform,
            '/v1/values/contracts.0',
            {'revision': revision, 'contracts': tuple(contracts.values())},
        )
        await self.put(
            platform,
            '/v1/values/contracts.index',
            {'shards': [{'name': 'contracts.0', 'revision': revision}]},
        )

    async def until_known(self, process, customer, revision):
        """Wait until a process knows a revision, by asking it as a peer."""
        signer = link.MessageSigner('test', self.secret, 'test')
        peer = link.Peer(signer, IP, process.ports['control_port'])
        request = contract_gossip.ContractsRequest(customers=(customer,))

        async def is_known():
            reply = await peer.ask(
                request, contract_gossip.ContractsReply, WAIT_S
            )
            return reply.versions[0].version.revision >= revision

        with contextlib.closing(peer):
            await until(is_known)

    async def publish(self):
        """Publish instances and contracts, and wait for the entries."""
        await self.publish_instances()
        await self.publish_contracts()
        for entry in self.entries:
            await self.ready(entry)

    async def ready(self, process):
        await until(lambda: self._answers_200(process, '/readyz'))

    async def _answers_200(self, process, path):
        async with self.session.get(process.url + path) as response:
            return response.status == 200

    async def set_faults(self, process, **faults):
        async with self.session.post(
            process.url + '/faults', json=faults
        ) as response:
            assert response.status == 200

    async def promises(self, instance):
        """Return whether a sidecar, being new, promises not to run."""
        signer = link.MessageSigner('test', self.secret, 'entry-0')
        attempt_id = voiding.attempt_id(new_key(), 1)
        with contextlib.closing(link.PeerPool(signer)) as peers:
            reply = await peers.peer(instance.ip, instance.control_port).ask(
                voiding.VoidRequest(attempt_id=attempt_id),
                voiding.VoidReply,
                WAIT_S,
            )
        return reply.state is ledger.RunState.VOID

    async def truth(self, engine):
        async with self.session.get(engine.url + '/truth') as response:
            return msgspec.json.decode(
                await response.read(), type=standin_engine.EngineRecord
            )

    async def service_truth(self, service):
        async with self.session.get(service.url + '/truth') as response:
            return msgspec.json.decode(
                await response.read(),
                type=list[standin_service.ServiceRun],
            )

    def call_service(
        self, entry, customer, path, *, method='POST', data=b'', key=''
    ):
        """Send a call to the plain service; use as an async context."""
        return self.session.request(
            method,
            f'{entry.url}/services/plain/{path}',
            data=data,
            headers=self._headers(customer, key),
        )

    def call(self, entry, customer, adapter, *, key='', **fields):
        """Send a completion; use as an async context."""
        return self.session.post(
            entry.url + '/v1/chat/completions',
            json={'model': adapter, 'messages': [], **fields},
            headers=self._headers(customer, key),
        )

    def _headers(self, customer, key):
        headers = {'Authorization': f'Bearer {self.keys[customer]}'}
        if key:
            headers['Idempotency-Key'] = key
        return headers


async def until(predicate, timeout_s=WAIT_S):
    """Wait for a condition instead of for a time."""
    async with asyncio.timeout(timeout_s):
        while not await predicate():
            await asyncio.sleep(POLL_S)


def new_key():
    """Return an idempotency key made now."""
    return str(uuid.UUID(str(uuid_utils.uuid7())))
