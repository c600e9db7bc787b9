"""Queue disciplines for turns, and strategies for turns and adapter slots.

Run ``python -m benchmarks.order`` (``--seeds 3`` for more seeds).  The
real queue, disciplines and adapter slots run in virtual time with a
stand-in engine; figures are means over the seeds.
"""

import asyncio
import collections
import contextlib
import dataclasses
import random
import statistics
import time

import click

from benchmarks import order_baselines
from benchmarks import virtual_time
from lacewingpitch import contract
from lacewingpitch import errors
from lacewingpitch import fair_queue
from lacewingpitch import fence
from lacewingpitch import slots
from lacewingpitch import turn_queue
from lacewingpitch import work

TURN_COUNT = 8
TOKEN_S = 0.02
DURATION_S = 120.0
SLOT_COUNT = 4
MAX_QUEUED = 1024
CAPACITY_TOKENS_PER_S = TURN_COUNT / TOKEN_S
Urgency = contract.Urgency


@dataclasses.dataclass
class Customer:
    """One customer's demand; `load` is a share of the capacity."""

    name: str
    load: float
    tokens: int = 50
    weight: float = 1.0
    urgency: contract.Urgency = Urgency.STANDARD
    deadline_s: float = 15.0
    burst_count: int = 0
    adapters: int = 1
    is_over: bool = False


def steady():
    return [Customer(f'c{n}', 0.2) for n in range(4)]


def overload():
    return [Customer('hog', 2.0, is_over=True)] + [
        Customer(f'c{n}', 0.2) for n in range(3)
    ]


def burst():
    others = [Customer(f'c{n}', 0.2) for n in range(3)]
    return [Customer('burst', 0.05, burst_count=300, is_over=True), *others]


def urgencies():
    return [
        Customer('urgent', 0.3, urgency=Urgency.INTERACTIVE, deadline_s=5.0),
        Customer('usual', 0.5),
        Customer('batch', 0.8, urgency=Urgency.BATCH, deadline_s=60.0),
    ]


def urgent_overload():
    return [
        Customer('urgent', 1.5, urgency=Urgency.INTERACTIVE, deadline_s=5.0),
        Customer('usual', 0.5),
        Customer('batch', 0.5, urgency=Urgency.BATCH, deadline_s=60.0),
    ]


def lengths():
    return [
        Customer('short', 0.8, tokens=10),
        Customer('long', 0.8, tokens=400, deadline_s=60.0),
    ]


def many_light():
    light = [
        Customer(f'u{n}', 0.01, urgency=Urgency.INTERACTIVE, deadline_s=10.0)
        for n in range(120)
    ]
    batch = Customer('batch', 0.1, urgency=Urgency.BATCH, deadline_s=60.0)
    return [*light, batch]


def weights():
    return [
        Customer(f'w{weight}', 1.0, weight=weight, deadline_s=30.0)
        for weight in (1, 2, 4)
    ]


def adapters():
    return [
        Customer('hog', 0.9, adapters=3, is_over=True),
        *[Customer(f'c{n}', 0.15, adapters=2) for n in range(4)],
    ]


WORKLOADS = (
    steady,
    overload,
    burst,
    urgencies,
    urgent_overload,
    many_light,
    lengths,
    weights,
)


@dataclasses.dataclass
class Request:
    """One request and its outcome."""

    customer: Customer
    order: work.WorkOrder
    at_s: float
    tokens: int
    wait_s: float | None = None
    stall_s: float = 0.0
    refused_after_s: float | None = None
    kind: errors.ErrorKind | None = None


def make_requests(customers, seed):
    rng = random.Random(seed)
    found = []
    for customer in customers:
        rate = customer.load * CAPACITY_TOKENS_PER_S / customer.tokens
        at_s = rng.expovariate(rate)
        while at_s < DURATION_S:
            found.append(_request(customer, at_s, rng))
            at_s += rng.expovariate(rate)
        for _ in range(customer.burst_count):
            found.append(_request(customer, DURATION_S / 4, rng))
    found.sort(key=lambda request: request.at_s)
    return found


