"""What the path costs: through entry and sidecar against the engine alone.

Run ``python -m benchmarks.path`` (``make bench``).  Both ways are measured
in one run, with real processes, and every time is also given as a ratio.
"""

import asyncio
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

from lacewingpitch import contract
from tests import processes

ENGINE_COUNT = 8
TOKENS_PER_ANSWER = 243
TOKEN_S = 0.02
SHARE_REQUESTS_PER_S = 14.0
WARM_UP_S = 4.0
ADAPTERS = tuple(f'adapter-{number}' for number in range(16))


class Target(msgspec.Struct, frozen=True):
    """Where a load goes, and as whom."""

    urls: tuple[str, ...]
    models: tuple[str, ...]
    headers: dict[str, str]


class Load(msgspec.Struct, frozen=True):
    """A constant rate of streamed completions for a while."""

    target: Target
    requests_per_s: float
    duration_s: float


class Times(msgspec.Struct):
    """What one load generator saw, in seconds."""

    first_token_s: list[float]
    gap_s: list[float]
    failed: int = 0


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
                'max_tokens': TOKENS_PER_ANSWER,
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
    """What a process used while a load ran."""

    core_ratio: float
    memory_bytes: int


@dataclasses.dataclass(frozen=True)
class Result:
    """One load on one way."""

    times: Times
    costs: dict[str, Cost]

    def percentile_ms(self, values, q):
        return float(numpy.percentile(values, q)) * 1000 if values else 0.0


async def measure(load, watched, generator_count, folder):
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
    await asyncio.sleep(WARM_UP_S)
    before = {n: _cpu_s(p) for n, p in watched.items()}
    started_s = time.monotonic()
    await asyncio.sleep(load.duration_s - WARM_UP_S)
    elapsed_s = time.monotonic() - started_s
    costs = {
        name: Cost(
            (_cpu_s(process) - before[name]) / elapsed_s,
            psutil.Process(process.pid).memory_info().rss,
        )
        for name, process in watched.items()
    }
    times = Times([], [])
    for process, output in zip(running, outputs, strict=True):
        await process.wait()
        part = msgspec.json.decode(output.read_bytes(), type=Times)
        times.first_token_s += part.first_token_s
        times.gap_s += part.gap_s
        times.failed += part.failed
    return Result(times, costs)


def _cpu_s(process):
    used = psutil.Process(process.pid).cpu_times()
    return used.user + used.system


async def build(deployment):
    """Start engines of one model each, so that all get the same load."""
    for number in range(ENGINE_COUNT):
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
    await deployment.add_entry()
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


def targets(deployment):
    """Return both ways by name."""
    entry = deployment.entries[0]
    path = '/v1/chat/completions'
    return {
        'direct': Target(
            urls=tuple(e.url + path for e in deployment.engines),
            models=tuple(g.engine_name for g in _grants()),
            headers={'X-Fencing': '0'},
        ),
        'path': Target(
            urls=(entry.url + path,),
            models=ADAPTERS,
            headers={'Authorization': f'Bearer {deployment.keys["bench"]}'},
        ),
    }


async def run_bench(duration_s, scales):
    """Measure both ways at each scale and print a table."""
    table = rich.table.Table(
        'scale',
        'way',
        'first token p50/p95 ms',
        'gap p50/p95 ms',
        'tokens/s',
        'failed',
        'entry core',
        'sidecar core',
        'entry MB',
        'sidecar MB',
    )
    with tempfile.TemporaryDirectory() as folder:
        async with processes.Deployment(pathlib.Path(folder)) as deployment:
            await build(deployment)
            watched = {
                'entry': deployment.entries[0],
                'sidecar': deployment.sidecars[0],
            }
            for scale in scales:
                results = {}
                ways = targets(deployment)
                for way in ('path', 'direct'):
                    load = Load(
                        ways[way], SHARE_REQUESTS_PER_S * scale, duration_s
                    )
                    results[way] = await measure(
                        load,
                        watched,
                        1 if scale < 3 else 6,
                        pathlib.Path(folder),
                    )
                for way, result in results.items():
                    table.add_row(*_row(scale, way, result, duration_s))
                table.add_row(*_difference(scale, results))
    rich.console.Console(width=150).print(table)


def _row(scale, way, result, duration_s):
    first, gap = result.times.first_token_s, result.times.gap_s
    entry, sidecar = result.costs['entry'], result.costs['sidecar']
    return (
        f'{scale:g}',
        way,
        f'{result.percentile_ms(first, 50):.1f} / '
        f'{result.percentile_ms(first, 95):.1f}',
        f'{result.percentile_ms(gap, 50):.2f} / '
        f'{result.percentile_ms(gap, 95):.2f}',
        f'{len(gap) / duration_s:.0f}',
        str(result.times.failed),
        f'{entry.core_ratio:.3f}',
        f'{sidecar.core_ratio:.3f}',
        f'{entry.memory_bytes / 1e6:.0f}',
        f'{sidecar.memory_bytes / 1e6:.0f}',
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
def main(generate, output, duration_s, scales):
    """Measure the path at an entry's share and at ten times that."""
    if generate:
        load = msgspec.json.decode(generate, type=Load)
        times = uvloop.run(Generator(load).run())
        output.write_bytes(msgspec.json.encode(times))
        return
    uvloop.run(run_bench(duration_s, scales or (1.0, 10.0)))


if __name__ == '__main__':
    main()
