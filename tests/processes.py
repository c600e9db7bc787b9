"""A small deployment of real processes that tests kill, freeze and cut off."""

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
from tests import arrivals

IP = '127.0.0.1'
START_TIMEOUT_S = 30.0
WAIT_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.02
ROOT = pathlib.Path(__file__).parents[1]
PROGRAM = 'from lacewingpitch import cli; cli.main()'
PREVIOUS_PROGRAM = (
    'from tests import other_versions; other_versions.run_previous()'
)
NEXT_PROGRAM = 'from tests import other_versions; other_versions.run_next()'
# Limits that no test reaches, however fast it calls.
WIDE_LIMITS = contract.Limits(
    requests_per_s=1e6,
    burst_requests=10**6,
    concurrent_requests=10**6,
    queued_requests=10**6,
    tokens_per_s=1e9,
)


class Process:
    """A daemon as a child process.

    It logs the ports that it listens on as it starts.
    """

    def __init__(self, *arguments, program=PROGRAM, cwd=None):
        self.arguments = arguments
        self._program = program
        self._cwd = cwd or ROOT
        self.ports = {}
        self.log = []

    async def start(self):
        await self.spawn()
        return await self.wait_until_listening()

    async def spawn(self):
        """Start the process without waiting until it listens."""
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

    async def wait_until_listening(self):
        """Wait until the process has logged its ports."""
        async with asyncio.timeout(START_TIMEOUT_S):
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
        """Suspend the process with SIGSTOP."""
        os.kill(self._process.pid, signal.SIGSTOP)

    def resume(self):
        """Let a frozen process go on."""
        os.kill(self._process.pid, signal.SIGCONT)

    def terminate(self):
        self._process.terminate()

    async def wait_for_exit(self):
        """Return the exit code once the process has ended."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            return await self._process.wait()

    async def kill(self):
        """Kill the process, and read its log to the end."""
        with contextlib.suppress(ProcessLookupError):
            self._process.kill()
        await self._process.wait()
        await self._reading


class Deployment:
    """Stand-ins, sidecars and entry instances, each a process of its own.

    Use it as an async context; it kills all processes at its end.
    """

    def __init__(self, folder: pathlib.Path):
        self._folder = folder
        # The folder with the code of the processes that are started next.
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
        # The release of the processes that are started next: this one, or one
        # of `tests.other_versions`.
        self.program = PROGRAM

    async def __aenter__(self):
        self.session = await self._exits.enter_async_context(
            aiohttp.ClientSession(middlewares=(arrivals.send_once,))
        )
        self.platform = await self.run('standin', 'platform')
        return self

    async def __aexit__(self, *exception):
        await self._exits.aclose()

    async def run(self, *arguments):
        """Start a process with some arguments, and return it."""
        return await self._start(self._new_process(*arguments))

    def _new_process(self, *arguments):
        return Process(*arguments, program=self.program, cwd=self.cwd)

    async def _start(self, process):
        self._exits.push_async_callback(process.kill)
        return await process.start()

    async def start_engine(self, *options):
        """Start a stand-in engine without a sidecar."""
        engine = self._new_process('standin', 'engine', *options)
        self.engines.append(engine)
        return await self._start(engine)

    async def start_service(self, *options):
        """Start a stand-in service without a sidecar."""
        service = self._new_process('standin', 'service', *options)
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
        """Start a stand-in engine and its sidecar."""
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
        """Start a stand-in service and its sidecar."""
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
        process_settings = settings.SidecarSettings(
            **self._make_settings(name, **fields),
            backend_server=backend_server,
        )
        process = self._new_process(
            'sidecar', self._write_settings(name, process_settings)
        )
        self.sidecars.append(process)
        return await self._start_listed(
            process,
            process_settings,
            role=live_list.Role.SIDECAR,
            serves=getattr(backend_server, 'base_model', 'plain'),
        )

    async def spawn_successor(self, number):
        """Start the sidecar that replaces another one.

        It has the same settings, ports and backend server.  It is
        returned before it listens, since the old process may still hold
        the port.
        """
        old = self.sidecars[number]
        path = self._folder / f'sidecar-{number}.json'
        process_settings = settings.load_settings(
            path, settings.SidecarSettings
        )
        path.write_bytes(
            msgspec.json.encode(
                msgspec.structs.replace(process_settings, **old.ports)
            )
        )
        process = self._new_process('sidecar', str(path))
        await process.spawn()
        self._exits.push_async_callback(process.kill)
        self.sidecars[number] = process
        return process

    async def add_entry(self, **fields):
        name = f'entry-{len(self.entries)}'
        process_settings = settings.EntrySettings(
            **self._make_settings(name, **fields)
        )
        process = self._new_process(
            'entry', self._write_settings(name, process_settings)
        )
        self.entries.append(process)
        return await self._start_listed(
            process, process_settings, role=live_list.Role.ENTRY
        )

    async def _start_listed(self, process, process_settings, **fields):
        """Start a process, and add it to the list of instances."""
        # Processes that start concurrently are listed in the order of the
        # calls.
        number = len(self.instances)
        self.instances.append(None)
        await self._start(process)
        self.instances[number] = live_list.Instance(
            name=process_settings.instance,
            region=process_settings.region,
            availability_zone=process_settings.availability_zone,
            ip=IP,
            work_port=process.ports['work_port'],
            control_port=process.ports['control_port'],
            **fields,
        )
        return process

    def _make_settings(self, name, **fields):
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

    def _write_settings(self, name, process_settings):
        path = self._folder / f'{name}.json'
        path.write_bytes(msgspec.json.encode(process_settings))
        return str(path)

    async def put(self, process, path, value):
        async with self.session.put(
            process.url + path, data=msgspec.json.encode(value)
        ) as response:
            assert response.status == 200

    async def publish_instances(self):
        await self.put(self.platform, '/v1/instances', tuple(self.instances))

    def add_customer(self, customer, *adapters, **fields):
        """Create a contract; `publish_contracts` puts it in force."""
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
        """Publish contracts; all of them, on `platform`, by default."""
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

    async def wait_for_revision(self, process, customer, revision):
        """Wait until a process has a revision of a customer's contract.

        It is asked by control messages, as a peer.
        """
        signer = link.MessageSigner('test', self.secret, 'test')
        peer = link.Peer(signer, IP, process.ports['control_port'])
        request = contract_gossip.ContractsRequest(customers=(customer,))

        async def is_known():
            reply = await peer.ask(
                request, contract_gossip.ContractsReply, WAIT_TIMEOUT_S
            )
            return reply.versions[0].version.revision >= revision

        with contextlib.closing(peer):
            await wait_until(is_known)

    async def publish(self):
        """Publish instances and contracts, and wait for the entries."""
        await self.publish_instances()
        await self.publish_contracts()
        for entry in self.entries:
            await self.wait_until_ready(entry)

    async def wait_until_ready(self, process):
        await wait_until(lambda: self._answers_200(process, '/readyz'))

    async def _answers_200(self, process, path):
        async with self.session.get(process.url + path) as response:
            return response.status == 200

    async def set_faults(self, process, **faults):
        async with self.session.post(
            process.url + '/faults', json=faults
        ) as response:
            assert response.status == 200

    async def voids_unknown_attempt(self, instance):
        """Return whether a sidecar voids an attempt that it does not know.

        It refuses to for a while after its start, since an earlier process
        may have run the attempt.
        """
        signer = link.MessageSigner('test', self.secret, 'entry-0')
        attempt_id = voiding.attempt_id(new_key(), 1)
        with contextlib.closing(link.PeerPool(signer)) as peers:
            reply = await peers.peer(instance.ip, instance.control_port).ask(
                voiding.VoidRequest(attempt_id=attempt_id),
                voiding.VoidReply,
                WAIT_TIMEOUT_S,
            )
        return reply.state is ledger.RunState.VOID

    async def engine_record(self, engine):
        """Return what a stand-in engine has run and loaded."""
        async with self.session.get(engine.url + '/truth') as response:
            return msgspec.json.decode(
                await response.read(), type=standin_engine.EngineRecord
            )

    async def service_runs(self, service):
        """Return what a stand-in service has run."""
        async with self.session.get(service.url + '/truth') as response:
            return msgspec.json.decode(
                await response.read(),
                type=list[standin_service.ServiceRun],
            )

    def call_service(
        self, entry, customer, path, *, method='POST', data=b'', key=''
    ):
        """Send a request to the plain service; use as an async context."""
        return self.session.request(
            method,
            f'{entry.url}/services/plain/{path}',
            data=data,
            headers=self._headers(customer, key),
        )

    def call(self, entry, customer, adapter, *, key='', **fields):
        """Send a completion request; use as an async context."""
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


async def wait_until(predicate, timeout_s=WAIT_TIMEOUT_S):
    """Wait until a condition holds, instead of for a fixed time."""
    async with asyncio.timeout(timeout_s):
        while not await predicate():
            await asyncio.sleep(POLL_INTERVAL_S)


def new_key():
    """Return an idempotency key with the current time."""
    return str(uuid.UUID(str(uuid_utils.uuid7())))
