"""A randomized soak: real processes, faults from outside, promises checked.

    python -m tests.soak --first 1 --count 50

Each seed starts the programs of the deploy file on the stand-in of the
platform, lets callers press on while faults come and overlap, and then
checks in calm what must hold again.
"""

import asyncio
import collections
import contextlib
import dataclasses
import itertools
import pathlib
import random
import tempfile
import time

import aiohttp
import click

from tests import platform_processes
from tests import platform_standin as standin
from tests import soak_faults
from tests import soak_keys

CALLERS = 6
ADAPTERS = 7
LENGTH_S = 8.0
# Bounds of the stand-in's settings, and a second for a busy machine.
RECOVERY_S = 12.0
DRAIN_S = 3.0
_PAUSE_S = 0.05
_TIMEOUT_S = 6.0
_NOT_RUN = frozenset({408, 421, 429, 503})
_KINDS = ('chat', 'draft', 'command', 'lookup')
# Shorter for plain services than a link may be silent, so that the time
# of a request ends while its answer is waited for.
_DEADLINES_MS = {'chat': 5000, 'draft': 5000, 'command': 1500, 'lookup': 1500}
_ONCE = frozenset({'draft', 'command'})
EVENTS = [1, 2, 3, 4, 5]
# The request that finds out which configuration is in force.
_PROBE_ID = 'probe'


class BrokenPromiseError(AssertionError):
    """What callers or backend servers saw must not happen."""


@dataclasses.dataclass
class Call:
    """One request of a caller, and what it got."""

    id: str
    kind: str
    entry: int
    sent_at_s: float
    key: soak_keys.Key = None
    status: int = 0
    is_whole: bool = False
    error: str = ''

    @property
    def is_served(self):
        return self.status == 200 and self.is_whole


class Judge:
    """Holds the calls against what the backend servers ran."""

    def __init__(self, platform):
        self.platform = platform
        self.calls = []
        self.broken = []

    def begin(self, kind, entry, key=None):
        name = f'{kind}-{len(self.calls)}'
        call = Call(name, kind, entry, time.monotonic(), key)
        self.calls.append(call)
        return call

    def check_answer(self, call, headers, body):
        """Check an answer that came whole."""
        call.is_whole = True
        if call.status != 200:
            if call.status == 401 and soak_keys.may_be_denied(call):
                return
            if call.status in (400, 401, 404):
                self._fail(call, f'denied with {call.status}')
            return
        if standin.SIGNATURE not in headers:
            self._fail(call, 'a success without a signature')
        if call.kind in ('chat', 'draft'):
            numbers = [int(n) for n in body.split() if n.isdigit()]
            if numbers != EVENTS:
                self._fail(call, f'ends as whole with events {numbers}')
        elif body != b'ran ' + call.id.encode():
            self._fail(call, f'got the answer of another: {body!r}')

    def check_runs(self):
        """Check what ran against what callers were told."""
        ran = collections.Counter()
        for service in self.platform.services:
            ran.update(service.runs)
        for engine in self.platform.engines:
            ran.update(engine.ran)
        unasked = ran.keys() - {call.id for call in self.calls} - {_PROBE_ID}
        if unasked:
            self.broken.append(f'nobody sent {sorted(unasked)[:3]}')
        for call in self.calls:
            if call.kind not in _ONCE:
                continue
            if ran[call.id] > 1:
                self._fail(call, f'ran {ran[call.id]} times')
            if ran[call.id] and call.status in _NOT_RUN:
                self._fail(call, f'was told {call.status}, and ran')
        for engine in self.platform.engines:
            if engine.has_crashed:
                self.broken.append(f'{engine.name} got an adapter too many')
        identified = [
            run
            for server in (*self.platform.engines, *self.platform.services)
            for run in server.run_log
        ]
        self.broken += list(soak_keys.check(self.calls, identified))[:5]
        if self.broken:
            raise BrokenPromiseError('; '.join(self.broken))

    def _fail(self, call, text):
        self.broken.append(f'{call.id} at entry {call.entry}: {text}')


