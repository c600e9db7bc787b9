"""Streams at engines that fall silent, or hang for good, in virtual time.

Run ``python -m benchmarks.silent_servers``.  One entry sends resumable
streams to nine engines with the product's forwarder, retry budget and
ejection.  It prints, for each kind of trouble, how many streams were cut or
left by their callers, how many had a long pause, and what retries cost.
"""

import asyncio
import collections
import contextlib
import random

from benchmarks import virtual_time
from lacewingpitch import adapter_versions
from lacewingpitch import backend_call
from lacewingpitch import backend_list
from lacewingpitch import ejection
from lacewingpitch import errors
from lacewingpitch import request_forwarder
from lacewingpitch import routing
from lacewingpitch import server_gate
from lacewingpitch import service_balancer
from lacewingpitch import service_budgets
from lacewingpitch import suspects
from lacewingpitch import turn_spec
from tests import limit_fakes

ENGINE_COUNT = 9
SLOT_COUNT = 32
RATE_PER_S = 14.0
LENGTH_S = 60.0
EVENT_COUNT = 49
EVENT_PAUSE_S = 0.04
PREFILL_S = 0.1
# A caller leaves after a pause of this length.
PATIENCE_S = 3.2
LONG_PAUSE_S = 0.25
SEEDS = range(4)
ROUTE = routing.Route(
    'chat',
    'h',
    '/',
    (routing.WeightedService('s', 1.0),),
    routing.RequestKind.STREAM,
    timeout_s=12.0,
    target_latency_s=0.8,
    max_attempts=2,
    is_resumable=True,
    target_gap_s=0.25,
)


class Engines:
    """Engines that make events on time, unless they are silent."""

    def __init__(self, clock, source):
        self._clock = clock
        self._source = source
        self.names = [f'engine-{n}' for n in range(ENGINE_COUNT)]
        self.silent_until_s = collections.Counter()
        self.running = collections.Counter()
        self.run_count = 0
        self.ejector = None

    @contextlib.asynccontextmanager
    async def acquire(self, spec, excluded):
        names = [n for n in self.names if n not in excluded]
        free = [
            name
            for name in self.ejector.allowed(names)
            if self.running[name] < SLOT_COUNT
        ]
        if not free:
            raise errors.RefusalError(errors.ErrorKind.QUEUE_FULL, 'full')
        name = min(
            free, key=lambda n: (self.running[n], self._source.random())
        )
        self.running[name] += 1
        try:
            yield turn_spec.Turn(server(name), 0)
        finally:
            self.running[name] -= 1

    @contextlib.asynccontextmanager
    async def send(self, call):
        self.run_count += 1
        yield backend_call.BackendAnswer(200, (), self._chunks(call))

    async def _chunks(self, call):
        name = call.server.name
        await asyncio.sleep(PREFILL_S)
        for number in range(call.last_event_id + 1, EVENT_COUNT + 1):
            await asyncio.sleep(EVENT_PAUSE_S)
            silent_s = self.silent_until_s[name] - self._clock.monotonic_s()
            if silent_s > 0:
                await asyncio.sleep(silent_s)
            yield b'id: %d\ndata: x\n\n' % number


class Caller:
    """Receives one stream, and leaves after a long pause."""

    def __init__(self, clock, task):
        self.longest_pause_s = 0.0
        self.is_complete = False
        self.has_begun = False
        self._clock = clock
        self._task = task
        self._last_s = clock.monotonic_s()

    def record_sent(self):
        pass

    async def begin(self, _answer):
        self.has_begun = True

    async def write(self, _events):
        now_s = self._clock.monotonic_s()
        pause_s = now_s - self._last_s
        self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self._last_s = now_s

    async def finish(self):
        self.is_complete = True

    async def leave(self):
        while not self._task.done():
            await asyncio.sleep(0.05)
            if self._clock.monotonic_s() - self._last_s > PATIENCE_S:
                self._task.cancel()


def server(name):
    number = int(name.rpartition('-')[2])
    return backend_list.BackendServer(name, 's', f'10.0.0.{number}', 80, 'z')


