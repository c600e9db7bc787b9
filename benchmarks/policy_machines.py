"""Stand-ins for the weight store and for model engines, in virtual time."""

import asyncio
import heapq
import itertools

from lacewingpitch import engine as engine_module
from lacewingpitch import errors

STEP_BASE_S = 0.02
STEP_PER_REQUEST_S = 0.0005


class SharedServer:
    """A server with processor sharing: all jobs run at the same speed.

    `speed` gives the progress per second of each job for a number of
    jobs.
    """

    def __init__(self, speed):
        self._speed = speed
        self._jobs = []
        self._numbers = itertools.count()
        self._progress = 0.0
        self._advanced_at_s = 0.0
        self._timer = None
        self.busy_progress = 0.0
        self.work_done = 0.0

    def __len__(self):
        return len(self._jobs)

    async def serve(self, work):
        loop = asyncio.get_running_loop()
        self.advance()
        done = loop.create_future()
        job = (self._progress + work, next(self._numbers), done)
        heapq.heappush(self._jobs, job)
        self._schedule()
        try:
            await done
        except asyncio.CancelledError:
            self.advance()
            if job in self._jobs:
                self._jobs.remove(job)
                heapq.heapify(self._jobs)
            self._schedule()
            raise

    def advance(self):
        now_s = asyncio.get_running_loop().time()
        if self._jobs:
            passed = (now_s - self._advanced_at_s) * self._speed(
                len(self._jobs)
            )
            self._progress += passed
            self.busy_progress += passed
            self.work_done += passed * len(self._jobs)
        self._advanced_at_s = now_s

    def change_speed(self, speed):
        self.advance()
        self._speed = speed
        self._schedule()

    def _schedule(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._jobs:
            left = max(self._jobs[0][0] - self._progress, 0.0)
            self._timer = asyncio.get_running_loop().call_later(
                left / self._speed(len(self._jobs)), self._finish
            )

    def _finish(self):
        self._timer = None
        self.advance()
        while self._jobs and self._jobs[0][0] <= self._progress + 1e-9:
            done = heapq.heappop(self._jobs)[2]
            if not done.done():
                done.set_result(None)
        self._schedule()


class Store:
    """A weight store with a maximum rate, which concurrent loads share."""

    def __init__(self, settings, random, failing_ratio=0.0):
        self._settings = settings
        self._random = random
        self._failing_ratio = failing_ratio
        self._server = SharedServer(self._speed_at(1.0))

    def slow_down(self, factor):
        self._server.change_speed(self._speed_at(factor))

    def _speed_at(self, slowdown):
        at_once = self._settings.loads_at_once
        per_load = self._settings.loads_per_s / at_once / slowdown
        return lambda count: per_load * min(1.0, at_once / count)

    async def load(self):
        await self._server.serve(1.0)
        if self._random.random() < self._failing_ratio:
            raise errors.PlatformError('the load failed')


class BenchEngine:
    """An engine with batching; each step gives every request one token."""

    def __init__(self, store, slot_count, max_running):
        self._store = store
        self._slot_count = slot_count
        self.max_running = max_running
        self.held = set()
        self.running_by_adapter = {}
        self.load_count = 0
        self.eviction_count = 0
        self.evictions_under_run = 0
        self.steps = SharedServer(
            lambda count: 1.0 / (STEP_BASE_S + STEP_PER_REQUEST_S * count)
        )

    def restart(self):
        self.held.clear()

    async def load_adapter(self, name, _fencing):
        await self._store.load()
        if name not in self.held and len(self.held) >= self._slot_count:
            raise errors.PlatformError('no free slot')
        self.held.add(name)
        self.load_count += 1

    async def evict_adapter(self, name, _fencing):
        self.evictions_under_run += bool(self.running_by_adapter.get(name))
        self.held.discard(name)
        self.eviction_count += 1

    async def run(self, name, tokens):
        if name not in self.held:
            raise engine_module.AdapterMissingError('not held')
        self.running_by_adapter[name] = (
            self.running_by_adapter.get(name, 0) + 1
        )
        try:
            await self.steps.serve(tokens)
        finally:
            self.running_by_adapter[name] -= 1
