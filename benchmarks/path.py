"""Costs of the path through entry and sidecar, against the engine alone.

Run ``python -m benchmarks.path`` (``make bench``).  Both routes are measured
in one run, with real processes, and differences are also given as ratios.
"""

import asyncio
import contextlib
import dataclasses
import pathlib
import sys
import tempfile
import time

import aiohttp
import click
import msgspec
import numpy
import psutil
import rich.console
import rich.table
import uvloop

from benchmarks import path_relay
from lacewingpitch import contract
from tests import processes

ENGINE_COUNT = 8
TOKENS_PER_ANSWER = 243
TOKEN_S = 0.02
ENTRY_REQUESTS_PER_S = 14.0
WARM_UP_S = 4.0
ADAPTERS = tuple(f'adapter-{number}' for number in range(16))


class Target(msgspec.Struct, frozen=True):
    """The URLs, models and headers of a load's requests."""

    urls: tuple[str, ...]
    models: tuple[str, ...]
    headers: dict[str, str]


class Load(msgspec.Struct, frozen=True):
    """Streamed completions at a constant rate for a time."""

    target: Target
    requests_per_s: float
    duration_s: float
    tokens_per_answer: int = TOKENS_PER_ANSWER


class Times(msgspec.Struct):
    """Times that load generators measured, in seconds."""

    first_token_s: list[float]
    gap_s: list[float]
    failed: int = 0


@dataclasses.dataclass(frozen=True)
class Options:
    """Options of the measurement."""

    duration_s: float
    scales: tuple[float, ...]
    against: str | None
    relays: bool
    tokens_per_answer: int


class Generator:
    """Sends streams at a constant rate and times their events."""

    def __init__(self, load: Load):
        self._load = load
        self.times = Times([], [])

    async def run(self) -> Times:
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            async with asyncio.TaskGroup() as streams:
                await self._send_all(session, streams)
        return self.times

    async def _send_all(self, session, streams):
        started_s = time.monotonic()
        count = int(self._load.requests_per_s * self._load.duration_s)
        for number in range(count):
            due_s = started_s + number / self._load.requests_per_s
            await asyncio.sleep(due_s - time.monotonic())
            streams.create_task(self._stream(session, number))

    async def _stream(self, session, number):
        try:
            await self._time_stream(session, number)
        except (aiohttp.ClientError, OSError) as error:
            print(repr(error), file=sys.stderr)
            self.times.failed += 1

    async def _time_stream(self, session, number):
        target = self._load.target
        index = number % len(target.models) % len(target.urls)
        model = target.models[number % len(target.models)]
        sent_s = time.monotonic()
        async with session.post(
            target.urls[index],
            json={
                'model': model,
                'stream': True,
                'max_tokens': self._load.tokens_per_answer,
            },
            headers=target.headers | {'X-Request-Id': f'{number}'},
        ) as response:
            if response.status != 200:
                self.times.failed += 1
                return
            await self._time_events(response, sent_s)

    async def _time_events(self, response, sent_s):
        last_s = 0.0
        tail = b''
        async for chunk in response.content.iter_any():
            now_s = time.monotonic()
            if last_s:
                self.times.gap_s.append(now_s - last_s)
            else:
                self.times.first_token_s.append(now_s - sent_s)
            last_s = now_s
            tail = chunk
        if not tail.endswith(b'[DONE]\n\n'):
            self.times.failed += 1


@dataclasses.dataclass(frozen=True)
class Cost:
    """The resources that a process used during a load."""

    used_s: float
    system_s: float
    core_ratio: float
    memory_bytes: int


@dataclasses.dataclass(frozen=True)
class Result:
    """Times and costs of one load on one route."""

    times: Times
    costs: dict[str, Cost]

    def percentile_ms(self, values, q):
        return float(numpy.percentile(values, q)) * 1000 if values else 0.0