class Scene:
    """One run of the soak."""

    def __init__(self, platform, seed, keys):
        self.platform = platform
        self.judge = Judge(platform)
        self.keys = keys
        self._random = random.Random(seed)
        self._versions = itertools.count(6)
        self._names = itertools.count(100)
        self._is_ending = False
        self._locks = collections.defaultdict(asyncio.Lock)

    def program(self, name):
        return next(p for p in self.platform.programs if p.name == name)

    async def publish(self):
        version = next(self._versions)
        # Two attempts also for what may run once: only the kind of the
        # route then keeps it from running twice.
        found = standin.configuration(
            version,
            tenants=self.keys.tenants(),
            extra={'pathPrefix': f'/v{version}/'},
            command={'maxAttempts': 2},
            draft={'maxAttempts': 2},
        )
        await self.platform.store.put('op/config', found)
        self.newest_path = f'/v{version}/x'

    async def store_goes_back(self, for_s):
        """Lose what was written since a backup, and write it again."""
        store = self.platform.store
        backup = store.backup()
        await asyncio.sleep(for_s)
        store.is_down = True
        await asyncio.sleep(for_s / 4)
        store.is_down = False
        accepted = dict(store.items)
        await store.restore(backup)
        await asyncio.sleep(for_s / 4)
        for key in sorted(accepted.keys() | store.items.keys()):
            # What was written since is newer.
            if not any(event['key'] == key for event in store.history):
                await self._write_again(key, accepted.get(key))

    async def _write_again(self, key, item):
        store = self.platform.store
        if item is None:
            await store.delete(key)
        elif store.items.get(key, {}).get('value') != item['value']:
            await store.put_content(key, item['value'])

    async def replace_key(self):
        taken = self.keys.replace(self._random)
        await self.publish()
        soak_keys.note_acknowledged(taken)

    async def restart_engine(self, number):
        engine = self.platform.engines[number]
        key = f'servers/{engine.name}'
        place = self.platform.address_of(engine)
        engine.restart(f'i-{next(self._names)}')
        await self.platform.store.put(
            f'servers/{engine.name}', engine.entry(place)
        )
        await self.platform.store.delete(key)

    async def play(self, length_s):
        await self.publish()
        planned = soak_faults.plan(self._random, self._targets(), length_s)
        callers = [
            asyncio.create_task(self._call_on(number))
            for number in range(CALLERS)
        ]
        try:
            async with asyncio.TaskGroup() as faults:
                for fault in planned:
                    faults.create_task(self._inject(fault))
            await self._check_recovery()
            await self._check_configuration()
            await self._check_drain()
            await self._check_ending()
        finally:
            self._is_ending = True
            await asyncio.gather(*callers)
            # Also where calm showed a failure: what ran may say why.
            self.judge.check_runs()
        return planned

    def _targets(self):
        return {
            'link': sorted(self.platform.relays),
            'process': sorted(p.name for p in self.platform.programs),
            'store': ['store'],
            'engine': ['0', '1'],
            'service': ['0', '1'],
        }

    async def _inject(self, fault):
        await asyncio.sleep(fault.at_s)
        # Two faults of one process would meet a process that is not there.
        async with self._locks[fault.target]:
            await soak_faults.BY_NAME[fault.kind](
                self, fault.target, fault.for_s
            )

    async def _call_on(self, number):
        """Call on open connections, for as long as they serve."""
        source = random.Random(number)
        entry = number % len(self.platform.caller_urls)
        while not self._is_ending:
            connector = aiohttp.TCPConnector(limit=1)
            async with aiohttp.ClientSession(connector=connector) as session:
                is_open = True
                while is_open and not self._is_ending:
                    is_open = await self._call(session, source, entry)
                    await asyncio.sleep(source.uniform(0.0, _PAUSE_S))
            entry = (entry + 1) % len(self.platform.caller_urls)

    async def _call(self, session, source, entry):
        """Send one request; return whether its connection may go on."""
        kind = source.choice(_KINDS)
        call = self.judge.begin(kind, entry, self.keys.pick(source))
        headers = {
            'Authorization': f'Token {call.key.text}',
            'Tenant': 'nobody',
            'Host': 'h.example',
            'Request-Id': call.id,
            'Deadline-Ms': str(_DEADLINES_MS[kind]),
        }
        if kind in ('chat', 'draft'):
            adapter = source.randrange(ADAPTERS)
            headers['Model'] = f'{standin.MODEL}/a{adapter}'
        method = 'GET' if kind == 'lookup' else 'POST'
        url = f'{self.platform.caller_urls[entry]}/{kind}/x'
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                async with session.request(
                    method, url, data=call.id.encode(), headers=headers
                ) as response:
                    call.status = response.status
                    body = await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            call.error = repr(error)
            return False
        self.judge.check_answer(call, response.headers, body)
        return response.headers.get('Connection') != 'close'

    async def _served_since(self, since_s, until_s):
        await asyncio.sleep(max(0.0, until_s - time.monotonic()))
        calls = [c for c in self.judge.calls if since_s <= c.sent_at_s]
        calls = [c for c in calls if not self._is_not_owed(c)]
        # Those of the last moment may still be on their way.
        calls = [c for c in calls if c.sent_at_s < until_s - _TIMEOUT_S / 2]
        served = sum(c.is_served for c in calls)
        return served / max(1, len(calls)), len(calls), calls

    def _is_not_owed(self, call):
        is_void = call.key.taken_at_s is not None
        return is_void or call.key.organisation == 'small'

    async def _check_recovery(self):
        now_s = time.monotonic()
        since_s = now_s + RECOVERY_S / 2
        ratio, count, calls = await self._served_since(
            since_s, since_s + _TIMEOUT_S
        )
        if count < CALLERS or ratio < 0.95:
            failed = [c for c in calls if not c.is_served][:3]
            raise BrokenPromiseError(
                f'{ratio:.2f} of {count} served in calm: {failed}'
            )

    async def _check_configuration(self):
        await self.publish()
        await asyncio.sleep(2.5)
        for url in self.platform.caller_urls:
            async with self.platform.session.get(
                f'{url}{self.newest_path}',
                headers={
                    'Host': 'h.example',
                    'Request-Id': _PROBE_ID,
                    'Authorization': f'Token {self._valid_key()}',
                },
            ) as response:
                if response.status != 200:
                    raise BrokenPromiseError(
                        f'{response.status} on a new route at {url}'
                    )

    def _valid_key(self):
        keys = self.keys.by_organisation['balcony']
        return next(key.text for key in keys if key.taken_at_s is None)

    async def _check_drain(self):
        service = self.platform.services[0]
        key = f'servers/{service.name}'
        place = self.platform.address_of(service)
        await self.platform.store.put(
            key, service.entry(place, state='draining')
        )
        await asyncio.sleep(DRAIN_S)
        before = len(service.runs)
        await asyncio.sleep(1.0)
        if len(service.runs) > before:
            raise BrokenPromiseError(f'{service.name} leaves, and gets more')
        await self.platform.store.put(key, service.entry(place))

    async def _check_ending(self):
        """An entry that is told to end, in calm, cuts nothing."""
        program = self.platform.entries[0]
        since_s = time.monotonic()
        program.process.terminate()
        await program.process.wait()
        cut = [
            c
            for c in self.judge.calls
            if c.entry == 0
            and since_s - _TIMEOUT_S < c.sent_at_s < since_s
            and 'Disconnected' in c.error
        ]
        if cut:
            raise BrokenPromiseError(f'cut as its entry ended: {cut[:3]}')


