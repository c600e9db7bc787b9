"""What the account costs: time for each answer, bytes, and memory.

Run ``python -m benchmarks.account``; the figures of time are ratios
within this run, since machines differ and are shared.
"""

import asyncio
import pathlib
import tempfile
import time
import tracemalloc

import msgspec
import numpy
import psutil
import structlog

from lacewingpitch import account as account_module
from lacewingpitch import clock
from lacewingpitch import contract
from lacewingpitch import report_page
from tests import account_fleet
from tests import processes

CUSTOMERS = 36_000
SHARE_PER_S = 14
TOKENS = 243
ANSWERS = 60
SIMULATED_S = 900
NODE_RATIO = 0.024
NODE_BYTES_PER_S = 4096
SEED = 20261202


def play(account, customer, tokens):
    """Count one streamed answer."""
    with account.track_request('id') as tally:
        account.identify(tally, customer)
        tally.record_load_stall('0.25')
        for _ in range(tokens):
            tally.record_events(1)
        tally.record_delivery()


def counting_s(count=300):
    """Return the processor time of counting one answer."""
    account = account_module.Account(
        account_module.AccountId('e', 'i', 'z', 0.0), clock.SystemClock()
    )
    customer = contract.Contract(customer='c', revision=1, key_digests=())
    started_s = time.process_time()
    for _ in range(count):
        play(account, customer, TOKENS)
    return (time.process_time() - started_s) / count


async def answering_s():
    """Return a real entry's processor time for one streamed answer."""
    folder = pathlib.Path(tempfile.mkdtemp())
    async with processes.Deployment(folder) as deployment:
        await deployment.add_engine()
        entry = await deployment.add_entry()
        deployment.add_customer('haneul', 'ficus')
        await deployment.publish()

        async def call():
            async with deployment.call(
                entry, 'haneul', 'ficus', stream=True, max_tokens=TOKENS
            ) as response:
                assert response.status == 200
                await response.read()

        await call()
        process = psutil.Process(entry._process.pid)
        before = process.cpu_times()
        for _ in range(ANSWERS // 4):
            await asyncio.gather(*(call() for _ in range(4)))
        after = process.cpu_times()
        used_s = after.user + after.system - before.user - before.system
        return used_s / ANSWERS


def customers_by_zipf(random, count):
    """Return customers, a few hot and a long tail."""
    ranks = random.zipf(1.2, size=4 * count)
    return [int(rank) for rank in ranks if rank <= CUSTOMERS][:count]


async def copying(per_s):
    """Return bytes and messages a second, the lag and the time used."""
    random = numpy.random.default_rng(SEED)
    fleet = account_fleet.Fleet(3)
    entry = fleet.entries['entry-0']
    contracts = [
        contract.Contract(customer=f'customer-{n}', revision=1, key_digests=())
        for n in range(CUSTOMERS + 1)
    ]
    interval_s = 2
    calls = iter(customers_by_zipf(random, SIMULATED_S * per_s))
    used_s = 0.0
    oldest_s = 0.0
    for _ in range(SIMULATED_S // interval_s):
        for _ in range(interval_s * per_s):
            play(entry.account, contracts[next(calls)], 8)
        fleet.clock.now_s += interval_s
        started_s = time.process_time()
        await entry.copier.copy_once()
        used_s += time.process_time() - started_s
        oldest_s = max(oldest_s, entry.copier.age_s())
    return (
        entry.copier.sent_bytes / SIMULATED_S,
        entry.copier.sent_count / SIMULATED_S,
        oldest_s,
        used_s / SIMULATED_S,
    )


def memory_bytes():
    """Return bytes for a customer's row, active and packed."""
    account = account_module.Account(
        account_module.AccountId('e', 'i', 'z', 0.0), clock.SystemClock()
    )
    contracts = [
        contract.Contract(customer=f'customer-{n}', revision=1, key_digests=())
        for n in range(4000)
    ]
    tracemalloc.start()
    for customer in contracts:
        for _ in range(3):
            play(account, customer, 8)
    account.pop_changes()
    active = tracemalloc.get_traced_memory()[0] / len(contracts)
    for _ in range(4):
        account.sweep(len(contracts))
    packed = tracemalloc.get_traced_memory()[0] / len(contracts)
    tracemalloc.stop()
    return active, packed


async def reporting():
    """Return the time of a report of all customers: read, and draw."""
    fleet = account_fleet.Fleet(3)
    entry = fleet.entries['entry-1']
    for number in range(CUSTOMERS):
        customer = contract.Contract(
            customer=f'customer-{number}', revision=1, key_digests=()
        )
        play(entry.account, customer, 4)
    started_s = time.perf_counter()
    reporter = fleet.entries['entry-0'].reporter
    report = await reporter.assemble(limit=report_page.MAX_CUSTOMERS)
    read_s = time.perf_counter() - started_s
    started_s = time.perf_counter()
    page = report_page.render(report)
    draw_s = time.perf_counter() - started_s
    started_s = time.perf_counter()
    data = msgspec.json.encode(await reporter.assemble())
    json_s = time.perf_counter() - started_s
    return read_s, draw_s, len(page), json_s, len(data)


async def main():
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(40)
    )
    count_s = counting_s()
    answer_s = await answering_s()
    print(
        f'counting one answer of {TOKENS} tokens: {count_s * 1e6:.0f} us,'
        f" {count_s / answer_s:.3f} of the entry's processor time for it"
    )
    for per_s in (SHARE_PER_S, 10 * SHARE_PER_S):
        sent, messages, lag_s, used = await copying(per_s)
        print(
            f'copies at {per_s} requests/s: {sent:.0f} bytes/s'
            f" ({sent / NODE_BYTES_PER_S:.2f} of a node's), {messages:.1f}"
            f' messages/s, oldest uncopied {lag_s:.0f} s, processor'
            f" {used / NODE_RATIO:.2f} of a node's 2.4% (links left out)"
        )
    active, packed = memory_bytes()
    print(
        f'row of a customer: {active:.0f} bytes active, {packed:.0f} idle;'
        f' {CUSTOMERS} customers: {active * CUSTOMERS / 2**20:.0f} MB and'
        f' {packed * CUSTOMERS / 2**20:.0f} MB'
    )
    read_s, draw_s, page, json_s, data = await reporting()
    print(
        f'report of {CUSTOMERS} customers: read {read_s:.1f} s, drawn'
        f' {draw_s:.2f} s, page {page >> 10} KB; as JSON {json_s:.1f} s,'
        f' {data >> 20} MB'
    )


if __name__ == '__main__':
    asyncio.run(main())