class Entry:
    """The forwarder with its budget, and what callers get."""

    def __init__(self, seed):
        clock = self.clock = virtual_time.LoopClock()
        source = self.source = random.Random(seed)
        self.engines = Engines(clock, source)
        ejector = self.engines.ejector = ejection.Ejector(clock, source)
        servers = backend_list.BackendList(clock)
        servers.replace_all(map(server, self.engines.names))
        self.ends = collections.Counter()
        self.forwarder = request_forwarder.RequestForwarder(
            self.engines,
            self.engines,
            service_balancer.ServiceBalancer(servers, ejector, 'z', source),
            ejector,
            service_budgets.ServiceBudgets(0.2, 56.0, 10.0, 10, clock, source),
            adapter_versions.AdapterVersions(),
            clock,
            source,
            suspects.Suspects(clock, source),
            limit_fakes.make_limits(clock, has_sidecar=False),
            server_gate.ServerGate(servers, clock, source),
        )

    async def call(self, number):
        now_s = self.clock.monotonic_s()
        request = backend_call.CallerRequest(
            request_id=f'r-{number}',
            method='POST',
            target='/',
            headers=(),
            body=b'',
            route=ROUTE,
            arrived_at_s=now_s,
            deadline_at_s=now_s + ROUTE.timeout_s,
            model='m',
        )
        caller = Caller(self.clock, asyncio.current_task())
        leaving = asyncio.create_task(caller.leave())
        try:
            await self.forwarder.forward(request, caller)
        except errors.RefusalError:
            self.ends['cut' if caller.has_begun else 'refused'] += 1
        except asyncio.CancelledError:
            self.ends['left'] += 1
        else:
            self.ends['whole'] += 1
            self.ends['long pause'] += caller.longest_pause_s > LONG_PAUSE_S
            self.ends['pause over 2 s'] += caller.longest_pause_s > 2.0
        finally:
            leaving.cancel()

    async def play(self, trouble):
        troubles = asyncio.create_task(trouble(self))
        calls = []
        while self.clock.monotonic_s() < LENGTH_S:
            calls.append(asyncio.create_task(self.call(len(calls))))
            await asyncio.sleep(self.source.expovariate(RATE_PER_S))
        await asyncio.gather(*calls, return_exceptions=True)
        troubles.cancel()
        self.ends['requests'] = len(calls)
        self.ends['extra runs'] = self.engines.run_count - len(calls)
        return self.ends


async def calm(_entry):
    """No engine falls silent."""


def silent(count, min_s, max_s, interval_s):
    """Return a trouble in which engines fall silent at once, again and again.

    Parameters
    ----------
    count
        Number of engines that fall silent together.
    """

    async def trouble(entry):
        while True:
            await asyncio.sleep(interval_s)
            for name in entry.source.sample(entry.engines.names, count):
                until_s = entry.clock.monotonic_s() + entry.source.uniform(
                    min_s, max_s
                )
                entry.engines.silent_until_s[name] = until_s

    return trouble


TROUBLES = {
    'calm': calm,
    'one silent 1 to 2 s': silent(1, 1.0, 2.0, 5.0),
    'three silent 1 to 2 s': silent(3, 1.0, 2.0, 5.0),
    'all silent 1 to 1.5 s': silent(ENGINE_COUNT, 1.0, 1.5, 10.0),
    'one hangs 10 s': silent(1, 10.0, 10.0, 15.0),
    'three hang 10 s': silent(3, 10.0, 10.0, 20.0),
}
COLUMNS = (
    'requests',
    'cut',
    'refused',
    'left',
    'long pause',
    'pause over 2 s',
    'extra runs',
)


async def play(seed, trouble):
    """Return how the streams of one run end."""
    return await Entry(seed).play(trouble)


def main():
    print(f'{"":22}', *(f'{name:>15}' for name in COLUMNS))
    for name, trouble in TROUBLES.items():
        total = collections.Counter()
        for seed in SEEDS:
            total += virtual_time.run(play(seed, trouble))
        print(f'{name:22}', *(f'{total[column]:15}' for column in COLUMNS))


if __name__ == '__main__':
    main()
