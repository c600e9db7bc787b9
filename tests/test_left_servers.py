"""Use of servers that left, around outages of the store."""

import asyncio
import dataclasses
import random

import pytest

from benchmarks import virtual_time
from lacewingpitch import backend_list
from lacewingpitch.platform import prefix_watcher
from lacewingpitch.platform import store as store_module
from lacewingpitch.platform import store_updates
from tests import fault_matrix
from tests import platform_standin as standin
from tests import store_faults

Fault = fault_matrix.Fault
Promise = fault_matrix.Promise
Step = fault_matrix.Step

# The platform's bounds: a process that could read the store for so long must
# act on what it said, and a server that left may get requests for so long.
CONTACT_S = 3.0
DRAIN_S = 2.0
# Heartbeats that must be missing before the store removes an entry.
HEARTBEAT_S = 1.2
EXPIRY_S = 3 * HEARTBEAT_S
# Within this time of the store's return all servers have registered again.
REGISTERED_WITHIN_S = 2.0
OUTAGE_FROM_S = 6.0
STEP_S = 0.05
SEEDS = 200
LEFT = 'i-left'
HEALTHY = ('i-1', 'i-2')
OUTAGES = ('silent', 'reset', '503', '429', 'mixed')


def entry(name, service=standin.PLAIN, state='ready'):
    found = standin.Engine(name).entry(f'10.0.0.7:{port_of(name)}')
    return {**found, 'service': service, 'state': state}


def port_of(name):
    return 1000 + sum(name.encode())


class Scene:
    """One entry that reads a faulty store in virtual time."""

    def __init__(
        self,
        seed,
        outages,
        refusals=(),
        healthy=HEALTHY,
        has_sidecar=False,
    ):
        self.random = random.Random(f'{seed} left servers')
        self.clock = virtual_time.LoopClock()
        self.outages = outages
        self.healthy = healthy
        self.store = store_faults.FaultyStore(
            self.clock, seed, outages, refusals
        )
        for name in (LEFT, *healthy):
            self.store.write(name, entry(name))
        self.store.write('i-other', entry('i-other', 'svc-other'))
        self.servers = backend_list.BackendList(
            self.clock,
            contact_s=CONTACT_S,
            has_sidecar=lambda _service: has_sidecar,
        )
        watcher = prefix_watcher.PrefixWatcher(
            store_module.Store(self.store, 'http://store'),
            '',
            1.1,
            0.0,
            self.clock,
            random.Random(seed),
        )
        self._tasks = [
            asyncio.create_task(
                store_updates.dispatch_changes(
                    watcher, [store_updates.BackendUpdates(self.servers)]
                )
            )
        ]

    def at(self, at_s, write, *arguments):
        asyncio.get_running_loop().call_at(at_s, write, *arguments)

    def write_at(self, at_s, name, content):
        self.at(at_s, self.store.write, name, content)

    def change_entries(self, until_s):
        """Let a healthy server's entry change every few 100 ms."""
        at_s = 0.5
        while at_s < until_s:
            if not any(o.covers(at_s) for o in self.outages):
                changed = {**entry('i-other', 'svc-other'), 'slots': 9}
                self.write_at(at_s, 'i-other', changed)
            at_s += self.random.uniform(0.2, 0.8)

    def is_in_touch(self, now_s):
        return not any(
            o.from_s <= now_s and now_s - CONTACT_S < o.until_s
            for o in self.outages
        )

    def names(self):
        return {s.name for s in self.servers.serving(standin.PLAIN)}

    async def used_too_late(self, left_at_s, until_s):
        """Return when the server was used although it must not be."""
        found = []
        while (now_s := self.clock.monotonic_s()) < until_s:
            is_due = now_s > left_at_s + DRAIN_S and self.is_in_touch(now_s)
            if is_due and LEFT in self.names():
                found.append(round(now_s, 2))
            await asyncio.sleep(STEP_S)
        return found

    async def unserved(self, until_s):
        """Return when no healthy server was in use."""
        await asyncio.sleep(1.0)
        found = []
        while (now_s := self.clock.monotonic_s()) < until_s:
            if not self.names() & set(self.healthy):
                found.append(round(now_s, 2))
            await asyncio.sleep(STEP_S)
        return found


