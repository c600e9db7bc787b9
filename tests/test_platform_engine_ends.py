"""Ends of unframed answers of engines, as real processes."""

import asyncio
import contextlib
import signal

import aiohttp
import pytest

from tests import crash_scene
from tests import platform_processes
from tests import platform_standin as standin

EVENT_COUNT = 10
EVENTS_BEFORE_CRASH = 4
DOWN_S = 0.2
SILENT_S = 1.5
MODEL_HEADERS = {'Model': standin.MODEL, 'Deadline_Ms': '8000'}
RESUMABLE = '/chat/x'
RUNS_ONCE = '/draft/x'
PATHS = (RESUMABLE, RUNS_ONCE)


@pytest.fixture
async def platform(tmp_path):
    async with platform_processes.Platform(tmp_path) as found:
        for engine in found.engines:
            engine.crashes.is_unframed = True
            engine.event_count = EVENT_COUNT
            engine.event_pause_s = 0.1
        yield found


@contextlib.contextmanager
def stopped(sidecars):
    """Stop sidecars with SIGSTOP."""
    for sidecar in sidecars:
        sidecar.process.send_signal(signal.SIGSTOP)
    try:
        yield
    finally:
        for sidecar in sidecars:
            sidecar.process.send_signal(signal.SIGCONT)


def sidecars_of(platform):
    return [p for p in platform.programs if p.role == 'sidecar']


def engine_of(platform, request_id):
    """Return the engine that got a request."""
    return next(
        engine
        for engine in platform.engines
        if any(name == request_id for name, _, _ in engine.arrivals)
    )


async def read(platform, path, in_the_middle):
    """Return the events that a caller gets; ``None`` if they break off.

    Parameters
    ----------
    in_the_middle
        Is called with the engine after some events, and awaited meanwhile.
    """
    body = b''
    meanwhile = None
    try:
        async with platform.call(path, 'r-1', **MODEL_HEADERS) as response:
            assert response.status == 200
            async for chunk in response.content.iter_any():
                body += chunk
                if meanwhile is None and count(body) >= EVENTS_BEFORE_CRASH:
                    engine = engine_of(platform, 'r-1')
                    meanwhile = asyncio.create_task(in_the_middle(engine))
    except aiohttp.ClientError:
        return None
    finally:
        if meanwhile is not None:
            await meanwhile
    return count(body)


def count(body):
    return body.count(b'id: ')


class TestEngineThatStartsAgain:
    @pytest.mark.parametrize('path', PATHS)
    @pytest.mark.parametrize('frozen_s', [0.4, 6.0])
    async def test_half_of_its_answer_is_not_passed_on_as_whole(
        self, platform, path, frozen_s
    ):
        """Guards against taking the start after a crash for the first.

        A stream that may be resumed comes whole from the other engine.
        """
        scene = crash_scene.CrashScene(platform, platform.engines, DOWN_S)

        async def crash(engine):
            with stopped(sidecars_of(platform)):
                engine.crash(is_in_order=True)
                await asyncio.sleep(frozen_s)

        events = await read(platform, path, crash)
        assert len(scene.crashed_at_s) == 1, platform.request_log('r-1')
        if path == RESUMABLE:
            assert events in (None, EVENT_COUNT)
            return
        assert events is None
        arrivals = [a for engine in platform.engines for a in engine.arrivals]
        assert len(arrivals) == 1

    async def test_half_of_its_answer_is_not_believed_by_a_silent_entry(
        self, platform
    ):
        """Guards against a witness that the start after a crash accepts."""
        scene = crash_scene.CrashScene(platform, platform.engines, DOWN_S)
        plays = []

        async def play(engine):
            with stopped(sidecars_of(platform)):
                with stopped([platform.entry]):
                    await asyncio.sleep(0.35)
                    engine.crash(is_in_order=True)
                    await asyncio.sleep(2 * DOWN_S)
                await asyncio.sleep(0.85)

        for engine in platform.engines:
            call_on_arrival(engine, plays, play)
        events = await read(platform, RUNS_ONCE, no_disturbance)
        await asyncio.gather(*plays)
        assert len(scene.crashed_at_s) == len(plays) == 1
        assert events is None


def call_on_arrival(engine, plays, play):
    """Start to play once the first request arrives at an engine."""
    record_arrival = engine.record_arrival

    def record(request):
        record_arrival(request)
        if not plays and request.path == RUNS_ONCE:
            plays.append(asyncio.create_task(play(engine)))

    engine.record_arrival = record


async def no_disturbance(_engine):
    """Leave the engine alone."""


class TestCommand:
    """Requests to engines that may run once, on a route with two attempts."""

    @pytest.mark.parametrize('has_crashed', [False, True])
    async def test_half_of_its_answer_is_refused_and_not_asked_for_again(
        self, platform, has_crashed
    ):
        """Guards against a request that runs twice for an end in doubt."""
        crash_scene.CrashScene(platform, platform.engines, DOWN_S)
        route = {'service': standin.SERVICE, 'maxAttempts': 2}
        changed = standin.configuration(6, command=route)
        await platform.store.put('op/config', changed)
        await platform.until(lambda: is_in_force(platform, 6))
        calling = asyncio.create_task(call_command(platform))
        await platform.until(lambda: is_halfway(platform))
        with stopped(sidecars_of(platform)):
            if has_crashed:
                engine_of(platform, 'r-1').crash(is_in_order=True)
            status, events = await calling
        arrivals = [a for engine in platform.engines for a in engine.arrivals]
        assert len(arrivals) == 1
        assert (status == 200) is not has_crashed
        assert events == (0 if has_crashed else EVENT_COUNT)


async def call_command(platform):
    """Return status and number of events of the answer to a command."""
    async with platform.call('/command/x', 'r-1', **MODEL_HEADERS) as response:
        return response.status, count(await response.read())


def is_halfway(platform):
    return any(
        engine.events_by_run.get('r-1', 0) >= EVENTS_BEFORE_CRASH
        for engine in platform.engines
    )


def is_in_force(platform, version):
    found = platform.entry.events('configuration in force')
    return bool(found) and found[-1]['version'] == version


class TestSoundEngine:
    @pytest.mark.parametrize('path', PATHS)
    async def test_whole_answers_outlast_a_silent_sidecar(
        self, platform, path
    ):
        """Guards against whole answers lost for a silent sidecar."""

        async def freeze(_engine):
            with stopped(sidecars_of(platform)):
                await asyncio.sleep(0.6 + SILENT_S)

        assert await read(platform, path, freeze) == EVENT_COUNT

    @pytest.mark.parametrize('path', PATHS)
    async def test_whole_answers_outlast_a_silent_engine(self, platform, path):
        """Guards against whole answers lost for a silent engine."""

        async def be_silent(engine):
            await asyncio.sleep(0.55)
            engine.fall_silent(SILENT_S)

        assert await read(platform, path, be_silent) == EVENT_COUNT