async def measure(load, processes_by_name, generator_count, folder):
    """Run a load from several processes; return times and costs."""
    share = msgspec.structs.replace(
        load, requests_per_s=load.requests_per_s / generator_count
    )
    outputs = [folder / f'times-{n}' for n in range(generator_count)]
    running = [
        await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'benchmarks.path',
            '--generate',
            msgspec.json.encode(share).decode(),
            '--output',
            str(output),
        )
        for output in outputs
    ]
    before = {n: _cpu_times(p) for n, p in processes_by_name.items()}
    await asyncio.sleep(WARM_UP_S)
    warm = {n: _cpu_times(p) for n, p in processes_by_name.items()}
    started_s = time.monotonic()
    await asyncio.sleep(load.duration_s - WARM_UP_S)
    elapsed_s = time.monotonic() - started_s
    cores = {
        n: _used_s(warm[n], _cpu_times(p)) / elapsed_s
        for n, p in processes_by_name.items()
    }
    times = Times([], [])
    for process, output in zip(running, outputs, strict=True):
        await process.wait()
        part = msgspec.json.decode(output.read_bytes(), type=Times)
        times.first_token_s += part.first_token_s
        times.gap_s += part.gap_s
        times.failed += part.failed
    # The cost of a token comes from the whole run, since tokens that are
    # late pass after the measured interval.
    costs = {
        name: _cost(process, before[name], cores[name])
        for name, process in processes_by_name.items()
    }
    return Result(times, costs)


def _cpu_times(process):
    return psutil.Process(process.pid).cpu_times()


def _used_s(before, after):
    return after.user + after.system - before.user - before.system


def _cost(process, before, core_ratio):
    now = _cpu_times(process)
    return Cost(
        _used_s(before, now),
        now.system - before.system,
        core_ratio,
        psutil.Process(process.pid).memory_info().rss,
    )


async def build(deployment, against):
    """Start engines with one model each, so that all get the same load.

    With `against`, every second sidecar and a second entry run the code
    of that folder.
    """
    for number in range(ENGINE_COUNT):
        deployment.cwd = against if number % 2 else None
        await deployment.add_engine(
            '--token-s',
            str(TOKEN_S),
            '--adapter-slots',
            str(len(ADAPTERS)),
            '--ignores-fencing',
            base_model=f'base-{number}',
            adapter_slots=len(ADAPTERS),
            max_running=4096,
        )
    for deployment.cwd in (None, against) if against else (None,):
        await deployment.add_entry()
    deployment.cwd = None
    deployment.add_customer('bench', limits=processes.WIDE_LIMITS)
    deployment.contracts['bench'] = msgspec.structs.replace(
        deployment.contracts['bench'], adapters=_grants()
    )
    await deployment.publish()
    await warm_up(deployment)


def _grants():
    return tuple(
        contract.AdapterGrant(
            name=name, version='1', base_model=f'base-{number % ENGINE_COUNT}'
        )
        for number, name in enumerate(ADAPTERS)
    )


async def warm_up(deployment):
    """Call every adapter once, so that no load is measured."""
    for adapter in ADAPTERS:
        async with deployment.call(
            deployment.entries[0], 'bench', adapter
        ) as response:
            assert response.status == 200


def make_targets(deployment, relays):
    """Return the targets by the names of the routes."""
    path = '/v1/chat/completions'
    key = deployment.keys['bench']
    targets_by_route = {
        name: Target(
            urls=(entry.url + path,),
            models=ADAPTERS,
            headers={'Authorization': f'Bearer {key}'},
        )
        for name, entry in zip(
            ('path', 'against'), deployment.entries, strict=False
        )
    }
    direct = {'direct': [e.url for e in deployment.engines]}
    for name, urls in (direct | relays).items():
        targets_by_route[name] = Target(
            urls=tuple(url + path for url in urls),
            models=tuple(g.engine_name for g in _grants()),
            headers={'X-Fencing': '0'},
        )
    return targets_by_route


