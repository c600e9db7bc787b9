"""The list of backend servers during and after an outage of the store."""

import asyncio
import random

import pytest

from benchmarks import virtual_time
from lacewingpitch import backend_list
from lacewingpitch import errors
from lacewingpitch.platform import prefix_watcher
from lacewingpitch.platform import store as store_module
from lacewingpitch.platform import store_updates
from tests import fault_matrix
from tests import platform_standin as standin
from tests.test_platform_store_updates import item

Fault = fault_matrix.Fault
Promise = fault_matrix.Promise
Step = fault_matrix.Step

# Instances count as connected this long after the store has recovered, and
# must act on everything that they could have read by then.
CONTACT_S = 3.0
READ_TIMEOUT_S = 0.8
SEEDS = 30


def entry(name, port):
    found = standin.Engine(name).entry(f'10.0.0.7:{port}')
    return item(f'servers/{name}', found)


class FlakyStore:
    """A store that is down for a time; it then refuses or does not answer."""

    def __init__(self, clock):
        self._clock = clock
        self.down_from_s = float('inf')
        self.down_until_s = float('inf')
        self.refuses = False
        # Aborts every second watch, as the platform may.
        self.aborts_watches = False
        self._has_aborted = False
        self.epoch = 1
        self.items = {'i-1': entry('i-1', 1), 'i-2': entry('i-2', 2)}
        self.revision = 1
        self.oldest = 0

    def change(self, name, item=None):
        self.revision += 1
        self.oldest = self.revision
        self.items.pop(name, None)
        if item is not None:
            self.items[name] = item

    async def read_all(self, _prefix):
        await self._answer()
        return self.revision, tuple(self.items.values())

    async def watch(self, _prefix, after, wait_s):
        await self._answer()
        if after < self.oldest:
            raise store_module.HistoryGoneError('gone')
        for _ in range(int(wait_s / 0.1)):
            await asyncio.sleep(0.1)
            if after < self.revision:
                raise store_module.HistoryGoneError('gone')
            if self.aborts_watches and not self._has_aborted:
                self._has_aborted = True
                raise errors.PlatformError('cut')
        self._has_aborted = False
        await self._answer()
        return self.revision, ()

    async def _answer(self):
        now_s = self._clock.monotonic_s()
        if self.down_from_s <= now_s < self.down_until_s:
            if not self.refuses:
                await asyncio.sleep(READ_TIMEOUT_S)
            raise errors.PlatformError('no answer')
        await asyncio.sleep(0.004)


class Scene:
    """One entry that watches the list."""

    def __init__(self, seed):
        self.clock = virtual_time.LoopClock()
        self.store = FlakyStore(self.clock)
        self.servers = backend_list.BackendList(self.clock)
        self._watcher = prefix_watcher.PrefixWatcher(
            self.store, '', 1.1, 0.0, self.clock, random.Random(seed)
        )
        self.task = asyncio.create_task(
            store_updates.dispatch_changes(
                self._watcher, [store_updates.BackendUpdates(self.servers)]
            )
        )

    async def sleep_until(self, at_s):
        await asyncio.sleep(at_s - self.clock.monotonic_s())

    def end(self):
        self.task.cancel()
        return self.names()

    def names(self):
        return {s.name for s in self.servers.serving(standin.SERVICE)}


class TestOutage:
    @pytest.mark.proves(Promise.LEAVING, Fault.CONFIG_DOWN, Step.ANY)
    def test_a_server_that_left_during_it_is_dropped_in_time(self):
        """Guards against requests to a server that left in an outage."""

        async def play(seed):
            scene = Scene(seed)
            store = scene.store
            store.refuses = bool(seed % 2)
            store.down_from_s = 1.0
            store.down_until_s = 11.0 + random.Random(seed).random()
            await asyncio.sleep(5.0)
            store.change('i-1')
            await scene.sleep_until(store.down_until_s + CONTACT_S)
            return scene.end()

        assert seeds_still_in_use(play) == []

    @pytest.mark.proves(Promise.LEAVING, Fault.TWO_FAULTS, Step.ANY)
    def test_a_server_that_left_before_it_stays_gone(self):
        """Guards against an outage that brings a server back."""

        async def play(seed):
            scene = Scene(seed)
            store = scene.store
            await asyncio.sleep(5.0)
            store.change('i-1')
            await asyncio.sleep(1.8)
            assert scene.names() == {'i-2'}
            store.down_from_s = scene.clock.monotonic_s()
            await asyncio.sleep(0.1 * seed)
            return scene.end()

        assert seeds_still_in_use(play) == []

    def test_aborted_watches_afterwards_do_not_delay_the_removal(self):
        """Guards against keeping a server for as long as watches fail."""

        async def play(seed):
            scene = Scene(seed)
            store = scene.store
            store.down_from_s = 1.0
            store.down_until_s = 9.0
            await asyncio.sleep(5.0)
            store.change('i-1')
            store.aborts_watches = True
            await scene.sleep_until(store.down_until_s + CONTACT_S)
            return scene.end()

        assert seeds_still_in_use(play) == []

    def test_servers_with_expired_entries_stay_in_use(self):
        """Guards against a service without servers after an outage.

        Servers could not renew their entries during the outage; they stay
        in use until they have registered again.
        """

        async def play(seed):
            scene = Scene(seed)
            store = scene.store
            store.refuses = bool(seed % 2)
            store.down_from_s = 1.0
            store.down_until_s = 9.0 + random.Random(seed).random()
            await asyncio.sleep(5.0)
            store.change('i-1')
            store.change('i-2')
            await scene.sleep_until(store.down_until_s)
            missing_s = 0.0
            for name, port in (('i-1', 1), ('i-2', 2)):
                for _ in range(12):
                    await asyncio.sleep(0.1)
                    missing_s += 0.0 if scene.names() else 0.1
                store.change(name, entry(name, port))
            await asyncio.sleep(1.5)
            assert scene.end() == {'i-1', 'i-2'}
            return missing_s

        missing_s = [virtual_time.run(play(seed)) for seed in range(SEEDS)]
        assert max(missing_s) == 0.0


def seeds_still_in_use(play):
    """Return the seeds with which the removed server is still in use."""
    return [
        seed
        for seed in range(SEEDS)
        if virtual_time.run(play(seed)) != {'i-2'}
    ]
