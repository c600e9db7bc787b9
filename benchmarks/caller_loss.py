"""Callers that compete for the turns of a few engines.

Plays load on the decisions of sidecars in virtual time, and prints what
becomes of the callers: by kind of request, and for the largest requests and
the least served organisation.
"""

import asyncio
import collections
from collections.abc import Callable, Collection, Iterable
import contextlib
import dataclasses
import logging
import random
import statistics

import structlog

from benchmarks import virtual_time
from lacewingpitch import crash_record
from lacewingpitch import due_queue
from lacewingpitch import fair_queue
from lacewingpitch import metrics
from lacewingpitch import parts as parts_module
from lacewingpitch import prefill_pacer
from lacewingpitch import slot_simulation
from lacewingpitch import turn_granter
from lacewingpitch import turn_messages
from lacewingpitch import turn_metrics
from lacewingpitch import turn_queue

TURNS = 64
ENGINE_COUNT = 2
# Requests per second that one engine serves with these kinds and sizes.
CAPACITY_PER_S = 21.0
ORGANISATIONS = tuple(f'organisation-{n}' for n in range(16))
PROMPT_TOKENS_PER_S = 29_400.0
_STEP_S = 0.0051
_EVENT_TOKENS = 7
_LOAD_S = 0.3
_COLD_RATIO = 0.1
_FIRST_EVENT_S = 0.4
_ACCEPT_TARGET_RATIO = 0.5
_MAX_RETRY_RATIO = 1 / 3


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request, and its share of the load."""

    name: str
    rank: int
    prompt_tokens: int
    answer_tokens: int
    target_s: float
    deadline_s: float
    load_share: float

    @property
    def give_up_s(self) -> float:
        """Return how long callers wait for the first event."""
        return min(self.deadline_s, max(3.2, 4.0 * self.target_s))


URGENT = Kind('urgent', 0, 826, 294, 0.8, 15.0, 0.70)
SCREENING = Kind('screening', 1, 2368, 21, 0.8, 3.0, 0.13)
PATIENT = Kind('patient', 2, 826, 294, 2.0, 20.0, 0.17)
KINDS = (URGENT, SCREENING, PATIENT)


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One request of a caller."""

    number: int
    kind: Kind
    organisation: str
    weight: float
    prompt_tokens: int
    answer_tokens: int
    expected_tokens: int
    is_cold: bool
    at_s: float

    @property
    def size(self) -> float:
        """Return what its caller gets, relative to others of its kind."""
        return self.prompt_tokens + 10.0 * self.answer_tokens


@dataclasses.dataclass(slots=True)
class Fate:
    """What became of a call."""

    call: Call
    outcome: str = 'failed'
    refused_count: int = 0
    first_event_s: float = 0.0
    held_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Phase:
    """Load relative to the capacity of the engines, for a time."""

    load_ratio: float
    duration_s: float


class Adapters:
    """Adapters that are held, and some that must be loaded first."""

    adapters = ()
    spare_slot_count = 9
    cached_copy_load_s = 0.0
    cached_copy_count = 0

    def expected_wait(self, name: str = '') -> slot_simulation.AdapterWait:
        return slot_simulation.AdapterWait(0.0, _LOAD_S if name else 0.0)

    @contextlib.asynccontextmanager
    async def hold(self, name, remaining_s, use_s=0.0):
        await asyncio.sleep(_LOAD_S)
        yield