def _request(customer, at_s, rng):
    number = int(rng.paretovariate(1.2)) % customer.adapters
    return Request(
        customer,
        work.WorkOrder(
            request_id=str(rng.random()),
            attempt=1,
            customer=customer.name,
            contract_revision=1,
            urgency=customer.urgency,
            weight=customer.weight,
            deadline_s=customer.deadline_s,
            method='POST',
            path='/',
            repeatable=True,
            adapter=contract.AdapterGrant(
                name=f'{customer.name}-{number}',
                version='1',
                base_model='base',
            ),
            max_tokens=2 * customer.tokens,
            queued_requests=256,
        ),
        at_s,
        max(1, round(rng.gammavariate(4, customer.tokens / 4))),
    )


class Semaphore:
    """A plain semaphore: FIFO, with waits until the deadline."""

    def __init__(self):
        self._semaphore = asyncio.Semaphore(TURN_COUNT)

    @contextlib.asynccontextmanager
    async def reserve(self, _order):
        yield self

    @contextlib.asynccontextmanager
    async def turn(self):
        async with self._semaphore:
            yield


def queue_factory(make_discipline, lookahead_count=0):
    def make():
        clock = virtual_time.LoopClock()
        return turn_queue.TurnQueue(
            TURN_COUNT,
            lookahead_count,
            MAX_QUEUED,
            make_discipline(clock),
            clock,
        )

    return make


def no_leads():
    return dict.fromkeys(Urgency, 0.0)


def leads(scale):
    return {u: s * scale for u, s in fair_queue.URGENCY_LEADS_S.items()}


def fair(leads_s, **fields):
    return queue_factory(
        lambda clock: fair_queue.FairQueue(
            TURN_COUNT, lambda order: True, clock, leads_s, **fields
        )
    )


POLICIES = {
    'fifo': queue_factory(lambda clock: order_baselines.FifoQueue()),
    'semaphore': Semaphore,
    'urgency': queue_factory(lambda clock: order_baselines.UrgencyQueue()),
    'urgency+aging': queue_factory(
        lambda clock: order_baselines.UrgencyQueue(5.0)
    ),
    'fair': fair(no_leads()),
    'fair+lead/4': fair(leads(0.25)),
    'fair+lead': fair(leads(1.0)),
    'fair+lead, aging 0.5': fair(leads(1.0), aging_ratio=0.5),
    'fair+lead, no aging': fair(leads(1.0), aging_ratio=2.0),
    'deficit': queue_factory(
        lambda clock: order_baselines.DeficitQueue(clock, TURN_COUNT)
    ),
    'deficit, weight': queue_factory(
        lambda clock: order_baselines.DeficitQueue(
            clock, TURN_COUNT, doubles=False
        )
    ),
}


async def send_requests(requests, make_gate, make_run):
    """Send the requests; return the virtual time when all have ended."""
    gate = make_gate()
    loop = asyncio.get_running_loop()
    async with asyncio.TaskGroup() as tasks:
        for request in requests:
            await asyncio.sleep(request.at_s - loop.time())
            tasks.create_task(serve(request, gate, make_run))
    return loop.time()


async def serve(request, gate, run):
    loop = asyncio.get_running_loop()
    try:
        async with contextlib.AsyncExitStack() as held:
            async with asyncio.timeout(request.order.deadline_s):
                await run.prepare(held, gate, request)
            request.wait_s = loop.time() - request.at_s
            await run.work(request)
    except errors.RefusalError as error:
        request.kind = error.kind
        request.refused_after_s = loop.time() - request.at_s
    except TimeoutError:
        request.kind = errors.ErrorKind.DEADLINE_UNREACHABLE
        request.refused_after_s = loop.time() - request.at_s


class TurnsOnly:
    """Requests that need only a turn."""

    async def prepare(self, held, gate, request):
        reservation = await held.enter_async_context(
            gate.reserve(request.order)
        )
        await held.enter_async_context(reservation.turn())

    async def work(self, request):
        await asyncio.sleep(request.tokens * TOKEN_S)


def fair_shares(requests):
    """Return each customer's tokens under max-min fair sharing."""
    left = CAPACITY_TOKENS_PER_S * DURATION_S
    demand = collections.Counter()
    weight = {}
    for request in requests:
        demand[request.customer.name] += request.tokens
        weight[request.customer.name] = request.customer.weight
    found = {}
    for name in sorted(demand, key=lambda n: demand[n] / weight[n]):
        found[name] = min(
            demand[name], left * weight[name] / total_weight(weight)
        )
        left -= found[name]
        del weight[name]
    return found


def total_weight(weight):
    return sum(weight.values())


def jain(values):
    return sum(values) ** 2 / (len(values) * sum(v * v for v in values))