@dataclasses.dataclass(frozen=True)
class Draw:
    """What is random in one play."""

    how: str
    leaving: str
    refused: str
    until_s: float
    left_at_s: float
    refused_until_s: float

    @classmethod
    def of(cls, seed):
        source = random.Random(seed)
        until_s = OUTAGE_FROM_S + source.uniform(1.0, 12.0)
        return cls(
            how=source.choice(OUTAGES),
            leaving=source.choice(['removed', 'draining']),
            refused=source.choice(['429', '503', 'cut']),
            until_s=until_s,
            left_at_s=source.uniform(OUTAGE_FROM_S - 1.5, until_s - 0.1),
            refused_until_s=until_s + source.uniform(0.2, 2.0),
        )

    @property
    def outage(self):
        return store_faults.Outage(OUTAGE_FROM_S, self.until_s, self.how)

    @property
    def refusals(self):
        return store_faults.Refusals(
            self.until_s, self.refused_until_s, self.refused
        )


def leave(scene, how, at_s):
    """Let the server leave; its entry is removed some seconds later."""
    if how == 'removed':
        scene.write_at(at_s, LEFT, None)
        return
    scene.write_at(at_s, LEFT, entry(LEFT, state='draining'))
    scene.write_at(at_s + scene.random.uniform(2.0, 8.0), LEFT, None)


def failures(play):
    """Return the seeds that fail, with what they show."""
    found = {seed: virtual_time.run(play(seed)) for seed in range(SEEDS)}
    return {seed: shown for seed, shown in found.items() if shown}


class TestOwnOutage:
    """The store serves all but this process."""

    async def used_too_late(self, seed, refused, has_sidecar=False):
        """Let reads fail after an outage in which a server may leave."""
        draw = Draw.of(seed)
        refusals = dataclasses.replace(draw.refusals, how=refused)
        scene = Scene(
            seed, (draw.outage,), (refusals,), has_sidecar=has_sidecar
        )
        scene.change_entries(draw.until_s + 8.0)
        leave(scene, draw.leaving, draw.left_at_s)
        if seed % 2:
            scene.at(draw.until_s - 0.5, scene.store.forget_history)
        return await scene.used_too_late(draw.left_at_s, draw.until_s + 8.0)

    @pytest.mark.proves(Promise.LEAVING, Fault.TWO_FAULTS, Step.ANY)
    def test_refused_reads_afterwards_do_not_extend_the_use(self):
        """Guards against use past the deadline when later reads fail."""

        def play(seed):
            return self.used_too_late(seed, Draw.of(seed).refused)

        assert failures(play) == {}

    @pytest.mark.parametrize('refused', ['429', 'cut'])
    @pytest.mark.proves(Promise.LEAVING, Fault.TWO_FAULTS, Step.ANY)
    def test_rejected_reads_do_not_extend_the_use_of_engines(self, refused):
        """Guards against engines used past the deadline."""

        def play(seed):
            return self.used_too_late(seed, refused, has_sidecar=True)

        assert failures(play) == {}

    @pytest.mark.proves(Promise.LEAVING, Fault.SAME_TWICE, Step.ANY)
    def test_a_second_outage_does_not_bring_the_server_back(self):
        """Guards against a retention that each outage starts anew."""

        async def play(seed):
            draw = Draw.of(seed)
            again_s = draw.refused_until_s + 0.3
            again = store_faults.Outage(again_s, again_s + 4.0, draw.how)
            scene = Scene(seed, (draw.outage, again))
            leave(scene, 'removed', draw.left_at_s)
            return await scene.used_too_late(draw.left_at_s, again_s + 10.0)

        assert failures(play) == {}

    @pytest.mark.proves(Promise.LEAVING, Fault.CONFIG_DOWN, Step.ANY)
    def test_all_servers_of_a_service_that_left_are_dropped(self):
        """Guards against servers kept as if their entries had expired."""

        async def play(seed):
            draw = Draw.of(seed)
            refusals = dataclasses.replace(draw.refusals, how='429')
            scene = Scene(seed, (draw.outage,), (refusals,), healthy=())
            leave(scene, draw.leaving, draw.left_at_s)
            return await scene.used_too_late(
                draw.left_at_s, draw.until_s + 8.0
            )

        assert failures(play) == {}


