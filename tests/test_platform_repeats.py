"""How often requests arrive at servers that fail, as real processes."""

import asyncio

import pytest

from tests import arrivals
from tests import platform_processes

ENTRY_COUNT = 4
CALM_S = 2.0
FAILING_S = 11.0
METHODS = ['GET', 'HEAD', 'PUT', 'DELETE', 'POST']
PATHS = ['/lookup/x', '/command/x']


@pytest.fixture
async def platform(tmp_path):
    async with platform_processes.Platform(
        tmp_path, entry_count=ENTRY_COUNT
    ) as found:
        await found.until(
            lambda: all(entry.events('listening') for entry in found.entries)
        )
        yield found


class TestBrokenAnswers:
    @pytest.mark.parametrize('sent', [b'', b'HTTP/1.1 200 OK\r\nRequest-'])
    async def test_each_repeat_is_charged_and_allowed(self, platform, sent):
        """Guards against repeats that no budget and no route allows."""
        load = arrivals.Load(platform, PATHS, METHODS)
        await load.run(CALM_S)
        for server in platform.services:
            server.broken_ratio = 0.6
            server.sent_before_break = sent
        await load.run(FAILING_S)
        assert load.most_repeats().used_ratio <= 1.0
        assert load.beyond('/command', 1) == []
        assert load.beyond('/lookup', 2) == []
        assert load.most_repeats().count


class TestRestarts:
    async def test_entries_that_start_again_share_one_budget(self, platform):
        """Guards against a full allowance for each process that starts."""
        load = arrivals.Load(platform, ['/lookup/x'], METHODS)
        await load.run(CALM_S)
        for server in platform.services:
            server.error_ratio = 1.0
        async with asyncio.TaskGroup() as group:
            group.create_task(load.run(FAILING_S))
            for delay_s in range(1, int(FAILING_S), 2):
                group.create_task(self.restart_all(platform, delay_s))
        assert load.most_repeats().used_ratio <= 1.0
        assert load.beyond('/lookup', 2) == []

    async def restart_all(self, platform, delay_s):
        await asyncio.sleep(delay_s)
        for entry in platform.entries:
            entry.process.kill()
        for entry in platform.entries:
            await entry.process.wait()
            await entry.start()
