"""Strategies to enforce an organisation's limit across entries, compared.

    python -m benchmarks.usage [--seed 1]

The product's classes run in virtual time: leases from one owner, against
an equal share of the limit at each entry.
"""

import asyncio
import collections
import contextlib
import logging
import random

import click
import structlog

from benchmarks import virtual_time
from lacewingpitch import errors
from lacewingpitch import limit_tenure
from lacewingpitch import organisation
from lacewingpitch import token_bucket
from lacewingpitch import usage_lease
from lacewingpitch import usage_limits

ENTRY_COUNTS = (4, 30, 380)
RATE_PER_S = 120_000.0
BURST = 120_000.0
COSTS = (200, 1_000, 1_200, 2_600)
MEAN_COST = sum(COSTS) / len(COSTS)
ROUND_TRIP_S = 0.004
DURATION_S = 30.0
WINDOW_S = 8.0
LIMIT = organisation.UsageLimit(RATE_PER_S, BURST)
CALLER = organisation.Organisation('balcony', limit=LIMIT)


class Link:
    """Messages to one owner, lost for entries that are cut off."""

    def __init__(self, clock):
        self._clock = clock
        self.owner = usage_lease.UsageOwner(clock)
        self.cut_entries = frozenset()
        self.count = 0

    async def request_usage(self, _ip, message, timeout_s):
        self.count += 1
        if message.entry in self.cut_entries:
            await asyncio.sleep(timeout_s)
            raise errors.NoReplyError('cut')
        await asyncio.sleep(ROUND_TRIP_S)
        return await self.owner.grant(message)

    def restart(self):
        self.owner = usage_lease.UsageOwner(self._clock)


class SingleOwner:
    def owner(self, _organisation):
        return '10.0.0.1'

    def mark_unresponsive(self, _ip):
        pass

    def claim(self, _name):
        return limit_tenure.Claim()

    def previous_owners(self, _name):
        return frozenset()

    def record_owner(self, name, ip, position):
        raise AssertionError(f'{name} has one owner')


class EqualShare:
    """Each entry admits the same share of the limit."""

    def __init__(self, clock, entry_count):
        self._clock = clock
        rate_per_s = RATE_PER_S / entry_count
        burst = BURST / entry_count
        self._bucket = token_bucket.TokenBucket(
            rate_per_s, burst, burst, clock.boot_s()
        )

    @contextlib.asynccontextmanager
    async def charged(self, _caller, prompt_tokens, _max_tokens):
        now_s = self._clock.boot_s()
        if self._bucket.level(now_s) <= 0.0:
            raise errors.RefusalError(errors.ErrorKind.RATE_LIMITED, 'share')
        self._bucket.add(-prompt_tokens, now_s)
        yield


class Simulation:
    """One strategy under one load."""

    def __init__(self, strategy, entry_count):
        self.clock = virtual_time.LoopClock()
        self.link = Link(self.clock)
        self.admitted = collections.deque()
        self.refused_count = 0
        self.request_count = 0
        if strategy == 'equal share':
            self.entries = [
                EqualShare(self.clock, entry_count) for _ in range(entry_count)
            ]
        else:
            self.entries = [
                usage_limits.UsageLimits(
                    f'edge-{n}',
                    self.link,
                    SingleOwner(),
                    self.clock,
                    lambda: 1,
                    lambda: entry_count,
                )
                for n in range(entry_count)
            ]

    async def call(self, entry, cost):
        self.request_count += 1
        try:
            async with entry.charged(CALLER, cost, 0):
                self.admitted.append((self.clock.boot_s(), cost))
        except errors.RefusalError:
            self.refused_count += 1

    async def load(self, ratio, skew, rng):
        """Send calls at a ratio of the limit, most from the first entries."""
        per_s = ratio * RATE_PER_S / MEAN_COST
        weights = [1.0 / (n + 1) ** skew for n in range(len(self.entries))]
        end_s = self.clock.boot_s() + DURATION_S
        calls = set()
        while self.clock.boot_s() < end_s:
            await asyncio.sleep(rng.expovariate(per_s))
            (entry,) = rng.choices(self.entries, weights)
            call = asyncio.create_task(self.call(entry, rng.choice(COSTS)))
            calls.add(call)
            call.add_done_callback(calls.discard)
        await asyncio.gather(*calls)

    async def restart_owner(self):
        await asyncio.sleep(DURATION_S / 2)
        self.link.restart()

    async def cut_half_off(self):
        await asyncio.sleep(DURATION_S / 3)
        count = len(self.entries) // 2
        self.link.cut_entries = {f'edge-{n}' for n in range(count)}

    def worst_window(self):
        """Return the most usage in a window, relative to the limit."""
        most = total = 0.0
        window = collections.deque()
        for at_s, cost in self.admitted:
            window.append((at_s, cost))
            total += cost
            while at_s - window[0][0] >= WINDOW_S:
                total -= window.popleft()[1]
            most = max(most, total)
        return most / (WINDOW_S * RATE_PER_S + BURST)


# By name: demand relative to the limit, skew, and the fault if any.
SCENES = {
    'within the limit': (0.6, 0.0, None),
    'within, skewed': (0.6, 1.5, None),
    'flood': (4.0, 0.0, None),
    'flood, skewed': (4.0, 1.5, None),
    'flood, owner restarts': (4.0, 0.0, Simulation.restart_owner),
    'flood, half cut off': (4.0, 0.0, Simulation.cut_half_off),
    'within, half cut off': (0.6, 0.0, Simulation.cut_half_off),
}


def simulate(strategy, entry_count, scene, seed):
    """Return the simulation of one strategy under one load."""
    ratio, skew, inject_fault = SCENES[scene]

    async def main():
        found = Simulation(strategy, entry_count)
        async with asyncio.TaskGroup() as tasks:
            if inject_fault is not None:
                tasks.create_task(inject_fault(found))
            tasks.create_task(found.load(ratio, skew, random.Random(seed)))
        return found

    return virtual_time.run(main())


@click.command()
@click.option('--seed', default=1)
def main(seed):
    """Print each strategy's usage above the limit and its refusals."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    click.echo(
        '| load | entries | strategy | worst window | refused | asks/s |'
    )
    click.echo('| --- | --- | --- | --- | --- | --- |')
    for scene in SCENES:
        for entry_count in ENTRY_COUNTS:
            for strategy in ('leases', 'equal share'):
                found = simulate(strategy, entry_count, scene, seed)
                refused = found.refused_count / found.request_count
                click.echo(
                    f'| {scene} | {entry_count} | {strategy} |'
                    f' {found.worst_window():.2f} | {refused:.1%} |'
                    f' {found.link.count / DURATION_S:.0f} |'
                )


if __name__ == '__main__':
    main()