class Engine:
    """An engine that reads prompts in order and batches its runs."""

    is_leaving = False
    is_starting = False
    is_silent = False
    remaining_start_s = 0.0
    started_at_ms = 0

    def __init__(self, name: str) -> None:
        self.backend_server = name
        self.is_serving = True
        self.running_count = 0
        self._read_until_s = 0.0

    def slot_name(self, model, adapter, version):
        return adapter

    def held_version(self, name):
        return 1

    async def run(self, call: Call, on_first_event: Callable[[], None]):
        """Run a call to its end."""
        now_s = asyncio.get_running_loop().time()
        self.running_count += 1
        try:
            read_s = call.prompt_tokens / PROMPT_TOKENS_PER_S
            self._read_until_s = max(now_s, self._read_until_s) + read_s
            await asyncio.sleep(self._read_until_s - now_s)
            await asyncio.sleep(_EVENT_TOKENS * self._step_s)
            on_first_event()
            left = max(0, call.answer_tokens - _EVENT_TOKENS)
            await asyncio.sleep(left * self._step_s)
        finally:
            self.running_count -= 1

    @property
    def _step_s(self) -> float:
        return _STEP_S * (1.0 + self.running_count / TURNS)


def _discipline(
    clock: virtual_time.LoopClock, parts: Collection[parts_module.Part]
) -> turn_queue.QueueDiscipline:
    if parts_module.Part.CALLER_LOSS in parts:
        return due_queue.DueQueue()
    return fair_queue.FairQueue(TURNS, lambda _order: True, clock)


class Site:
    """An engine and its sidecar's granter."""

    def __init__(
        self, number: int, seed: int, parts: Collection[parts_module.Part]
    ) -> None:
        clock = virtual_time.LoopClock()
        self.queue = turn_queue.TurnQueue(
            TURNS,
            8,
            512,
            _discipline(clock, parts),
            clock,
            lambda _order: 0.0,
        )
        self.tasks: list[asyncio.Future[None]] = []
        self.engine = Engine(f'i-{number}')
        self.outcomes = turn_metrics.TurnMetrics(
            self.queue, metrics.Metrics('s', 'zone-a')
        )
        self.granter = turn_granter.TurnGranter(
            self.queue,
            Adapters(),
            self.engine,
            prefill_pacer.PrefillPacer(clock),
            clock,
            lambda: 1,
            random.Random(seed),
            self.outcomes,
            crash_record.CrashRecord(clock, random.Random(seed)),
            parts=parts,
        )


