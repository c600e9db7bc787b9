"""Runs that move between engines, with the real programs."""

import asyncio

import aiohttp
import pytest

from tests import platform_processes
from tests import platform_standin as standin

MODEL = f'{standin.MODEL}/a7'
PARTS = ('moving-runs',)
# The whole stream lasts longer than an engine that leaves.
EVENT_COUNT = 40
EVENT_PAUSE_S = 0.1


@pytest.fixture(params=[PARTS])
async def platform(tmp_path, request):
    async with platform_processes.Platform(
        tmp_path, parts=request.param
    ) as found:
        for engine in found.engines:
            engine.event_count = EVENT_COUNT
            engine.event_pause_s = EVENT_PAUSE_S
        yield found


async def begin(platform, request_id='r-1'):
    """Start a stream; return its response and the engines of the move."""
    response = await platform.call('/draft/x', request_id, Model=MODEL)
    assert response.status == 200
    await response.content.readany()
    source = next(e for e in platform.engines if request_id in e.runs)
    target = next(e for e in platform.engines if e is not source)
    return response, source, target


async def leave(platform, engine):
    address = platform.address_of(engine)
    await platform.store.put(
        f'servers/{engine.name}', engine.entry(address, state='draining')
    )


def moves(platform):
    return platform.entry.events('run move ended')


class TestMoves:
    async def test_a_stream_outlives_its_engine(self, platform):
        """Guards against streams that break off as their engine leaves."""
        response, source, target = await begin(platform)
        await leave(platform, source)
        await platform.until(lambda: 'r-1' in target.runs)
        source.is_down = True
        body = await response.read()
        numbers = [int(n) for n in body.split() if n.isdigit()]
        assert numbers == list(range(2, EVENT_COUNT + 1))
        signature = response.headers[standin.SIGNATURE]
        assert signature == f'signed-by-{source.name}'
        assert source.runs == target.runs == []
        assert platform.copies.held == {}
        assert len(platform.copies.used) == 1
        headers = {k.lower(): v for k, v in target.seen[-1][1].items()}
        assert headers['kv-from'].endswith(platform.copies.used[0])
        assert int(headers['last-event-id']) > 1
        (line,) = moves(platform)
        assert line['outcome'] == 'moved'
        text = await platform.metrics(platform_processes.ENTRY_IPS[0])
        assert 'lacewingpitch_run_moves_total' in text

    async def test_a_lost_answer_is_asked_for_again(self, platform):
        platform.copies.faults = ['', 'lost']
        response, source, _ = await begin(platform)
        await leave(platform, source)
        body = await response.read()
        assert body.count(b'id: ') == EVENT_COUNT - 1
        assert [line['outcome'] for line in moves(platform)] == ['moved']

    async def test_a_caller_that_disconnects_leaves_no_copy(self, platform):
        """Guards against memory that stays reserved for nobody."""
        response, source, target = await begin(platform)
        platform.copies.delay_s = 0.3
        await leave(platform, source)
        await platform.until(lambda: platform.copies.held)
        response.close()
        await platform.until(lambda: not platform.copies.held)
        await platform.until(lambda: not source.runs and not target.runs)

    async def test_an_entry_that_is_killed_ends_the_run(self, platform):
        response, source, target = await begin(platform)
        platform.copies.delay_s = 0.3
        await leave(platform, source)
        await platform.until(lambda: platform.copies.held)
        platform.entry.process.kill()
        with pytest.raises((aiohttp.ClientError, ConnectionError)):
            await response.read()
        await platform.until(lambda: not source.runs and not target.runs)

    @pytest.mark.parametrize('platform', [()], indirect=True)
    async def test_without_the_part_nothing_is_copied(self, platform):
        response, source, _ = await begin(platform)
        await leave(platform, source)
        await asyncio.sleep(2.5)
        assert 'r-1' in source.runs
        assert platform.copies.held == {}
        response.close()
