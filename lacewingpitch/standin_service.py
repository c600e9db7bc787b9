"""A small stand-in for a plain service, with its own account of truth."""

import asyncio
import dataclasses

from aiohttp import web
import msgspec

from lacewingpitch import http_server


@dataclasses.dataclass(slots=True)
class ServiceFaults:
    """What the stand-in does wrong on command.

    Parameters
    ----------
    body_bytes
        Size of every answer; 0 for an echo.
    cut_after_bytes
        Answers break off after so many bytes; ``None`` for never.
    dropping
        How many of the next calls run, and then their connection breaks.
    answer_s
        How long a call takes; the stand-in's own time if negative.
    """

    body_bytes: int = 0
    cut_after_bytes: int | None = None
    dropping: int = 0
    answer_s: float = -1.0


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
        self.faults = ServiceFaults()
        self._server = http_server.HttpServer(8 << 20)

    @property
    def port(self) -> int:
        """Return the port it listens on."""
        return self._server.port

    async def start(self, ip: str, port: int = 0) -> None:
        """Listen on `ip`."""
        self._server.route('GET', '/truth', self._tell_truth)
        self._server.route('POST', '/faults', self._set_faults)
        self._server.route('*', '/{path:.*}', self._echo)
        await self._server.start(ip, port)

    async def close(self) -> None:
        """Stop listening."""
        await self._server.close()

    async def _echo(self, request: web.Request) -> web.StreamResponse:
        run = ServiceRun(
            request.headers.get('X-Request-Id', ''),
            request.method,
            request.raw_path,
            await request.read(),
        )
        self.runs.append(run)
        answer_s = self.faults.answer_s
        await asyncio.sleep(self.answer_s if answer_s < 0 else answer_s)
        if self.faults.dropping:
            self.faults.dropping -= 1
            assert request.transport is not None
            request.transport.abort()
        body = run.body or run.path.encode()
        if self.faults.body_bytes:
            body = b'x' * self.faults.body_bytes
        if self.faults.cut_after_bytes is not None:
            return await self._cut(request, body)
        return web.Response(body=body, content_type='application/octet-stream')

    async def _cut(
        self, request: web.Request, body: bytes
    ) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        await response.write(body[: self.faults.cut_after_bytes])
        assert request.transport is not None
        request.transport.abort()
        return response

    async def _set_faults(self, request: web.Request) -> web.Response:
        self.faults = msgspec.json.decode(
            await request.read(), type=ServiceFaults
        )
        return web.Response()

    async def _tell_truth(self, _request: web.Request) -> web.Response:
        return web.Response(
            body=msgspec.json.encode(self.runs),
            content_type='application/json',
        )