@contextlib.asynccontextmanager
async def relay_process(kind, deployment):
    """Start a bare relay in front of every engine; yield it and its URLs."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-c',
        'from benchmarks import path_relay; path_relay.main()',
        kind,
        *(str(e.ports['work_port']) for e in deployment.engines),
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        ports = msgspec.json.decode(await process.stdout.readline())
        yield process, [f'http://{processes.IP}:{port}' for port in ports]
    finally:
        process.kill()
        await process.wait()


async def run_bench(options):
    """Measure all routes at each scale, and print a table."""
    table = rich.table.Table(
        'scale',
        'route',
        'first token p50/p95 ms',
        'gap p50/p95 ms',
        'chunks/token',
        'failed',
        'hop core',
        'hop us/token (system)',
        'sidecar core',
        'sidecars us/token',
        'hop MB',
        'sidecar MB',
    )
    async with contextlib.AsyncExitStack() as held:
        folder = pathlib.Path(
            held.enter_context(tempfile.TemporaryDirectory())
        )
        deployment = await held.enter_async_context(
            processes.Deployment(folder)
        )
        await build(deployment, options.against)
        hops = dict(zip(('path', 'against'), deployment.entries, strict=False))
        relays = {}
        for kind in path_relay.KINDS if options.relays else ():
            hops[kind], relays[kind] = await held.enter_async_context(
                relay_process(kind, deployment)
            )
        targets_by_route = make_targets(deployment, relays)
        for scale in options.scales:
            results = {}
            for route in targets_by_route:
                results[route] = await _measure_route(
                    deployment,
                    hops,
                    targets_by_route,
                    route,
                    scale,
                    options,
                    folder,
                )
                rows = _rows(scale, route, results[route], options)
                for row in rows:
                    table.add_row(*row)
            table.add_row(*_difference(scale, results))
    rich.console.Console(width=170).print(table)


async def _measure_route(
    deployment, hops, targets_by_route, route, scale, options, folder
):
    processes_by_name = {'sidecar': deployment.sidecars[0]}
    if options.against:
        processes_by_name['sidecar against'] = deployment.sidecars[1]
    if route in hops:
        processes_by_name['hop'] = hops[route]
    load = Load(
        targets_by_route[route],
        ENTRY_REQUESTS_PER_S * scale,
        options.duration_s,
        options.tokens_per_answer,
    )
    return await measure(
        load, processes_by_name, 1 if scale < 3 else 6, folder
    )


def _rows(scale, route, result, options):
    first, gap = result.times.first_token_s, result.times.gap_s
    request_count = int(ENTRY_REQUESTS_PER_S * scale * options.duration_s)
    token_count = request_count * options.tokens_per_answer
    idle = Cost(0.0, 0.0, 0.0, 0)
    hop = result.costs.get('hop', idle)
    sidecar = result.costs['sidecar']
    yield (
        f'{scale:g}',
        route,
        f'{result.percentile_ms(first, 50):.1f} / '
        f'{result.percentile_ms(first, 95):.1f}',
        f'{result.percentile_ms(gap, 50):.2f} / '
        f'{result.percentile_ms(gap, 95):.2f}',
        f'{len(gap) / token_count:.2f}',
        str(result.times.failed),
        f'{hop.core_ratio:.3f}',
        f'{hop.used_s / token_count * 1e6:.1f} '
        f'({hop.system_s / token_count * 1e6:.1f})',
        f'{sidecar.core_ratio:.3f}',
        f'{sidecar.used_s / token_count * 1e6 * ENGINE_COUNT:.1f}',
        f'{hop.memory_bytes / 1e6:.0f}',
        f'{sidecar.memory_bytes / 1e6:.0f}',
    )
    other = result.costs.get('sidecar against')
    if other:
        yield (
            *[''] * 8,
            f'{other.core_ratio:.3f}',
            f'{other.used_s / token_count * 1e6 * ENGINE_COUNT:.1f}',
        )


def _difference(scale, results):
    path, direct = results['path'], results['direct']
    cells = []
    for field in ('first_token_s', 'gap_s'):
        ours, theirs = (
            r.percentile_ms(getattr(r.times, field), 95)
            for r in (path, direct)
        )
        cells.append(f'p95 +{ours - theirs:.2f} (x{ours / theirs:.2f})')
    return (f'{scale:g}', 'path - direct', *cells)


@click.command()
@click.option('--generate', default='', hidden=True)
@click.option('--output', type=click.Path(path_type=pathlib.Path), hidden=True)
@click.option('--duration-s', default=20.0, show_default=True)
@click.option('--scale', 'scales', multiple=True, type=float)
@click.option('--against', type=click.Path(exists=True, file_okay=False))
@click.option('--relays', is_flag=True)
@click.option(
    '--tokens',
    'tokens_per_answer',
    default=TOKENS_PER_ANSWER,
    show_default=True,
)
def main(
    generate, output, duration_s, scales, against, relays, tokens_per_answer
):
    """Measure the path at one entry's share of the load and at ten times it.

    With --against FOLDER, an entry and every second sidecar run the code
    of that folder, and are measured in turns with the others.  With
    --relays, hops that only relay are measured as well.
    """
    if generate:
        load = msgspec.json.decode(generate, type=Load)
        times = uvloop.run(Generator(load).run())
        output.write_bytes(msgspec.json.encode(times))
        return
    options = Options(
        duration_s, scales or (1.0, 10.0), against, relays, tokens_per_answer
    )
    uvloop.run(run_bench(options))


if __name__ == '__main__':
    main()
