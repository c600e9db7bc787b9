"""An HTTP server that knows its work in progress and can drain."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Iterator

from aiohttp import web

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
Mark = Callable[[web.Request, web.StreamResponse], Awaitable[None]]
_SHUTDOWN_S = 1.0


class HttpServer:
    """Routes requests to handlers and counts those in progress."""

    def __init__(self, max_body_bytes: int) -> None:
        self._app = web.Application(client_max_size=max_body_bytes)
        self._exits = contextlib.AsyncExitStack()
        self._idle = asyncio.Event()
        self._idle.set()
        self.in_progress = 0
        self.port = 0

    def route(self, method: str, path: str, handler: Handler) -> None:
        """Answer `method` at `path` by `handler`."""
        self._app.router.add_route(method, path, handler)

    def route_work(self, method: str, path: str, handler: Handler) -> None:
        """Like `route`, for requests that a drain waits for."""

        async def counted(request: web.Request) -> web.StreamResponse:
            with self._counted():
                return await handler(request)

        self.route(method, path, counted)

    def mark_answers(self, mark: Mark) -> None:
        """Call `mark` on every answer before its head is sent."""
        self._app.on_response_prepare.append(mark)

    async def start(self, ip: str, port: int) -> None:
        """Bind `ip` and `port` exclusively; port 0 takes a free one."""
        runner = web.AppRunner(
            self._app, handler_cancellation=True, access_log=None
        )
        await runner.setup()
        self._exits.push_async_callback(runner.cleanup)
        site = web.TCPSite(
            runner,
            ip,
            port,
            reuse_port=False,
            shutdown_timeout=_SHUTDOWN_S,
            backlog=1024,
        )
        await site.start()
        self.port = runner.addresses[0][1]

    async def drain(self, timeout_s: float) -> bool:
        """Wait until nothing is in progress; return whether it is so."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True

    async def close(self) -> None:
        """Stop listening and end what is in progress."""
        await self._exits.aclose()

    @contextlib.contextmanager
    def _counted(self) -> Iterator[None]:
        self.in_progress += 1
        self._idle.clear()
        try:
            yield
        finally:
            self.in_progress -= 1
            if not self.in_progress:
                self._idle.set()
