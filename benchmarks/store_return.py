"""Calls to a store that is restored from a backup, in virtual time."""

import asyncio
import collections
import random

from benchmarks import virtual_time
from lacewingpitch import backend_list
from lacewingpitch import errors
from lacewingpitch.platform import prefix_watcher
from lacewingpitch.platform import store_updates

PAGE_ITEMS = 500
DOWN_S = 1.5
COUNTED_S = 5.0
BUCKET_S = 0.1
CALL_DURATION_S = 0.004
SIZES = ((6, 12), (30, 60), (300, 1000))


class CountingStore:
    """A store that counts its calls by their time."""

    def __init__(self, item_count):
        self.epoch = 1
        self.is_down = False
        self.page_count = -(-item_count // PAGE_ITEMS)
        self.calls = collections.Counter()

    async def call(self):
        now_s = asyncio.get_running_loop().time()
        self.calls[int(now_s / BUCKET_S)] += 1
        await asyncio.sleep(CALL_DURATION_S)
        if self.is_down:
            raise errors.PlatformError('down')


class StoreReader:
    """Reads and watches the store for one process."""

    def __init__(self, store):
        self._store = store
        self.epoch = 0

    async def read_all(self, _prefix):
        for _ in range(self._store.page_count):
            await self._store.call()
        self.epoch = self._store.epoch
        return 1, ()

    async def watch(self, _prefix, _after, wait_s):
        await self._store.call()
        end_s = asyncio.get_running_loop().time() + wait_s
        while asyncio.get_running_loop().time() < end_s:
            await asyncio.sleep(0.01)
            if self._store.is_down:
                raise errors.PlatformError('cut')
            if self.epoch != self._store.epoch:
                break
        self.epoch = self._store.epoch
        return 1, ()


async def measure(entry_count, item_count):
    """Return the calls per entry after the restore, and the most in 1 s."""
    clock = virtual_time.LoopClock()
    store = CountingStore(item_count)
    source = random.Random(1)
    for _ in range(entry_count):
        watcher = prefix_watcher.PrefixWatcher(
            StoreReader(store),
            '',
            1.1,
            0.0,
            clock,
            random.Random(source.random()),
        )
        handlers = [
            store_updates.BackendUpdates(backend_list.BackendList(clock))
        ]
        asyncio.create_task(store_updates.dispatch_changes(watcher, handlers))
    await asyncio.sleep(4.0 + source.random())
    store.is_down = True
    await asyncio.sleep(DOWN_S)
    store.is_down = False
    store.epoch += 1
    store.calls.clear()
    await asyncio.sleep(COUNTED_S)
    first = min(store.calls)
    buckets = [
        store.calls[first + n] for n in range(int(COUNTED_S / BUCKET_S))
    ]
    most = max(sum(buckets[n : n + 10]) for n in range(len(buckets) - 9))
    return sum(buckets) / entry_count, most


def main():
    """Print the results as a Markdown table."""
    print('| entries | items | calls an entry in 5 s | most in one second |')
    print('| --- | --- | --- | --- |')
    for entry_count, item_count in SIZES:
        calls, most = virtual_time.run(measure(entry_count, item_count))
        print(f'| {entry_count} | {item_count} | {calls:.1f} | {most} |')


if __name__ == '__main__':
    main()
