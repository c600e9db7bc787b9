"""Baselines and bounds that the policy is compared with."""

import asyncio
import collections
import contextlib
import heapq
import random

from benchmarks import policy_machines
from lacewingpitch import errors
from lacewingpitch import placement


class LruSlots:
    """Adapter slots as commonly managed: first come, first served, and LRU.

    One adapter loads at a time, and the least recently used idle adapter
    is evicted.  Requests whose adapter is loaded do not wait.
    """

    def __init__(self, engine, slot_count):
        self._engine = engine
        self._slot_count = slot_count
        self._held = collections.OrderedDict()
        self._loads = {}
        self._load_lock = asyncio.Lock()
        self._freed = asyncio.Event()
        self._generation = 0
        self.waiting_count = 0

    @property
    def adapters(self):
        return tuple(self._held)

    @contextlib.asynccontextmanager
    async def hold(self, name, deadline_s, _weight=1.0):
        loop = asyncio.get_running_loop()
        requested_at_s = loop.time()
        self.waiting_count += 1
        try:
            async with asyncio.timeout(deadline_s):
                slot = await self._acquire(name)
        except TimeoutError as error:
            raise errors.RefusalError(
                errors.ErrorKind.DEADLINE_UNREACHABLE, 'no slot in time'
            ) from error
        finally:
            self.waiting_count -= 1
        try:
            yield loop.time() - requested_at_s
        finally:
            slot[0] -= 1
            self._freed.set()

    def remove(self, name):
        self._held.pop(name, None)

    def clear_and_reload(self):
        self._generation += 1
        self._held.clear()

    async def close(self):
        pass

    async def _acquire(self, name):
        while name not in self._held:
            if name not in self._loads:
                self._loads[name] = asyncio.create_task(self._load(name))
                self._loads[name].add_done_callback(_retrieve_exception)
            try:
                await asyncio.shield(self._loads[name])
            except errors.PlatformError as error:
                raise errors.RefusalError(
                    errors.ErrorKind.ADAPTER_UNAVAILABLE, str(error)
                ) from error
        self._held.move_to_end(name)
        slot = self._held[name]
        slot[0] += 1
        return slot

    async def _load(self, name):
        try:
            async with self._load_lock:
                await self._free_slot()
                generation = self._generation
                await self._engine.load_adapter(name, 0)
                if generation == self._generation:
                    self._held[name] = [0]
        finally:
            del self._loads[name]

    async def _free_slot(self):
        while len(self._held) >= self._slot_count:
            idle = [n for n, slot in self._held.items() if not slot[0]]
            if idle:
                del self._held[idle[0]]
                await self._engine.evict_adapter(idle[0], 0)
            else:
                self._freed.clear()
                await self._freed.wait()


def _retrieve_exception(task):
    # Requests that timed out no longer await the failed load, and asyncio
    # logs exceptions that are never retrieved.
    if not task.cancelled():
        task.exception()


class _StatelessPlacement:
    """A placement that ignores hints and requests in progress."""

    async def locate(self, key, instances):
        return self.ranked_instances(key, instances)

    @contextlib.contextmanager
    def track_request(self, _key, _instance):
        yield

    def apply_hint_header(self, _instance, _header):
        pass


class RandomPlacement(_StatelessPlacement):
    def __init__(self, seed):
        self._random = random.Random(seed)

    def ranked_instances(self, _key, instances):
        return self._random.sample(instances, len(instances))


class HashPlacement(_StatelessPlacement):
    def ranked_instances(self, key, instances):
        return placement.rank_by_hash(key, instances)


class LeastLoaded(_StatelessPlacement):
    """Selects by the exact current number of requests of each engine."""

    def __init__(self):
        self._loads = collections.Counter()

    def ranked_instances(self, _key, instances):
        return sorted(instances, key=lambda i: self._loads[i.name])

    @contextlib.contextmanager
    def track_request(self, _key, instance):
        self._loads[instance] += 1
        try:
            yield
        finally:
            self._loads[instance] -= 1


