"""Servers that announce that they leave or ask for backoff, real processes."""

import asyncio
import time

import pytest

from tests import entry_load
from tests import notice_checks
from tests import platform_processes

BACKOFF_S = 3.0


@pytest.fixture
async def scene(tmp_path):
    async with platform_processes.Platform(
        tmp_path, entry_count=2
    ) as platform:
        yield entry_load.Scene(platform)


def sent_by(scene):
    """Return the entry and the time of each request, by its id."""
    return {a.request_id: (a.entry, a.started_s) for a in scene.answers}


async def preferred_services(scene):
    """Return the services, the one that gets most requests first."""
    await scene.send('/lookup/x', 1.0)
    return sorted(scene.platform.services, key=lambda s: -len(s.runs))


def served_after(scene, at_s):
    return [a.status for a in scene.answers if a.started_s > at_s]


class TestLeavingServer:
    async def test_a_plain_server_that_leaves_gets_nothing_in_an_outage(
        self, scene
    ):
        """Guards against entries that know of leaving by the list alone."""
        server, other = await preferred_services(scene)
        scene.platform.store.is_down = True
        server.is_leaving = True
        told_at_s = time.monotonic()
        await scene.send('/lookup/x', 6.0)
        assert server.leaving_answers
        late = notice_checks.sent_while_leaving(server, sent_by(scene))
        assert not late
        assert other.runs
        assert set(served_after(scene, told_at_s)) == {200}

    async def test_an_engine_that_leaves_gets_nothing_before_its_report(
        self, scene
    ):
        """Guards against turns that a sidecar grants at a leaving engine."""
        engine, other = scene.platform.engines
        await scene.send_model_requests(1.0)
        engine.reports_leaving = False
        engine.is_leaving = True
        told_at_s = time.monotonic()
        await scene.send_model_requests(6.0)
        assert engine.leaving_answers
        late = notice_checks.sent_while_leaving(engine, sent_by(scene))
        assert not late
        assert other.ran
        served = served_after(scene, told_at_s + notice_checks.DRAIN_S)
        assert set(served) == {200}


class TestBackoff:
    async def test_an_engine_that_asks_for_backoff_gets_none_in_that_time(
        self, scene
    ):
        """Guards against entries that ignore Retry-After of an engine."""
        engine, other = scene.platform.engines
        await scene.send_model_requests(1.0)
        engine.retry_after = str(BACKOFF_S)
        engine.shed_ratio = 1.0
        since_s = time.monotonic()
        await scene.send_model_requests(7.0)
        engine.shed_ratio = 0.0
        until_s = time.monotonic()
        await scene.send_model_requests(5.0)
        most = notice_checks.most_in_backoff(engine, sent_by(scene))
        assert engine.backoff_answers
        assert most <= notice_checks.MAX_IN_BACKOFF
        assert set(served_after(scene, since_s)) == {200}
        assert [at_s for _, at_s, _ in engine.arrivals if at_s > until_s]
        assert other.ran

    async def test_a_plain_server_that_asks_for_backoff_gets_none(self, scene):
        """Guards against entries that ignore a plain server's Retry-After."""
        server, other = await preferred_services(scene)
        server.retry_after = str(BACKOFF_S)
        server.shed_ratio = 1.0
        since_s = time.monotonic()
        await scene.send('/lookup/x', 7.0)
        most = notice_checks.most_in_backoff(server, sent_by(scene))
        assert server.backoff_answers
        assert most <= notice_checks.MAX_IN_BACKOFF
        assert set(served_after(scene, since_s)) == {200}
        assert other.runs

    async def test_callers_are_refused_at_once_if_all_servers_ask(self, scene):
        """Guards against callers that wait for, or return in, a backoff."""
        for server in scene.platform.services:
            server.retry_after = str(BACKOFF_S)
            server.shed_ratio = 1.0
        since_s = time.monotonic()
        await scene.send('/lookup/x', 2.5)
        for server in scene.platform.services:
            most = notice_checks.most_in_backoff(server, sent_by(scene))
            assert most <= notice_checks.MAX_IN_BACKOFF
        refused = [
            a
            for a in scene.answers
            if a.started_s > since_s + notice_checks.REACTION_S
        ]
        assert {answer.status for answer in refused} == {503}
        assert max(answer.took_s for answer in refused) < 0.5
        returns_s = [
            answer.started_s + answer.took_s + answer.retry_after_s
            for answer in refused
        ]
        first_end_s = min(
            at_s + BACKOFF_S
            for server in scene.platform.services
            for _, at_s, _, _ in server.backoff_answers
        )
        assert min(returns_s) > first_end_s - 0.1
        assert len({round(at_s, 2) for at_s in returns_s}) > len(returns_s) / 2

    async def test_an_engine_that_asks_one_entry_serves_the_other(self, scene):
        """Guards against a backoff of one entry that stops the others."""
        engine, _ = scene.platform.engines
        await scene.send_model_requests(1.0)
        engine.retry_after = '30'
        engine.shed_ratio = 1.0
        await scene.call(0, '/chat/x', 'shed', Model='base-1/a0')
        while not engine.backoff_answers:
            await scene.call(0, '/chat/x', 'shed', Model='base-1/a0')
            await asyncio.sleep(0.01)
        engine.shed_ratio = 0.0
        until_s = time.monotonic()
        await scene.send_model_requests(3.0)
        sent = sent_by(scene)
        entries = {
            sent[request_id][0]
            for request_id, at_s, _ in engine.arrivals
            if at_s > until_s + notice_checks.REACTION_S
        }
        assert entries == {1}
