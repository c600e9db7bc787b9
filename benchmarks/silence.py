"""Success and latency of requests while one sidecar of three is frozen.

Run ``python -m benchmarks.silence``.  It starts real processes: one entry,
and three sidecars with stand-in engines.  Repeatable requests arrive at a
constant rate, a third of them streamed; a sidecar is frozen for some time
in the middle.  For the requests that began in this time it prints how many
were served, how long the first byte took, and the runs per request.
"""

import asyncio
import pathlib
import statistics
import tempfile
import time

import aiohttp
import click

from lacewingpitch import work
from tests import processes

ADAPTERS = ('fern', 'moss', 'aloe')
CUSTOMER = 'again'
TOKENS = 10
DEADLINE_S = 15.0
WARM_UP_S = 4.0
FROZEN_S = 8.0
AFTER_S = 2.0


class Caller:
    """Sends requests and records their outcomes."""

    def __init__(self, deployment):
        self._deployment = deployment
        self.started_at_s = []
        self.waits_s = []
        self.outcomes = []

    async def send(self, number):
        index = len(self.started_at_s)
        started_at_s = time.monotonic()
        self.started_at_s.append(started_at_s)
        self.waits_s.append(None)
        self.outcomes.append('lost')
        try:
            async with self._deployment.call(
                self._deployment.entries[0],
                CUSTOMER,
                ADAPTERS[number % len(ADAPTERS)],
                stream=number % 3 == 0,
                max_tokens=TOKENS,
                user=str(number),
            ) as response:
                await response.content.readany()
                self.waits_s[index] = time.monotonic() - started_at_s
                await response.read()
                self.outcomes[index] = response.headers.get(
                    work.OUTCOME_HEADER, 'served'
                )
        except aiohttp.ClientError:
            pass


async def runs(deployment):
    records = [await deployment.engine_record(e) for e in deployment.engines]
    return sum(len(record.runs) for record in records)


async def measure(rate_per_s):
    with tempfile.TemporaryDirectory() as folder:
        async with processes.Deployment(pathlib.Path(folder)) as deployment:
            for _ in range(3):
                await deployment.add_engine('--token-s', '0.02')
            await deployment.add_entry()
            deployment.add_customer(
                CUSTOMER,
                *ADAPTERS,
                deadline_s=DEADLINE_S,
                limits=processes.WIDE_LIMITS,
            )
            await deployment.publish()
            caller = Caller(deployment)
            pending = []
            started_at_s = time.monotonic()
            frozen_s = resumed_s = 0.0
            end_s = WARM_UP_S + FROZEN_S + AFTER_S
            while (now_s := time.monotonic() - started_at_s) < end_s:
                if not frozen_s and now_s >= WARM_UP_S:
                    deployment.sidecars[0].freeze()
                    frozen_s = time.monotonic()
                if not resumed_s and now_s >= WARM_UP_S + FROZEN_S:
                    deployment.sidecars[0].resume()
                    resumed_s = time.monotonic()
                pending.append(asyncio.create_task(caller.send(len(pending))))
                await asyncio.sleep(1 / rate_per_s)
            await asyncio.gather(*pending)
            show(caller, frozen_s, resumed_s, await runs(deployment))


def show(caller, frozen_s, resumed_s, run_count):
    found = [
        n
        for n, s in enumerate(caller.started_at_s)
        if frozen_s <= s < resumed_s
    ]
    served = [n for n in found if caller.outcomes[n] == 'served']
    waits_s = [caller.waits_s[n] for n in served]
    p95_s = statistics.quantiles(waits_s, n=20)[-1]
    slow_count = sum(wait_s > 1.0 for wait_s in waits_s)
    print(f'requests while frozen     {len(found)}')
    print(f'served                    {len(served) / len(found):.3f}')
    print(f'over 1 s to first byte    {slow_count / len(found):.3f}')
    print(f'p95, worst first byte s   {p95_s:.2f} {max(waits_s):.2f}')
    print(
        f'runs per request, whole   {run_count / len(caller.started_at_s):.3f}'
    )


@click.command()
@click.option('--rate-per-s', default=20.0, show_default=True)
def main(rate_per_s):
    asyncio.run(measure(rate_per_s))


if __name__ == '__main__':
    main()