class TestOutageForAll:
    """The store serves nobody, and entries expire meanwhile."""

    def scene_of(self, seed, draw):
        how = random.Random(seed).choice(['silent', 'reset', '503'])
        outage = dataclasses.replace(draw.outage, how=how)
        refusals = dataclasses.replace(draw.refusals, how='429')
        scene = Scene(seed, (outage,), (refusals,) if seed % 2 else ())
        for name in (*HEALTHY, 'i-other'):
            self.expire(scene, draw, name)
        return scene

    def expire(self, scene, draw, name):
        """Let an entry expire, if the outage is long enough."""
        expires_at_s = OUTAGE_FROM_S + EXPIRY_S
        expires_at_s -= scene.random.uniform(0.0, HEARTBEAT_S)
        if expires_at_s > draw.until_s:
            return
        service = 'svc-other' if name == 'i-other' else standin.PLAIN
        again_at_s = draw.until_s
        again_at_s += scene.random.uniform(0.0, REGISTERED_WITHIN_S)
        scene.write_at(expires_at_s, name, None)
        scene.write_at(again_at_s, name, entry(name, service))

    @pytest.mark.proves(Promise.LEAVING, Fault.CONFIG_DOWN, Step.ANY)
    def test_healthy_servers_stay_in_use(self):
        """Guards against a service without servers after an outage."""

        async def play(seed):
            draw = Draw.of(seed)
            scene = self.scene_of(seed, draw)
            self.expire(scene, draw, LEFT)
            scene.healthy = (LEFT, *HEALTHY)
            return await scene.unserved(draw.until_s + 8.0)

        assert failures(play) == {}

    @pytest.mark.proves(Promise.LEAVING, Fault.TWO_FAULTS, Step.ANY)
    def test_a_server_that_left_just_before_is_dropped(self):
        """Guards against a server kept as if its entry had expired."""

        async def play(seed):
            draw = Draw.of(seed)
            scene = self.scene_of(seed, draw)
            scene.change_entries(OUTAGE_FROM_S)
            left_at_s = OUTAGE_FROM_S - scene.random.uniform(0.0, 1.2)
            leave(scene, 'removed', left_at_s)
            return await scene.used_too_late(left_at_s, draw.until_s + 8.0)

        assert failures(play) == {}


class TestLateWrite:
    @pytest.mark.parametrize('is_cut_off', [False, True])
    @pytest.mark.proves(Promise.LEAVING, Fault.LIST_WRONG, Step.ANY)
    def test_a_late_write_does_not_make_a_leaving_server_ready(
        self, is_cut_off
    ):
        """Guards against an entry from before the leaving, stored late."""

        async def play(seed):
            draw = Draw.of(seed)
            outage = store_faults.Outage(
                OUTAGE_FROM_S, OUTAGE_FROM_S + 3.0, draw.how
            )
            scene = Scene(seed, (outage,) if is_cut_off else ())
            left_at_s = OUTAGE_FROM_S - 2.0
            leave(scene, 'draining', left_at_s)
            late_at_s = left_at_s + scene.random.uniform(1.2, 6.0)
            scene.write_at(late_at_s, LEFT, entry(LEFT))
            return await scene.used_too_late(left_at_s, late_at_s + 8.0)

        assert failures(play) == {}