class Caller:
    """Sends a call through an entry, and once more if it is refused."""

    def __init__(self, sites: list[Site], call: Call) -> None:
        self._sites = sites
        self._call = call
        self.fate = Fate(call)
        self._began_s = 0.0
        self._attempt = 0

    async def run(self) -> Fate:
        """Return what became of the call."""
        loop = asyncio.get_running_loop()
        self._began_s = loop.time()
        kind = self._call.kind
        for _ in range(2):
            left_s = kind.deadline_s - (loop.time() - self._began_s)
            retry_after_s = await self._send(left_s)
            if retry_after_s is None:
                break
            self.fate.refused_count += 1
            self.fate.outcome = 'refused'
            left_s = kind.deadline_s - (loop.time() - self._began_s)
            await asyncio.sleep(min(retry_after_s, left_s * _MAX_RETRY_RATIO))
        return self.fate

    async def _send(self, left_s: float) -> float | None:
        """Send one attempt; return when to come back if it is refused."""
        loop = asyncio.get_running_loop()
        self._attempt += 1
        arrived_s = loop.time()
        order = list(self._sites)
        random.Random(f'{self._call.number}').shuffle(order)
        replies = []
        for site in order:
            accept_s = 0.0
            if len(order) > 1:
                waited_s = loop.time() - arrived_s
                accept_s = self._call.kind.target_s - waited_s
                accept_s *= _ACCEPT_TARGET_RATIO
            reply = await self._ask(site, arrived_s, left_s, accept_s)
            if reply.refusal is None:
                await self._run(site, arrived_s, left_s)
                return None
            replies.append((reply.wait_ms, site, reply))
        if len(order) > 1:
            waiting = [r for r in replies if r[0]] or replies
            _, site, _ = min(waiting, key=lambda found: found[0])
            reply = await self._ask(site, arrived_s, left_s, 0.0)
            if reply.refusal is None:
                await self._run(site, arrived_s, left_s)
                return None
            replies.append((reply.wait_ms, site, reply))
        self.fate.held_s += loop.time() - arrived_s
        return min(r.retry_after_ms for _, _, r in replies) / 1000

    async def _ask(self, site, arrived_s, left_s, accept_s):
        call = self._call
        kind = call.kind
        waited_s = asyncio.get_running_loop().time() - arrived_s
        start_s = min(left_s, kind.give_up_s - _FIRST_EVENT_S) - waited_s
        request = turn_messages.TurnRequest(
            entry='edge-1',
            turn_id=f'r{call.number}.{self._attempt}.1',
            run_id=f'r{call.number}.{self._attempt}',
            model='m',
            adapter='cold' if call.is_cold else '',
            version=0,
            route=kind.name,
            rank=kind.rank,
            prompt_tokens=call.prompt_tokens,
            max_tokens=call.answer_tokens,
            expected_tokens=call.expected_tokens,
            wait_ms=30_000,
            start_within_ms=max(0, int(start_s * 1000)),
            target_ms=int((kind.target_s - waited_s) * 1000),
            deadline_ms=max(0, int((left_s - waited_s) * 1000)),
            accept_within_ms=max(0, int(accept_s * 1000)),
            organisation=call.organisation,
            weight=call.weight,
            fingerprint=f'f{call.number}',
        )
        self._turn_id = request.turn_id
        return await site.granter.request_turn(request)

    async def _run(self, site, arrived_s, left_s):
        loop = asyncio.get_running_loop()
        call = self._call
        run = asyncio.create_task(
            site.engine.run(call, lambda: events_s.append(loop.time()))
        )
        events_s: list[float] = []
        give_up_at_s = arrived_s + min(left_s, call.kind.give_up_s)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(arrived_s + left_s):
                while not run.done():
                    if not events_s and loop.time() > give_up_at_s:
                        break
                    await asyncio.wait([run], timeout=0.02)
        is_complete = run.done()
        if not is_complete:
            run.cancel()
            await asyncio.wait([run])
        await site.granter.end_turns([self._turn_id])
        self.fate.outcome = 'failed'
        if is_complete:
            self.fate.first_event_s = events_s[0] - self._began_s
            is_late = self.fate.first_event_s > call.kind.target_s
            self.fate.outcome = 'late' if is_late else 'on time'


def calls(phases: Iterable[Phase], seed: int) -> list[Call]:
    """Return the calls of a load."""
    source = random.Random(seed)
    shares = [1.0 / (n + 1.0) for n in range(len(ORGANISATIONS))]
    mean_share = statistics.fmean(shares)
    found: list[Call] = []
    begin_s = 0.0
    for phase in phases:
        at_s = begin_s
        rate_per_s = phase.load_ratio * CAPACITY_PER_S * ENGINE_COUNT
        while rate_per_s:
            at_s += source.expovariate(rate_per_s)
            if at_s >= begin_s + phase.duration_s:
                break
            kind = source.choices(KINDS, [k.load_share for k in KINDS])[0]
            number = source.choices(range(len(shares)), shares)[0]
            prompt = source.lognormvariate(-0.18, 0.6) * kind.prompt_tokens
            answer = source.lognormvariate(-0.18, 0.6) * kind.answer_tokens
            found.append(
                Call(
                    len(found),
                    kind,
                    ORGANISATIONS[number],
                    shares[number] / mean_share,
                    max(1, int(prompt)),
                    max(_EVENT_TOKENS, int(answer)),
                    max(1, int(answer * source.lognormvariate(0.0, 0.5))),
                    source.random() < _COLD_RATIO,
                    at_s,
                )
            )
        begin_s += phase.duration_s
    return found


def with_flood(load: list[Call], organisation: str, seed: int) -> list[Call]:
    """Return a load to which an organisation adds as many calls again."""
    source = random.Random(seed)
    own = [call for call in load if call.organisation == organisation]
    ends_at_s = max(call.at_s for call in load)
    return load + [
        dataclasses.replace(
            source.choice(own),
            number=len(load) + number,
            at_s=source.uniform(0.0, ends_at_s),
        )
        for number in range(len(load))
    ]


