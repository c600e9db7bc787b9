"""Writes, restores from backups, reads and time, in any order."""

import asyncio
import random

import hypothesis
from hypothesis import strategies

from benchmarks import virtual_time
from lacewingpitch import adapter_versions
from lacewingpitch import backend_list
from lacewingpitch import configuration_age
from lacewingpitch import configuration_exchange
from lacewingpitch import errors
from lacewingpitch.platform import prefix_watcher
from lacewingpitch.platform import store as store_module
from lacewingpitch.platform import store_updates
from lacewingpitch import routing
from tests import platform_standin as standin
from tests.test_platform_store_updates import item

KNOWN_WITHIN_S = 4.0
# Above the longest lag of the list behind a working store.
LIST_LAG_S = 2.2


def decode(content):
    return routing.Configuration(int(content), (), {}, None, content)


class MemoryStore:
    """An in-memory store that can be restored from backups."""

    def __init__(self):
        self.epoch = 1
        self.seen_epoch = 1
        self.revision = 1
        self.items = {}
        self.changes = []
        self.oldest = 0
        self.is_down = False

    def write(self, key, found):
        self.revision += 1
        if found is None:
            if key not in self.items:
                return
            del self.items[key]
            found = store_module.Item(key=key, is_deleted=True)
        else:
            self.items[key] = found
        self.changes.append((self.revision, found))

    def backup(self):
        return self.revision, dict(self.items)

    def restore(self, backup):
        self.revision, items = backup
        self.items = dict(items)
        self.changes.clear()
        self.oldest = self.revision
        self.epoch += 1


class Reader:
    """The client of `MemoryStore` that a watcher uses."""

    def __init__(self, store):
        self._store = store
        self.epoch = 0

    async def read_all(self, _prefix):
        await self._answer()
        return self._store.revision, tuple(self._store.items.values())

    async def watch(self, _prefix, after, wait_s):
        epoch = self.epoch
        await self._answer(epoch)
        for _ in range(int(wait_s / 0.1)):
            if not self._store.oldest <= after <= self._store.revision:
                raise store_module.HistoryGoneError('gone')
            events = [c for at, c in self._store.changes if at > after]
            if events:
                break
            await asyncio.sleep(0.1)
            await self._answer(epoch)
        return self._store.revision, tuple(
            c for at, c in self._store.changes if at > after
        )

    async def _answer(self, epoch=None):
        await asyncio.sleep(0.004)
        if self._store.is_down:
            raise errors.PlatformError('down')
        self.epoch = self._store.epoch
        if epoch not in (None, self.epoch):
            raise store_module.HistoryGoneError('another epoch')


