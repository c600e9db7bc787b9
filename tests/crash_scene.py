"""Callers, and servers that requests crash, as real processes."""

import asyncio
import contextlib
import dataclasses
import itertools
import random
import time

import aiohttp

from tests import platform_standin as standin
from tests import standin_crashes

CONTACT_S = 3.0
DOWN_S = 0.5
WHOLE_EVENTS = 5
# Servers crash under the request, so that a retry does not help.
NOT_RUN_FINAL = 500
DEADLY = 'd-'
DEADLY_BODY = b'deadly'
DEADLY_PART = 'dead0bad'
FIRST_PART = 'aa01'


@dataclasses.dataclass(frozen=True)
class Answer:
    """What a caller got; status 0 if it got no answer.

    Attributes
    ----------
    is_whole
        Whether the answer came to an end that its caller can't tell from
        that of a whole one.
    """

    request_id: str
    path: str
    sent_at_s: float
    status: int = 0
    is_whole: bool = False
    events: int = 0

    @property
    def is_served(self):
        """Whether it is a success with all its events."""
        if self.status != 200 or not self.is_whole:
            return False
        return not self.path.startswith('/chat') or self.is_complete

    @property
    def is_complete(self):
        """Whether it has all events of a stream."""
        return self.events == WHOLE_EVENTS


class CrashScene:
    """Requests of callers while some of them crash servers.

    Parameters
    ----------
    servers
        The servers that the requests crash; each is back after `down_s`
        under another name.
    """

    def __init__(self, platform, servers, down_s=DOWN_S):
        self.platform = platform
        self.answers = []
        self.crashed_at_s = []
        self._servers = servers
        self._down_s = down_s
        self._numbers = itertools.count()
        self._tasks = set()
        for server in servers:
            server.crashes.on_crash = self._crashed

    def _crashed(self, server):
        self.crashed_at_s.append(time.monotonic())
        task = asyncio.create_task(self._bring_back(server))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _bring_back(self, server):
        store = self.platform.store
        address = self.platform.address_of(server)
        before = server.name
        await asyncio.sleep(self._down_s)
        server.restart(f'{before.partition(".")[0]}.{server.crashes.count}')
        await self.platform.bring_up(server)
        await store.put(f'servers/{server.name}', server.entry(address))
        await store.delete(f'servers/{before}')

    async def send(self, name, path, body, headers, url):
        """Send a request once, and keep its answer."""
        answer = Answer(name, path, time.monotonic())
        sent = {
            'Host': 'h.example',
            'Request-Id': name,
            'Deadline-Ms': '3000',
            **headers,
        }
        with contextlib.suppress(aiohttp.ClientError, OSError):
            async with self.platform.session.post(
                f'{url}{path}', data=body, headers=sent
            ) as response:
                answer = dataclasses.replace(answer, status=response.status)
                body = await response.read()
                answer = dataclasses.replace(
                    answer, is_whole=True, events=body.count(b'id: ')
                )
        self.answers.append(answer)

    async def press(self, length_s, pause_s, new_request, urls=None):
        """Send requests again and again, to one entry after another.

        Parameters
        ----------
        new_request
            Returns prefix of the id, path, body and headers of a request,
            given its number.
        """
        urls = urls or self.platform.caller_urls
        until_s = time.monotonic() + length_s
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < until_s:
                number = next(self._numbers)
                prefix, path, body, headers = new_request(number)
                group.create_task(
                    self.send(
                        f'{prefix}{number}',
                        path,
                        body,
                        headers,
                        urls[number % len(urls)],
                    )
                )
                await asyncio.sleep(pause_s)

    def deadly_arrivals(self):
        """Return when requests that crash servers arrived at servers."""
        return sorted(
            at_s
            for server in self._servers
            for request_id, at_s, _ in server.arrivals
            if request_id.startswith(DEADLY)
        )

    def late_sends(self, crash_count):
        """Return how many arrived `CONTACT_S` after a number of crashes."""
        if len(self.crashed_at_s) < crash_count:
            return 0
        since_s = self.crashed_at_s[crash_count - 1] + CONTACT_S
        return sum(at_s > since_s for at_s in self.deadly_arrivals())

    def lies(self):
        """Return streams that ended as if they were whole, and were not."""
        return [
            answer
            for answer in self.answers
            if answer.path.startswith('/chat')
            and answer.status == 200
            and answer.is_whole
            and not answer.is_complete
        ]

    def served_ratio(self, since_s=0.0, until_s=float('inf')):
        """Return the share of sound requests sent in a time and served."""
        found = [
            answer.is_served
            for answer in self.answers
            if not answer.request_id.startswith(DEADLY)
            and since_s <= answer.sent_at_s < until_s
        ]
        return sum(found) / len(found) if found else 1.0

    def refused_count(self, since_s):
        """Return how many deadly requests got a final answer, not run."""
        return sum(
            answer.request_id.startswith(DEADLY)
            and answer.sent_at_s >= since_s
            and answer.status == NOT_RUN_FINAL
            for answer in self.answers
        )


def same_stream(number):
    """Return a request that is the same each time but for its id."""
    headers = {'Model': f'{standin.MODEL}/a7'}
    return DEADLY, '/chat/x', DEADLY_BODY, headers


def other_stream(number):
    """Return a sound request unlike all others."""
    headers = {'Model': f'{standin.MODEL}/a7'}
    return 'o-', '/chat/x', b'other %d' % number, headers


def same_lookup(number):
    """Return the same request to a plain service each time."""
    return DEADLY, '/lookup/x', DEADLY_BODY, {}


def other_lookup(number):
    """Return a sound request to a plain service."""
    return 'o-', '/lookup/x', b'other %d' % number, {}


def has_deadly_part(number):
    """Return a request unlike all others with the part that crashes."""
    parts = (f'{FIRST_PART}:9', _companion(number), f'{DEADLY_PART}:9')
    return of_parts(DEADLY, parts, number)


def shares_parts(number):
    """Return a sound request with all other parts of such a request."""
    parts = (f'{FIRST_PART}:9', _companion(number))
    return of_parts('o-', parts, number)


def of_parts(prefix, parts, number):
    """Return a request unlike all others with some parts.

    Parameters
    ----------
    prefix
        Prefix of its id.
    parts
        As ID:TOKENS.
    """
    listed = ','.join((*parts, f'cc{number:06x}:9'))
    headers = {
        'Model': f'{standin.MODEL}/a7',
        standin_crashes.PARTS: listed,
    }
    return prefix, '/chat/x', f'{prefix}{number}'.encode(), headers


def _companion(number):
    return f'bb{random.Random(number).randrange(20):02x}:9'


async def kill_in_series(platform, length_s, pause_s):
    """Kill one entry after the other, each started again at once."""
    until_s = time.monotonic() + length_s
    for program in itertools.cycle(platform.entries):
        if time.monotonic() > until_s:
            return
        await asyncio.sleep(pause_s)
        program.process.kill()
        await program.process.wait()
        await program.start()
