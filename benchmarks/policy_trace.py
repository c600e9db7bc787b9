"""Stall times of the policy benchmark's requests by cause and customer.

Run ``python -m benchmarks.policy_trace 'assoc flood' --seed 1``; it
traces each attempt under a policy and sums the seconds.
"""

import asyncio
import collections
import contextlib
import dataclasses

import click
import rich.console
import rich.table
import structlog

from benchmarks import policy
from benchmarks import policy_workloads
from benchmarks import virtual_time
from lacewingpitch import errors

_WORKLOADS = {w.name: w for w in policy_workloads.WORKLOADS}


@dataclasses.dataclass
class DurationSum:
    """Number and total duration of the requests or attempts of one cause."""

    count: int = 0
    seconds: float = 0.0

    def add(self, seconds):
        self.count += 1
        self.seconds += seconds


class TracedRun(policy.Run):
    """A run that records the outcome of each attempt."""

    def __init__(self, workload, name, stall_weight, turns):
        super().__init__(workload, name, stall_weight)
        self.causes = collections.defaultdict(DurationSum)
        self.refusals = collections.Counter()
        self._turns_kind = turns
        self._last_details = {}
        self.flooder = None

    def _make_turns(self, engine, slots):
        if self._turns_kind == 'fifo':
            return policy.AdapterFirst(engine, slots)
        return super()._make_turns(engine, slots)

    async def _attempt(self, request, entry, key, machine):
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        slots = machine.slots
        is_held = getattr(slots, 'holds', lambda _: False)(key)
        slot = getattr(slots, '_slots', {}).get(key)
        state = 'held' if is_held else slot.state.name if slot else 'absent'
        tracer = _Tracer(machine.turns)
        proxy = _Proxy(machine, tracer)
        is_served = await super()._attempt(request, entry, key, proxy)
        who = self._customer_group(request)
        took_s = loop.time() - began_s
        if is_served:
            stall_s = self.stalls_s[request.number]
            earlier_s = began_s - request.at_s - self.workload.network_s
            self.causes[who, 'served: earlier attempts'].add(earlier_s)
            self.causes[who, f'served: slot, {state} at arrival'].add(
                stall_s - earlier_s
            )
            self.causes[who, 'served: queues'].add(
                self.waits_s[request.number] - stall_s
            )
        else:
            detail = tracer.detail
            self._last_details[request.number] = detail
            self.causes[who, f'attempt refused: {detail}'].add(took_s)
        return is_served

    def _customer_group(self, request):
        customer = request.adapter % policy_workloads.CUSTOMER_COUNT
        if customer != self.flooder:
            return 'others'
        return 'flooder'

    def _result(self):
        for request in self.requests:
            if request.number in self.refused:
                self.causes[
                    self._customer_group(request),
                    f'refused: {self._last_details.get(request.number)}',
                ].add(policy_workloads.DEADLINE_S)
        return super()._result()


class _Tracer:
    def __init__(self, turns):
        self._turns = turns
        self.detail = 'no time left'

    @contextlib.asynccontextmanager
    async def turn(self, key, order):
        try:
            async with self._turns.turn(key, order) as stall_s:
                yield stall_s
        except (errors.RefusalError, errors.PlatformError) as error:
            self.detail = str(error)
            raise


class _Proxy:
    def __init__(self, machine, tracer):
        self._machine = machine
        self.turns = tracer

    def __getattr__(self, name):
        return getattr(self._machine, name)


def find_flooder(workload):
    """Return the customer that sends the flood, or ``None``."""
    if not workload.flood:
        return None
    calm = dataclasses.replace(workload, flood=False)
    counts = collections.Counter(
        r.adapter for r in policy_workloads.make_requests(workload)
    )
    counts.subtract(r.adapter for r in policy_workloads.make_requests(calm))
    adapter = counts.most_common(1)[0][0]
    return adapter % policy_workloads.CUSTOMER_COUNT


@click.command()
@click.argument(
    'workload', type=click.Choice(list(_WORKLOADS)), default='haneul flood'
)
@click.option('--seed', type=int, default=1)
@click.option('--name', default='lacewingpitch')
@click.option('--turns', type=click.Choice(['queue', 'fifo']), default='queue')
def main(workload, seed, name, turns):
    """Print the causes of stalls in one workload."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(50)
    )
    found = dataclasses.replace(_WORKLOADS[workload], seed=seed)
    run = TracedRun(found, name, found.site.stall_weight, turns)
    run.flooder = find_flooder(found)
    result = virtual_time.run(run.main())
    table = rich.table.Table(title=f'{workload}, seed {seed}, {turns}')
    for column in ('who', 'cause', 'count', 'seconds', 'stall s/request'):
        table.add_column(column)
    total = len(run.requests)
    for (who, cause), duration_sum in sorted(
        run.causes.items(), key=lambda item: -item[1].seconds
    ):
        table.add_row(
            who,
            cause,
            str(duration_sum.count),
            f'{duration_sum.seconds:.0f}',
            f'{duration_sum.seconds / total:.3f}',
        )
    console = rich.console.Console(width=120)
    console.print(table)
    console.print(result)


if __name__ == '__main__':
    main()