async def run(seed, length_s=LENGTH_S):
    """Play one seed; raise `BrokenPromiseError` where something broke."""
    with contextlib.ExitStack() as exits:
        folder = exits.enter_context(tempfile.TemporaryDirectory())
        keys = soak_keys.Keys()
        async with platform_processes.Platform(
            pathlib.Path(folder),
            entry_count=2,
            is_relayed=True,
            tenants=keys.tenants(),
        ) as platform:
            scene = Scene(platform, seed, keys)
            try:
                return scene, await scene.play(length_s)
            except BrokenPromiseError:
                _keep(seed, platform)
                raise


def _keep(seed, platform):
    """Keep the logs of a run that failed."""
    folder = pathlib.Path('target') / 'soak'
    folder.mkdir(parents=True, exist_ok=True)
    for program in platform.programs:
        path = folder / f'{seed}-{program.name}.log'
        path.write_text('\n'.join(map(str, program.lines)))


@click.command()
@click.option('--first', default=1, help='First seed.')
@click.option('--count', default=50, help='How many seeds.')
@click.option('--seconds', default=LENGTH_S, help='Length of the faults.')
def main(first, count, seconds):
    """Play seeds in turn, and say what broke."""
    failed = 0
    for seed in range(first, first + count):
        try:
            scene, planned = asyncio.run(run(seed, seconds))
        except BrokenPromiseError as error:
            failed += 1
            click.echo(f'seed {seed}: BROKEN: {error}')
            continue
        calls = scene.judge.calls
        served = sum(call.is_served for call in calls)
        click.echo(
            f'seed {seed}: held, {len(planned)} faults, '
            f'{served} of {len(calls)} calls served'
        )
    click.echo(f'{count - failed} held, {failed} broken')
    raise SystemExit(bool(failed))


if __name__ == '__main__':
    main()
