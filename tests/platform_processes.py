"""Runs the programs of the deploy file with a stand-in for the platform."""

import asyncio
import base64
import contextlib
import functools
import json
import os
import socket
import sys

import aiohttp
from aiohttp import web
import yarl

from tests import arrivals
from tests import platform_standin as standin
from tests import processes
from tests import relay

START_S = 30.0
# The metrics port is the same at every instance.  Tests that run in parallel,
# also those of other test runs, therefore need IP addresses of their own.
WORKER = int(os.environ.get('PYTEST_XDIST_WORKER', 'gw0')[2:])
RUN = 20 + os.getppid() % 200
NETWORK = f'127.{RUN}.{WORKER}'
ENTRY_IPS = tuple(f'{NETWORK}.{10 * number}' for number in range(1, 25))
SIDECAR_IPS = (f'{NETWORK}.11', f'{NETWORK}.12')
METRICS_PORT = 9464
_MAX_BODY_BYTES = 8 << 20


class Program:
    """One process of the system, with its log."""

    def __init__(self, role, fields, folder, parts=()):
        self.role = role
        self.name = fields['nodeName']
        self.lines = []
        self._path = folder / f'{fields["nodeName"]}.json'
        settings = json.loads(standin.render(fields))
        if parts:
            settings['parts'] = list(parts)
        self._path.write_text(json.dumps(settings))

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *standin.commands()[self.role],
            cwd=processes.ROOT,
            env={**os.environ, 'LACEWINGPITCH_CONFIG': str(self._path)},
            stdout=asyncio.subprocess.PIPE,
        )
        self._reading = asyncio.create_task(self._read())

    async def _read(self):
        async for line in self.process.stdout:
            self.lines.append(json.loads(line))

    def events(self, name):
        return [line for line in self.lines if line['event'] == name]

    def state(self):
        last = json.dumps(self.lines[-3:])
        return f'{self.name}: exit {self.process.returncode}, {last}'

    async def stop(self):
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        await self._reading


