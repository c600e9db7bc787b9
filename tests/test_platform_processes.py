"""The programs of the deploy file as processes, with a stand-in platform."""

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
    def test_a_reload_signal_is_ignored_before_modules_are_imported(self):
        """Guards against SIGHUP ending a process while it starts."""
        found = subprocess.run(
            [sys.executable, '-c', REPORT_AT_START],
            cwd=processes.ROOT,
            capture_output=True,
            text=True,
            check=True,
        )
        assert found.stdout.split() == ['True', 'False']


class TestServing:
    async def test_serves_streams_and_services_and_refuses(self, platform):
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

    async def test_a_stream_is_resumed_at_the_other_engine(self, platform):
        """Guards against an answer that ends after its first half.

        An engine resets the connection in the middle of a stream that may
        be resumed.
        """
        for engine in platform.engines:
            engine.abort_after_event = 2
        platform.engines[0].abort_after_event = 2
        async with platform.call(
            '/chat/x', 'r-1', Model=f'{standin.MODEL}/a7'
        ) as response:
            first = response.headers[standin.SIGNATURE]
            other = next(
                e for e in platform.engines if f'signed-by-{e.name}' != first
            )
            other.abort_after_event = None
            body = await response.read()
        numbers = [int(n) for n in body.split() if n.isdigit()]
        assert numbers == [1, 2, 3, 4, 5]

    async def test_a_stream_that_is_not_resumable_ends_with_an_error(
        self, platform
    ):
        for engine in platform.engines:
            engine.abort_after_event = 2
        with pytest.raises(aiohttp.ClientPayloadError):
            async with platform.call(
                '/draft/x', 'r-1', Model=f'{standin.MODEL}/a7'
            ) as response:
                await response.read()

    async def test_a_command_with_a_lost_answer_runs_only_once(self, platform):
        for service in platform.services:
            service.aborts_left = 1
        async with platform.call('/command/1', 'r-1') as response:
            assert response.status not in (408, 421, 429, 503)
        assert sum(len(s.runs) for s in platform.services) == 1

    async def test_a_lookup_with_a_lost_answer_is_retried(self, platform):
        for service in platform.services:
            service.aborts_left = 1
        platform.services[0].aborts_left = 1
        platform.services[1].aborts_left = 0
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

    async def test_a_disconnected_caller_ends_the_run(self, platform):
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
    async def test_show_served_requests(self, platform):
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
    async def test_a_new_version_comes_into_force(self, platform):
        changed = standin.configuration(8, lookup={'pathPrefix': '/moved/'})
        await platform.store.put('op/config', changed)

        async def is_moved():
            async with platform.call('/moved/1', 'r-1', 'GET') as response:
                return response.status == 200

        async with asyncio.timeout(3.0):
            await platform.until(is_moved)
        async with platform.call('/lookup/1', 'r-2', 'GET') as response:
            assert response.status == 404

    async def test_everything_is_read_again_after_lost_history(self, platform):
        """Guards against refusing a new route forever.

        The store drops its history while a change is made, so that no
        watch can report the change.
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

    async def test_without_the_store_unknown_routes_may_be_retried(
        self, platform
    ):
        platform.store.is_down = True
        await platform.store.put('other/x', 1)

        async def may_be_retried():
            async with platform.call('/new/1', 'r-1', 'GET') as response:
                return response.status == 503

        await platform.until(may_be_retried)
        async with platform.call('/lookup/1', 'r-2', 'GET') as response:
            assert response.status == 200


class TestLeaving:
    async def test_a_draining_server_gets_no_more_requests(self, platform):
        first, other = platform.services
        entry = first.entry('127.0.0.1:1', state='draining')
        await platform.store.put(f'servers/{first.name}', entry)
        await asyncio.sleep(1.5)
        before = len(first.runs)
        for number in range(10):
            async with platform.call('/lookup/1', f'r-{number}', 'GET') as r:
                assert r.status == 200
        assert len(first.runs) == before

    async def test_sigterm_does_not_abort_a_stream(self, platform):
        """Guards against truncated answers when an instance is replaced.

        The entry gets SIGTERM while a stream is in progress.
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

    async def test_a_reload_does_not_abort_a_stream(self, platform):
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


class TestStoreDown:
    async def test_a_restarted_entry_gets_its_state_from_a_peer(
        self, tmp_path
    ):
        """Guards against a restarted entry that refuses every request.

        The store is down; another entry has the published state.
        """
        async with platform_processes.Platform(tmp_path, 2) as platform:
            first, second = platform.entries
            # The other entry must have read the store before the outage.
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


class TestSidecarKilled:
    async def test_its_engine_still_serves_the_adapters_it_holds(
        self, platform
    ):
        """Guards against refusing requests although every engine works.

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


class TestEnginePace:
    async def test_sidecar_measures_its_engine(self, tmp_path):
        parts = ('engine-pace',)
        async with platform_processes.Platform(
            tmp_path, parts=parts
        ) as platform:
            for engine in platform.engines:
                engine.event_count = 100
                engine.event_pause_s = 0.02
            answers = await asyncio.gather(
                *(self.read(platform, f'r-{n}') for n in range(4))
            )
            assert all(body.count(b'id: ') == 100 for body in answers)
            sidecars = [p for p in platform.programs if p.role == 'sidecar']
            lines = [
                line for p in sidecars for line in p.events('engine pace')
            ]
            assert lines
            # Events hold one token here, and a busy machine is slower.
            assert all(line['token_ms'] >= 18.0 for line in lines)

    async def read(self, platform, request_id):
        async with platform.call(
            '/chat/x', request_id, Model=f'{standin.MODEL}/a7'
        ) as response:
            return await response.read()
