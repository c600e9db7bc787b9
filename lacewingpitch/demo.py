"""A complete deployment in one process, for the demo and tests."""

import asyncio
import contextlib
import secrets
from typing import Any

import msgspec

from lacewingpitch import contract
from lacewingpitch import entry as entry_module
from lacewingpitch import live_list
from lacewingpitch import report as report_module
from lacewingpitch import settings
from lacewingpitch import sidecar as sidecar_module
from lacewingpitch import standin_engine
from lacewingpitch import standin_platform
from lacewingpitch import standin_service

IP = '127.0.0.1'
ZONES = ('demo-a', 'demo-b', 'demo-c')
BASE_MODEL = 'base'
SERVICE = 'fleet'
ENGINE_COUNT = 4
ADAPTER_SLOTS = 2
MAX_RUNNING = 16
# High, since tests send all their requests through one demo deployment.
LIMITS = contract.Limits(
    requests_per_s=1000.0,
    burst_requests=1000,
    concurrent_requests=100,
    queued_requests=100,
    tokens_per_s=1_000_000.0,
)
_READY_TIMEOUT_S = 10.0
CLOCK_SKEW_S = 0.1
LIST_LAG_S = 1.5
_ADAPTERS = {
    'haneul': ('ficus-care', 'balcony-summary', 'week-summary'),
    'caravan': ('trade-in', 'warranty', 'finance-terms'),
}
_AT_MOST_ONCE_ADAPTERS = {'haneul': ('watering-plan',), 'caravan': ('quote',)}


class Deployment:
    """Stand-ins, sidecars and one entry instance, on free ports.

    Parameters
    ----------
    entry_fields
        Settings of the entry that replace those of the demo.
    """

    def __init__(self, **entry_fields: Any) -> None:
        self._exits = contextlib.AsyncExitStack()
        self._secret = secrets.token_hex()
        self._operator_token = secrets.token_hex()
        self._entry_fields = entry_fields
        self.platform = standin_platform.StandinPlatform()
        self.engines = [
            standin_engine.StandinEngine(
                BASE_MODEL, adapter_slots=ADAPTER_SLOTS
            )
            for _ in range(ENGINE_COUNT)
        ]
        self.service = standin_service.StandinService()
        self.sidecars: list[sidecar_module.Sidecar] = []
        self.entry: entry_module.Entry
        self.keys = {name: secrets.token_hex() for name in _ADAPTERS}

    async def __aenter__(self) -> 'Deployment':
        """Start everything."""
        await self.platform.start(IP)
        self._exits.push_async_callback(self.platform.close)
        instances = [await self._add_engine(e) for e in self.engines]
        instances.append(await self._add_service())
        await self.platform.publish_instances(tuple(instances))
        await self.platform.publish_contracts(self._contracts())
        self.entry = entry_module.Entry(
            settings.EntrySettings(
                operator_token_digest=contract.digest_key(
                    self._operator_token
                ),
                **self._process_settings('entry-0', ZONES[0])
                | self._entry_fields,
            )
        )
        await self.entry.start()
        self._exits.push_async_callback(self.entry.close)
        async with asyncio.timeout(_READY_TIMEOUT_S):
            await self.entry.ready()
        return self

    async def __aexit__(self, *exception: object) -> None:
        """Stop everything in reverse order: the entry first."""
        await self._exits.aclose()

    @property
    def url(self) -> str:
        """Return the URL for callers."""
        return f'http://{IP}:{self.entry.work_port}'

    def run_count(self, adapter: str) -> int:
        """Return how often an adapter ran, as recorded by the engines."""
        name = f'{adapter}@1'
        return sum(
            run.adapter == name
            for engine in self.engines
            for run in engine.recorded.runs
        )

    async def report(self) -> report_module.Report:
        """Return the account of service, fetched as an operator does."""
        data = await report_module.fetch(self.url, None, self._operator_token)
        return msgspec.json.decode(data, type=report_module.Report)

    async def _add_engine(
        self, engine: standin_engine.StandinEngine
    ) -> live_list.Instance:
        await engine.start(IP)
        self._exits.push_async_callback(engine.close)
        backend_server = settings.EngineSettings(
            address=settings.Address(ip=IP, port=engine.port),
            base_model=engine.base_model,
            adapter_slots=engine.adapter_slots,
            max_running=MAX_RUNNING,
        )
        return await self._add_sidecar(backend_server, engine.base_model)

    async def _add_service(self) -> live_list.Instance:
        await self.service.start(IP)
        self._exits.push_async_callback(self.service.close)
        backend_server = settings.ServiceSettings(
            address=settings.Address(ip=IP, port=self.service.port),
            name=SERVICE,
            max_running=MAX_RUNNING,
        )
        return await self._add_sidecar(backend_server, SERVICE)

    async def _add_sidecar(
        self,
        backend_server: settings.EngineSettings | settings.ServiceSettings,
        serves: str,
    ) -> live_list.Instance:
        number = len(self.sidecars)
        zone = ZONES[number % len(ZONES)]
        sidecar = sidecar_module.Sidecar(
            settings.SidecarSettings(
                **self._process_settings(f'sidecar-{number}', zone),
                backend_server=backend_server,
            )
        )
        await sidecar.start()
        self._exits.push_async_callback(sidecar.close)
        self.sidecars.append(sidecar)
        return live_list.Instance(
            name=sidecar.settings.instance,
            role=live_list.Role.SIDECAR,
            region='demo',
            availability_zone=zone,
            ip=IP,
            work_port=sidecar.work_port,
            control_port=sidecar.control_port,
            serves=serves,
        )

    def _process_settings(self, instance: str, zone: str) -> dict[str, Any]:
        platform = settings.Address(ip=IP, port=self.platform.port)
        return {
            'deployment': 'demo',
            'secret': self._secret,
            'instance': instance,
            'availability_zone': zone,
            'region': 'demo',
            'ip': IP,
            'work_port': 0,
            'control_port': 0,
            'config_service': platform,
            'live_list': platform,
            'clock_skew_s': CLOCK_SKEW_S,
            'list_lag_s': LIST_LAG_S,
        }

    def _contracts(self) -> tuple[contract.Contract, ...]:
        return tuple(self._contract(customer) for customer in _ADAPTERS)

    def _contract(self, customer: str) -> contract.Contract:
        grants = [(name, True) for name in _ADAPTERS[customer]]
        grants += [(name, False) for name in _AT_MOST_ONCE_ADAPTERS[customer]]
        return contract.Contract(
            customer=customer,
            revision=1,
            region='demo',
            key_digests=(contract.digest_key(self.keys[customer]),),
            adapters=tuple(
                contract.AdapterGrant(
                    name=name,
                    version='1',
                    base_model=BASE_MODEL,
                    repeatable=repeatable,
                )
                for name, repeatable in grants
            ),
            services=(contract.ServiceGrant(name=SERVICE),),
            limits=LIMITS,
        )
