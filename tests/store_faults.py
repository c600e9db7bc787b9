"""A store that fails as a script says, below its HTTP client."""

import asyncio
import base64
import dataclasses
import json
import random

import aiohttp

from lacewingpitch.platform import names

_ANSWER_S = 0.004
_PREFIX = names.BACKEND_SERVER_PREFIX


@dataclasses.dataclass(frozen=True)
class Outage:
    """A time in which the store does not serve this process.

    `how` is silent, reset, mixed or the status of a refusal.
    """

    from_s: float
    until_s: float
    how: str

    def covers(self, now_s):
        return self.from_s <= now_s < self.until_s


@dataclasses.dataclass(frozen=True)
class Refusals:
    """A time in which a share of the reads is refused, or of watches cut."""

    from_s: float
    until_s: float
    how: str
    share: float = 0.6


class _Response:
    def __init__(self, status, body=b''):
        self.status = status
        self.headers = {}
        self.content = self
        self._body = body

    async def iter_any(self):
        yield self._body


class _Call:
    def __init__(self, answer):
        self._answer = answer

    async def __aenter__(self):
        return await self._answer

    async def __aexit__(self, *_error):
        return None


class FaultyStore:
    """Stands in for the HTTP session of the client of the store."""

    def __init__(self, clock, seed, outages=(), refusals=()):
        self._clock = clock
        self._random = random.Random(seed)
        self._outages = outages
        self._refusals = refusals
        self._revision = 1
        # Entries and changes, as the store encodes them.
        self._items = {}
        self._changes = []
        self._forgotten_before = 0

    def write(self, name, entry):
        """Write or remove (``None``) the entry of a server."""
        self._revision += 1
        item = {'key': _PREFIX + name, 'revision': self._revision}
        if entry is None:
            self._items.pop(name, None)
            self._changes.append({**item, 'deleted': True})
            return
        before = self._items.get(name)
        item['createdAt'] = before['createdAt'] if before else self._revision
        item['value'] = base64.b64encode(json.dumps(entry).encode()).decode()
        self._items[name] = item
        self._changes.append(item)

    def forget_history(self):
        self._forgotten_before = self._revision

    def get(self, url, params, timeout, allow_redirects, trace_request_ctx):
        assert not allow_redirects
        if url.endswith(names.RANGE_PATH):
            return _Call(self._range(timeout))
        after, wait_s = int(params['after']), int(params['waitMs']) / 1000
        return _Call(self._watch(after, wait_s, timeout))

    async def _range(self, timeout):
        refusal = await self._fault(timeout, is_watch=False)
        return refusal or self._answer(items=list(self._items.values()))

    async def _watch(self, after, wait_s, timeout):
        refusal = await self._fault(timeout, is_watch=True)
        if refusal:
            return refusal
        began_s = self._clock.monotonic_s()
        while True:
            if after < self._forgotten_before:
                return _Response(410)
            events = [c for c in self._changes if c['revision'] > after]
            if events or self._clock.monotonic_s() > began_s + wait_s:
                return self._answer(events=events)
            await asyncio.sleep(0.02)
            outage = self._outage()
            if outage:
                return await self._fail(outage.how, timeout)

    def _answer(self, **fields):
        body = json.dumps({'at': self._revision, **fields}).encode()
        return _Response(200, body)

    def _outage(self):
        now_s = self._clock.monotonic_s()
        return next((o for o in self._outages if o.covers(now_s)), None)

    async def _fault(self, timeout, is_watch):
        outage = self._outage()
        if outage:
            return await self._fail(outage.how, timeout)
        await asyncio.sleep(_ANSWER_S)
        now_s = self._clock.monotonic_s()
        for refusals in self._refusals:
            if not refusals.from_s <= now_s < refusals.until_s:
                continue
            if refusals.how == 'cut' and not is_watch:
                continue
            if self._random.random() < refusals.share:
                if refusals.how == 'cut':
                    await asyncio.sleep(self._random.uniform(0.06, 0.2))
                return await self._fail(refusals.how, timeout)
        return None

    async def _fail(self, how, timeout):
        if how == 'mixed':
            how = self._random.choice(['silent', 'reset', '429', '503'])
        if how == 'silent':
            await asyncio.sleep(timeout.sock_read)
            raise aiohttp.SocketTimeoutError('no answer')
        await asyncio.sleep(_ANSWER_S)
        if how in ('reset', 'cut'):
            raise aiohttp.ServerDisconnectedError
        return _Response(int(how))
