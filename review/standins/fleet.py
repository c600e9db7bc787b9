"""Starts the programs of the deploy file on loopback addresses."""

import asyncio
from collections.abc import Awaitable, Callable
import contextlib
import json
import os
import pathlib
import re
import signal
import socket
import tomllib
from typing import Any

from aiohttp import web
import msgspec

from standins import proxy as proxy_module
from standins import record as record_module
from standins import servers
from standins import store as store_module

ROOT = pathlib.Path(__file__).parents[2]
ENGINES = 'svc-engines'
PLAIN = 'svc-plain'
HOST = 'h.example'
_START_S = 20.0
_POLL_S = 0.05
_OK = 200

# As in the sheet of the balcony sensor fleet.
BOUNDS = {
    'contactMs': 3000,
    'drainMs': 2000,
    'graceS': 8,
    'lossSlackMs': 200,
    'configApplyMs': 2000,
    'retryBudgetRatio': 0.2,
    'budgetWindowS': 10,
    'retryBudgetExtra': 52,
}


class Program:
    """One process of the system."""

    def __init__(self, role: str, ip: str, path: pathlib.Path) -> None:
        self.role = role
        self.ip = ip
        self._path = path
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start it with the command of the deploy file."""
        text = (ROOT / 'deploy' / 'system.toml').read_text()
        run = tomllib.loads(text)['roles'][self.role]['run']
        log = self._path.with_suffix('.log').open('ab')
        with log:
            self.process = await asyncio.create_subprocess_exec(
                *run.split(),
                cwd=ROOT,
                env={
                    'PATH': os.environ['PATH'],
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'LACEWINGPITCH_CONFIG': str(self._path),
                },
                stdout=log,
                stderr=log,
            )

    def log_lines(self, text: str) -> list[str]:
        """Return the lines of its log that contain a text."""
        lines = self._path.with_suffix('.log').read_text().splitlines()
        return [line for line in lines if text in line]

    def signal(self, number: signal.Signals) -> None:
        """Send it a signal."""
        assert self.process is not None
        self.process.send_signal(number)

    async def end(self) -> None:
        """Kill it, if it still runs."""
        if self.process is None:
            return
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()


class Fleet:
    """A small deployment; use it as an async context.

    Parameters
    ----------
    folder
        For settings and logs.
    """

    def __init__(
        self, folder: pathlib.Path, record: record_module.Record
    ) -> None:
        self._folder = folder
        self.record = record
        self.store = store_module.Store()
        self._exits = contextlib.AsyncExitStack()
        pid = os.getpid()
        self._network = f'127.{60 + pid % 150}.{pid // 150 % 250}'
        self._ports: dict[str, int] = {}
        self.addresses: dict[str, str] = {}
        # Tasks of the stand-ins, which are cancelled at the end.
        self.tasks: list[asyncio.Task[None]] = []
        # Before the store, one for each machine.
        self.store_proxies: list[proxy_module.Proxy] = []
        # Before plain servers, by their names.
        self.server_proxies: dict[str, proxy_module.Proxy] = {}
        # Before the control ports of sidecars.
        self.control_proxies: list[proxy_module.Proxy] = []

    async def __aenter__(self) -> 'Fleet':
        """Choose the ports that all machines have in common."""
        ip = self.ip(250)
        names = ('internal', 'callers', 'ready', 'control')
        self._ports = dict(zip(names, _free_ports(ip, 4), strict=True))
        return self

    async def __aexit__(self, *_exception: object) -> None:
        """End all processes and stand-ins."""
        for task in self.tasks:
            task.cancel()
        if self.tasks:
            await asyncio.wait(self.tasks)
        await self._exits.aclose()

    def on_end(self, work: Callable[[], Awaitable[None]]) -> None:
        """Have something done at the end."""
        self._exits.push_async_callback(work)

    def ip(self, number: int) -> str:
        """Return the address of a machine."""
        return f'{self._network}.{number}'

    async def serve(self, routes: list[web.RouteDef], ip: str) -> str:
        """Serve a stand-in, and return its address."""
        app = web.Application(client_max_size=64 << 20)
        app.add_routes(routes)
        runner = web.AppRunner(
            app, handler_cancellation=True, shutdown_timeout=0.1
        )
        await runner.setup()
        self._exits.push_async_callback(runner.cleanup)
        site = web.TCPSite(runner, ip, 0)
        await site.start()
        return f'{ip}:{runner.addresses[0][1]}'

    async def add_server(self, server: servers.Server, ip: str) -> str:
        """Serve a server and list it."""
        address = await self.serve(server.routes(), ip)
        self.addresses[server.name] = address
        await self.list_server(server)
        return address

    async def add_server_behind_proxy(
        self, server: servers.Server, ip: str, port: int
    ) -> None:
        """List a server that listens already, at the address of a proxy."""
        [own_port] = _free_ports(ip, 1)
        proxy = await self._add_proxy((ip, own_port), (ip, port))
        self.server_proxies[server.name] = proxy
        self.addresses[server.name] = f'{ip}:{own_port}'
        await self.list_server(server)

    async def list_server(self, server: servers.Server) -> None:
        """Write the entry of a server."""
        entry = server.entry(self.addresses[server.name])
        await self.store.put(f'servers/{server.name}', entry)
        self.record.line('store', 'lists', server.name, entry['state'])

    async def write_foreign(self, key: str, content: str) -> None:
        """Have another writer write to the store."""
        await self.store.put_bytes(key, content.encode())
        self.record.line('another writer writes', key, content)

    async def add_sidecar(
        self,
        number: int,
        engine: servers.Engine,
        proxy_number: int | None = None,
    ) -> str:
        """Start an engine with its sidecar; return the address of both.

        Parameters
        ----------
        proxy_number
            Machine at which both are reached by others, through proxies;
            directly if ``None``.
        """
        ip = self.ip(number)
        address = await self.serve(engine.routes(), ip)
        program = await self._start(
            'sidecar', ip, {'app': address, 'service': ENGINES}
        )
        internal = self._ports['internal']
        await self._until_listening(program, internal)
        self.addresses[engine.name] = address
        if proxy_number is not None:
            shown_ip = self.ip(proxy_number)
            port = int(address.rpartition(':')[2])
            self.addresses[engine.name] = f'{shown_ip}:{port}'
            await self._add_proxy((shown_ip, port), (ip, port))
            control = await self._add_proxy(
                (shown_ip, internal), (ip, internal)
            )
            self.control_proxies.append(control)
        await self.list_server(engine)
        return ip

    async def _add_store_proxy(self, ip: str) -> str:
        direct = await self.serve(self.store.routes(ip), ip)
        [port] = _free_ports(ip, 1)
        target = (ip, int(direct.rpartition(':')[2]))
        proxy = await self._add_proxy((ip, port), target)
        self.store_proxies.append(proxy)
        return f'{ip}:{port}'

    async def _add_proxy(
        self, address: tuple[str, int], target: tuple[str, int]
    ) -> proxy_module.Proxy:
        proxy = proxy_module.Proxy(target)
        await proxy.start(*address)
        self._exits.push_async_callback(proxy.close)
        return proxy

    async def add_entry(self, number: int) -> Program:
        """Start an entry, and wait until it is ready."""
        ip = self.ip(number)
        listen = {
            'frontend': f'{ip}:{self._ports["callers"]}',
            'ready': f'{ip}:{self._ports["ready"]}',
            'controlPlane': f'{ip}:{self._ports["control"]}',
        }
        program = await self._start('entry', ip, {'listen': listen})
        await self._until_listening(program, self._ports['callers'])
        async with asyncio.timeout(_START_S):
            while not await self.is_ready(program):
                await asyncio.sleep(_POLL_S)
        return program

    def callers(self, entry: Program) -> tuple[str, int]:
        """Return the address at which an entry listens for clients."""
        return entry.ip, self._ports['callers']

    async def is_ready(self, entry: Program) -> bool:
        """Whether an entry reports that it is ready."""
        try:
            reader, writer = await asyncio.open_connection(
                entry.ip, self._ports['ready']
            )
        except OSError:
            return False
        try:
            writer.write(
                b'GET /lacewingpitch/readyz HTTP/1.1\r\nHost: ready\r\n'
                b'Connection: close\r\n\r\n'
            )
            first = await reader.readline()
        except OSError:
            return False
        finally:
            writer.close()
        return first.split()[1:2] == [str(_OK).encode()]

    async def _start(
        self, role: str, ip: str, fields: dict[str, Any]
    ) -> Program:
        name = f'{role}-{ip}'
        path = self._folder / f'{name}.json'
        store = await self._add_store_proxy(ip)
        settings = _render(
            {
                'nodeName': name,
                'zone': 'hall-a',
                'ip': ip,
                'internalPortRange': [
                    self._ports['internal'],
                    self._ports['internal'] + 15,
                ],
                'seeds': [],
                'platform': {'address': store},
                'bounds': BOUNDS,
                **fields,
            }
        )
        msgspec.json.decode(settings)
        path.write_text(settings)
        program = Program(role, ip, path)
        await program.start()
        self._exits.push_async_callback(program.end)
        self.record.line('started', name)
        return program

    async def _until_listening(self, program: Program, port: int) -> None:
        async with asyncio.timeout(_START_S):
            while True:
                try:
                    _, writer = await asyncio.open_connection(program.ip, port)
                except OSError:
                    await asyncio.sleep(_POLL_S)
                    continue
                writer.close()
                return


def configuration(**routes: dict[str, Any]) -> dict[str, Any]:
    """Return a configuration with routes by name."""
    return {
        'version': 7,
        'routes': [
            {
                'name': name,
                'host': HOST,
                'pathPrefix': f'/{name}/',
                'targetLatencyMs': 1000,
                'priority': 0,
                'service': PLAIN,
                'maxAttempts': 1,
                **fields,
            }
            for name, fields in routes.items()
        ],
        'services': [
            {
                'name': ENGINES,
                'healthPath': '/healthz',
                'engine': {
                    'slots': 64,
                    'models': [
                        {
                            'name': servers.MODEL,
                            'weightsMb': 72700.0,
                            'loadS': 3.2,
                            'adapters': 3000,
                            'adapterMb': 66.0,
                        }
                    ],
                    'weightsMb': 76200.0,
                    'adapterSlots': 30,
                },
            },
            {'name': PLAIN, 'healthPath': '/healthz'},
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
    }


def _free_ports(ip: str, count: int) -> list[int]:
    with contextlib.ExitStack() as exits:
        found = [exits.enter_context(socket.socket()) for _ in range(count)]
        for port in found:
            port.bind((ip, 0))
        return [port.getsockname()[1] for port in found]


def _render(fields: dict[str, Any]) -> str:
    """Fill in the template of the settings, as the platform does."""
    text = (ROOT / 'deploy' / 'settings.json').read_text()
    section = re.compile(r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', re.S)
    text = section.sub(
        lambda found: found[2] if _value(fields, found[1]) else '', text
    )
    return re.sub(
        r'\{\{([\w.]+)\|json\}\}',
        lambda found: json.dumps(_value(fields, found[1])),
        text,
    )


def _value(fields: Any, path: str) -> Any:
    for step in path.split('.'):
        if isinstance(fields, list):
            fields = fields[int(step)]
        else:
            fields = fields.get(step)
        if fields is None:
            return None
    return fields
