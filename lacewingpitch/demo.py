"""A whole deployment in one process, with sample traffic."""

import asyncio
import collections
import contextlib
import secrets
from typing import Any

import aiohttp
import rich.console
import rich.table

from lacewingpitch import contract
from lacewingpitch import entry as entry_module
from lacewingpitch import live_list
from lacewingpitch import settings
from lacewingpitch import sidecar as sidecar_module
from lacewingpitch import standin_engine
from lacewingpitch import standin_platform
from lacewingpitch import work

_READY_S = 10.0
IP = '127.0.0.1'
_CALLS = (
    ('haneul', 'ficus-care'),
    ('haneul', 'balcony-summary'),
    ('caravan', 'trade-in'),
    ('caravan', 'warranty'),
    ('caravan', 'ficus-care'),
)


class Deployment:
    """Stand-ins, sidecars and one entry instance, on free ports."""

    def __init__(self) -> None:
        self._exits = contextlib.AsyncExitStack()
        self._secret = secrets.token_hex()
        self.platform = standin_platform.StandinPlatform()
        self.engines = [standin_engine.StandinEngine('base') for _ in range(2)]
        self.entry: entry_module.Entry
        self.keys = {
            name: secrets.token_hex() for name in ('haneul', 'caravan')
        }

    async def __aenter__(self) -> 'Deployment':
        """Start everything."""
        await self.platform.start(IP)
        self._exits.push_async_callback(self.platform.close)
        instances = [
            await self._start_sidecar(number, engine)
            for number, engine in enumerate(self.engines)
        ]
        await self.platform.publish_instances(tuple(instances))
        await self.platform.publish_contracts(self._contracts())
        self.entry = entry_module.Entry(
            settings.EntrySettings(**self._process('entry-0'))
        )
        await self.entry.start()
        self._exits.push_async_callback(self.entry.close)
        async with asyncio.timeout(_READY_S):
            await self.entry.ready()
        return self

    async def __aexit__(self, *exception: object) -> None:
        """Stop everything, the entry first."""
        await self._exits.aclose()

    async def _start_sidecar(
        self, number: int, engine: standin_engine.StandinEngine
    ) -> live_list.Instance:
        await engine.start(IP)
        self._exits.push_async_callback(engine.close)
        sidecar = sidecar_module.Sidecar(
            settings.SidecarSettings(
                **self._process(f'sidecar-{number}'),
                backend_server=settings.EngineSettings(
                    address=settings.Address(ip=IP, port=engine.port),
                    base_model=engine.base_model,
                    adapter_slots=engine.adapter_slots,
                    max_running=16,
                ),
            )
        )
        await sidecar.start()
        self._exits.push_async_callback(sidecar.close)
        return live_list.Instance(
            name=sidecar.settings.instance,
            role=live_list.Role.SIDECAR,
            region='demo',
            availability_zone='demo-a',
            ip=IP,
            work_port=sidecar.work_port,
            control_port=sidecar.control_port,
            serves=engine.base_model,
        )

    def _process(self, instance: str) -> dict[str, Any]:
        platform = settings.Address(ip=IP, port=self.platform.port)
        return {
            'deployment': 'demo',
            'secret': self._secret,
            'instance': instance,
            'availability_zone': 'demo-a',
            'region': 'demo',
            'ip': IP,
            'work_port': 0,
            'control_port': 0,
            'config_service': platform,
            'live_list': platform,
        }

    def _contracts(self) -> tuple[contract.Contract, ...]:
        adapters = {
            'haneul': ('ficus-care', 'balcony-summary'),
            'caravan': ('trade-in', 'warranty'),
        }
        return tuple(
            contract.Contract(
                customer=customer,
                revision=1,
                key_digests=(contract.digest_key(self.keys[customer]),),
                adapters=tuple(
                    contract.AdapterGrant(
                        name=name, version='1', base_model='base'
                    )
                    for name in names
                ),
            )
            for customer, names in adapters.items()
        )


async def run_demo() -> int:
    """Serve sample traffic and print a report; return the exit code."""
    outcomes: collections.Counter[tuple[str, str]] = collections.Counter()
    async with Deployment() as deployment, aiohttp.ClientSession() as session:
        url = f'http://{IP}:{deployment.entry.work_port}'
        for customer, adapter in _CALLS:
            async with session.post(
                f'{url}/v1/chat/completions',
                json={'model': adapter, 'messages': []},
                headers={
                    'Authorization': f'Bearer {deployment.keys[customer]}'
                },
            ) as response:
                await response.read()
                kind = response.headers.get(work.KIND_HEADER, 'served')
                outcomes[customer, kind] += 1
    table = rich.table.Table('customer', 'outcome', 'requests')
    for (customer, kind), count in sorted(outcomes.items()):
        table.add_row(customer, kind, str(count))
    rich.console.Console().print(table)
    return 0
