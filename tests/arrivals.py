"""What servers get of requests that each caller sends exactly once.

The HTTP client that the system uses may repeat requests by itself, and so
may one that a test uses.  These callers speak HTTP over a plain connection.
"""

import asyncio
import bisect
import collections
import contextlib
import dataclasses
import itertools
import random
import time

import aiohttp

WINDOW_S = 10.0
# Bounds in the settings of the stand-in.
RATIO = 0.2
ALLOWANCE = 52.0
_CALL_TIMEOUT_S = 6.0


@dataclasses.dataclass(frozen=True)
class Repeats:
    """The window that uses most of what is allowed.

    Attributes
    ----------
    count
        Arrivals in it, beyond the first of each request.
    allowed
        How many are allowed.
    """

    count: int = 0
    allowed: float = ALLOWANCE

    @property
    def used_ratio(self):
        return self.count / self.allowed


def most_repeats(servers, sent, ratio=RATIO, allowance=ALLOWANCE):
    """Return the worst window of a service.

    Parameters
    ----------
    sent
        Times at which callers sent requests of the service.
    """
    return worst_window(_repeated_at(servers), sent, ratio, allowance)


def worst_window(
    repeats, sent, ratio=RATIO, allowance=ALLOWANCE, window_s=WINDOW_S
):
    """Return the worst window, by the times of repeats and requests."""
    repeats, sent = sorted(repeats), sorted(sent)
    worst = Repeats(allowed=allowance)
    for number, until_s in enumerate(repeats):
        since_s = until_s - window_s
        count = number + 1 - bisect.bisect_left(repeats, since_s)
        requests = max(
            bisect.bisect_right(sent, until_s - back_s)
            - bisect.bisect_left(sent, since_s - back_s)
            for back_s in (0.0, window_s / 2, window_s)
        )
        found = Repeats(count, ratio * requests + allowance)
        worst = max(worst, found, key=lambda window: window.used_ratio)
    return worst


def _repeated_at(servers):
    """Return when requests arrived that had arrived before, in order."""
    arrivals = sorted(
        (at_s, request_id)
        for server in servers
        for request_id, at_s, _ in server.arrivals
    )
    seen = set()
    repeats = []
    for at_s, request_id in arrivals:
        if request_id in seen:
            repeats.append(at_s)
        seen.add(request_id)
    return repeats


def arrival_counts(servers):
    """Return how often each request arrived."""
    return collections.Counter(
        request_id
        for server in servers
        for request_id, _, _ in server.arrivals
    )


@dataclasses.dataclass(frozen=True)
class SentRequest:
    """A request that a caller sent once; status 0 if it got no answer."""

    request_id: str
    path: str
    method: str
    sent_at_s: float
    status: int


async def send_once(request, handler):
    """Keep aiohttp from repeating a request by itself, as a middleware."""
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionError(repr(error)) from error


class Caller:
    """Sends requests one by one on a connection, until that is closed."""

    def __init__(self, url):
        host, _, port = url.removeprefix('http://').partition(':')
        self._address = host, int(port)
        self._streams = None

    async def send(self, request_id, method, path):
        """Send a request once; return its status, 0 without an answer."""
        try:
            async with asyncio.timeout(_CALL_TIMEOUT_S):
                return await self._send(request_id, method, path)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            self.close()
            return 0

    async def _send(self, request_id, method, path):
        if self._streams is None:
            self._streams = await asyncio.open_connection(*self._address)
        reader, writer = self._streams
        writer.write(
            f'{method} {path} HTTP/1.1\r\nHost: h.example\r\n'
            f'Request-Id: {request_id}\r\nDeadline-Ms: 5000\r\n'
            'Content-Length: 0\r\n\r\n'.encode()
        )
        head = (await reader.readuntil(b'\r\n\r\n')).decode().lower()
        length = head.partition('content-length: ')[2].partition('\r')[0]
        if length and method != 'HEAD':
            await reader.readexactly(int(length))
        if not length or 'connection: close' in head:
            self.close()
        return int(head.split()[1])

    def close(self):
        """Close the connection, if there is one."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


class Load:
    """Callers that press on at all entries, each request sent once.

    Parameters
    ----------
    methods
        Methods of the requests, drawn at random.
    """

    def __init__(self, platform, paths, methods, seed=1, pause_s=0.1):
        self.sent = []
        self._platform = platform
        self._paths = paths
        self._methods = methods
        self._pause_s = pause_s
        self._seed = seed
        self._numbers = itertools.count()

    async def run(self, length_s, callers_per_entry=4):
        """Send requests for `length_s`."""
        until_s = time.monotonic() + length_s
        async with asyncio.TaskGroup() as group:
            for number in range(callers_per_entry):
                for url in self._platform.caller_urls:
                    group.create_task(
                        self._press(url, f'{number}-{url}', until_s)
                    )

    async def _press(self, url, name, until_s):
        source = random.Random(f'{self._seed}-{name}')
        with contextlib.closing(Caller(url)) as caller:
            while time.monotonic() < until_s:
                path = source.choice(self._paths)
                method = source.choice(self._methods)
                request_id = f'r-{next(self._numbers)}'
                sent_at_s = time.monotonic()
                status = await caller.send(request_id, method, path)
                self.sent.append(
                    SentRequest(request_id, path, method, sent_at_s, status)
                )
                await asyncio.sleep(source.uniform(0, 2 * self._pause_s))

    def most_repeats(self):
        """Return the worst window of the plain service."""
        return most_repeats(
            self._platform.services, [s.sent_at_s for s in self.sent]
        )

    def beyond(self, prefix, max_count):
        """Return the requests of a route that arrived too often."""
        counts = arrival_counts(self._platform.services)
        return [
            sent
            for sent in self.sent
            if sent.path.startswith(prefix)
            and counts[sent.request_id] > max_count
        ]
