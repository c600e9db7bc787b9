"""A small stand-in for a plain service, with its own account of truth."""

import asyncio
import dataclasses

from aiohttp import web
import msgspec

from lacewingpitch import http_server


@dataclasses.dataclass(slots=True)
class ServiceRun:
    """Ground truth: one call that the service ran."""

    run_id: str
    method: str
    path: str
    body: bytes


class StandinService:
    """Echoes every call and remembers it."""

    def __init__(self, *, answer_s: float = 0.01) -> None:
        self.answer_s = answer_s
        self.runs: list[ServiceRun] = []
        self._server = http_server.HttpServer(8 << 20)

    @property
    def port(self) -> int:
        """Return the port it listens on."""
        return self._server.port

    async def start(self, ip: str, port: int = 0) -> None:
        """Listen on `ip`."""
        self._server.route('GET', '/truth', self._tell_truth)
        self._server.route('*', '/{path:.*}', self._echo)
        await self._server.start(ip, port)

    async def close(self) -> None:
        """Stop listening."""
        await self._server.close()

    async def _echo(self, request: web.Request) -> web.Response:
        run = ServiceRun(
            request.headers.get('X-Request-Id', ''),
            request.method,
            request.raw_path,
            await request.read(),
        )
        self.runs.append(run)
        await asyncio.sleep(self.answer_s)
        return web.Response(
            body=run.body or run.path.encode(),
            content_type='application/octet-stream',
        )

    async def _tell_truth(self, _request: web.Request) -> web.Response:
        return web.Response(
            body=msgspec.json.encode(self.runs),
            content_type='application/json',
        )
