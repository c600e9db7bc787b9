"""Ways to stop a part of prompts that crashes engines, in virtual time.

Requests with one part, no two alike, arrive at all entries beside sound
requests with all their other parts.  In the second load engines crash by
themselves, without a request as the cause.  In the third all have just
started, and sound requests come only after the first crashes; in the fourth
engines crash by themselves beside it.
"""

import asyncio
import collections
import dataclasses
import logging
import random

import structlog

from benchmarks import virtual_time
from lacewingpitch import blame
from lacewingpitch import crash_record
from lacewingpitch import suspect_exchange
from lacewingpitch import suspect_keys

DURATION_S = 60.0
CALM_S = 10.0
SEED_COUNT = 10
ENTRY_COUNT = 4
ENGINE_COUNT = 5
RESTART_S = 4.0
CONFIRMATION_S = 0.05
TIME_TO_CRASH_S = 0.05
RUN_S = 3.0
START_PHASE_S = 0.5
PROBATION_S = 1.5
SYNC_S = 0.1
POLL_S = 0.6
CONTACT_S = 3.0
SOUND_PER_S = 20.0
DEADLY_PER_S = 4.0
CRASHES_PER_S = 0.4
MAX_ATTEMPTS = 2
COMPANION_COUNT = 40
CRASHES_TO_BOUND = 5
NEVER = 10**6
TRIAL_DELAY_S = 30.0
DEADLY = suspect_keys.part_key('dead')
FIRST = suspect_keys.part_key('first')


@dataclasses.dataclass(frozen=True)
class Way:
    """One way to handle suspect parts."""

    part: blame.Thresholds
    explains: bool = True
    remembers_sound: bool = True
    clears_early: bool = True
    kind: type[blame.Policy] = blame.Policy

    @property
    def policy(self):
        return self.kind(part=self.part, explains=self.explains)


@dataclasses.dataclass(frozen=True)
class AnyHolderIsRefused(blame.Policy):
    """Refuses requests with any of the parts that crashes don't tell apart."""

    def trial_delay_s(self, group, holds_all):
        return NEVER


@dataclasses.dataclass(frozen=True)
class TrialsAfterDelay(blame.Policy):
    """Tries requests with some of the parts from five crashes on later."""

    def trial_delay_s(self, group, holds_all):
        delay_s = blame.Policy.trial_delay_s(self, group, holds_all)
        if holds_all or group.crash_count < CRASHES_TO_BOUND:
            return delay_s
        return max(TRIAL_DELAY_S, delay_s)


@dataclasses.dataclass(frozen=True)
class Load:
    """What arrives, and when.

    Parameters
    ----------
    sound_from_s, deadly_from_s, crashes_from_s
        When requests, and crashes without a request as the cause, begin.
    """

    sound_from_s: float = 0.0
    deadly_from_s: float = NEVER
    crashes_from_s: float = NEVER


LOADS = {
    'a deadly part': Load(deadly_from_s=CALM_S),
    'crashes': Load(crashes_from_s=CALM_S),
    'a deadly part first': Load(sound_from_s=CALM_S, deadly_from_s=0.0),
    'the same beside crashes': Load(
        sound_from_s=CALM_S, deadly_from_s=0.0, crashes_from_s=0.0
    ),
}


def way(isolated_from, refused_from, **fields):
    return Way(blame.Thresholds(isolated_from, refused_from), **fields)


WAYS = {
    'requests only (before)': way(NEVER, NEVER, explains=False),
    'counts, cleared by whole answers': way(
        2, 4, explains=False, remembers_sound=False, clears_early=False
    ),
    'counts, cleared after 0.5 s': way(
        2, 4, explains=False, remembers_sound=False
    ),
    'and sound runs remembered': way(2, 4, explains=False),
    'isolated at 2, refused at 3': way(2, 3),
    'isolated at 2, refused at 4': way(2, 4),
    'isolated at 3, refused at 4': way(3, 4),
    'refused at 3': way(NEVER, 3),
    'refused at 4': way(NEVER, 4),
    'refused at 5': way(NEVER, 5),
    'any holder is refused': way(2, 3, kind=AnyHolderIsRefused),
    'trials of some parts are delayed': way(2, 3, kind=TrialsAfterDelay),
}


