"""A randomized soak test of real processes under injected faults.

    python -m tests.soak --first 1 --count 50

Each seed starts the programs of the deploy file on the stand-in of the
platform.  Callers send requests while faults occur and overlap; once the
faults are over, it checks that everything is served again.
"""

import asyncio
import collections
import contextlib
import dataclasses
import itertools
import pathlib
import random
import re
import tempfile
import time

import aiohttp
import click

from tests import arrivals
from tests import platform_processes
from tests import platform_standin as standin
from tests import soak_crashes
from tests import soak_duplicates
from tests import soak_faults
from tests import soak_keys
from tests import soak_limits
from tests import soak_moves
from tests import soak_notices
from tests import soak_repeats
from tests import soak_silence

ENTRY_COUNT = 2
CALLER_COUNT = 6
ADAPTER_COUNT = 7
FAULTS_S = 8.0
# The bounds in the stand-in's settings, plus a second for a busy machine.
RECOVERY_S = 12.0
DRAIN_START_S = 3.0
_MAX_PAUSE_S = 0.05
_CALL_TIMEOUT_S = 6.0
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
_KINDS = ('chat', 'draft', 'command', 'lookup')
# For plain services shorter than the time that a link may be silent, so
# that requests reach their deadlines while they wait for an answer.
_DEADLINES_MS = {'chat': 5000, 'draft': 5000, 'command': 1500, 'lookup': 1500}
_AT_MOST_ONCE_KINDS = frozenset({'draft', 'command'})
EVENT_NUMBERS = [1, 2, 3, 4, 5]
# The stand-in writes the id of the request.
_EVENT_DATA = re.compile(rb'(?m)^data: *(.*)$')
# ID of the request that tests whether a configuration is in force.
_PROBE_ID = 'probe'


class BrokenPromiseError(AssertionError):
    """Callers or backend servers saw something that must never happen."""


@dataclasses.dataclass
class Call:
    """One request of a caller and its answer."""

    id: str
    kind: str
    entry: int
    sent_at_s: float
    key: soak_keys.Key = None
    status: int = 0
    is_whole: bool = False
    error: str = ''
    # The server that announced in its answer that it leaves.
    leaving: str = ''
    head_at_s: float = 0.0
    ended_at_s: float = 0.0

    @property
    def is_served(self):
        return self.status == 200 and self.is_whole

    @property
    def is_lost(self):
        """Whether it ended before its deadline without a whole answer.

        One that does not end is lost, too.
        """
        deadline_s = self.sent_at_s + _DEADLINES_MS[self.kind] / 1000
        is_in_time = self.ended_at_s < deadline_s
        return bool(self.error) and (is_in_time or 'Timeout' in self.error)


class ResultChecker:
    """Checks the calls against what the backend servers ran."""

    def __init__(self, platform):
        self.platform = platform
        self.calls = []
        self.broken = []
        # Checks what the servers announced, if they do.
        self.check_notices = list
        # Checks requests that crash servers, if there are any.
        self.check_crashes = list
        # Checks how calls ended.
        self.check_ends = list
        # Ids of requests that are sent to crash servers.
        self.deadly_ids = set()

    def start_call(self, kind, entry, key=None):
        name = f'{kind}-{len(self.calls)}'
        call = Call(name, kind, entry, time.monotonic(), key)
        self.calls.append(call)
        return call

    def check_answer(self, call, headers, body):
        """Check an answer that arrived completely."""
        call.is_whole = True
        answered_id = headers.get('Request-Id', call.id)
        if answered_id != call.id:
            self._fail(call, f'got the answer of {answered_id}')
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
            if numbers != EVENT_NUMBERS:
                self._fail(
                    call, f'ended without an error after events {numbers}'
                )
            others = set(_EVENT_DATA.findall(body)) - {call.id.encode()}
            if others:
                self._fail(call, f'got events of {sorted(others)}')
        elif body != b'ran ' + call.id.encode():
            self._fail(call, f'got the answer of another request: {body!r}')

    def check_runs(self):
        """Check what ran against the answers that callers got."""
        ran = collections.Counter()
        for service in self.platform.services:
            ran.update(service.runs)
        for engine in self.platform.engines:
            ran.update(engine.ran)
        unsent = ran.keys() - {call.id for call in self.calls} - {_PROBE_ID}
        unsent -= self.deadly_ids
        if unsent:
            self.broken.append(f'no caller sent {sorted(unsent)[:3]}')
        for call in self.calls:
            if call.kind not in _AT_MOST_ONCE_KINDS:
                continue
            if ran[call.id] > 1:
                self._fail(call, f'ran {ran[call.id]} times')
            if ran[call.id] and call.status in _NOT_RUN_STATUSES:
                self._fail(call, f'was refused with {call.status}, and ran')
        for engine in self.platform.engines:
            if engine.has_crashed:
                self.broken.append(
                    f'{engine.name} got more adapters than it has slots'
                )
        identified = [
            run
            for server in (*self.platform.engines, *self.platform.services)
            for run in server.run_log
        ]
        self.broken += list(soak_keys.check(self.calls, identified))[:5]
        self.broken += soak_limits.check(
            (*self.platform.engines, *self.platform.services)
        )
        self.broken += self.check_notices()
        self.broken += self.check_crashes()
        self.broken += self.check_ends()[:5]
        self.broken += soak_moves.check(self.platform.engines[0].copies)
        self.broken += soak_repeats.check(
            self.calls,
            (
                (self.platform.engines, ('chat', 'draft')),
                (self.platform.services, ('command', 'lookup')),
            ),
        )
        if self.broken:
            raise BrokenPromiseError('; '.join(self.broken))

    def _fail(self, call, text):
        self.broken.append(f'{call.id} at entry {call.entry}: {text}')


