"""A fleet whose engines differ in pace, as placement sees it."""

import collections
import heapq
import random

import numpy

from lacewingpitch import answer_needs
from lacewingpitch import cached_copies
from lacewingpitch import hint
from lacewingpitch import placement
from lacewingpitch import settings
from lacewingpitch import stall_costs
from lacewingpitch import zone_costs
from tests import clocks
from tests import samples

ENGINE_COUNT = 27
ENTRY_COUNT = 29
ZONE_COUNT = 3
MAX_RUNNING = 32
SLOT_COUNT = 19
COPY_COUNT = 66
ADAPTER_COUNT = 10_000
REQUESTS_PER_S = 200
SLOW_RATIO = 2.4
STEP_S = 0.005
TOKENS_PER_EVENT = 8
STORE_LOAD_S = 0.3
COPY_LOAD_S = 0.03
LIST_INTERVAL_S = 2.0
MAX_ATTEMPTS = 3
MAX_TURN_WAIT_S = 0.3
FIRST_EVENT_WITHIN_S = 0.5
WITHIN_S = 12.0
MAX_PAUSE_S = 0.3
# A pause exceeds the time of an event by this share of it, on average.
PAUSE_SPREAD = 0.2
STALL_HALF_LIFE_S = 5.0
LONG_TOKENS = 480


