"""Stand-ins for a model engine and for a server of a plain service."""

import asyncio
import time
from typing import Any

from aiohttp import web

from standins import record as record_module

MODEL = 'base-1'
_ADAPTER_LOAD_S = 0.25
_NOT_FOUND = 421


class Server:
    """What engines and plain servers have in common.

    Attributes
    ----------
    name
        The id under which it is listed.
    arrivals
        Time, request id and address of the sender of each request.
    """

    def __init__(
        self, name: str, service: str, record: record_module.Record
    ) -> None:
        self.name = name
        self.service = service
        self.record = record
        self.born = int(time.time() * 1000)
        self.state = 'ready'
        self.sequence = 0
        self.arrivals: list[tuple[float, str, str]] = []

    def entry(self, address: str) -> dict[str, Any]:
        """Return its entry in the list of servers."""
        self.sequence += 1
        return {
            'service': self.service,
            'address': address,
            'zone': 'hall-a',
            'version': 'v1',
            'slots': 64,
            'state': self.state,
            'coldRemainingMs': 0,
            'sequence': self.sequence,
            'born': self.born,
        }

    def routes(self) -> list[web.RouteDef]:
        """Return the calls that it serves."""
        return [
            web.get('/healthz', self._health),
            web.route('*', '/{path:.*}', self._run),
        ]

    async def _health(self, _request: web.Request) -> web.Response:
        status = 200 if self.state == 'ready' else 503
        headers = {'Instance-Id': self.name}
        return web.Response(status=status, headers=headers)

    async def _run(self, request: web.Request) -> web.StreamResponse:
        request_id = request.headers.get('Request-Id', '')
        body = await request.read()
        expected = request.headers.get('Expect-Instance')
        if expected not in (None, self.name):
            self.record.line('server', self.name, '421', request_id)
            return web.Response(
                status=_NOT_FOUND,
                headers={'Not-Executed': '1', 'Instance-Id': self.name},
            )
        sender = request.remote or ''
        self.arrivals.append((time.monotonic(), request_id, sender))
        self.record.line('server', self.name, 'runs', request_id, sender)
        return await self.answer(request, request_id, body)

    async def answer(
        self, request: web.Request, request_id: str, body: bytes
    ) -> web.StreamResponse:
        """Run a request and return its answer."""
        return web.Response(
            body=b'ran ' + body, headers=self.answer_headers(request_id)
        )

    def answer_headers(self, request_id: str) -> dict[str, str]:
        """Return the headers of an answer to a request that ran."""
        return {
            'Request-Id': request_id,
            'Response-Signature': f'{self.name}.{request_id}',
        }


class Engine(Server):
    """A model engine with its model loaded, and adapters as ordered."""

    def __init__(
        self, name: str, service: str, record: record_module.Record
    ) -> None:
        super().__init__(name, service, record)
        self._adapters: dict[str, int] = {}
        self._order_count = 0

    def entry(self, address: str) -> dict[str, Any]:
        """Return its entry in the list of servers."""
        shown = {'stage': 'mixed', 'models': self._models()}
        return super().entry(address) | shown

    def hold(self, adapter: str) -> None:
        """Hold an adapter, as if a load of it had just ended."""
        self._adapters.pop(next(iter(self._adapters), ''), None)
        self._adapters[adapter] = 1

    def routes(self) -> list[web.RouteDef]:
        """Return the calls that it serves."""
        return [
            web.get('/lacewingpitch/report', self._report),
            web.post('/lacewingpitch/order', self._order),
            *super().routes(),
        ]

    def _models(self) -> list[dict[str, Any]]:
        listed = [f'{name}@{v}' for name, v in self._adapters.items()]
        return [{'name': MODEL, 'version': 1, 'adapters': listed}]

    async def _report(self, _request: web.Request) -> web.Response:
        return web.json_response(
            {
                'stage': 'mixed',
                'state': self.state,
                'models': self._models(),
                'pending': [],
                'busy': False,
                'sequence': self._order_count,
                'queued': 0,
                'active': 0,
                'kvUsed': 0,
                'kvTotal': 100000,
                'handles': 0,
                'runs': [],
                'born': self.born,
            }
        )

    async def _order(self, request: web.Request) -> web.Response:
        order = await request.json()
        if request.headers.get('Expect-Instance', self.name) != self.name:
            return web.Response(status=_NOT_FOUND)
        self._order_count += 1
        adapter = order.get('adapter', '')
        if order['operation'] == 'unload':
            self._adapters.pop(adapter, None)
            return web.Response()
        asyncio.get_running_loop().call_later(
            _ADAPTER_LOAD_S, self._adapters.__setitem__, adapter, 1
        )
        return web.Response(status=202)
