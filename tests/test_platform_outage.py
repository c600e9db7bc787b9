"""The list of backend servers around a store that was out of reach."""

import asyncio
import random

import pytest

from benchmarks import virtual_time
from lacewingpitch import backend_list
from lacewingpitch import errors
from lacewingpitch.platform import store as store_module
from lacewingpitch.platform import store_updates
from tests import fault_matrix
from tests import platform_standin as standin
from tests.test_platform_store_updates import item

Fault = fault_matrix.Fault
Promise = fault_matrix.Promise
Step = fault_matrix.Step

# Instances count as in touch again this long after the store is back, and
# are bound by what they could have known then.
CONTACT_S = 3.0
SILENCE_S = 0.8
SEEDS = 30


def entry(name, port):
    found = standin.Engine(name).entry(f'10.0.0.7:{port}')
    return item(f'servers/{name}', found)


class FlakyStore:
    """A store that answers nothing at times."""

    def __init__(self, clock):
        self._clock = clock
        self.silent_from_s = float('inf')
        self.silent_until_s = float('inf')
        self.refuses = False
        # Every other one, as the platform may.
        self.cuts_watches = False
        self._has_cut = False
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
            raise store_module._HistoryGoneError('gone')
        for _ in range(int(wait_s / 0.1)):
            await asyncio.sleep(0.1)
            if after < self.revision:
                raise store_module._HistoryGoneError('gone')
            if self.cuts_watches and not self._has_cut:
                self._has_cut = True
                raise errors.PlatformError('cut')
        self._has_cut = False
        await self._answer()
        return self.revision, ()

    async def _answer(self):
        now_s = self._clock.monotonic_s()
        if self.silent_from_s <= now_s < self.silent_until_s:
            if not self.refuses:
                await asyncio.sleep(SILENCE_S)
            raise errors.PlatformError('no answer')
        await asyncio.sleep(0.004)


class Scene:
    """One entry that follows the list."""

    def __init__(self, seed):
        self.clock = virtual_time.LoopClock()
        self.store = FlakyStore(self.clock)
        self.servers = backend_list.BackendList(self.clock)
        self._watcher = store_module.PrefixWatcher(
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


class TestOutOfReach:
    @pytest.mark.proves(Promise.LEAVING, Fault.CONFIG_DOWN, Step.ANY)
    def test_a_server_that_left_meanwhile_is_dropped_before_contact_counts(
        self,
    ):
        """Guards against requests to a server that left in an outage."""

        async def play(seed):
            scene = Scene(seed)
            store = scene.store
            store.refuses = bool(seed % 2)
            store.silent_from_s = 1.0
            store.silent_until_s = 11.0 + random.Random(seed).random()
            await asyncio.sleep(5.0)
            store.change('i-1')
            await scene.sleep_until(store.silent_until_s + CONTACT_S)
            return scene.end()

        assert kept_too_long(play) == []

    @pytest.mark.proves(Promise.LEAVING, Fault.TWO_FAULTS, Step.ANY)
    def test_a_server_that_left_before_it_stays_gone(self):
        """Guards against a server brought back by a later outage."""

        async def play(seed):
            scene = Scene(seed)
            store = scene.store
            await asyncio.sleep(5.0)
            store.change('i-1')
            await asyncio.sleep(1.8)
            assert scene.names() == {'i-2'}
            store.silent_from_s = scene.clock.monotonic_s()
            await asyncio.sleep(0.1 * seed)
            return scene.end()

        assert kept_too_long(play) == []

    def test_watches_that_are_cut_afterwards_do_not_keep_it(self):
        """Guards against a server kept for as long as watches break."""

        async def play(seed):
            scene = Scene(seed)
            store = scene.store
            store.silent_from_s = 1.0
            store.silent_until_s = 9.0
            await asyncio.sleep(5.0)
            store.change('i-1')
            store.cuts_watches = True
            await scene.sleep_until(store.silent_until_s + CONTACT_S)
            return scene.end()

        assert kept_too_long(play) == []

    def test_servers_whose_entries_lapsed_are_used_until_they_are_back(self):
        """Guards against a service without servers after an outage."""

        async def play(seed):
            scene = Scene(seed)
            store = scene.store
            store.refuses = bool(seed % 2)
            store.silent_from_s = 1.0
            store.silent_until_s = 9.0 + random.Random(seed).random()
            await asyncio.sleep(5.0)
            store.change('i-1')
            store.change('i-2')
            await scene.sleep_until(store.silent_until_s)
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


def kept_too_long(play):
    """Return the seeds by which the server that left is in use still."""
    return [
        seed
        for seed in range(SEEDS)
        if virtual_time.run(play(seed)) != {'i-2'}
    ]
