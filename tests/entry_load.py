"""Two real entries under a steady load, and the servers behind them."""

import asyncio
import dataclasses
import time

import aiohttp

from tests import platform_standin as standin

LENGTH_S = 11.0
PAUSE_S = 0.04
# More than one engine holds, so that each serves some.
ADAPTER_COUNT = 6


@dataclasses.dataclass(frozen=True)
class Answer:
    """The status of an answer, its time, and when to retry."""

    request_id: str
    entry: int
    status: int
    started_s: float
    took_s: float
    retry_after_s: float | None


class Scene:
    """Two entries that get the same load, and the servers behind them."""

    def __init__(self, platform):
        self.platform = platform
        self.answers = []

    async def call(self, number, path, request_id, **headers):
        entry = number % 2
        callers = self.platform.caller_urls[entry]
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
                self._record(
                    request_id,
                    entry,
                    response.status,
                    started_s,
                    response.headers,
                )
        except aiohttp.ClientError:
            self._record(request_id, entry, 0, started_s, {})

    def _record(self, request_id, entry, status, started_s, headers):
        ended_s = time.monotonic()
        retry_after_s = headers.get('Retry-After')
        self.answers.append(
            Answer(
                request_id,
                entry,
                status,
                started_s,
                ended_s - started_s,
                None if retry_after_s is None else float(retry_after_s),
            )
        )

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

    def sidecar(self, number):
        programs = self.platform.programs
        return [p for p in programs if p.role == 'sidecar'][number]


def _model_headers(number):
    adapter = number % ADAPTER_COUNT
    return {'Model': f'{standin.MODEL}/a{adapter}'}
