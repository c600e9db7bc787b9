"""The programs of the deploy file, as real processes on a stand-in."""

import asyncio
import signal
import subprocess
import sys

import aiohttp
import pytest

from tests import platform_processes
from tests import platform_standin as standin
from tests import processes

REPORT_AT_START = """
import signal, sys
import lacewingpitch.platform.__main__
print(signal.getsignal(signal.SIGHUP) is signal.SIG_IGN)
print('click' in sys.modules)
"""
START_S = platform_processes.START_S
ENTRY_IP = platform_processes.ENTRY_IPS[0]
SIDECAR_IPS = platform_processes.SIDECAR_IPS


@pytest.fixture
async def platform(tmp_path):
    async with platform_processes.Platform(tmp_path) as found:
        yield found


class TestStart:
    def test_a_reload_signal_is_ignored_before_modules_are_read(self):
        """Guards against a process that ends by itself as it starts."""
        found = subprocess.run(
            [sys.executable, '-c', REPORT_AT_START],
            cwd=processes.ROOT,
            capture_output=True,
            text=True,
            check=True,
        )
        assert found.stdout.split() == ['True', 'False']


class TestServing:
    async def test_streams_services_and_refusals(self, platform):
        async with platform.call(
            '/chat/x?a=%2f',
            'r-1',
            Model=f'{standin.MODEL}/a7',
            Token_Usage='100,50',
            Hold='h-1',
        ) as response:
            body = await response.read()
        assert response.status == 200
        assert response.headers[standin.SIGNATURE].startswith('signed-by-i-')
        assert body.count(b'id: ') == 5
        engine = next(e for e in platform.engines if e.seen)
        path, headers = engine.seen[0]
        assert path == '/chat/x?a=%2f'
        assert headers['Expect-Version'] == '1'
        assert 0 < int(headers['Deadline-Ms']) <= 5000
        assert 'Hold' not in headers
        async with platform.call('/command/1', 'r-2') as response:
            assert await response.read() == b'ran body'
        async with platform.call('/nowhere/1', 'r-3') as response:
            assert response.status == 404

    async def test_a_stream_goes_on_at_the_other_engine(self, platform):
        """Half an answer arrives, and then nothing.

        An engine resets in the middle of a stream that may be resumed.
        """
        for engine in platform.engines:
            engine.cut_after = 2
        platform.engines[0].cut_after = 2
        async with platform.call(
            '/chat/x', 'r-1', Model=f'{standin.MODEL}/a7'
        ) as response:
            first = response.headers[standin.SIGNATURE]
            other = next(
                e for e in platform.engines if f'signed-by-{e.name}' != first
            )
            other.cut_after = None
            body = await response.read()
        numbers = [int(n) for n in body.split() if n.isdigit()]
        assert numbers == [1, 2, 3, 4, 5]

    async def test_what_may_not_be_resumed_ends_visibly(self, platform):
        for engine in platform.engines:
            engine.cut_after = 2
        with pytest.raises(aiohttp.ClientPayloadError):
            async with platform.call(
                '/draft/x', 'r-1', Model=f'{standin.MODEL}/a7'
            ) as response:
                await response.read()

    async def test_a_command_whose_answer_is_lost_runs_once(self, platform):
        for service in platform.services:
            service.cuts = 1
        async with platform.call('/command/1', 'r-1') as response:
            assert response.status not in (408, 421, 429, 503)
        assert sum(len(s.runs) for s in platform.services) == 1

    async def test_a_lookup_whose_answer_is_lost_runs_again(self, platform):
        for service in platform.services:
            service.cuts = 1
        platform.services[0].cuts = 1
        platform.services[1].cuts = 0
        for number in range(4):
            async with platform.call(
                '/lookup/1', f'r-{number}', 'GET'
            ) as response:
                assert response.status == 200

    async def test_many_adapters_never_crash_an_engine(self, platform):
        async def one(number):
            async with platform.call(
                '/chat/x',
                f'r-{number}',
                Model=f'{standin.MODEL}/a{number % 15}',
            ) as response:
                await response.read()
                return response.status

        statuses = await asyncio.gather(*map(one, range(40)))
        assert statuses.count(200) >= 20
        assert set(statuses) <= {200, 503}
        assert not any(e.has_crashed for e in platform.engines)

    async def test_a_callers_leaving_reaches_the_engine(self, platform):
        for engine in platform.engines:
            engine.event_pause_s = 5.0
        response = await platform.call(
            '/chat/x', 'r-1', Model=f'{standin.MODEL}/a7'
        )
        await response.content.readany()
        assert any(e.runs for e in platform.engines)
        response.close()
        await platform.until(lambda: not any(e.runs for e in platform.engines))


class TestMetrics:
    async def test_tell_what_was_served(self, platform):
        async with platform.call(
            '/chat/x', 'r-1', Model=f'{standin.MODEL}/a7'
        ) as response:
            await response.read()
        text = await platform.metrics(ENTRY_IP)
        assert 'lacewingpitch_requests_ended_total{' in text
        assert 'lacewingpitch_first_event_seconds_bucket{' in text
        texts = [await platform.metrics(ip) for ip in SIDECAR_IPS]
        assert any('outcome="granted"' in text for text in texts)