class Platform:
    """The stand-in with entries, and two engines with their sidecars.

    `parts` are the optional parts that its programs have on.  With
    `is_relayed`, each part of the stand-in and each entry is reached
    through a relay; `relays` holds them by name.  `bounds` replaces some of
    the platform's bounds; `machine_limits` are those of each machine.
    """

    def __init__(
        self,
        folder,
        entry_count=1,
        is_relayed=False,
        tenants=None,
        parts=(),
        bounds=None,
        machine_limits=None,
    ):
        self._machine_limits = machine_limits or {}
        self.copies_runs = bool(parts)
        self._bounds = bounds or {}
        self._folder = folder
        self._parts = parts
        self._tenants = tenants
        self._entry_ips = ENTRY_IPS[:entry_count]
        self._is_relayed = is_relayed
        self.relays = {}
        self.entries = []
        self.caller_urls = []
        self.store = standin.Store()
        # Addresses with which servers are listed, by their links.
        self.listed_at = {}
        self.engines = [standin.Engine('i-1'), standin.Engine('i-2')]
        self.copies = self.engines[0].copies
        self.engines[1].copies = self.copies
        self.services = [standin.Service('p-1'), standin.Service('p-2')]
        self._exits = contextlib.AsyncExitStack()
        self.programs = []
        self._listeners = {}

    async def __aenter__(self):
        try:
            await self._start_all()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def _start_all(self):
        store_address = await self._serve('store', self.store, '127.0.0.1')
        ports = dict(
            zip(
                ('internal', 'callers', 'ready', 'control'),
                _free_ports(SIDECAR_IPS[0], *[ENTRY_IPS[0]] * 3),
                strict=True,
            )
        )
        configuration = standin.configuration(
            5, tenants=self._tenants, copies_runs=self.copies_runs
        )
        await self.store.put('op/config', configuration)
        for ip, engine in zip(SIDECAR_IPS, self.engines, strict=True):
            direct_address = await self._serve_directly(engine, ip)
            address = await self._relayed(engine.name, direct_address, ip)
            self.listed_at[engine.link] = address
            self.copies.engines[address] = engine
            entry = engine.entry(address)
            await self.store.put(f'servers/{engine.name}', entry)
            settings = {'address': store_address, 'engine': direct_address}
            await self._start('sidecar', ip, ports, settings)
        for service in self.services:
            address = await self._serve(service.name, service, '127.0.0.1')
            self.listed_at[service.link] = address
            entry = service.entry(address)
            await self.store.put(f'servers/{service.name}', entry)
        for ip in self._entry_ips:
            entry = await self._start(
                'entry', ip, ports, {'address': store_address}
            )
            self.entries.append(entry)
            direct_address = f'{ip}:{ports["callers"]}'
            address = await self._relayed(
                f'entry-{ip}', direct_address, '127.0.0.1'
            )
            self.caller_urls.append(f'http://{address}')
        self.entry = self.entries[0]
        self.session = await self._exits.enter_async_context(
            aiohttp.ClientSession(middlewares=(arrivals.send_once,))
        )
        self.callers = self.caller_urls[0]
        self.ready = f'http://{ENTRY_IPS[0]}:{ports["ready"]}'
        for ip in self._entry_ips:
            url = f'http://{ip}:{ports["ready"]}'
            await self.until(functools.partial(self.is_ready, url))
        sidecars = [p for p in self.programs if p.role == 'sidecar']
        await self.until(
            lambda: all(p.events('engine taken over') for p in sidecars)
        )

    async def __aexit__(self, *exception):
        for program in self.programs:
            await program.stop()
        await self._exits.aclose()

    async def _serve(self, name, part, ip):
        address = await self._serve_directly(part, ip)
        return await self._relayed(name, address, ip)

    async def _relayed(self, name, address, ip):
        if not self._is_relayed:
            return address
        target_ip, _, port = address.rpartition(':')
        found = relay.Relay(int(port), target_ip, ip)
        self.relays[name] = await self._exits.enter_async_context(found)
        return f'{ip}:{found.port}'

    async def _serve_directly(self, part, ip):
        app = web.Application(client_max_size=_MAX_BODY_BYTES)
        app.add_routes(part.routes())
        runner = web.AppRunner(
            app, handler_cancellation=True, shutdown_timeout=0.1
        )
        await runner.setup()
        self._exits.push_async_callback(runner.cleanup)
        listener = _Listener(runner.server, ip)
        self._listeners[part] = listener
        self._exits.callback(listener.stop)
        await listener.start()
        part.stop_listening = listener.stop
        part.open_transports = listener.open_transports
        return f'{ip}:{listener.port}'

    async def bring_up(self, server):
        """Have a server that crashed accept connections again."""
        server.is_down = False
        await self._listeners[server].start()

    async def _start(self, role, ip, ports, settings):
        fields = standin.fields_of(role, ip, ports, settings, self._entry_ips)
        fields['bounds'].update(self._bounds)
        fields['limits'] = self._machine_limits
        program = Program(role, fields, self._folder, self._parts)
        await program.start()
        self.programs.append(program)
        return program

    async def is_ready(self, url=None):
        try:
            async with self.session.get(
                f'{url or self.ready}/lacewingpitch/readyz'
            ) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    def address_of(self, server):
        """Return the address with which a server is listed."""
        item = self.store.items[f'servers/{server.name}']
        return json.loads(base64.b64decode(item['value']))['address']

    async def metrics(self, ip):
        url = f'http://{ip}:{METRICS_PORT}/metrics'
        headers = {'Accept': 'text/plain'}
        async with self.session.get(url, headers=headers) as response:
            return await response.text()

    async def until(self, condition):
        try:
            async with asyncio.timeout(START_S):
                await _holds(condition)
        except TimeoutError as error:
            for program in self.programs:
                error.add_note(program.state())
            raise

    def request_log(self, request_id):
        """Return what the programs logged about a request, as text."""
        return '\n'.join(
            f'{program.name}: {json.dumps(line)}'
            for program in self.programs
            for line in program.lines
            if line.get('request_id') == request_id
        )

    def call(self, path, request_id, method='POST', **headers):
        sent = {
            'Host': 'h.example',
            'Request-Id': request_id,
            'Deadline-Ms': '5000',
        }
        sent.update(
            {name.replace('_', '-'): value for name, value in headers.items()}
        )
        url = yarl.URL(f'{self.callers}{path}', encoded=True)
        return self.session.request(method, url, data=b'body', headers=sent)


async def _holds(condition):
    while True:
        found = condition()
        if asyncio.iscoroutine(found):
            found = await found
        if found:
            return
        await asyncio.sleep(0.05)


class _Listener:
    """Listens at one port, on and off."""

    def __init__(self, protocol_factory, ip):
        self.port = 0
        self._protocol_factory = protocol_factory
        self._ip = ip
        self._server = None

    async def start(self):
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._protocol_factory, self._ip, self.port, backlog=1024
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self):
        self._server.close()

    def open_transports(self):
        """Return the open connections, also those without a request."""
        handlers = self._protocol_factory.connections
        found = [handler.transport for handler in handlers]
        return [transport for transport in found if transport is not None]


def _free_ports(*ips):
    """Return a free port for each IP address, no port twice."""
    with contextlib.ExitStack() as exits:
        sockets = [exits.enter_context(socket.socket()) for _ in ips]
        for found, ip in zip(sockets, ips, strict=True):
            found.bind((ip, 0))
        return [found.getsockname()[1] for found in sockets]