class Scene:
    """One run of the soak test."""

    def __init__(
        self,
        platform,
        seed,
        keys,
        has_notices=True,
        mixes_methods=True,
        has_crashes=True,
        has_silences=True,
        has_duplicates=False,
    ):
        self.platform = platform
        for engine in platform.engines:
            engine.has_ids_in_events = True
        self.checker = ResultChecker(platform)
        self.disturbances = soak_notices.Disturbances()
        self._has_notices = has_notices
        self._mixes_methods = mixes_methods
        if has_notices:
            self.checker.check_notices = self._check_notices
        self.checker.check_ends = self._check_ends
        self._has_crashes = has_crashes
        self._has_silences = has_silences
        self._has_duplicates = has_duplicates
        # What answered twice, once it no longer does.
        self.duplicates = []
        # Servers that are coming back after a crash.
        self.crash_tasks = set()
        self.keys = keys
        self._seed = seed
        self._caller_count = max(CALLER_COUNT, len(platform.entries))
        self._random = random.Random(seed)
        self._versions = itertools.count(6)
        self._names = itertools.count(100)
        self._is_ending = False
        self._locks = collections.defaultdict(asyncio.Lock)

    def program(self, name):
        return next(p for p in self.platform.programs if p.name == name)

    async def publish(self):
        version = next(self._versions)
        # Two attempts also for requests that may run at most once, so that
        # only the kind of the route keeps them from running twice.
        found = standin.configuration(
            version,
            tenants=self.keys.tenants(),
            copies_runs=self.platform.copies_runs,
            extra={'pathPrefix': f'/v{version}/'},
            command={'maxAttempts': 2},
            draft={'maxAttempts': 2},
        )
        await self.platform.store.put('op/config', found)
        self.newest_route = f'/v{version}/x'

    async def restore_backup(self, for_s):
        """Restore the store from a backup, then write the lost keys again."""
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
            # Keys that were written after the restore are newer.
            if not any(event['key'] == key for event in store.history):
                await self._write_again(key, accepted.get(key))

    async def _write_again(self, key, item):
        store = self.platform.store
        if item is None:
            await store.delete(key)
        elif store.items.get(key, {}).get('value') != item['value']:
            await store.put_content(key, item['value'])

    async def replace_key(self):
        revoked = self.keys.replace(self._random)
        await self.publish()
        soak_keys.record_revocation(revoked)

    async def restart_engine(self, number):
        engine = self.platform.engines[number]
        key = f'servers/{engine.name}'
        address = self.platform.listed_at[engine.link]
        engine.restart(f'i-{next(self._names)}')
        self._record_end(engine)
        await self.platform.store.put(
            f'servers/{engine.name}', engine.entry(address)
        )
        # A store that was restored may lack the entry, or a crash may have
        # replaced it meanwhile.
        if key in self.platform.store.items:
            await self.platform.store.delete(key)

    async def replace_server(self, server):
        """End a server, and list another incarnation at its address."""
        key = f'servers/{server.name}'
        address = self.platform.listed_at[server.link]
        server.restart(f'{server.name}+')
        self._record_end(server)
        await self.platform.store.put(
            f'servers/{server.name}', server.entry(address)
        )
        if key in self.platform.store.items:
            await self.platform.store.delete(key)

    def _record_end(self, server):
        now_s = time.monotonic()
        self.disturbances.record('server', server.link, now_s, now_s)

    async def list_as_leaving(self, server):
        address = self.platform.listed_at[server.link]
        await self.platform.store.put(
            f'servers/{server.name}', server.entry(address, state='draining')
        )

    def entry_name(self, number):
        return self.platform.entries[number].name

    def _check_notices(self):
        return soak_notices.check(self, self._servers)

    def _check_ends(self):
        return list(soak_silence.check(self, self._servers))

    @property
    def _servers(self):
        return (*self.platform.engines, *self.platform.services)

    async def play(self, length_s):
        await self.publish()
        planned = soak_faults.plan(self._random, self._targets(), length_s)
        callers = [
            asyncio.create_task(self._run_caller(number))
            for number in range(self._caller_count)
        ]
        try:
            async with asyncio.TaskGroup() as faults:
                for episode in self._crash_episodes(length_s):
                    faults.create_task(episode.play())
                for fault in planned:
                    faults.create_task(self.inject(fault))
                faults.create_task(self._play_silences(length_s))
                faults.create_task(self._play_duplicates(length_s))
                for server, limit in self._limits(length_s):
                    faults.create_task(soak_limits.name(server, limit))
                for notice in self._notices(length_s):
                    faults.create_task(
                        soak_notices.play(
                            self, self._servers[notice.server], notice
                        )
                    )
            if self.platform.copies_runs:
                soak_moves.speed_up(self.platform.engines)
            await self._check_recovery()
            await self._check_configuration()
            await self._check_drain()
            await self._check_ending()
        finally:
            self._is_ending = True
            await asyncio.gather(*callers)
            # Also after a failure above: what ran may explain it.
            self.checker.check_runs()
        return planned

    async def _play_silences(self, length_s):
        if self._has_silences:
            planned = soak_silence.plan(self._seed, self._targets(), length_s)
            await soak_silence.play(self, self._servers, planned)

    async def _play_duplicates(self, length_s):
        if self._has_duplicates:
            servers = self._servers
            relays = [self.platform.relays[s.link] for s in servers]
            planned = soak_duplicates.plan(self._seed, len(relays))
            self.duplicates = await soak_duplicates.play(
                relays, planned, self._seed, length_s
            )

    def _limits(self, length_s):
        """Yield the servers that name limits, each with its limit."""
        servers = self._servers
        for limit in soak_limits.plan(self._seed, len(servers), length_s):
            yield servers[limit.server], limit

    def _crash_episodes(self, length_s):
        """Return the episode of the run in which requests crash servers."""
        planned = soak_crashes.plan(self._seed, length_s)
        if planned is None or not self._has_crashes:
            return []
        episode = soak_crashes.CrashEpisode(self, planned, self._seed)
        self.checker.check_crashes = lambda: list(
            soak_crashes.check(episode, self._is_out_of_touch)
        )
        return [episode]

    def _is_out_of_touch(self, entry, since_s, until_s):
        """Whether an entry, a sidecar or a link was disturbed in a time."""
        targets = {('process', self.entry_name(entry))}
        targets |= {('link', name) for name in self.platform.relays}
        targets |= {
            ('process', program.name)
            for program in self.platform.programs
            if program.role == 'sidecar'
        }
        return self.disturbances.any_of(targets, since_s, until_s)

    def _notices(self, length_s):
        if not self._has_notices:
            return []
        found = soak_notices.plan(self._seed, len(self._servers), length_s)
        if self.platform.copies_runs:
            found += soak_moves.plan(self._seed, length_s)
        return found

    def _targets(self):
        return {
            'link': sorted(self.platform.relays),
            'process': sorted(p.name for p in self.platform.programs),
            'store': ['store'],
            'engine': ['0', '1'],
            'service': ['0', '1'],
        }

    async def inject(self, fault):
        """Inject a fault at its time, and record it."""
        await asyncio.sleep(fault.at_s)
        # A second fault of the same process would find no process.
        async with self._locks[fault.target]:
            inject = soak_faults.BY_NAME[fault.kind]
            since_s = time.monotonic()
            await inject(self, fault.target, fault.for_s)
            self.disturbances.record(
                soak_faults.TARGET_KINDS[inject],
                fault.target,
                since_s,
                time.monotonic(),
                fault.kind,
            )

    async def _run_caller(self, number):
        """Send requests on a connection until it closes, then on another."""
        rng = random.Random(number)
        entry = number % len(self.platform.caller_urls)
        while not self._is_ending:
            connector = aiohttp.TCPConnector(limit=1)
            async with aiohttp.ClientSession(
                connector=connector, middlewares=(arrivals.send_once,)
            ) as session:
                is_open = True
                while is_open and not self._is_ending:
                    is_open = await self._call(session, rng, entry)
                    await asyncio.sleep(rng.uniform(0.0, _MAX_PAUSE_S))
            entry = (entry + 1) % len(self.platform.caller_urls)

    async def _call(self, session, rng, entry):
        """Send one request; return whether its connection may be reused."""
        kind = rng.choice(_KINDS)
        call = self.checker.start_call(kind, entry, self.keys.pick(rng))
        headers = {
            'Authorization': f'Token {call.key.text}',
            'Tenant': 'nobody',
            'Host': 'h.example',
            'Request-Id': call.id,
            'Deadline-Ms': str(_DEADLINES_MS[kind]),
        }
        if kind in ('chat', 'draft'):
            adapter = rng.randrange(ADAPTER_COUNT)
            headers['Model'] = f'{standin.MODEL}/a{adapter}'
        method = soak_repeats.method(
            kind, len(self.checker.calls), self._mixes_methods
        )
        url = f'{self.platform.caller_urls[entry]}/{kind}/x'
        try:
            async with asyncio.timeout(_CALL_TIMEOUT_S):
                async with session.request(
                    method, url, data=call.id.encode(), headers=headers
                ) as response:
                    call.status = response.status
                    self._record_leaving(call, response)
                    body = await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            call.error = repr(error)
            call.ended_at_s = time.monotonic()
            return False
        self.checker.check_answer(call, response.headers, body)
        return response.headers.get('Connection') != 'close'

    def _record_leaving(self, call, response):
        if 'Server-Leaving' in response.headers:
            signature = response.headers[standin.SIGNATURE]
            call.leaving = signature.removeprefix('signed-by-')
            call.head_at_s = time.monotonic()

    async def _served_ratio(self, since_s, until_s):
        await asyncio.sleep(max(0.0, until_s - time.monotonic()))
        calls = [c for c in self.checker.calls if since_s <= c.sent_at_s]
        calls = [c for c in calls if not self._may_be_refused(c)]
        # The latest calls may still be in progress.
        calls = [
            c for c in calls if c.sent_at_s < until_s - _CALL_TIMEOUT_S / 2
        ]
        served = sum(c.is_served for c in calls)
        return served / max(1, len(calls)), len(calls), calls

    def _may_be_refused(self, call):
        is_revoked = call.key.revoked_at_s is not None
        return is_revoked or call.key.organisation == 'small'

    async def _check_recovery(self):
        now_s = time.monotonic()
        since_s = now_s + RECOVERY_S / 2
        ratio, count, calls = await self._served_ratio(
            since_s, since_s + _CALL_TIMEOUT_S
        )
        if count < CALLER_COUNT or ratio < 0.95:
            failed = [c for c in calls if not c.is_served][:3]
            raise BrokenPromiseError(
                f'{ratio:.2f} of {count} served after the faults: {failed}'
            )

    async def _check_configuration(self):
        await self.publish()
        await asyncio.sleep(2.5)
        for url in self.platform.caller_urls:
            status = await self._probe(url)
            if status != 200:
                raise BrokenPromiseError(
                    f'status {status} on a new route at {url}'
                )

    async def _probe(self, url):
        headers = {
            'Host': 'h.example',
            'Request-Id': _PROBE_ID,
            'Authorization': f'Token {self.valid_key()}',
        }
        try:
            async with self.platform.session.get(
                f'{url}{self.newest_route}', headers=headers
            ) as response:
                return response.status
        except (aiohttp.ClientError, OSError) as error:
            return repr(error)

    def valid_key(self):
        keys = self.keys.by_organisation['balcony']
        return next(key.text for key in keys if key.revoked_at_s is None)

    async def _check_drain(self):
        service = self.platform.services[0]
        key = f'servers/{service.name}'
        address = self.platform.address_of(service)
        await self.platform.store.put(
            key, service.entry(address, state='draining')
        )
        await asyncio.sleep(DRAIN_START_S)
        before = len(service.runs)
        await asyncio.sleep(1.0)
        if len(service.runs) > before:
            raise BrokenPromiseError(
                f'{service.name} is draining, and got new requests'
            )
        await self.platform.store.put(key, service.entry(address))

    async def _check_ending(self):
        """Check that a terminated entry cuts no answers off."""
        program = self.platform.entries[0]
        since_s = time.monotonic()
        program.process.terminate()
        await program.process.wait()
        cut = [
            c
            for c in self.checker.calls
            if c.entry == 0
            and since_s - _CALL_TIMEOUT_S < c.sent_at_s < since_s
            and 'Disconnected' in c.error
        ]
        if cut:
            raise BrokenPromiseError(
                f'cut off as their entry ended: {cut[:3]}'
            )


