"""Strategies against a request that crashes engines, in virtual time.

In the first load one deadly request arrives again and again at all
entries, among others.  In the second load engines crash by themselves,
without a request as the cause.
"""

import asyncio
import collections
import dataclasses
import random

from benchmarks import virtual_time
from lacewingpitch import blame
from lacewingpitch import crash_record
from lacewingpitch import suspect_exchange

DURATION_S = 60.0
SEED_COUNT = 5
RESTART_S = 6.0
CONFIRMATION_S = 0.05
TIME_TO_CRASH_S = 0.05
RUN_S = 3.0
START_PHASE_S = 0.5
PROBATION_S = 1.5
OTHERS_PER_S = 8.0
DEADLY_PER_S = 2.0
CRASHES_PER_S = 0.4
MAX_ATTEMPTS = 2
UNREACHED_COUNT = 10**6
STRATEGIES = {
    'nothing': blame.Thresholds(UNREACHED_COUNT, UNREACHED_COUNT),
    'refused at 1': blame.Thresholds(UNREACHED_COUNT, 1),
    'refused at 2': blame.Thresholds(UNREACHED_COUNT, 2),
    'refused at 3': blame.Thresholds(UNREACHED_COUNT, 3),
    'isolated at 1, refused at 3': blame.Thresholds(1, 3),
    'isolated at 2, refused at 3': blame.Thresholds(2, 3),
}


@dataclasses.dataclass
class Run:
    """One request at one engine."""

    fingerprint: str
    first_event_s: float
    is_isolated: bool
    task: asyncio.Task | None = None


class CutError(Exception):
    """The engine crashed during the request."""


class Engine:
    """An engine and its sidecar."""

    def __init__(self, number, simulation):
        self.simulation = simulation
        self.number = number
        self.record = simulation.new_record()
        self.up_at_s = 0.0
        self.runs = []
        self.isolated_until_s = 0.0

    @property
    def start_id(self):
        return f'{self.number}@{self.up_at_s}'

    def crash(self):
        now_s = self.simulation.now_s
        if now_s < self.up_at_s:
            return
        start_id = self.start_id
        self.simulation.counts['crashes'] += 1
        self.up_at_s = now_s + RESTART_S
        for run in self.runs:
            is_in_start_phase = now_s < run.first_event_s + START_PHASE_S
            run.task.cancel()
            self.simulation.counts['cut'] += 1
            run.crash = start_id if is_in_start_phase else None
        self.runs = []

    async def run(self, fingerprint, is_isolated):
        """Run a request; raise `CutError` if the engine crashes.

        The error holds the start ID of the engine if the request had just
        begun, else ``None``.
        """
        now_s = self.simulation.now_s
        is_deadly = fingerprint == 'deadly'
        time_to_first_s = TIME_TO_CRASH_S
        if not is_deadly:
            time_to_first_s = self.simulation.random.uniform(0.1, 0.4)
        run = Run(fingerprint, now_s + time_to_first_s, is_isolated)
        run.crash = None
        run.task = asyncio.create_task(asyncio.sleep(time_to_first_s + RUN_S))
        if is_deadly:
            asyncio.get_running_loop().call_later(TIME_TO_CRASH_S, self.crash)
        self.runs.append(run)
        try:
            await run.task
        except asyncio.CancelledError:
            raise CutError(run.crash) from None
        self.runs.remove(run)


