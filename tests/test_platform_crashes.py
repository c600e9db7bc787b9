"""A request that crashes each engine that runs it, with real processes."""

import asyncio

import aiohttp
import pytest

from tests import platform_processes
from tests import platform_standin as standin

CRASHING_BODY = b'deadly'
DOWN_S = 0.5
CONTACT_S = 3.0
LENGTH_S = 12.0
PAUSE_S = 0.25
# Until entries and sidecars have exchanged their crashes, the request may
# reach further engines.
MOST_CRASHES = 6


class Scene:
    """Two entries and two engines that restart under new names."""

    def __init__(self, platform):
        self.platform = platform
        self.crashed_at_s = []
        self.statuses = []
        self.served = []
        self._tasks = set()
        for engine in platform.engines:
            engine.crash_body = CRASHING_BODY
            engine.on_crash = self._crashed

    def _crashed(self, engine):
        self.crashed_at_s.append(asyncio.get_running_loop().time())
        task = asyncio.create_task(self._restart(engine))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _restart(self, engine):
        store = self.platform.store
        address = self.platform.address_of(engine)
        before = engine.name
        await asyncio.sleep(DOWN_S)
        engine.restart(f'{before.partition(".")[0]}.{engine.crash_count}')
        engine.is_down = False
        await store.put(f'servers/{engine.name}', engine.entry(address))
        await store.delete(f'servers/{before}')

    async def call(self, number, name, body):
        callers = self.platform.caller_urls[number % 2]
        headers = {
            'Host': 'h.example',
            'Request-Id': name,
            'Deadline-Ms': '3000',
            'Model': f'{standin.MODEL}/a7',
        }
        try:
            async with self.platform.session.post(
                f'{callers}/chat/x', data=body, headers=headers
            ) as response:
                await response.read()
                return response.status
        except aiohttp.ClientError:
            return 0

    async def send_crashing(self):
        for number in range(int(LENGTH_S / PAUSE_S)):
            status = await self.call(number, f'd-{number}', CRASHING_BODY)
            self.statuses.append(status)
            await asyncio.sleep(PAUSE_S)

    async def send_others(self):
        for number in range(int(LENGTH_S / PAUSE_S)):
            body = b'other %d' % number
            status = await self.call(number, f'o-{number}', body)
            self.served.append(status == 200)
            await asyncio.sleep(PAUSE_S)


@pytest.fixture
async def scene(tmp_path):
    async with platform_processes.Platform(
        tmp_path, entry_count=2
    ) as platform:
        found = Scene(platform)
        await asyncio.gather(found.send_crashing(), found.send_others())
        yield found


class TestCrashingRequest:
    async def test_a_request_that_crashes_engines_is_sent_to_few(self, scene):
        """Guards against one request that crashes engine after engine."""
        crashed_at_s = scene.crashed_at_s
        bound_from_s = crashed_at_s[2] + CONTACT_S
        assert len([at for at in crashed_at_s if at > bound_from_s]) == 0
        assert len(crashed_at_s) <= MOST_CRASHES