class ForgetsSoundRuns:
    """Remembers no sound run."""

    def record(self, keys):
        pass

    def has_recent(self, key):
        return False


@dataclasses.dataclass
class Run:
    """One request at one engine."""

    task: asyncio.Task
    first_event_s: float
    crash: str | None = None


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

    def crash(self):
        now_s = self.simulation.now_s
        if now_s < self.up_at_s:
            return
        start_id = f'{self.number}@{self.up_at_s}'
        self.simulation.crashed_at_s.append(now_s)
        self.up_at_s = now_s + RESTART_S
        for run in self.runs:
            if now_s < run.first_event_s + START_PHASE_S:
                run.crash = start_id
            run.task.cancel()
        self.runs = []

    async def run(self, keys, on_sound):
        """Run a request; raise `CutError` if the engine crashes.

        The error holds the start id of the engine if the request had just
        begun, else ``None``.
        """
        simulation = self.simulation
        loop = asyncio.get_running_loop()
        to_first_s = TIME_TO_CRASH_S
        if DEADLY in keys:
            loop.call_later(TIME_TO_CRASH_S, self.crash)
        else:
            to_first_s = simulation.random.uniform(0.1, 0.4)
        run_s = simulation.random.uniform(0.2, 2 * RUN_S)
        run = Run(
            asyncio.create_task(asyncio.sleep(to_first_s + run_s)),
            simulation.now_s + to_first_s,
        )
        early = None
        if simulation.way.clears_early:
            early = loop.call_later(to_first_s + START_PHASE_S, on_sound)
        self.runs.append(run)
        try:
            await run.task
        except asyncio.CancelledError:
            if early is not None:
                early.cancel()
            raise CutError(run.crash) from None
        self.runs.remove(run)
        on_sound()


class Entry:
    """An entry with its record of crashes."""

    def __init__(self, simulation):
        self.simulation = simulation
        self.record = simulation.new_record()
        self.exchange = suspect_exchange.SuspectExchange(self.record)

    async def forward(self, keys):
        """Return the outcome of a caller's request."""
        for _ in range(MAX_ATTEMPTS):
            handling = self.record.verdict(keys).handling
            if handling is blame.Handling.REFUSED:
                return 'barred'
            is_isolated = handling is blame.Handling.ISOLATED
            engine = self.simulation.choose_engine(is_isolated)
            if engine is None:
                return 'no engine'
            self.exchange_with(engine)
            if self.record.verdict(keys).handling is not handling:
                return 'isolated'
            if is_isolated and not self._may_run_isolated(engine):
                return 'isolated'
            if DEADLY in keys:
                self.simulation.deadly_sent_at_s.append(self.simulation.now_s)
            try:
                await engine.run(keys, lambda: self._record_sound(keys))
            except CutError as error:
                await asyncio.sleep(CONFIRMATION_S)
                if error.args[0]:
                    self.record.record_crashes(keys, error.args[0])
                continue
            return 'served'
        return 'failed'

    def _may_run_isolated(self, engine):
        now_s = self.simulation.now_s
        if now_s < engine.isolated_until_s:
            return False
        engine.isolated_until_s = now_s + PROBATION_S
        return True

    def _record_sound(self, keys):
        self.record.record_run(keys)

    def exchange_with(self, engine):
        ip = str(engine.number)
        sent = self.exchange.update_for(ip)
        engine.record.merge(sent.states if sent else ())
        reply = suspect_exchange.update_for_requester(engine.record, sent)
        self.exchange.apply_reply(ip, sent, reply)

    async def sync(self):
        told = 0
        polled_at_s = 0.0
        engines = self.simulation.engines
        while True:
            await asyncio.sleep(SYNC_S)
            now_s = self.simulation.now_s
            if self.record.revision != told or now_s - polled_at_s > POLL_S:
                polled_at_s = now_s
                told = self.record.revision
                for engine in engines[:3]:
                    self.exchange_with(engine)


