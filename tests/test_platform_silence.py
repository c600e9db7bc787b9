"""Servers that fall silent for a moment and go on, as real processes."""

import asyncio
import collections
import itertools

import aiohttp
import pytest

from tests import platform_processes
from tests import platform_standin as standin

ENTRY_COUNT = 2
LOAD_S = 6.0
PAUSE_S = 0.07
EVENT_COUNT = 20
SILENT_S = 1.3
CHANGE_INTERVAL_S = 1.5
PATHS = ('/chat/x', '/chat/x', '/lookup/x', '/command/x', '/draft/x')
MODEL_PATHS = ('/chat/x', '/draft/x')


@pytest.fixture
async def platform(tmp_path):
    async with platform_processes.Platform(
        tmp_path, entry_count=ENTRY_COUNT
    ) as found:
        await found.until(
            lambda: all(entry.events('listening') for entry in found.entries)
        )
        for engine in found.engines:
            engine.event_count = EVENT_COUNT
            engine.event_pause_s = 0.08
        yield found


class Callers:
    """Send requests of all kinds, and record how each one ends."""

    def __init__(self, platform, deadline_ms=8000):
        self._platform = platform
        self._deadline_ms = deadline_ms
        self._numbers = itertools.count()
        # Ids of the requests by how they ended: whole, refused or lost.
        self.ends = collections.defaultdict(list)

    async def run(self, length_s):
        """Send requests for `length_s`, and wait until all have ended."""
        count = round(length_s / PAUSE_S)
        async with asyncio.TaskGroup() as group:
            for _ in range(count):
                group.create_task(self._send(next(self._numbers)))
                await asyncio.sleep(PAUSE_S)

    async def _send(self, number):
        path = PATHS[number % len(PATHS)]
        name = f'{path[1:-2]}-{number}'
        urls = self._platform.caller_urls
        headers = {
            'Host': 'h.example',
            'Request-Id': name,
            'Deadline-Ms': str(self._deadline_ms),
        }
        if path in MODEL_PATHS:
            headers['Model'] = standin.MODEL
        end = 'lost'
        try:
            async with self._platform.session.post(
                urls[number % len(urls)] + path, data=b'x', headers=headers
            ) as response:
                await response.read()
                end = 'whole' if response.status == 200 else 'refused'
        except (aiohttp.ClientError, ConnectionError):
            pass
        self.ends[end].append(name)


async def change_configuration(platform):
    """Change the configuration at intervals, until cancelled."""
    for version in itertools.count(6):
        configuration = standin.configuration(
            version, extra={'pathPrefix': f'/v{version}/'}
        )
        await platform.store.put('op/config', configuration)
        await asyncio.sleep(CHANGE_INTERVAL_S)


async def play(platform, silent, for_s=SILENT_S):
    """Return how requests end while servers fall silent at once, twice."""
    changes = asyncio.create_task(change_configuration(platform))
    callers = Callers(platform)
    async with asyncio.TaskGroup() as group:
        group.create_task(callers.run(LOAD_S))
        for _ in range(2):
            await asyncio.sleep(LOAD_S / 3)
            for server in silent:
                server.fall_silent(for_s)
    changes.cancel()
    return callers.ends


class TestSoundServers:
    async def test_no_request_is_lost_while_engines_are_silent(self, platform):
        """Guards against streams cut off because their engine is silent."""
        engines = platform.engines
        for silent in (engines[:1], engines, [*engines, *platform.services]):
            ends = await play(platform, silent)
            assert ends['lost'] == []

    @pytest.mark.parametrize('count', [1, 2])
    async def test_plain_requests_are_answered_by_silent_services(
        self, platform, count
    ):
        """Guards against lookups given up because their server is silent."""
        ends = await play(platform, platform.services[:count])
        assert ends['lost'] == ends['refused'] == []


def without_routes(configuration):
    configuration['routes'] = configuration['routes'][-1:]


def with_other_services(configuration):
    for route in configuration['routes']:
        route['service'] = f'other-{route["service"]}'
    for service in configuration['services']:
        service['name'] = f'other-{service["name"]}'


def with_shorter_timeouts(configuration):
    for route in configuration['routes']:
        route['timeoutMs'] = 500


CHANGES = [without_routes, with_other_services, with_shorter_timeouts]


async def play_change(platform, change, callers, load_s):
    """Send requests for `load_s`; change the configuration after 1 s."""
    configuration = standin.configuration(6)
    change(configuration)
    async with asyncio.TaskGroup() as group:
        group.create_task(callers.run(load_s))
        await asyncio.sleep(1.0)
        await platform.store.put('op/config', configuration)
    for entry in platform.entries:
        last = entry.events('configuration in force')[-1]
        assert last['version'] == configuration['version']


class TestRequestsInProgressAtAChange:
    DEADLINE_MS = 3000

    @pytest.mark.parametrize('change', CHANGES)
    async def test_each_is_refused_by_its_deadline_if_nothing_answers(
        self, platform, change
    ):
        """Guards against requests that end with a change, or never."""
        for server in (*platform.engines, *platform.services):
            server.fall_silent()
        callers = Callers(platform, self.DEADLINE_MS)
        async with asyncio.timeout(2 * self.DEADLINE_MS / 1000):
            await play_change(platform, change, callers, load_s=2.0)
        assert callers.ends['lost'] == []
        assert callers.ends['refused']

    @pytest.mark.parametrize('change', CHANGES)
    async def test_each_is_answered_by_sound_servers(self, platform, change):
        """Guards against answers that are cut as their route changes."""
        callers = Callers(platform)
        # The streams last for 1.6 s, beyond the change.
        await play_change(platform, change, callers, load_s=0.9)
        assert callers.ends.keys() == {'whole'}