class Entry:
    """An entry with its record of crashes."""

    def __init__(self, simulation):
        self.simulation = simulation
        self.record = simulation.new_record()
        self.exchange = suspect_exchange.SuspectExchange(self.record)

    async def forward(self, fingerprint):
        """Return the outcome of a caller's request."""
        for _ in range(MAX_ATTEMPTS):
            handling = self.record.handling(fingerprint)
            if handling is blame.Handling.REFUSED:
                return 'barred'
            is_isolated = handling is blame.Handling.ISOLATED
            engine = self.simulation.choose_engine(is_isolated)
            if engine is None or not self._request_turn(
                engine, fingerprint, is_isolated
            ):
                return 'come back'
            try:
                await engine.run(fingerprint, is_isolated)
            except CutError as error:
                await asyncio.sleep(CONFIRMATION_S)
                if error.args[0]:
                    self.record.record_crash(fingerprint, error.args[0])
                continue
            self.record.record_run((fingerprint,))
            return 'served'
        return 'failed'

    def _request_turn(self, engine, fingerprint, is_isolated):
        ip = str(engine.number)
        sent = self.exchange.update_for(ip)
        engine.record.merge(sent.states if sent else ())
        reply = suspect_exchange.update_for_requester(engine.record, sent)
        self.exchange.apply_reply(ip, sent, reply)
        if engine.record.handling(fingerprint) is not (
            blame.Handling.ISOLATED if is_isolated else blame.Handling.FREE
        ):
            return False
        now_s = self.simulation.now_s
        if is_isolated:
            if now_s < engine.isolated_until_s:
                return False
            engine.isolated_until_s = now_s + PROBATION_S
        return True


class Simulation:
    """Entries and engines."""

    def __init__(self, thresholds, entry_count, engine_count, seed):
        self.random = random.Random(seed)
        self.thresholds = thresholds
        self.counts = collections.Counter()
        self.engines = [Engine(n, self) for n in range(engine_count)]
        self.entries = [Entry(self) for _ in range(entry_count)]

    @property
    def now_s(self):
        return asyncio.get_running_loop().time()

    def new_record(self):
        return crash_record.CrashRecord(
            virtual_time.LoopClock(),
            random.Random(self.random.random()),
            policy=blame.Policy(request=self.thresholds),
        )

    def choose_engine(self, is_isolated):
        up = [e for e in self.engines if self.now_s >= e.up_at_s]
        if is_isolated:
            first = self.engines[0]
            return first if first in up else None
        return self.random.choice(up) if up else None

    async def call(self, fingerprint):
        """Send a request as a caller that retries once."""
        for _ in range(2):
            outcome = await self.random.choice(self.entries).forward(
                fingerprint
            )
            if outcome in ('served', 'barred'):
                break
            await asyncio.sleep(1.0)
        if fingerprint != 'deadly':
            self.counts[outcome] += 1

    async def run_load(self, is_deadly):
        rates = {'other': OTHERS_PER_S * len(self.engines)}
        rates['deadly' if is_deadly else 'crash'] = (
            DEADLY_PER_S if is_deadly else CRASHES_PER_S
        )
        total_per_s = sum(rates.values())
        tasks = []
        number = 0
        while self.now_s < DURATION_S:
            await asyncio.sleep(self.random.expovariate(total_per_s))
            kind = self.random.choices(list(rates), rates.values())[0]
            if kind == 'crash':
                self.random.choice(self.engines).crash()
                continue
            number += 1
            name = 'deadly' if kind == 'deadly' else f'other-{number}'
            tasks.append(asyncio.create_task(self.call(name)))
        await asyncio.gather(*tasks)
        return self.counts


def measure(thresholds, entry_count, engine_count, is_deadly):
    """Return the sums of the counts over all seeds."""
    counts = collections.Counter()
    for seed in range(SEED_COUNT):

        async def main(seed=seed):
            simulation = Simulation(
                thresholds, entry_count, engine_count, seed
            )
            return await simulation.run_load(is_deadly)

        counts += virtual_time.run(main())
    return counts


def main():
    """Print the results as a Markdown table."""
    print('| strategy | load | crashes | cut | served | barred | failed |')
    print('| --- | --- | --- | --- | --- | --- | --- |')
    for is_deadly, load in ((True, 'a deadly request'), (False, 'crashes')):
        for strategy, thresholds in STRATEGIES.items():
            found = measure(thresholds, 4, 5, is_deadly)
            ended = sum(
                found[key]
                for key in ('served', 'barred', 'failed', 'come back')
            )
            lost = found['failed'] + found['come back']
            print(
                f'| {strategy} | {load} | {found["crashes"] / SEED_COUNT:.1f} '
                f'| {found["cut"] / SEED_COUNT:.0f} '
                f'| {found["served"] / ended:.4f} '
                f'| {found["barred"] / SEED_COUNT:.1f} '
                f'| {lost / SEED_COUNT:.1f} |'
            )


if __name__ == '__main__':
    main()
