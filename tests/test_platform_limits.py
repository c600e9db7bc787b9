"""Servers that name a request rate limit, with real processes."""

import asyncio
import signal
import time

import pytest

from tests import entry_load
from tests import platform_processes
from tests import soak_limits

LIMIT_PER_S = 1.5


@pytest.fixture
async def scene(tmp_path):
    async with platform_processes.Platform(
        tmp_path, entry_count=2
    ) as platform:
        yield entry_load.Scene(platform)


class TestEngineLimit:
    async def test_an_engine_gets_no_more_than_the_limit_that_it_names(
        self, scene
    ):
        """Guards against entries that ignore an engine's limit."""
        engine, other = scene.platform.engines
        engine.set_limit(LIMIT_PER_S)
        named_at_s = time.monotonic()
        await scene.send_model_requests()
        most = soak_limits.most_in_window(engine.arrived_at_s, named_at_s)
        assert most <= soak_limits.allowed(LIMIT_PER_S)
        assert len(other.ran) > len(engine.ran) > 0

    async def test_it_gets_its_requests_again_when_the_limit_ends(self, scene):
        """Guards against a limit that stays after it has ended."""
        engine, _ = scene.platform.engines
        engine.set_limit(LIMIT_PER_S)
        await scene.send_model_requests(3.0)
        engine.set_limit(None)
        ended_at_s = time.monotonic()
        await scene.send_model_requests(6.0)
        later_s = [
            at_s for at_s in engine.arrived_at_s if at_s > ended_at_s + 3.0
        ]
        assert len(later_s) > 10

    async def test_a_restarted_engine_is_not_bound_by_the_limit_of_before(
        self, scene
    ):
        """Guards against the limit of an earlier start of an engine."""
        engine, _ = scene.platform.engines
        engine.set_limit(LIMIT_PER_S)
        await scene.send_model_requests(3.0)
        engine.set_limit(None)
        key = f'servers/{engine.name}'
        address = scene.platform.address_of(engine)
        engine.restart('i-3')
        await scene.platform.store.put('servers/i-3', engine.entry(address))
        await scene.platform.store.delete(key)
        restarted_at_s = time.monotonic()
        await scene.send_model_requests(6.0)
        later_s = [
            at_s for at_s in engine.arrived_at_s if at_s > restarted_at_s + 3.0
        ]
        assert len(later_s) > 10

    async def test_what_no_engine_accepts_is_refused_at_once(self, scene):
        """Guards against callers that wait for turns they can't get."""
        for engine in scene.platform.engines:
            engine.set_limit(LIMIT_PER_S)
        named_at_s = time.monotonic()
        await scene.send_model_requests()
        for engine in scene.platform.engines:
            most = soak_limits.most_in_window(engine.arrived_at_s, named_at_s)
            assert 0 < most <= soak_limits.allowed(LIMIT_PER_S)
        refused = [
            answer
            for answer in scene.answers
            if answer.started_s > named_at_s + soak_limits.CONTACT_S
            and answer.status != 200
        ]
        assert {answer.status for answer in refused} == {503}
        assert max(answer.took_s for answer in refused) < 1.5
        times_s = [answer.retry_after_s for answer in refused]
        assert None not in times_s
        assert len(set(times_s)) > len(times_s) / 2


class TestSidecarOfLimitedEngine:
    async def play(self, scene, disturb):
        engine, other = scene.platform.engines
        engine.set_limit(LIMIT_PER_S)
        named_at_s = time.monotonic()
        async with asyncio.TaskGroup() as group:
            group.create_task(scene.send_model_requests(14.0))
            await asyncio.sleep(4.0)
            await disturb(scene.sidecar(0))
        assert soak_limits.most_in_window(
            engine.arrived_at_s, named_at_s
        ) <= soak_limits.allowed(LIMIT_PER_S)
        assert len(other.ran) > len(engine.ran)

    async def test_the_limit_holds_while_it_is_killed_and_restarted(
        self, scene
    ):
        """Guards against a sidecar whose restart forgets the limit."""

        async def restart(sidecar):
            await sidecar.stop()
            await asyncio.sleep(2.0)
            await sidecar.start()

        await self.play(scene, restart)

    async def test_the_limit_holds_while_it_restarts_at_once(self, scene):
        """Guards against a sidecar that grants before it knows the limit."""

        async def restart(sidecar):
            for _ in range(3):
                await sidecar.stop()
                await sidecar.start()
                await asyncio.sleep(2.0)

        await self.play(scene, restart)

    async def test_the_limit_holds_while_it_is_frozen(self, scene):
        """Guards against turns without consent beyond the limit."""

        async def freeze(sidecar):
            sidecar.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(4.0)
            sidecar.process.send_signal(signal.SIGCONT)

        await self.play(scene, freeze)


class TestEntryOfLimitedEngine:
    async def test_the_limit_holds_while_an_entry_restarts(self, scene):
        """Guards against an entry whose restart forgets the limit."""
        engine, _ = scene.platform.engines
        engine.set_limit(LIMIT_PER_S)
        named_at_s = time.monotonic()
        async with asyncio.TaskGroup() as group:
            group.create_task(scene.send_model_requests(12.0))
            await asyncio.sleep(4.0)
            await scene.platform.entries[1].stop()
            await scene.platform.entries[1].start()
        assert soak_limits.most_in_window(
            engine.arrived_at_s, named_at_s
        ) <= soak_limits.allowed(LIMIT_PER_S)


class TestPlainServerLimit:
    async def test_a_plain_server_gets_no_more_than_the_limit_that_it_names(
        self, scene
    ):
        """Guards against entries that ignore a plain server's limit."""
        # Each entry prefers the server that answered it first, so that the
        # other one may get nothing.
        await scene.send('/lookup/x', 1.0)
        other, server = sorted(
            scene.platform.services, key=lambda service: len(service.runs)
        )
        counts_before = len(other.runs), len(server.runs)
        server.set_limit(LIMIT_PER_S)
        named_at_s = time.monotonic()
        await scene.send('/lookup/x')
        most = soak_limits.most_in_window(server.arrived_at_s, named_at_s)
        assert most <= soak_limits.allowed(LIMIT_PER_S)
        other_count = len(other.runs) - counts_before[0]
        assert other_count > len(server.runs) - counts_before[1] > 0