def percentile(values, ratio):
    values = sorted(values)
    return values[min(len(values) - 1, int(ratio * len(values)))]


def waits_of_urgency(requests, urgency):
    return [
        r.wait_s
        for r in requests
        if r.wait_s is not None and r.customer.urgency is urgency
    ]


def measure(requests):
    """Return the figures of one run, by name."""
    served = collections.Counter()
    for request in requests:
        if request.wait_s is not None:
            served[request.customer.name] += request.tokens
    ideal = fair_shares(requests)
    refused = [r for r in requests if r.refused_after_s is not None]
    late = [r for r in refused if r.kind is not errors.ErrorKind.QUEUE_FULL]
    row = {
        'jain': jain([served[n] / ideal[n] for n in ideal]),
        'least share': min(served[n] / ideal[n] for n in ideal),
        'refused': len(refused) / len(requests),
        'others refused': sum(not r.customer.is_over for r in refused)
        / sum(not r.customer.is_over for r in requests),
        'refused after s': statistics.mean(
            [r.refused_after_s for r in late] or [0.0]
        ),
        'held to deadline': sum(
            r.refused_after_s >= 0.99 * r.order.deadline_s for r in late
        )
        / len(requests),
        'longest wait': max(
            (r.wait_s for r in requests if r.wait_s is not None), default=0.0
        ),
        'turn use': sum(map(turn_time_in_run_s, requests))
        / (DURATION_S * TURN_COUNT),
    }
    for urgency in Urgency:
        found = waits_of_urgency(requests, urgency)
        for ratio in (0.5, 0.95, 0.99):
            if found:
                label = f'{urgency.value[:4]} p{round(100 * ratio)}'
                row[label] = percentile(found, ratio)
    return row


def turn_time_in_run_s(request):
    if request.wait_s is None:
        return 0.0
    started_s = request.at_s + request.wait_s
    ended_s = started_s + request.tokens * TOKEN_S
    return max(0.0, min(ended_s, DURATION_S) - started_s)


def mean_row(rows):
    return {name: statistics.mean(r[name] for r in rows) for name in rows[0]}


def order_row(workload, policy, seeds):
    rows = []
    for seed in range(seeds):
        requests = make_requests(workload(), seed)
        virtual_time.run(
            send_requests(requests, POLICIES[policy], TurnsOnly())
        )
        rows.append(measure(requests))
    return mean_row(rows)


class SlowStore:
    """An engine with a constant load time, which never fails."""

    load_s = 0.5

    async def load_adapter(self, name, fencing):
        await asyncio.sleep(self.load_s)

    async def evict_adapter(self, name, fencing):
        pass


class TurnsAndSlots:
    """Requests that need a turn and an adapter."""

    def __init__(self, *, adapter_first=False):
        clock = virtual_time.LoopClock()
        self._slots = slots.AdapterSlots(
            SlowStore(), SLOT_COUNT, fence.Fence(clock), clock
        )
        self._adapter_first = adapter_first
        self.busy_s = 0.0

    def holds(self, order):
        return self._slots.holds(order.adapter.engine_name)

    async def prepare(self, held, gate, request):
        if self._adapter_first:
            await self._hold(held, request)
        reservation = await held.enter_async_context(
            gate.reserve(request.order)
        )
        if not self._adapter_first:
            await self._hold(held, request)
        await held.enter_async_context(reservation.turn())

    async def _hold(self, held, request):
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        name = request.order.adapter.engine_name
        await held.enter_async_context(
            self._slots.hold(name, request.order.deadline_s)
        )
        request.stall_s = loop.time() - started_s

    async def work(self, request):
        used_s = request.tokens * TOKEN_S
        await asyncio.sleep(used_s)
        self.busy_s += used_s


@dataclasses.dataclass
class Strategy:
    """One strategy to combine turns and adapter slots."""

    lookahead: int = 0
    adapter_first: bool = False
    held_lead_s: float = 0.0


STRATEGIES = {
    'adapter first': Strategy(adapter_first=True),
    'turn first': Strategy(),
    'turn first, 8 ahead': Strategy(8),
    'held lead 1 s': Strategy(held_lead_s=1.0),
    'held lead 1 s, 4 ahead': Strategy(4, held_lead_s=1.0),
    'held lead 1 s, 8 ahead': Strategy(8, held_lead_s=1.0),
    'held lead 1 s, 16 ahead': Strategy(16, held_lead_s=1.0),
    'held lead 4 s, 8 ahead': Strategy(8, held_lead_s=4.0),
}