Event = Callable[[list[Site]], None]


def away(
    number: int, from_s: float, until_s: float
) -> tuple[tuple[float, Event], ...]:
    """Return the events of an engine that takes no requests for a time."""

    def leave(sites: list[Site]) -> None:
        sites[number].engine.is_serving = False
        refusing = sites[number].granter.refuse_pending()
        sites[number].tasks.append(asyncio.ensure_future(refusing))

    def come_back(sites: list[Site]) -> None:
        sites[number].engine.is_serving = True

    return ((from_s, leave), (until_s, come_back))


def play(
    load: list[Call],
    seed: int = 1,
    events: Iterable[tuple[float, Event]] = (),
    parts: Collection[parts_module.Part] = (),
) -> tuple[list[Fate], list[Site]]:
    """Play a load; return what became of each call, and the sites."""

    async def main():
        sites = [Site(number, seed, parts) for number in range(ENGINE_COUNT)]
        loop = asyncio.get_running_loop()
        for at_s, event in events:
            loop.call_at(at_s, event, sites)

        async def start(call):
            await asyncio.sleep(call.at_s)
            return await Caller(sites, call).run()

        return await asyncio.gather(*(start(c) for c in load)), sites

    return virtual_time.run(main())


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """Shares of calls by outcome."""

    count: int
    on_time: float
    late: float
    lost: float
    returned_lost: float

    @classmethod
    def of(cls, fates: Iterable[Fate]) -> 'Summary':
        """Return the summary of some calls."""
        found = list(fates)
        counts = collections.Counter(fate.outcome for fate in found)
        total = max(1, len(found))
        again = sum(f.refused_count > 1 for f in found)
        return cls(
            len(found),
            counts['on time'] / total,
            counts['late'] / total,
            (counts['refused'] + counts['failed']) / total,
            again / total,
        )

    @property
    def served(self) -> float:
        """Return the share that was answered, on time or late."""
        return self.on_time + self.late


def largest(fates: list[Fate], kind: Kind) -> list[Fate]:
    """Return the largest tenth of a kind."""
    own = [f for f in fates if f.call.kind is kind]
    own.sort(key=lambda fate: fate.call.size)
    return own[-max(1, len(own) // 10) :]


def least_served(fates: list[Fate]) -> float:
    """Return the share served of the least served organisation."""
    by_name = collections.defaultdict(list)
    for fate in fates:
        by_name[fate.call.organisation].append(fate)
    return min(Summary.of(group).served for group in by_name.values())


LOADS = {
    '0.8 times': (Phase(0.8, 10.0),),
    '1.2 times': (Phase(1.2, 10.0),),
    '1.5 times': (Phase(1.5, 10.0),),
    '2 times': (Phase(2.0, 10.0),),
    'burst of 3 s': (Phase(0.7, 4.0), Phase(2.2, 3.0), Phase(0.7, 6.0)),
}
_SEEDS = (1, 2, 3)


def _row(fates: list[Fate], kind: Kind | None = None) -> str:
    found = Summary.of(f for f in fates if kind in (None, f.call.kind))
    return f'{found.on_time:.3f}, {found.late:.3f}, {found.lost:.3f}'


def main() -> None:
    """Print what becomes of the callers, without and with the part."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    kinds = ' | '.join(kind.name for kind in KINDS)
    print(f'| load | part | all | {kinds} | least organisation |')
    print('| --- ' * (4 + len(KINDS)) + '|')
    for name, phases in LOADS.items():
        for is_on in (False, True):
            parts = (parts_module.Part.CALLER_LOSS,) if is_on else ()
            fates = []
            for seed in _SEEDS:
                fates += play(calls(phases, seed), seed, parts=parts)[0]
            rows = [_row(fates), *(_row(fates, kind) for kind in KINDS)]
            print(
                f'| {name} | {"on" if is_on else "off"} | '
                f'{" | ".join(rows)} | {least_served(fates):.2f} |'
            )


if __name__ == '__main__':
    main()
