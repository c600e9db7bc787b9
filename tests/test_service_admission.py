"""Admission of requests to a plain service that has too little room."""

import asyncio
import collections
import contextlib
import random

import pytest

from benchmarks import virtual_time
from lacewingpitch import backend_list
from lacewingpitch import ejection
from lacewingpitch import errors
from lacewingpitch import plain_server_selector
from lacewingpitch import server_gate
from lacewingpitch import service_admission
from lacewingpitch import service_balancer
from lacewingpitch import suspects
from tests import clocks
from tests import limit_fakes

ENTRIES = 29
SLOTS = 6
QUEUE = 24
WORK_S = 0.1
TARGET_S = 0.4
DURATION_S = 20.0
CAPACITY_PER_S = SLOTS / WORK_S


class Server:
    """Runs a few requests, queues some more, and turns others away."""

    def __init__(self, source):
        self.slots = asyncio.Semaphore(SLOTS)
        self.count = 0
        self.source = source

    async def run(self):
        if self.count >= SLOTS + QUEUE:
            return False
        self.count += 1
        try:
            async with self.slots:
                await asyncio.sleep(self.source.uniform(0.5, 1.5) * WORK_S)
        finally:
            self.count -= 1
        return True


async def call(server, admission, clock, outcomes, source):
    """Send a request as an entry does; its caller returns once."""
    arrived_s = clock.monotonic_s()
    for _ in range(2):
        refusal = admission.refusal('app', TARGET_S)
        if refusal is None:
            sent_s = clock.monotonic_s()
            if await server.run():
                now_s = clock.monotonic_s()
                admission.record_answer('app', now_s - sent_s)
                on_time = now_s - arrived_s <= TARGET_S
                outcomes['on time' if on_time else 'late'] += 1
                return
            admission.record_full('app')
        retry_s = refusal.retry_after_s if refusal else 0.1
        await asyncio.sleep(retry_s)
    outcomes['refused'] += 1


def play(new_admission, load_ratio, seed=1):
    """Return the share of requests by outcome."""

    async def main():
        clock = virtual_time.LoopClock()
        source = random.Random(seed)
        server = Server(source)
        entries = [new_admission(clock, source) for _ in range(ENTRIES)]
        outcomes = collections.Counter()
        calls = []
        while clock.monotonic_s() < DURATION_S:
            await asyncio.sleep(
                source.expovariate(load_ratio * CAPACITY_PER_S)
            )
            admission = source.choice(entries)
            calls.append(
                asyncio.create_task(
                    call(server, admission, clock, outcomes, source)
                )
            )
        await asyncio.gather(*calls)
        return {k: n / len(calls) for k, n in outcomes.items()}

    return virtual_time.run(main())


def admit_all(clock, source):
    return service_admission.AdmitAll()


class TestOverload:
    @pytest.mark.parametrize('load_ratio', [1.5, 2.0])
    def test_more_callers_are_served_in_time(self, load_ratio):
        """Guards against a full queue that makes all answers late."""
        before = play(admit_all, load_ratio)
        after = play(service_admission.LatencyAdmission, load_ratio)
        assert after['on time'] > before['on time'] + 0.1
        assert after['late'] < before['late'] - 0.1
        served = 1.0 - after['refused']
        assert served > 1.0 - before['refused'] - 0.05

    def test_nobody_is_refused_while_there_is_room(self):
        after = play(service_admission.LatencyAdmission, 0.6)
        assert 'refused' not in after
        assert after == play(admit_all, 0.6)


class TestSelector:
    def selector(self, admission=None):
        clock = clocks.ManualClock(100.0)
        source = random.Random(1)
        servers = backend_list.BackendList(clock)
        servers.replace_all(
            backend_list.BackendServer(name, 'lookup', '10.0.0.1', port, 'z')
            for port, name in enumerate('abc', 80)
        )
        return plain_server_selector.PlainServerSelector(
            service_balancer.ServiceBalancer(
                servers, ejection.Ejector(clock, source), 'zone-a', source
            ),
            suspects.Suspects(clock, source, lambda: ()).record,
            limit_fakes.make_limits(clock),
            server_gate.ServerGate(servers, clock, source),
            *([admission] if admission else []),
        )

    async def admitted_count(self, selector, excluded=()):
        count = 0
        for _ in range(50):
            with contextlib.suppress(errors.RefusalError):
                async with selector.select(('f',), ('lookup',), excluded, 0.4):
                    count += 1
        return count

    async def overload(self, selector, name):
        others = set('abc') - {name}
        await self.admitted_count(selector)
        async with selector.select(('f',), ('lookup',), others) as turn:
            server = turn.server
        for _ in range(20):
            selector.record_answer(server, 0.8)
            selector.record_full(server)

    def controlled_selector(self):
        clock = clocks.ManualClock(100.0)
        return self.selector(
            service_admission.LatencyAdmission(clock, random.Random(1))
        )

    async def test_overloaded_servers_get_fewer_first_attempts(self):
        selector = self.controlled_selector()
        assert await self.admitted_count(selector) == 50
        for name in 'abc':
            await self.overload(selector, name)
        assert await self.admitted_count(selector) < 25
        # A request that a full server did not run goes to another one.
        assert await self.admitted_count(selector, ('a',)) == 50

    async def test_servers_with_room_get_what_a_full_one_refuses(self):
        """Guards against refusals while another server has room."""
        selector = self.controlled_selector()
        await self.overload(selector, 'a')
        assert await self.admitted_count(selector) == 50

    async def test_without_the_part_all_are_admitted(self):
        selector = self.selector()
        for name in 'abc':
            await self.overload(selector, name)
        assert await self.admitted_count(selector) == 50


class TestLatencyAdmission:
    def new(self):
        clock = clocks.ManualClock(100.0)
        return clock, service_admission.LatencyAdmission(
            clock, random.Random(1)
        )

    def refused_count(self, admission):
        return sum(
            admission.refusal('app', TARGET_S) is not None for _ in range(100)
        )

    def test_late_answers_of_servers_with_room_refuse_nobody(self):
        """Guards against refusals because of a slow link or server."""
        _, admission = self.new()
        assert not self.refused_count(admission)
        for _ in range(50):
            admission.record_answer('app', 2 * TARGET_S)
        assert not self.refused_count(admission)

    def test_load_is_admitted_again_after_the_overload(self):
        """Guards against refusals that outlast their cause."""
        clock, admission = self.new()
        self.refused_count(admission)
        admission.record_full('app')
        for _ in range(20):
            admission.record_answer('app', 2 * TARGET_S)
        assert self.refused_count(admission) > 50
        clock.now_s += 5.0
        assert not self.refused_count(admission)

    def test_some_requests_are_always_admitted(self):
        """Guards against a share of refusals that no answer can lower."""
        _, admission = self.new()
        self.refused_count(admission)
        admission.record_full('app')
        for _ in range(1000):
            admission.record_answer('app', 2 * TARGET_S)
        assert self.refused_count(admission) < 100

    def test_servers_do_not_share_their_load(self):
        _, admission = self.new()
        admission.refusal('app', TARGET_S)
        admission.refusal('other', TARGET_S)
        admission.record_full('app')
        for _ in range(20):
            admission.record_answer('app', 2 * TARGET_S)
        assert dict(admission.refused_ratios())['other'] == 0.0

    def test_unknown_servers_are_ignored(self):
        _, admission = self.new()
        admission.record_full('engines')
        admission.record_answer('engines', 9.0)
        assert not list(admission.refused_ratios())