def slots_row(strategy, seeds):
    rows = []
    for seed in range(seeds):
        requests = make_requests(adapters(), seed)
        run, took_s = virtual_time.run(
            send_requests_with_slots(strategy, requests)
        )
        served = [r for r in requests if r.wait_s is not None]
        row = measure(requests)
        row['batch efficiency'] = run.busy_s / (took_s * TURN_COUNT)
        row['stall s'] = statistics.mean(r.stall_s for r in served)
        rows.append(row)
    return mean_row(rows)


async def send_requests_with_slots(strategy, requests):
    run = TurnsAndSlots(adapter_first=strategy.adapter_first)

    def make_discipline(clock):
        return fair_queue.FairQueue(
            TURN_COUNT, run.holds, clock, held_lead_s=strategy.held_lead_s
        )

    return run, await send_requests(
        requests, queue_factory(make_discipline, strategy.lookahead), run
    )


def print_table(title, rows, base):
    """Print a Markdown table: figures of `base`, and ratios to them."""
    names = list(rows[base])
    click.echo(f'\n### {title}\n')
    click.echo('| policy | ' + ' | '.join(names) + ' |')
    click.echo('| --- |' + ' ---: |' * len(names))
    for policy, row in rows.items():
        cells = []
        for name in names:
            first = rows[base][name]
            if policy == base:
                cells.append(f'{first:.3g}')
            elif first:
                cells.append(f'x{row[name] / first:.2f}')
            else:
                cells.append(f'{row[name]:.3g}')
        click.echo(f'| {policy} | ' + ' | '.join(cells) + ' |')


class QueueCost:
    """Measures the cost of the queue itself, in real time."""

    @staticmethod
    async def measure(waiting):
        clock = virtual_time.LoopClock()
        order = fair_queue.FairQueue(TURN_COUNT, lambda order: True, clock)
        queue = turn_queue.TurnQueue(TURN_COUNT, 0, 4096, order, clock)
        customer = Customer('c', 1.0, deadline_s=1e9)
        rng = random.Random(1)

        async def wait(number):
            order = _request(
                dataclasses.replace(customer, name=f'c{number % 64}'), 0, rng
            ).order
            async with queue.reserve(order) as reservation, reservation.turn():
                await asyncio.Event().wait()

        tasks = [
            asyncio.create_task(wait(n)) for n in range(waiting + TURN_COUNT)
        ]
        while queue.queued < waiting:
            await asyncio.sleep(0)
        order = _request(customer, 0, rng).order
        started_s = time.perf_counter()
        waiters = [queue._enter(order) for _ in range(50)]
        arrival_s = (time.perf_counter() - started_s) / 50
        started_s = time.perf_counter()
        for _ in range(50):
            queue._recheck()
        recheck_s = (time.perf_counter() - started_s) / 50
        late = dataclasses.replace(customer, name='c1', deadline_s=1e-3)
        order = _request(late, 0, rng).order
        started_s = time.perf_counter()
        for _ in range(50):
            with contextlib.suppress(errors.RefusalError):
                queue._enter(order)
        refusal_s = (time.perf_counter() - started_s) / 50
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert len(waiters) == 50
        return arrival_s, refusal_s, recheck_s


@click.command()
@click.option('--seeds', default=3, show_default=True)
@click.option('--only', default='', help='One workload, "slots" or "cost".')
def main(seeds, only):
    """Print the tables."""
    for workload in WORKLOADS:
        if only not in ('', workload.__name__):
            continue
        rows = {p: order_row(workload, p, seeds) for p in POLICIES}
        print_table(workload.__name__, rows, 'fifo')
    if only in ('', 'slots'):
        rows = {
            name: slots_row(strategy, seeds)
            for name, strategy in STRATEGIES.items()
        }
        print_table('turns and adapter slots', rows, 'adapter first')
    if only in ('', 'cost'):
        print_cost()


def print_cost():
    click.echo('\n### cost, microseconds\n')
    click.echo('| waiting | arrival | refusal in a flood | recheck |')
    click.echo('| ---: | ---: | ---: | ---: |')
    for waiting in (32, 256, 1024):
        found = virtual_time.run(QueueCost.measure(waiting))
        cells = ' | '.join(f'{1e6 * cost_s:.0f}' for cost_s in found)
        click.echo(f'| {waiting} | {cells} |')


if __name__ == '__main__':
    main()
