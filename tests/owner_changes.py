"""Entries whose lists of sidecars differ, and the owners that they ask."""

import asyncio
import dataclasses
import random

from benchmarks import virtual_time
from lacewingpitch import backend_list
from lacewingpitch import errors
from lacewingpitch import organisation
from lacewingpitch import rendezvous
from lacewingpitch import server_limits
from lacewingpitch import server_permits
from lacewingpitch import sidecar_reporter
from lacewingpitch import usage_lease
from lacewingpitch import usage_limits
from lacewingpitch import usage_ownership

ENTRY_COUNT = 6
BEFORE = (1, 2, 3)
ADDED = (4, 5, 6)
# Times since the start of traffic.
ADDED_AT_S = 6.0
JOINED_AT_S = 6.5
REMOVED_AT_S = 18.0
END_AT_S = 24.0
# Time for which the store turns some entries away.
_OUTAGE_S = 9.0
# Time until other entries have read a change of the list.
_SPREAD_S = 0.3
_MOST_LATENCY_S = 0.004
_READ_INTERVAL_S = 0.05
LIMIT_PER_S = 10.0
DEADLINE_S = 1.5
QUOTA = organisation.UsageLimit(60.0, 60.0, default_cost=10.0)
COST = 10


def engine(number):
    return backend_list.BackendServer(
        f'i-{number}',
        'chat',
        f'10.0.0.{number}',
        80,
        'z',
        created_revision=number,
    )


def engines(*numbers):
    return tuple(engine(number) for number in numbers)


def _first_moved(names):
    """Return the first name whose limit moves to an added sidecar."""
    added = {engine(number).ip for number in ADDED}
    every = [engine(number).ip for number in (*BEFORE, *ADDED)]
    for name in names:
        key = f'usage/{name}'
        owner = max(every, key=lambda ip: rendezvous.score(key, ip))
        if owner in added:
            return name
    raise AssertionError('no limit moves')


LIMITED = backend_list.BackendServer(
    _first_moved(f'p-{n}@0' for n in range(99)).partition('@')[0],
    'look',
    '10.0.9.1',
    80,
    'z',
)
CALLER = organisation.Organisation(
    _first_moved(f'balcony-{n}' for n in range(99)), limit=QUOTA
)


@dataclasses.dataclass
class View:
    """The list of sidecars as one entry has read it."""

    listed: tuple = engines(*BEFORE)
    position: tuple = (1, 10)

    def all(self):
        return self.listed


class Owners:
    """The processes that own limits, by address, and messages to them.

    Messages to an address in `silent` get no answer.
    """

    def __init__(self, clock, source):
        self._source = source
        self._permits = {}
        self._usage = {}
        self._clock = clock
        self.message_count = 0
        self.silent = set()

    def add(self, number):
        ip = engine(number).ip
        self._permits[ip] = server_permits.PermitOwner(
            self._clock, random.Random(number)
        )
        self._usage[ip] = usage_lease.UsageOwner(self._clock)

    async def _travel(self, ip, timeout_s):
        self.message_count += 1
        if ip in self.silent or ip not in self._permits:
            await asyncio.sleep(timeout_s)
            raise errors.NoReplyError(ip)
        await asyncio.sleep(self._source.uniform(0.0, _MOST_LATENCY_S))

    async def request_permit(self, ip, message, timeout_s):
        await self._travel(ip, timeout_s)
        reply = await self._permits[ip].answer(message)
        await self._travel(ip, timeout_s)
        return reply

    async def request_usage(self, ip, message, timeout_s):
        await self._travel(ip, timeout_s)
        reply = await self._usage[ip].grant(message)
        await self._travel(ip, timeout_s)
        return reply


class Entry:
    """One entry with a list of its own."""

    def __init__(self, number, view, link, clock):
        self.view = view
        self.clock = clock
        name = f'edge-{number}'
        owners = usage_ownership.UsageOwnership(
            view, lambda service: service == 'chat', clock
        )
        self.limits = server_limits.ServerLimits(
            name,
            link,
            owners,
            lambda: (LIMITED,),
            lambda service: service == 'chat',
            lambda: ENTRY_COUNT,
            clock,
            random.Random(number),
            sidecar_reporter.SidecarReporter(),
        )
        self.usage = usage_limits.UsageLimits(
            name, link, owners, clock, lambda: 1, lambda: ENTRY_COUNT
        )


@dataclasses.dataclass(frozen=True)
class Change:
    """A change of the list.

    Parameters
    ----------
    at_s
        When the store has the new list, since the start of traffic.
    listed
        Numbers of the sidecars that it lists.
    lags_s
        How much later each entry reads it.
    """

    at_s: float
    listed: tuple
    lags_s: tuple

    def read_at_s(self, entry):
        return self.at_s + self.lags_s[entry]


