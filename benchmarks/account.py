"""Costs of the account: time per answer, bytes sent, and memory.

Run ``python -m benchmarks.account``.  Times are given as ratios within one
run, since machines differ and are shared.
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

CUSTOMER_COUNT = 36_000
REQUESTS_PER_S = 14
TOKEN_COUNT = 243
ANSWER_COUNT = 60
SIMULATED_S = 900
NODE_CPU_RATIO = 0.024
NODE_BYTES_PER_S = 4096
SEED = 20261202


def count_answer(account, customer, tokens):
    """Account for one streamed answer."""
    with account.track_request('id') as tally:
        account.identify(tally, customer)
        tally.record_load_stall('0.25')
        for _ in range(tokens):
            tally.record_events(1)
        tally.record_delivery()


def measure_count_s(count=300):
    """Return the processor time to account for one answer, in seconds."""
    account = account_module.Account(
        account_module.AccountId('e', 'i', 'z', 0.0), clock.SystemClock()
    )
    customer = contract.Contract(customer='c', revision=1, key_digests=())
    started_s = time.process_time()
    for _ in range(count):
        count_answer(account, customer, TOKEN_COUNT)
    return (time.process_time() - started_s) / count


async def measure_answer_s():
    """Return a real entry's processor time per streamed answer, in seconds."""
    folder = pathlib.Path(tempfile.mkdtemp())
    async with processes.Deployment(folder) as deployment:
        await deployment.add_engine()
        entry = await deployment.add_entry()
        deployment.add_customer('haneul', 'ficus')
        await deployment.publish()

        async def call():
            async with deployment.call(
                entry, 'haneul', 'ficus', stream=True, max_tokens=TOKEN_COUNT
            ) as response:
                assert response.status == 200
                await response.read()

        await call()
        process = psutil.Process(entry._process.pid)
        before = process.cpu_times()
        for _ in range(ANSWER_COUNT // 4):
            await asyncio.gather(*(call() for _ in range(4)))
        after = process.cpu_times()
        used_s = after.user + after.system - before.user - before.system
        return used_s / ANSWER_COUNT


def customers_by_zipf(random, count):
    """Return customer numbers: a few frequent ones and a long tail."""
    ranks = random.zipf(1.2, size=4 * count)
    return [int(rank) for rank in ranks if rank <= CUSTOMER_COUNT][:count]


async def measure_copies(per_s):
    """Return bytes and messages per second, the lag and the processor time."""
    random = numpy.random.default_rng(SEED)
    fleet = account_fleet.Fleet(3)
    entry = fleet.entries['entry-0']
    contracts = [
        contract.Contract(customer=f'customer-{n}', revision=1, key_digests=())
        for n in range(CUSTOMER_COUNT + 1)
    ]
    interval_s = 2
    calls = iter(customers_by_zipf(random, SIMULATED_S * per_s))
    used_s = 0.0
    oldest_s = 0.0
    for _ in range(SIMULATED_S // interval_s):
        for _ in range(interval_s * per_s):
            count_answer(entry.account, contracts[next(calls)], 8)
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


def measure_row_bytes():
    """Return the bytes of a customer's row, active and packed."""
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
            count_answer(account, customer, 8)
    account.pop_changes()
    active = tracemalloc.get_traced_memory()[0] / len(contracts)
    for _ in range(4):
        account.sweep(len(contracts))
    packed = tracemalloc.get_traced_memory()[0] / len(contracts)
    tracemalloc.stop()
    return active, packed


async def measure_report():
    """Return the times and sizes of a report of all customers."""
    fleet = account_fleet.Fleet(3)
    entry = fleet.entries['entry-1']
    for number in range(CUSTOMER_COUNT):
        customer = contract.Contract(
            customer=f'customer-{number}', revision=1, key_digests=()
        )
        count_answer(entry.account, customer, 4)
    started_s = time.perf_counter()
    reporter = fleet.entries['entry-0'].reporter
    report = await reporter.assemble(limit=report_page.MAX_CUSTOMERS)
    read_s = time.perf_counter() - started_s
    started_s = time.perf_counter()
    page = report_page.render(report)
    render_s = time.perf_counter() - started_s
    started_s = time.perf_counter()
    data = msgspec.json.encode(await reporter.assemble())
    json_s = time.perf_counter() - started_s
    return read_s, render_s, len(page), json_s, len(data)


async def main():
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(40)
    )
    count_s = measure_count_s()
    answer_s = await measure_answer_s()
    print(
        f'counting one answer of {TOKEN_COUNT} tokens: {count_s * 1e6:.0f} us,'
        f" {count_s / answer_s:.3f} of the entry's processor time for it"
    )
    for per_s in (REQUESTS_PER_S, 10 * REQUESTS_PER_S):
        sent, messages, lag_s, used = await measure_copies(per_s)
        print(
            f'copies at {per_s} requests/s: {sent:.0f} bytes/s'
            f" ({sent / NODE_BYTES_PER_S:.2f} of a node's), {messages:.1f}"
            f' messages/s, oldest uncopied {lag_s:.0f} s, processor'
            f" {used / NODE_CPU_RATIO:.2f} of a node's 2.4% (links left out)"
        )
    active, packed = measure_row_bytes()
    print(
        f'row of a customer: {active:.0f} bytes active, {packed:.0f} idle;'
        f' {CUSTOMER_COUNT} customers:'
        f' {active * CUSTOMER_COUNT / 2**20:.0f} MB and'
        f' {packed * CUSTOMER_COUNT / 2**20:.0f} MB'
    )
    read_s, render_s, page, json_s, data = await measure_report()
    print(
        f'report of {CUSTOMER_COUNT} customers: read {read_s:.1f} s, drawn'
        f' {render_s:.2f} s, page {page >> 10} KB; as JSON {json_s:.1f} s,'
        f' {data >> 20} MB'
    )


if __name__ == '__main__':
    asyncio.run(main())