class Engine:
    """A model of an engine and its sidecar, as placement sees them."""

    def __init__(self, pace_ratio, source):
        self.pace_ratio = pace_ratio
        self.told_ratio = None
        self.is_silent = False
        self.source = source
        self.restart()

    def restart(self):
        self.runs = []
        self.held = {}
        self.copies = {}
        self.stalls = self.stream_s = 0.0
        self.advanced_s = 0.0

    def token_s(self):
        return STEP_S * self.pace_ratio * (1 + len(self.runs) / 24)

    def advance(self, now_s):
        kept = 0.5 ** ((now_s - self.advanced_s) / STALL_HALF_LIFE_S)
        self.advanced_s = now_s
        self.stalls *= kept
        self.stream_s *= kept
        while self.runs and self.runs[0][0] <= now_s:
            _, _, stalls, duration_s = heapq.heappop(self.runs)
            self.stalls += stalls > 0
            self.stream_s += duration_s

    def can_run(self, key, now_s):
        used = {run[1] for run in self.runs}
        if key not in self.held and len(used) >= SLOT_COUNT:
            return False
        return self._turn_at_s(now_s) - now_s <= MAX_TURN_WAIT_S

    def _turn_at_s(self, now_s):
        ahead = len(self.runs) - MAX_RUNNING
        if ahead < 0:
            return now_s
        return heapq.nsmallest(ahead + 1, self.runs)[-1][0]

    def run(self, key, tokens, now_s):
        """Run a request; return its load, first event, stalls and end."""
        load_s = self._load_s(key)
        self.held.pop(key, None)
        self.held[key] = None
        begin_s = max(now_s + load_s, self._turn_at_s(now_s))
        token_s = self.token_s()
        first_s = begin_s + 0.02 * self.pace_ratio + TOKENS_PER_EVENT * token_s
        end_s = min(begin_s + tokens * token_s, now_s + WITHIN_S)
        stalls = self._stall_count(tokens, token_s)
        run = (end_s, key, stalls, end_s - begin_s)
        heapq.heappush(self.runs, run)
        is_whole = begin_s + tokens * token_s <= now_s + WITHIN_S
        return load_s, first_s - now_s, stalls, is_whole

    def _stall_count(self, tokens, token_s):
        event_s = TOKENS_PER_EVENT * token_s
        excess = max(0.0, MAX_PAUSE_S / event_s - 1.0)
        probability = float(numpy.exp(-excess / PAUSE_SPREAD))
        events = max(1, tokens // TOKENS_PER_EVENT)
        return sum(self.source.random() < probability for _ in range(events))

    def _load_s(self, key):
        if key in self.held:
            return 0.0
        if len(self.held) >= SLOT_COUNT:
            used = {run[1] for run in self.runs}
            del self.held[next(k for k in self.held if k not in used)]
        is_copy = key in self.copies
        self.copies.pop(key, None)
        self.copies[key] = None
        if len(self.copies) > COPY_COUNT:
            del self.copies[next(iter(self.copies))]
        return COPY_LOAD_S if is_copy else STORE_LOAD_S

    def hint(self):
        return hint.Hint(
            running=min(len(self.runs), MAX_RUNNING),
            queued=max(0, len(self.runs) - MAX_RUNNING),
            max_running=MAX_RUNNING,
            load_wait_ms=int(STORE_LOAD_S * 1000),
            copy_wait_ms=int(COPY_LOAD_S * 1000),
            copy_count=COPY_COUNT,
            spare_slots=SLOT_COUNT - len(self.held),
            adapters=hint.encode_fingerprints(self.held),
            **self._pace(),
        )

    def _pace(self):
        if self.is_silent or not self.stream_s:
            return {}
        if self.told_ratio is not None:
            return {'token_us': int(STEP_S * self.told_ratio * 1e6)}
        return {
            'token_us': int(self.token_s() * 1e6),
            'stalls_per_1000s': int(
                1000 * self.stalls / (self.stream_s + 5.0)
            ),
        }


class Fleet:
    """Entry instances that hear of an engine only in its answers.

    Parameters
    ----------
    by_pace
        Whether the entry instances place by the pace of engines.
    by_zone
        Whether they prefer engines of their own availability zone.
    skew_ratio
        Share of the requests that all come to the first zone, beyond its
        part of the others.
    """

    def __init__(self, seed, by_pace, ratios, by_zone=False, skew_ratio=0.0):
        self.clock = clocks.ManualClock(100.0)
        self.random = random.Random(seed)
        self.by_pace = by_pace
        self.by_zone = by_zone
        self.skew_ratio = skew_ratio
        self.instances = tuple(
            samples.sidecar(
                f'engine-{number}', availability_zone=zone_of(number // 3)
            )
            for number in range(len(ratios))
        )
        self.engines = {
            instance.name: Engine(ratio, self.random)
            for instance, ratio in zip(self.instances, ratios, strict=True)
        }
        self.entries = [self.new_entry(n) for n in range(ENTRY_COUNT)]
        self.outcomes = collections.Counter()
        self.requests_by_engine = collections.Counter()
        self.loaded = collections.Counter()
        self.listed_at_s = 0.0

    def new_entry(self, number):
        name = f'entry-{number}'
        costs = stall_costs.StallCosts(self.clock, name)
        zones = zone_costs.ZoneCosts(zone_of(number))
        return placement.Placement(
            self.clock,
            settings.ObjectiveSettings(stall_weight=1.0),
            no_spare_slot_penalty_s=0.0,
            load_max_age_s=2.0,
            cached_copies=cached_copies.CachedCopies(),
            instance=name,
            stall_costs=costs if self.by_pace else None,
            zone_costs=zones if self.by_zone else None,
        )

    def restart(self, name):
        self.engines[name].restart()
        for entry in self.entries:
            entry.reset_instance(name)

    def play(self, requests):
        for number, tokens in requests:
            self.clock.now_s += self.random.expovariate(REQUESTS_PER_S)
            if self.clock.monotonic_s() - self.listed_at_s >= LIST_INTERVAL_S:
                self.listed_at_s = self.clock.monotonic_s()
                self._publish()
            entry = self._choose_entry()
            self._serve(f'a{number}', int(tokens), entry)

    def _choose_entry(self):
        if self.skew_ratio and self.random.random() < self.skew_ratio:
            return self.random.choice(self.entries[::ZONE_COUNT])
        return self.random.choice(self.entries)

    def _publish(self):
        for name, engine in self.engines.items():
            for entry in self.entries:
                entry.apply_listed_adapters(name, engine.held)

    def _serve(self, key, tokens, entry):
        now_s = self.clock.monotonic_s()
        needs = answer_needs.AnswerNeeds(tokens, WITHIN_S, True)
        for server in self._candidates(key, entry, needs):
            engine = self.engines[server.name]
            engine.advance(now_s)
            found = None
            if engine.can_run(key, now_s):
                found = engine.run(key, tokens, now_s)
            entry.apply_hint(server.name, engine.hint())
            if found is not None:
                self.requests_by_engine[server.name] += 1
                number = self.entries.index(entry)
                is_own = server.availability_zone == zone_of(number)
                self.outcomes['own zone'] += is_own
                self._record(key, tokens, *found)
                return
        self.outcomes['refused'] += 1

    def _candidates(self, key, entry, needs):
        ranking = entry.rank(key, self.instances, needs)
        found = ranking.instances[:MAX_ATTEMPTS]
        if ranking.fallback and ranking.fallback not in found:
            found.append(ranking.fallback)
        return found

    def _record(self, key, tokens, load_s, first_s, stalls, is_whole):
        found = self.outcomes
        found['served'] += 1
        found['stalled'] += stalls > 0
        found['late'] += first_s > FIRST_EVENT_WITHIN_S
        found['cut'] += not is_whole
        is_good = is_whole and not stalls and first_s <= FIRST_EVENT_WITHIN_S
        found['good'] += is_good
        if tokens >= LONG_TOKENS:
            found['long'] += 1
            found['long and good'] += is_good
        if load_s == STORE_LOAD_S:
            found['loads'] += 1
            self.loaded[key] += 1

    @property
    def repeated_loads(self):
        """Return the loads beyond the first one of each adapter."""
        return self.outcomes['loads'] - len(self.loaded)


def zone_of(number):
    return f'zone-{number % ZONE_COUNT}'


def uneven_ratios(slow_ratio=SLOW_RATIO):
    return [
        slow_ratio if number % 3 == 0 else 1.0
        for number in range(ENGINE_COUNT)
    ]


def make_requests(seed, duration_s):
    """Return adapters and lengths; a fifth of the answers is short."""
    generator = numpy.random.default_rng(seed)
    count = int(REQUESTS_PER_S * duration_s)
    ranks = generator.zipf(1.5, 4 * count)
    ranks = ranks[ranks <= ADAPTER_COUNT][:count]
    # Adapters change their rank every ten seconds.
    shift = (numpy.arange(count) // (10 * REQUESTS_PER_S)) * 500
    tokens = numpy.clip(generator.lognormal(5.5, 0.55, count), 16, 1000)
    tokens[generator.random(count) < 0.2] = 24
    return list(zip((ranks + shift) % ADAPTER_COUNT, tokens, strict=True))
