"""A whole deployment in one process, with sample traffic and a report."""

import asyncio
import contextlib
import dataclasses
import secrets
from typing import Any

import aiohttp
import msgspec
import rich.console
import uuid_utils

from lacewingpitch import answer
from lacewingpitch import contract
from lacewingpitch import entry as entry_module
from lacewingpitch import live_list
from lacewingpitch import report as report_module
from lacewingpitch import report_text
from lacewingpitch import settings
from lacewingpitch import sidecar as sidecar_module
from lacewingpitch import standin_engine
from lacewingpitch import standin_platform
from lacewingpitch import standin_service
from lacewingpitch import work

IP = '127.0.0.1'
ZONES = ('demo-a', 'demo-b', 'demo-c')
BASE_MODEL = 'base'
SERVICE = 'fleet'
ENGINE_COUNT = 4
ADAPTER_SLOTS = 2
MAX_RUNNING = 16
# Wide, since tests send all they have through one demo deployment.
LIMITS = contract.Limits(
    requests_per_s=1000.0,
    burst_requests=1000,
    concurrent_requests=100,
    queued_requests=100,
    tokens_per_s=1_000_000.0,
)
_READY_S = 10.0
_CLOCK_SKEW_S = 0.1
_LIST_LAG_S = 1.5
_SERVED = 'served'
_LOAD_STALL_TEXT = (
    'Every adapter was called for the first time here, so the load stalls'
    ' are first loads.'
)


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One request of the sample traffic.

    Parameters
    ----------
    target
        Adapter, or path below the plain service.
    key
        Idempotency key; empty for none.
    """

    customer: str
    target: str
    stream: bool = False
    key: str = ''
    is_service: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What a caller got.

    Parameters
    ----------
    kind
        Error kind, or ``served`` for a whole answer.
    body
        The bytes of the answer.
    """

    call: Call
    status: int
    kind: str
    outcome: str
    detail: str
    body: bytes


# Caravan asks for an adapter of Haneul's: that one is refused.
CALLS = (
    Call('haneul', 'ficus-care'),
    Call('haneul', 'ficus-care', stream=True),
    Call('haneul', 'balcony-summary', stream=True),
    Call('haneul', 'week-summary'),
    Call('haneul', 'readings/7', is_service=True),
    Call('caravan', 'trade-in', stream=True),
    Call('caravan', 'warranty'),
    Call('caravan', 'finance-terms', stream=True),
    Call('caravan', 'ficus-care'),
)
ONCE = Call('caravan', 'quote')
_ADAPTERS = {
    'haneul': ('ficus-care', 'balcony-summary', 'week-summary'),
    'caravan': ('trade-in', 'warranty', 'finance-terms'),
}
_ONCE_ADAPTERS = {'haneul': ('watering-plan',), 'caravan': ('quote',)}


class Deployment:
    """Stand-ins, sidecars and one entry instance, on free ports."""

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
                **self._process('entry-0', ZONES[0]) | self._entry_fields,
            )
        )
        await self.entry.start()
        self._exits.push_async_callback(self.entry.close)
        async with asyncio.timeout(_READY_S):
            await self.entry.ready()
        return self

    async def __aexit__(self, *exception: object) -> None:
        """Stop everything, the entry first."""
        await self._exits.aclose()

    @property
    def url(self) -> str:
        """Return the URL that callers reach."""
        return f'http://{IP}:{self.entry.work_port}'

    def runs(self, adapter: str) -> int:
        """Return how often an adapter ran: the ground truth."""
        name = f'{adapter}@1'
        return sum(
            run.adapter == name
            for engine in self.engines
            for run in engine.truth.runs
        )

    async def report(self) -> report_module.Report:
        """Return the account of service, as operators get it."""
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
                **self._process(f'sidecar-{number}', zone),
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

    def _process(self, instance: str, zone: str) -> dict[str, Any]:
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
            'clock_skew_s': _CLOCK_SKEW_S,
            'list_lag_s': _LIST_LAG_S,
        }

    def _contracts(self) -> tuple[contract.Contract, ...]:
        return tuple(self._contract(customer) for customer in _ADAPTERS)

    def _contract(self, customer: str) -> contract.Contract:
        granted = [(name, True) for name in _ADAPTERS[customer]]
        granted += [(name, False) for name in _ONCE_ADAPTERS[customer]]
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
                for name, repeatable in granted
            ),
            services=(contract.ServiceGrant(name=SERVICE),),
            limits=LIMITS,
        )