class Simulation:
    """Entries and engines."""

    def __init__(self, found, seed):
        self.random = random.Random(seed)
        self.way = found
        self.counts = collections.Counter()
        self.after = collections.Counter()
        self.crashed_at_s = []
        self.deadly_sent_at_s = []
        self.engines = [Engine(n, self) for n in range(ENGINE_COUNT)]
        self.entries = [Entry(self) for _ in range(ENTRY_COUNT)]

    @property
    def now_s(self):
        return asyncio.get_running_loop().time()

    def new_record(self):
        found = crash_record.CrashRecord(
            virtual_time.LoopClock(),
            random.Random(self.random.random()),
            policy=self.way.policy,
        )
        if not self.way.remembers_sound:
            found._sound_runs = ForgetsSoundRuns()
        return found

    def choose_engine(self, is_isolated):
        up = [e for e in self.engines if self.now_s >= e.up_at_s]
        if is_isolated:
            return up[0] if up else None
        return self.random.choice(up) if up else None

    async def call(self, keys):
        """Send a request as a caller that retries once."""
        first = None
        for _ in range(2):
            outcome = await self.random.choice(self.entries).forward(keys)
            first = first or outcome
            if outcome in ('served', 'barred'):
                break
            await asyncio.sleep(1.0)
        if DEADLY not in keys:
            self.counts[outcome] += 1
            self.counts['first ' + first] += 1

    def late_sends(self):
        if len(self.crashed_at_s) < CRASHES_TO_BOUND:
            return 0
        since_s = self.crashed_at_s[CRASHES_TO_BOUND - 1] + CONTACT_S
        return sum(at_s > since_s for at_s in self.deadly_sent_at_s)

    async def run_load(self, load):
        for entry in self.entries:
            asyncio.create_task(entry.sync())
        tasks = []
        number = 0
        starts_s = {
            'sound': (load.sound_from_s, SOUND_PER_S),
            'deadly': (load.deadly_from_s, DEADLY_PER_S),
            'crash': (load.crashes_from_s, CRASHES_PER_S),
        }
        while self.now_s < DURATION_S:
            rates = {
                name: rate
                for name, (from_s, rate) in starts_s.items()
                if self.now_s >= from_s
            }
            await asyncio.sleep(self.random.expovariate(sum(rates.values())))
            kind = self.random.choices(list(rates), rates.values())[0]
            if kind == 'crash':
                self.random.choice(self.engines).crash()
                continue
            number += 1
            tasks.append(
                asyncio.create_task(self.call(self.keys(kind, number)))
            )
        await asyncio.gather(*tasks)
        self.counts['crashes'] = len(self.crashed_at_s)
        self.counts['late'] = self.late_sends()
        return self.counts

    def keys(self, kind, number):
        """Return the keys of a request: most parts are seldom, some common."""
        companion = int(self.random.paretovariate(0.7)) % COMPANION_COUNT
        parts = [FIRST, suspect_keys.part_key(f'c{companion}')]
        parts.append(suspect_keys.part_key(f's{number // 3}'))
        if kind == 'deadly':
            parts.append(DEADLY)
        return (f'r-{number}', *parts)


def measure(found, load):
    """Return the sums of the counts over all seeds."""
    counts = collections.Counter()
    for seed in range(SEED_COUNT):

        async def main(seed=seed):
            return await Simulation(found, seed).run_load(load)

        counts += virtual_time.run(main())
    return counts


def main():
    """Print the results as a Markdown table."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    print(
        '| way | load | crashes | late sends | sound: served | first attempt'
        ' | barred | isolated |'
    )
    print('| --- | --- | --- | --- | --- | --- | --- | --- |')
    outcomes = ('served', 'barred', 'failed', 'isolated', 'no engine')
    for load_name, load in LOADS.items():
        for name, found in WAYS.items():
            counts = measure(found, load)
            ended = sum(counts[outcome] for outcome in outcomes)
            print(
                f'| {name} | {load_name} '
                f'| {counts["crashes"] / SEED_COUNT:.1f} '
                f'| {counts["late"] / SEED_COUNT:.1f} '
                f'| {counts["served"] / ended:.4f} '
                f'| {counts["first served"] / ended:.4f} '
                f'| {counts["first barred"] / SEED_COUNT:.1f} '
                f'| {counts["first isolated"] / SEED_COUNT:.1f} |'
            )


if __name__ == '__main__':
    main()