async def run(
    seed,
    length_s=FAULTS_S,
    entry_count=ENTRY_COUNT,
    has_notices=True,
    parts=(),
    mixes_methods=True,
    has_crashes=True,
    has_silences=True,
    has_duplicates=False,
):
    """Run one seed; raise `BrokenPromiseError` if a check fails."""
    with contextlib.ExitStack() as exits:
        folder = exits.enter_context(tempfile.TemporaryDirectory())
        keys = soak_keys.Keys()
        async with platform_processes.Platform(
            pathlib.Path(folder),
            entry_count=entry_count,
            is_relayed=True,
            tenants=keys.tenants(),
            parts=parts,
        ) as platform:
            if platform.copies_runs:
                soak_moves.slow_down(platform.engines)
            scene = Scene(
                platform,
                seed,
                keys,
                has_notices,
                mixes_methods,
                has_crashes,
                has_silences,
                has_duplicates,
            )
            try:
                return scene, await scene.play(length_s)
            except BrokenPromiseError:
                _save_logs(seed, platform)
                raise


def _save_logs(seed, platform):
    """Save the logs of a failed run under ``target/soak``."""
    folder = pathlib.Path('target') / 'soak'
    folder.mkdir(parents=True, exist_ok=True)
    for program in platform.programs:
        path = folder / f'{seed}-{program.name}.log'
        path.write_text('\n'.join(map(str, program.lines)))


