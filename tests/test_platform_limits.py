"""Servers that name a request rate limit, with real processes."""

import asyncio
import time

import aiohttp
import pytest

from tests import platform_processes
from tests import platform_standin as standin

CONTACT_S = 3.0
# From half a second after an entry has heard of a limit, it has to follow it.
HEARD_S = 0.5
WINDOW_S = 4.0
EXCESS_RATIO = 1.5
EXCESS_COUNT = 5
LIMIT_PER_S = 1.5
LENGTH_S = 11.0
PAUSE_S = 0.04
# More than one engine holds, so that each serves some.
ADAPTER_COUNT = 6


class Scene:
    """Two entries that get the same load, and the servers behind them."""

    def __init__(self, platform):
        self.platform = platform
        self.answers = []

    async def call(self, number, path, request_id, **headers):
        callers = self.platform.caller_urls[number % 2]
        headers = {
            'Host': 'h.example',
            'Request-Id': request_id,
            'Deadline-Ms': '3000',
            **headers,
        }
        started_s = time.monotonic()
        try:
            async with self.platform.session.post(
                f'{callers}{path}', data=b'body', headers=headers
            ) as response:
                await response.read()
                self.answers.append(
                    (response.status, started_s, dict(response.headers))
                )
        except aiohttp.ClientError:
            self.answers.append((0, started_s, {}))

    async def send(self, path, length_s=LENGTH_S, headers=lambda _: {}):
        """Send requests at a steady rate until `length_s` has passed."""
        async with asyncio.TaskGroup() as group:
            for number in range(int(length_s / PAUSE_S)):
                request_id = f'{path.strip("/x")}-{time.monotonic()}'
                group.create_task(
                    self.call(number, path, request_id, **headers(number))
                )
                await asyncio.sleep(PAUSE_S)

    async def send_model_requests(self, length_s=LENGTH_S):
        await self.send('/chat/x', length_s, _model_headers)

    def statuses(self, since_s=0.0):
        return [status for status, at_s, _ in self.answers if at_s >= since_s]


def _model_headers(number):
    adapter = number % ADAPTER_COUNT
    return {'Model': f'{standin.MODEL}/a{adapter}'}


def most_in_window(server, named_at_s):
    """Return the most requests in any window in which the limit binds.

    The limit binds from `CONTACT_S` after it was first named, and counts
    what arrives from `HEARD_S` after it.
    """
    counted_s = [
        at_s for at_s in server.arrived_at_s if at_s > named_at_s + HEARD_S
    ]
    ends_s = [at_s for at_s in counted_s if at_s > named_at_s + CONTACT_S]
    return max(
        (
            sum(end_s - WINDOW_S < at_s <= end_s for at_s in counted_s)
            for end_s in ends_s
        ),
        default=0,
    )


def allowed(limit_per_s):
    return EXCESS_RATIO * limit_per_s * WINDOW_S + EXCESS_COUNT


@pytest.fixture
async def scene(tmp_path):
    async with platform_processes.Platform(
        tmp_path, entry_count=2
    ) as platform:
        yield Scene(platform)


class TestEngineLimit:
    async def test_an_engine_gets_no_more_than_the_limit_that_it_names(
        self, scene
    ):
        """Guards against entries that ignore an engine's limit."""
        engine, other = scene.platform.engines
        engine.limit_per_s = LIMIT_PER_S
        named_at_s = time.monotonic()
        await scene.send_model_requests()
        most = most_in_window(engine, named_at_s)
        assert most <= allowed(LIMIT_PER_S)
        assert len(other.ran) > len(engine.ran) > 0


class TestPlainServerLimit:
    async def test_a_plain_server_gets_no_more_than_the_limit_that_it_names(
        self, scene
    ):
        """Guards against entries that ignore a plain server's limit."""
        server, other = scene.platform.services
        server.limit_per_s = LIMIT_PER_S
        named_at_s = time.monotonic()
        await scene.send('/lookup/x')
        most = most_in_window(server, named_at_s)
        assert most <= allowed(LIMIT_PER_S)
        assert len(other.runs) > len(server.runs) > 0