class Clairvoyant:
    """A lower bound with loads on demand and knowledge of all requests.

    All engines of a model are one pool of slots without a limit on
    running requests.  The store is used without gaps and never fails.
    The adapter with the most waiting requests is loaded first, and the
    idle one with the latest next use is evicted (Belady's algorithm).
    """

    def __init__(self, workload, requests):
        site = workload.site
        self._workload = workload
        self._requests = requests
        self._slots = [n * site.slot_count for n in site.engines]
        self._free_loaders = site.store.loads_at_once
        self._load_s = site.store.loads_at_once / site.store.loads_per_s
        self._uses = collections.defaultdict(collections.deque)
        for request in requests:
            self._uses[request.adapter].append(request.at_s)
        self._held = [{} for _ in site.engines]
        self._loading = set()
        self._waiting = [collections.defaultdict(list) for _ in site.engines]
        self._events = []
        self._number = 0
        self.stalls_s = []
        self.load_count = 0

    def run(self):
        for request in self._requests:
            self._push(request.at_s, self._arrive, request)
        if self._workload.restart:
            self._push(self._workload.site.length_s / 3, self._restart, None)
        while self._events:
            now_s, _, action, argument = heapq.heappop(self._events)
            action(now_s, argument)
            self._start_loads(now_s)
        return self

    def _push(self, at_s, action, argument):
        self._number += 1
        heapq.heappush(self._events, (at_s, self._number, action, argument))

    def _arrive(self, now_s, request):
        self._uses[request.adapter].popleft()
        if request.adapter in self._held[request.pool]:
            self._start(now_s, request)
        else:
            self._waiting[request.pool][request.adapter].append(request)

    def _start(self, now_s, request):
        self.stalls_s.append(now_s - request.at_s)
        self._held[request.pool][request.adapter] += 1
        step_s = policy_machines.STEP_BASE_S
        self._push(now_s + request.tokens * step_s, self._end, request)

    def _end(self, _now_s, request):
        held = self._held[request.pool]
        if held.get(request.adapter):
            held[request.adapter] -= 1

    def _restart(self, _now_s, _argument):
        count = self._workload.site.slot_count
        held = self._held[0]
        idle = [adapter for adapter, busy in held.items() if not busy]
        for adapter in sorted(idle, key=self._next_use)[-count:]:
            del held[adapter]

    def _start_loads(self, now_s):
        while self._free_loaders:
            best = self._choose_load()
            if best is None:
                return
            pool, adapter = best
            if (
                len(self._held[pool]) + self._loads_of(pool)
                >= (self._slots[pool])
            ):
                del self._held[pool][self._victim(pool)]
            self._loading.add((pool, adapter))
            self._free_loaders -= 1
            self.load_count += 1
            load_s = self._load_s * slowdown(self._workload, now_s)
            self._push(now_s + load_s, self._finish_load, best)

    def _choose_load(self):
        wanted = [
            (len(requests), pool, adapter)
            for pool, waiting in enumerate(self._waiting)
            for adapter, requests in waiting.items()
            if (pool, adapter) not in self._loading
            and self._has_free_slot(pool)
        ]
        return max(wanted)[1:] if wanted else None

    def _loads_of(self, pool):
        return sum(1 for p, _ in self._loading if p == pool)

    def _has_free_slot(self, pool):
        used = len(self._held[pool]) + self._loads_of(pool)
        idle = any(not busy for busy in self._held[pool].values())
        return used < self._slots[pool] or idle

    def _victim(self, pool):
        idle = [a for a, busy in self._held[pool].items() if not busy]
        return max(idle, key=self._next_use)

    def _next_use(self, adapter):
        uses = self._uses[adapter]
        return uses[0] if uses else float('inf')

    def _finish_load(self, now_s, found):
        pool, adapter = found
        self._loading.discard(found)
        self._free_loaders += 1
        self._held[pool][adapter] = 0
        for request in self._waiting[pool].pop(adapter, []):
            self._start(now_s, request)


class PooledLru(Clairvoyant):
    """The bound without foresight: the least recently used is evicted.

    The difference to `Clairvoyant` is out of reach of any policy that
    does not know the future.
    """

    def __init__(self, workload, requests):
        super().__init__(workload, requests)
        self._used_at_s = {}

    def _arrive(self, now_s, request):
        self._used_at_s[request.adapter] = now_s
        super()._arrive(now_s, request)

    def _next_use(self, adapter):
        return -self._used_at_s[adapter]


def slowdown(workload, now_s):
    """Return the factor by which loads take longer at some time."""
    third_s = workload.site.length_s / 3
    is_slow = workload.slow_store and third_s <= now_s < 2 * third_s
    return 2.0 if is_slow else 1.0


def packed_efficiency(workload, requests):
    """Return the batch efficiency of optimal packing without stalls."""
    site = workload.site
    step_s = (
        policy_machines.STEP_BASE_S
        + policy_machines.STEP_PER_REQUEST_S * site.max_running
    )
    work = steps = 0.0
    for pool in range(len(site.engines)):
        changes = []
        for request in requests:
            if request.pool == pool:
                changes.append((request.at_s, 1))
                changes.append((request.at_s + request.tokens * step_s, -1))
        running, previous_s = 0, 0.0
        for at_s, change in sorted(changes):
            work += running * (at_s - previous_s)
            steps += -(-running // site.max_running) * (at_s - previous_s)
            running, previous_s = running + change, at_s
    return work / (steps * site.max_running)
