"""Stand-in for a plain service that records its calls."""

import asyncio
import dataclasses

from aiohttp import web
import msgspec

from lacewingpitch import http_server


@dataclasses.dataclass(slots=True)
class ServiceFaults:
    """Faults that the stand-in injects.

    Parameters
    ----------
    body_bytes
        Size of the body of every answer; 0 to echo the request.
    cut_after_bytes
        Number of bytes after which every answer is aborted; ``None`` for
        no abort.
    dropping
        Number of the next calls that run and then lose their connection.
    answer_s
        Duration of a call; if negative, the default of the stand-in.
    """

    body_bytes: int = 0
    cut_after_bytes: int | None = None
    dropping: int = 0
    answer_s: float = -1.0


@dataclasses.dataclass(slots=True)
class ServiceRun:
    """The record of one call that the service ran."""

    run_id: str
    method: str
    path: str
    body: bytes


class StandinService:
    """Echoes every call and records it."""

    def __init__(self, *, answer_s: float = 0.01) -> None:
        self.answer_s = answer_s
        self.runs: list[ServiceRun] = []
        self.faults = ServiceFaults()
        self._server = http_server.HttpServer(8 << 20)

    @property
    def port(self) -> int:
        """Return the port on which it listens."""
        return self._server.port

    async def start(self, ip: str, port: int = 0) -> None:
        """Listen on `ip`."""
        self._server.route('GET', '/truth', self._get_record)
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

    async def _get_record(self, _request: web.Request) -> web.Response:
        return web.Response(
            body=msgspec.json.encode(self.runs),
            content_type='application/json',
        )
