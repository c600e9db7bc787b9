"""Requests of the soak test that crash servers."""

import asyncio
import contextlib
import dataclasses
import itertools
import random
import time

import aiohttp

from tests import platform_standin as standin
from tests import standin_crashes

_EPISODE_RATIO = 0.5
_EPISODE_S = (3.0, 5.0)
_PAUSE_S = 0.25
_DOWN_S = (0.3, 1.0)
_ERROR_RATIOS = (0.0, 0.0, 0.4)
CONTACT_S = 3.0
MOST_LATE = 3
# Crashes after which no more than `MOST_LATE` may be sent.
_BOUNDS = {'request': 3, 'lookup': 3, 'part': 5}
_DEADLY_BODY = b'deadly'
_DEADLY_PART = 'dead0bad'
_PREFIX = 'x-'


@dataclasses.dataclass(frozen=True)
class PlannedCrashes:
    """A time in which requests crash the servers of a service.

    Parameters
    ----------
    kind
        `request` or `lookup` for one that comes again, `part` for unlike
        ones that share a part.
    """

    at_s: float
    for_s: float
    kind: str
    ways: tuple[standin_crashes.CrashWay, ...]
    is_unframed: bool
    error_ratio: float


def plan(seed, length_s):
    """Return the crashes of a run; ``None`` for a run without any.

    They have a schedule of their own, so that the faults of each seed stay
    as they are.
    """
    rng = random.Random(f'crashes/{seed}')
    if rng.random() >= _EPISODE_RATIO:
        return None
    for_s = rng.uniform(*_EPISODE_S)
    return PlannedCrashes(
        rng.uniform(0.0, max(0.0, length_s - for_s)),
        for_s,
        rng.choice(sorted(_BOUNDS)),
        rng.choice(
            (
                (standin_crashes.RESET,),
                standin_crashes.IN_ORDER,
                (standin_crashes.RESET, *standin_crashes.IN_ORDER),
            )
        ),
        rng.random() < 0.5,
        rng.choice(_ERROR_RATIOS),
    )


class CrashEpisode:
    """Sends the requests that crash servers, and counts what arrives."""

    def __init__(self, scene, planned, seed):
        self.planned = planned
        self.crashed_at_s = []
        self._scene = scene
        self._rng = random.Random(f'crash episode/{seed}')
        self._numbers = itertools.count()
        # Entry of each request.
        self._sent = {}
        self._is_over = False
        platform = scene.platform
        self._servers = platform.engines
        if planned.kind == 'lookup':
            self._servers = platform.services

    async def play(self):
        """Send the requests from the planned time on, until it is over."""
        planned = self.planned
        await asyncio.sleep(planned.at_s)
        for server in self._servers:
            self._arm(server)
        until_s = time.monotonic() + planned.for_s
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < until_s:
                group.create_task(self._send())
                await asyncio.sleep(_PAUSE_S)
        for server in self._servers:
            server.error_ratio = 0.0
            server.crashes.is_unframed = False

    def _arm(self, server):
        planned = self.planned
        crashes = server.crashes
        crashes.ways = planned.ways
        crashes.on_crash = self._crashed
        crashes.is_unframed = planned.is_unframed
        server.error_ratio = planned.error_ratio
        if planned.kind == 'part':
            crashes.part = _DEADLY_PART
        else:
            crashes.body = _DEADLY_BODY

    def _crashed(self, server):
        self.crashed_at_s.append(time.monotonic())
        _start_again(self._scene, server, self._rng.uniform(*_DOWN_S))

    async def _send(self):
        number = next(self._numbers)
        name = f'{_PREFIX}{number}'
        urls = self._scene.platform.caller_urls
        entry = self._rng.randrange(len(urls))
        self._sent[name] = entry
        self._scene.checker.deadly_ids.add(name)
        path, body = '/lookup/x', _DEADLY_BODY
        headers = {
            'Authorization': f'Token {self._scene.valid_key()}',
            'Host': 'h.example',
            'Request-Id': name,
            'Deadline-Ms': '3000',
        }
        if self.planned.kind != 'lookup':
            path = '/chat/x'
            headers['Model'] = f'{standin.MODEL}/a1'
        if self.planned.kind == 'part':
            body = b'deadly %d' % number
            headers[standin_crashes.PARTS] = (
                f'aa01:9,{_DEADLY_PART}:9,cc{number:06x}:9'
            )
        with contextlib.suppress(aiohttp.ClientError, OSError):
            async with self._scene.platform.session.post(
                f'{urls[entry]}{path}', data=body, headers=headers
            ) as response:
                await response.read()

    def late_ids(self, is_disturbed):
        """Return the requests that were sent too late.

        Parameters
        ----------
        is_disturbed
            Returns whether an entry, or a process or link that it needs,
            was disturbed in a time.
        """
        bound = _BOUNDS[self.planned.kind]
        if len(self.crashed_at_s) < bound:
            return []
        since_s = self.crashed_at_s[bound - 1] + CONTACT_S
        return [
            name
            for server in self._servers
            for name, at_s, _ in server.arrivals
            if name.startswith(_PREFIX)
            and at_s > since_s
            and not is_disturbed(self._sent[name], at_s - CONTACT_S, at_s)
        ]


def crash(scene, server):
    """Crash a server, unless requests crash it in this run."""
    if not server.is_down and server.crashes.on_crash is None:
        server.crash()
        _start_again(scene, server, _DOWN_S[0])


def _start_again(scene, server, down_s):
    task = asyncio.create_task(_bring_back(scene, server, down_s))
    scene.crash_tasks.add(task)


async def _bring_back(scene, server, down_s):
    since_s = time.monotonic()
    await asyncio.sleep(down_s)
    await scene.replace_server(server)
    await scene.platform.bring_up(server)
    scene.disturbances.record('server', server.link, since_s, time.monotonic())


def check(episode, is_disturbed):
    """Yield what was sent although servers crash under it."""
    late = episode.late_ids(is_disturbed)
    if len(late) > MOST_LATE:
        yield (
            f'{len(late)} requests were sent after '
            f'{len(episode.crashed_at_s)} crashes: {late[:3]}'
        )
