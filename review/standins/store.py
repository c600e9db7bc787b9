"""A stand-in for the platform's store, which the system only reads."""

import asyncio
import base64
import contextlib
from typing import Any

from aiohttp import web
import msgspec

_PAGE_ITEMS = 500
_FIRST_REVISION = 10
_ERA = '1'
_BUSY = 503
_GONE = 410


class Store:
    """Items with revisions, ranges and watches.

    Attributes
    ----------
    refused
        Machines that get 503 to each read, while others are served.
    """

    def __init__(self) -> None:
        self._revision = _FIRST_REVISION
        self._items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._changed = asyncio.Condition()
        self.refused: set[str] = set()

    async def put(self, key: str, value: object) -> None:
        """Write a value as JSON."""
        await self.put_bytes(key, msgspec.json.encode(value))

    async def put_bytes(self, key: str, content: bytes) -> None:
        """Write a value as it is."""
        self._revision += 1
        created_at = self._items.get(key, {}).get('createdAt')
        item = {
            'key': key,
            'value': base64.b64encode(content).decode(),
            'revision': self._revision,
            'createdAt': created_at or self._revision,
            'lease': 0,
        }
        self._items[key] = item
        await self._record(item)

    async def delete(self, key: str) -> None:
        """Remove a value."""
        self._revision += 1
        del self._items[key]
        await self._record(
            {'key': key, 'revision': self._revision, 'deleted': True}
        )

    async def _record(self, event: dict[str, Any]) -> None:
        self._history.append(event)
        async with self._changed:
            self._changed.notify_all()

    def routes(self, machine: str) -> list[web.RouteDef]:
        """Return the calls that it serves to one machine.

        Each machine reaches the store at an address of its own, as all
        connections on loopback come from one.
        """

        async def read_range(request: web.Request) -> web.Response:
            return await self._range(request, machine)

        async def watch(request: web.Request) -> web.Response:
            return await self._watch(request, machine)

        return [
            web.get('/lacewingpitch/kv-range', read_range),
            web.get('/lacewingpitch/kv-watch', watch),
        ]

    async def _range(self, request: web.Request, machine: str) -> web.Response:
        if machine in self.refused:
            return _answer({}, _BUSY)
        prefix = request.query['pathPrefix']
        after = request.query.get('after', '')
        keys = sorted(
            key
            for key in self._items
            if key.startswith(prefix) and key > after
        )
        page = keys[:_PAGE_ITEMS]
        return _answer(
            {
                'items': [self._items[key] for key in page],
                'hasMore': len(keys) > len(page),
                'at': self._revision,
            }
        )

    async def _watch(self, request: web.Request, machine: str) -> web.Response:
        prefix = request.query['pathPrefix']
        after = int(request.query['after'])
        if after < _FIRST_REVISION or after > self._revision:
            return _answer({}, _GONE)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(request.query['waitMs']) / 1000):
                while not self._events(prefix, after):
                    if machine in self.refused:
                        break
                    async with self._changed:
                        await self._changed.wait()
        if machine in self.refused:
            return _answer({}, _BUSY)
        return _answer(
            {'events': self._events(prefix, after), 'at': self._revision}
        )

    def _events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [
            event
            for event in self._history
            if event['revision'] > after and event['key'].startswith(prefix)
        ]


def _answer(content: dict[str, Any], status: int = 200) -> web.Response:
    return web.json_response(
        content, status=status, headers={'Store-Era': _ERA}
    )