class Scene:
    """One process, the store, and the accepted writes."""

    def __init__(self, seed):
        clock = virtual_time.LoopClock()
        self.store = MemoryStore()
        self.servers = backend_list.BackendList(clock)
        self.table = routing.RoutingTable(random.Random(1))
        self.age = configuration_age.ConfigurationAge(clock)
        exchange = configuration_exchange.ConfigurationExchange(
            None, self.table, decode, clock
        )
        handlers = [
            store_updates.OperatorUpdates(
                adapter_versions.AdapterVersions(), exchange, self.age
            ),
            store_updates.BackendUpdates(self.servers),
        ]
        watcher = prefix_watcher.PrefixWatcher(
            Reader(self.store), '', 1.1, 0.0, clock, random.Random(seed)
        )
        self.task = asyncio.create_task(
            store_updates.dispatch_changes(watcher, handlers)
        )
        self.backups = [self.store.backup()]
        self.next_number = 0
        self.version = 0
        # By server name, whether it is leaving; a missing one has left.
        self.expected_leaving = {}
        self.known_gone = set()
        self.known_version = 0

    def entry(self, name):
        state = 'draining' if self.expected_leaving[name] else 'ready'
        found = standin.Engine(name).entry(
            f'10.0.0.7:{1 + int(name[2:])}', state=state
        )
        return item(f'servers/{name}', found)

    def configuration(self):
        return store_module.Item(
            key='op/config', value=b'%d' % self.version, revision=1
        )

    def apply_write(self, kind, number):
        names = sorted(self.expected_leaving)
        if kind == 'list':
            name = f'i-{self.next_number}'
            self.next_number += 1
            self.expected_leaving[name] = False
            self.store.write(f'servers/{name}', self.entry(name))
        elif kind == 'drain' and names:
            name = names[number % len(names)]
            self.expected_leaving[name] = True
            self.store.write(f'servers/{name}', self.entry(name))
        elif kind == 'remove' and names:
            name = names[number % len(names)]
            del self.expected_leaving[name]
            self.store.write(f'servers/{name}', None)
        elif kind == 'configure':
            self.version += 1
            self.store.write('op/config', self.configuration())

    def write_again(self, seed):
        names = [f'servers/i-{number}' for number in range(self.next_number)]
        random.Random(seed).shuffle(names)
        for key in names:
            name = key.removeprefix('servers/')
            found = self.entry(name) if name in self.expected_leaving else None
            self.store.write(key, found)
        if self.version:
            self.store.write('op/config', self.configuration())

    def names(self):
        return {s.name for s in self.servers.serving(standin.SERVICE)}

    def check(self):
        """Check that the state of the process has not reverted."""
        assert not self.names() & self.known_gone
        assert self.table.version >= self.known_version
        self.known_version = self.table.version

    def record_known(self):
        """Record what the process must know by now.

        The store was readable for long enough.
        """
        gone = {f'i-{number}' for number in range(self.next_number)}
        gone -= {
            name
            for name, leaves in self.expected_leaving.items()
            if not leaves
        }
        self.known_gone |= gone


WRITES = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(['list', 'drain', 'remove', 'configure']),
        strategies.integers(0, 9),
    ),
    max_size=5,
)


@strategies.composite
def episodes(draw):
    """Draw the events around one restore of the store."""
    return {
        'before': draw(WRITES),
        'after': draw(WRITES),
        'is_settled': draw(strategies.booleans()),
        'is_down': draw(strategies.booleans()),
        'copy': draw(strategies.integers(0, 2)),
        'later': draw(WRITES),
        'steps': draw(strategies.integers(0, 30)),
        'order': draw(strategies.integers(0, 99)),
    }


async def play_episode(scene, episode):
    for kind, number in episode['before']:
        scene.apply_write(kind, number)
    scene.backups.append(scene.store.backup())
    for kind, number in episode['after']:
        scene.apply_write(kind, number)
    if episode['is_settled']:
        await asyncio.sleep(KNOWN_WITHIN_S)
        scene.record_known()
        scene.check()
    scene.store.is_down = episode['is_down']
    await asyncio.sleep(0.1 * episode['order'] / 20)
    scene.store.restore(scene.backups[-1 - episode['copy']])
    scene.store.is_down = False
    for kind, number in episode['later']:
        scene.apply_write(kind, number)
    for _ in range(episode['steps']):
        await asyncio.sleep(0.1)
        scene.check()
    scene.write_again(episode['order'])
    for _ in range(10):
        await asyncio.sleep(0.1)
        scene.check()


async def play(found, seed):
    scene = Scene(seed)
    for _ in range(3):
        scene.apply_write('list', 0)
        scene.backups.append(scene.store.backup())
    await asyncio.sleep(LIST_LAG_S)
    for episode in found:
        await play_episode(scene, episode)
    await asyncio.sleep(KNOWN_WITHIN_S)
    scene.record_known()
    scene.check()
    assert scene.names() == {
        n for n, leaves in scene.expected_leaving.items() if not leaves
    }
    assert scene.table.version == scene.version
    scene.task.cancel()


class TestInterleavings:
    @hypothesis.settings(max_examples=150)
    @hypothesis.given(
        strategies.lists(episodes(), max_size=3), strategies.integers(0, 3)
    )
    def test_nothing_reverts_and_everything_is_known_again(self, found, seed):
        """Guards against writes that a backup lacks.

        They must neither be lost for good nor be undone.
        """
        virtual_time.run(play(found, seed))
