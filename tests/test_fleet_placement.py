"""How many adapters a fleet brings from the store, without a network."""

import collections
import heapq
import random

import numpy
import pytest

from lacewingpitch import cached_copies
from lacewingpitch import hint
from lacewingpitch import placement
from lacewingpitch import settings
from tests import clocks
from tests import samples

ENGINE_COUNT = 24
ENTRY_COUNT = 48
TURN_COUNT = 12
PLACE_COUNT = 11
COPY_COUNT = 66
ADAPTER_COUNT = 4000
REQUESTS_PER_S = 115
LENGTH_S = 40.0
RUN_S = 1.8
STORE_LOAD_S = 0.25
COPY_LOAD_S = 0.025
LIST_INTERVAL_S = 2.0
MAX_ASKED = 3
# With a longer wait for a turn, an engine refuses.
SOON_S = 0.4


class Engine:
    """An engine and its sidecar, in as far as placement meets them."""

    def __init__(self):
        self.runs = []
        self.held = {}
        self.copies = {}

    def advance(self, now_s):
        while self.runs and self.runs[0][0] <= now_s:
            heapq.heappop(self.runs)

    def may_take(self, key, now_s):
        used = {found for _, found in self.runs}
        if key not in self.held and len(used) >= PLACE_COUNT:
            return False
        return self._turn_at_s(now_s) - now_s <= SOON_S

    def _turn_at_s(self, now_s):
        ahead = len(self.runs) - TURN_COUNT
        if ahead < 0:
            return now_s
        return heapq.nsmallest(ahead + 1, self.runs)[-1][0]

    def take(self, key, now_s):
        """Run a request; return whether its adapter came from the store."""
        load_s = self._load_s(key)
        self.held.pop(key, None)
        self.held[key] = None
        begin_s = max(now_s + load_s, self._turn_at_s(now_s))
        heapq.heappush(self.runs, (begin_s + RUN_S, key))
        return load_s == STORE_LOAD_S

    def _load_s(self, key):
        if key in self.held:
            return 0.0
        if len(self.held) >= PLACE_COUNT:
            used = {found for _, found in self.runs}
            del self.held[next(k for k in self.held if k not in used)]
        is_copy = key in self.copies
        self.copies.pop(key, None)
        self.copies[key] = None
        if len(self.copies) > COPY_COUNT:
            del self.copies[next(iter(self.copies))]
        return COPY_LOAD_S if is_copy else STORE_LOAD_S

    def hint(self):
        return hint.Hint(
            running=min(len(self.runs), TURN_COUNT),
            queued=max(0, len(self.runs) - TURN_COUNT),
            max_running=TURN_COUNT,
            load_wait_ms=int(STORE_LOAD_S * 1000),
            copy_wait_ms=int(COPY_LOAD_S * 1000),
            copy_count=COPY_COUNT,
            spare_slots=PLACE_COUNT - len(self.held),
            adapters=hint.encode_fingerprints(self.held),
        )


class Fleet:
    """Entries that each hear of an engine only when they ask it."""

    def __init__(self, seed):
        self.clock = clocks.ManualClock(100.0)
        self.source = random.Random(seed)
        self.instances = tuple(
            samples.sidecar(f'engine-{number}')
            for number in range(ENGINE_COUNT)
        )
        self.engines = {i.name: Engine() for i in self.instances}
        self.entries = [
            placement.Placement(
                self.clock,
                settings.ObjectiveSettings(stall_weight=1.0),
                no_spare_slot_penalty_s=0.0,
                load_max_age_s=2.0,
                cached_copies=cached_copies.CachedCopies(),
                instance=f'entry-{number}',
            )
            for number in range(ENTRY_COUNT)
        ]
        self.outcomes = collections.Counter()
        self.asked_for = set()

    def play(self, numbers):
        listed_at_s = 0.0
        for number in numbers:
            self.clock.now_s += self.source.expovariate(REQUESTS_PER_S)
            if self.clock.monotonic_s() - listed_at_s >= LIST_INTERVAL_S:
                listed_at_s = self.clock.monotonic_s()
                self._publish()
            self._serve(f'a{number}', self.source.choice(self.entries))

    def _publish(self):
        for name, engine in self.engines.items():
            for entry in self.entries:
                entry.apply_listed_adapters(name, engine.held)

    def _serve(self, key, entry):
        self.asked_for.add(key)
        now_s = self.clock.monotonic_s()
        for server in entry.ranked_instances(key, self.instances)[:MAX_ASKED]:
            engine = self.engines[server.name]
            engine.advance(now_s)
            is_taken = engine.may_take(key, now_s)
            if is_taken:
                self.outcomes['from the store'] += engine.take(key, now_s)
            entry.apply_hint(server.name, engine.hint())
            if is_taken:
                self.outcomes['served'] += 1
                return
        self.outcomes['refused'] += 1


def play(seed):
    fleet = Fleet(seed)
    source = numpy.random.default_rng(seed)
    count = int(REQUESTS_PER_S * LENGTH_S)
    ranks = source.zipf(1.2, 4 * count)
    ranks = ranks[ranks <= ADAPTER_COUNT][:count]
    # What is hot changes twice.
    shift = numpy.arange(len(ranks)) * 3 // len(ranks) * 1000
    fleet.play((ranks + shift) % ADAPTER_COUNT)
    return fleet


class TestLoads:
    @pytest.mark.parametrize('seed', [1, 2, 3])
    def test_adapters_come_from_the_store_once(self, seed):
        """Loads crowd the store, and answers that need one are late.

        A few adapters are wanted at many engines at once, and most at one
        engine now and then.  An entry hears from each engine seldom, takes
        an engine that was full a while ago for full, and brings what
        another one holds to a third.
        """
        fleet = play(seed)
        found = fleet.outcomes
        least = len(fleet.asked_for)
        assert found['from the store'] < 1.3 * least
        assert found['refused'] < 0.01 * found['served']