@click.command()
@click.option('--first', default=1, help='First seed.')
@click.option('--count', default=50, help='How many seeds.')
@click.option(
    '--seconds',
    default=FAULTS_S,
    help='Time during which faults start, in seconds.',
)
@click.option(
    '--entries',
    default=ENTRY_COUNT,
    type=click.IntRange(1, len(platform_processes.ENTRY_IPS)),
    help='How many entry processes.',
)
@click.option('--moves', is_flag=True, help='Whether runs move.')
@click.option(
    '--duplicates/--no-duplicates',
    default=True,
    help='Whether servers answer twice.',
)
def main(first, count, seconds, entries, moves, duplicates):
    """Run seeds one after another, and print what broke."""
    failed = 0
    parts = soak_moves.PARTS if moves else ()
    for seed in range(first, first + count):
        try:
            scene, planned = asyncio.run(
                run(
                    seed,
                    seconds,
                    entries,
                    parts=parts,
                    has_duplicates=duplicates,
                )
            )
        except BrokenPromiseError as error:
            failed += 1
            click.echo(f'seed {seed}: BROKEN: {error}')
            continue
        calls = scene.checker.calls
        served = sum(call.is_served for call in calls)
        click.echo(
            f'seed {seed}: held, {len(planned)} faults, '
            f'{served} of {len(calls)} calls served, '
            f'{len(scene.platform.copies.used)} runs moved, '
            f'{sum(s.count for s in scene.duplicates)} answers written twice'
        )
    click.echo(f'{count - failed} held, {failed} broken')
    raise SystemExit(bool(failed))


if __name__ == '__main__':
    main()