class TestConfiguration:
    async def test_a_new_version_is_in_force(self, platform):
        changed = standin.configuration(8, lookup={'pathPrefix': '/moved/'})
        await platform.store.put('op/config', changed)

        async def is_moved():
            async with platform.call('/moved/1', 'r-1', 'GET') as response:
                return response.status == 200

        async with asyncio.timeout(3.0):
            await platform.until(is_moved)
        async with platform.call('/lookup/1', 'r-2', 'GET') as response:
            assert response.status == 404

    async def test_history_that_is_gone_is_read_anew(self, platform):
        """A route that was added is refused for good.

        The store drops its history while a change is made, so that the
        watch can't tell of it.
        """
        platform.store.is_down = True
        await asyncio.sleep(0.2)
        changed = standin.configuration(8, lookup={'pathPrefix': '/moved/'})
        await platform.store.put('op/config', changed)
        await platform.store.drop_history()
        platform.store.is_down = False

        async def is_moved():
            async with platform.call('/moved/1', 'r-1', 'GET') as response:
                return response.status == 200

        await platform.until(is_moved)

    async def test_without_the_store_unknown_routes_are_not_denied(
        self, platform
    ):
        platform.store.is_down = True
        await platform.store.put('other/x', 1)

        async def is_away():
            async with platform.call('/new/1', 'r-1', 'GET') as response:
                return response.status == 503

        await platform.until(is_away)
        async with platform.call('/lookup/1', 'r-2', 'GET') as response:
            assert response.status == 200


class TestLeaving:
    async def test_a_server_that_drains_gets_nothing_more(self, platform):
        first, other = platform.services
        entry = first.entry('127.0.0.1:1', state='draining')
        await platform.store.put(f'servers/{first.name}', entry)
        await asyncio.sleep(1.5)
        before = len(first.runs)
        for number in range(10):
            async with platform.call('/lookup/1', f'r-{number}', 'GET') as r:
                assert r.status == 200
        assert len(first.runs) == before

    async def test_a_signal_to_end_cuts_nothing(self, platform):
        """An answer stops in the middle while an instance is replaced.

        The entry gets SIGTERM with a stream under way.
        """
        for engine in platform.engines:
            engine.event_pause_s = 0.3
        response = await platform.call(
            '/chat/x', 'r-1', Model=f'{standin.MODEL}/a7'
        )
        platform.entry.process.send_signal(signal.SIGTERM)
        await platform.until(lambda: bool(platform.entry.events('stopping')))
        assert not await platform.is_ready()
        body = await response.read()
        assert body.count(b'id: ') == 5
        async with asyncio.timeout(START_S):
            assert await platform.entry.process.wait() == 0

    async def test_a_reload_cuts_nothing(self, platform):
        for engine in platform.engines:
            engine.event_pause_s = 0.2
        response = await platform.call(
            '/chat/x', 'r-1', Model=f'{standin.MODEL}/a7'
        )
        platform.entry.process.send_signal(signal.SIGHUP)
        body = await response.read()
        assert body.count(b'id: ') == 5
        await platform.until(
            lambda: bool(platform.entry.events('settings reloaded'))
        )


class TestStoreAway:
    async def test_an_entry_that_restarts_learns_from_another(self, tmp_path):
        """An entry that restarts refuses all until the store is back.

        The store is down; the other entry serves with what it knows.
        """
        async with platform_processes.Platform(tmp_path, 2) as platform:
            first, second = platform.entries
            # The other has read the store before it is lost.
            await platform.until(
                lambda: second.events('backend server listed')
            )
            platform.store.is_down = True
            await first.stop()
            await first.start()
            await platform.until(platform.is_ready)
            assert first.events('peer state applied')
            async with platform.call(
                '/chat/x', 'r-1', Model=f'{standin.MODEL}/a7'
            ) as response:
                body = await response.read()
            assert response.status == 200
            assert body.count(b'id: ') == 5
            async with platform.call('/nowhere/1', 'r-2') as response:
                assert response.status == 503


class TestSidecarLost:
    async def test_its_engine_serves_on_what_it_holds(self, platform):
        """Answers stop although every engine works.

        All sidecars are killed at once.
        """
        name = f'{standin.MODEL}/a7'
        async with platform.call('/chat/x', 'r-1', Model=name) as response:
            await response.read()
        for program in platform.programs:
            if program.role == 'sidecar':
                program.process.kill()
        for engine in platform.engines:
            if engine.adapters:
                entry = platform.store.items[f'servers/{engine.name}']
                assert entry
                await platform.store.put(
                    f'servers/{engine.name}',
                    engine.entry(platform.address_of(engine)),
                )
        await asyncio.sleep(1.5)
        async with platform.call('/chat/x', 'r-2', Model=name) as response:
            body = await response.read()
        assert response.status == 200
        assert body.count(b'id: ') == 5
