"""What callers meet while one sidecar of three is frozen.

Run ``python -m benchmarks.silence``.  Real processes: one entry, three
sidecars with stand-in engines.  Requests that may run twice come at a
steady rate, a third of them streamed; a sidecar is frozen for a while in
the middle.  Of the requests that began meanwhile it prints how many were
served, how long the first byte took, and the runs per request.
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
WARM_S = 4.0
FROZEN_S = 8.0
CALM_S = 2.0


class Caller:
    """Sends requests and keeps what became of each."""

    def __init__(self, deployment):
        self._deployment = deployment
        self.began_s = []
        self.waits_s = []
        self.outcomes = []

    async def ask(self, number):
        index = len(self.began_s)
        began_s = time.monotonic()
        self.began_s.append(began_s)
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
                self.waits_s[index] = time.monotonic() - began_s
                await response.read()
                self.outcomes[index] = response.headers.get(
                    work.OUTCOME_HEADER, 'served'
                )
        except aiohttp.ClientError:
            pass


async def runs(deployment):
    truths = [await deployment.engine_record(e) for e in deployment.engines]
    return sum(len(truth.runs) for truth in truths)


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
            asking = []
            began_s = time.monotonic()
            frozen_s = woken_s = 0.0
            end_s = WARM_S + FROZEN_S + CALM_S
            while (now_s := time.monotonic() - began_s) < end_s:
                if not frozen_s and now_s >= WARM_S:
                    deployment.sidecars[0].freeze()
                    frozen_s = time.monotonic()
                if not woken_s and now_s >= WARM_S + FROZEN_S:
                    deployment.sidecars[0].resume()
                    woken_s = time.monotonic()
                asking.append(asyncio.create_task(caller.ask(len(asking))))
                await asyncio.sleep(1 / rate_per_s)
            await asyncio.gather(*asking)
            show(caller, frozen_s, woken_s, await runs(deployment))


def show(caller, frozen_s, woken_s, run_count):
    found = [
        n for n, s in enumerate(caller.began_s) if frozen_s <= s < woken_s
    ]
    served = [n for n in found if caller.outcomes[n] == 'served']
    waits_s = [caller.waits_s[n] for n in served]
    p95_s = statistics.quantiles(waits_s, n=20)[-1]
    slow_count = sum(wait_s > 1.0 for wait_s in waits_s)
    print(f'requests while frozen     {len(found)}')
    print(f'served                    {len(served) / len(found):.3f}')
    print(f'over 1 s to first byte    {slow_count / len(found):.3f}')
    print(f'p95, worst first byte s   {p95_s:.2f} {max(waits_s):.2f}')
    print(f'runs per request, whole   {run_count / len(caller.began_s):.3f}')


@click.command()
@click.option('--rate-per-s', default=20.0, show_default=True)
def main(rate_per_s):
    asyncio.run(measure(rate_per_s))


if __name__ == '__main__':
    main()