def outage_plan(source):
    """Return a plan in which the store turns away some entries for a time.

    Sidecars are added meanwhile, and one of them is removed later.
    """
    stale_count = source.randrange(1, ENTRY_COUNT - 1)
    lags_s = tuple(
        source.uniform(0.0, _SPREAD_S) + _OUTAGE_S * (n < stale_count)
        for n in range(ENTRY_COUNT)
    )
    spread_s = tuple(
        source.uniform(0.0, _SPREAD_S) for _ in range(ENTRY_COUNT)
    )
    every = BEFORE + ADDED
    removed = source.choice(ADDED)
    left = tuple(n for n in every if n != removed)
    return (
        Change(ADDED_AT_S, every, lags_s),
        Change(REMOVED_AT_S, left, spread_s),
    )


def changing_plan(source):
    """Return a plan of many changes that entries read at any time."""
    found = []
    listed = set(BEFORE)
    at_s = source.uniform(3.0, ADDED_AT_S)
    while at_s < END_AT_S - 2.0:
        other = source.choice(BEFORE + ADDED)
        if len(listed) > 1 or other not in listed:
            listed = listed ^ {other}
        lags_s = tuple(
            source.choice((0.0, source.uniform(0.0, _OUTAGE_S)))
            for _ in range(ENTRY_COUNT)
        )
        found.append(Change(at_s, tuple(sorted(listed)), lags_s))
        at_s += source.uniform(0.2, 4.0)
    return tuple(found)


class Fleet:
    """Entries that read the changes of a plan, each at its own times.

    The last entry starts in the middle, with the list of that time.
    """

    def __init__(self, source, plan):
        self.clock = virtual_time.LoopClock()
        self.source = source
        self.plan = plan
        self.link = Owners(self.clock, self.source)
        for number in BEFORE + ADDED:
            self.link.add(number)
        self.entries = [self._entry(n) for n in range(ENTRY_COUNT - 1)]
        self.admitted_s = []
        self.waits_s = []

    def _entry(self, number):
        return Entry(number, View(), self.link, self.clock)

    def _read(self, entry, number, now_s):
        """Have an entry read what reaches it by now."""
        for revision, change in enumerate(self.plan, 20):
            if change.read_at_s(number) <= now_s:
                entry.view.listed = engines(*change.listed)
                entry.view.position = (1, revision)

    async def _follow(self):
        while self.clock.monotonic_s() < END_AT_S:
            await asyncio.sleep(_READ_INTERVAL_S)
            for number, entry in enumerate(self.entries):
                self._read(entry, number, self.clock.monotonic_s())

    async def _join(self):
        await asyncio.sleep(JOINED_AT_S)
        entry = self._entry(ENTRY_COUNT - 1)
        for revision, change in enumerate(self.plan, 20):
            if change.at_s <= JOINED_AT_S:
                entry.view.listed = engines(*change.listed)
                entry.view.position = (1, revision)
        self.entries.append(entry)

    async def _send(self, call, per_s):
        async with asyncio.TaskGroup() as group:
            while self.clock.monotonic_s() < END_AT_S:
                await asyncio.sleep(self.source.expovariate(per_s))
                entry = self.source.choice(self.entries)
                group.create_task(self._time(call, entry))

    async def _time(self, call, entry):
        began_s = self.clock.monotonic_s()
        is_admitted = await call(entry)
        now_s = self.clock.monotonic_s()
        if is_admitted:
            self.waits_s.append(now_s - began_s)
            self.admitted_s.append(now_s)

    async def run(self, call, per_s):
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow())
            group.create_task(self._join())
            group.create_task(self._send(call, per_s))
        for entry in self.entries:
            await entry.usage.close()


async def send_to_limited(entry):
    """Return whether an entry may send to a server that names a limit.

    The request waits at the entry until its deadline.
    """
    clock = entry.clock
    deadline_s = clock.boot_s() + DEADLINE_S
    while True:
        now_s = clock.boot_s()
        entry.limits.record_answer(LIMITED, LIMIT_PER_S, now_s)
        refusal = await entry.limits.try_acquire(LIMITED)
        if refusal is None:
            return True
        if clock.boot_s() + refusal.retry_after_s > deadline_s:
            return False
        await asyncio.sleep(refusal.retry_after_s)


async def send_of_organisation(entry):
    """Return whether an entry admits a request of an organisation."""
    try:
        async with entry.usage.charged(CALLER, COST, 0):
            return True
    except errors.RefusalError:
        return False


def play(seed, new_plan, call, per_s, silent=()):
    """Return a fleet after a run of a plan.

    Parameters
    ----------
    silent
        Numbers of the sidecars that answer nothing.
    """

    async def main():
        source = random.Random(seed)
        fleet = Fleet(source, new_plan(source))
        fleet.link.silent.update(engine(number).ip for number in silent)
        await fleet.run(call, per_s)
        return fleet

    return virtual_time.run(main())