class Caller:
    """Sends the sample traffic, as customers' programs would."""

    def __init__(
        self, deployment: Deployment, session: aiohttp.ClientSession
    ) -> None:
        self._deployment = deployment
        self._session = session

    async def send(self, call: Call) -> Result:
        """Send one request and take its answer."""
        async with self._request(call) as response:
            body = await response.read()
        kind = response.headers.get(work.KIND_HEADER, _SERVED)
        detail = ''
        if call.stream and kind == _SERVED:
            kind = _SERVED if body.endswith(answer.STREAM_END) else 'cut'
        if kind != _SERVED:
            detail = _detail(body)
        return Result(
            call,
            response.status,
            kind,
            response.headers.get(work.OUTCOME_HEADER, _SERVED),
            detail,
            body,
        )

    def _request(
        self, call: Call
    ) -> contextlib.AbstractAsyncContextManager[aiohttp.ClientResponse]:
        api_key = self._deployment.keys[call.customer]
        headers = {'Authorization': f'Bearer {api_key}'}
        if call.key:
            headers['Idempotency-Key'] = call.key
        url = self._deployment.url
        if call.is_service:
            return self._session.get(
                f'{url}/services/{SERVICE}/{call.target}', headers=headers
            )
        body = {'model': call.target, 'messages': [], 'stream': call.stream}
        return self._session.post(
            f'{url}/v1/chat/completions', json=body, headers=headers
        )


async def run_demo(console: rich.console.Console | None = None) -> int:
    """Serve sample traffic and print a report; return the exit code.

    The code is 0 if what was sent twice ran once, by the engines' truth.
    """
    console = console or rich.console.Console()
    async with Deployment() as deployment, aiohttp.ClientSession() as session:
        caller = Caller(deployment, session)
        results = await asyncio.gather(*(caller.send(call) for call in CALLS))
        # Sidecars that have just started back no key made until now.
        await asyncio.sleep(_LIST_LAG_S + _CLOCK_SKEW_S)
        once = dataclasses.replace(ONCE, key=str(uuid_utils.uuid7()))
        twice = [await caller.send(once), await caller.send(once)]
        run_count = deployment.runs(once.target)
        report_text.print_table(await deployment.report(), console)
    console.print(_LOAD_STALL_TEXT)
    for result in results:
        if result.kind != _SERVED:
            console.print(_refusal_text(result))
    console.print(_twice_text(twice, run_count))
    return 0 if run_count == 1 else 1


def _refusal_text(result: Result) -> str:
    return (
        f'Refused: {result.call.customer} asked for {result.call.target!r}:'
        f' {result.kind} ({result.outcome}), {result.detail}.'
    )


def _twice_text(results: list[Result], run_count: int) -> str:
    answers = ', then '.join(
        f'{r.status} {r.kind} ({r.outcome})' for r in results
    )
    call = results[0].call
    same = 'the same answer' if _are_equal(results) else 'DIFFERENT ANSWERS'
    verdict = 'exactly once' if run_count == 1 else 'NOT ONCE'
    return (
        f'Sent twice with one key: {call.customer} asked for'
        f' {call.target!r}, which may not be repeated: {answers}; {same}.\n'
        f'By their own count the engines ran it {run_count} time(s):'
        f' {verdict}.'
    )


def _are_equal(results: list[Result]) -> bool:
    return len({result.body for result in results}) == 1


def _detail(body: bytes) -> str:
    found = work.decode_error(body)
    return found.error.detail if found else 'the answer broke off'
