"""An HTTP server that knows its work in progress and can drain."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
import contextlib
import errno
import random

from aiohttp import web
import structlog

from lacewingpitch import http_guard

Handler = http_guard.Handler
ResponseHook = Callable[[web.Request, web.StreamResponse], Awaitable[None]]
_SHUTDOWN_S = 1.0
_FIRST_BIND_DELAY_S = 0.05
_MAX_BIND_DELAY_S = 1.0
log = structlog.get_logger(__name__)
_STALL_S = 60.0


class HttpServer:
    """Routes requests to handlers and counts those in progress."""

    def __init__(
        self,
        max_body_bytes: int,
        *,
        max_field_bytes: int = http_guard.MAX_FIELD_BYTES,
        stall_s: float = _STALL_S,
    ) -> None:
        self._app = web.Application(
            client_max_size=max_body_bytes,
            middlewares=[http_guard.error_middleware],
        )
        self._max_field_bytes = max_field_bytes
        self._stall_s = stall_s
        self._exits = contextlib.AsyncExitStack()
        self._idle = asyncio.Event()
        self._idle.set()
        self.in_progress = 0
        self.port = 0

    def route(self, method: str, path: str, handler: Handler) -> None:
        """Answer `method` at `path` by `handler`."""
        self._app.router.add_route(
            method, path, handler, expect_handler=http_guard.handle_expect
        )

    def route_tracked(self, method: str, path: str, handler: Handler) -> None:
        """Like `route`, for requests that a drain waits for."""

        async def counted(request: web.Request) -> web.StreamResponse:
            with self._counted():
                http_guard.set_stall_timeout(request, self._stall_s)
                response = await handler(request)
                await http_guard.finish_response(request, response)
                return response

        self.route(method, path, counted)

    def add_response_hook(self, mark: ResponseHook) -> None:
        """Call `mark` on every answer before its head is sent."""
        self._app.on_response_prepare.append(mark)

    async def start(self, ip: str, port: int) -> None:
        """Bind `ip` and `port` exclusively; port 0 takes a free one.

        Raises
        ------
        OSError
            Another process holds the port.
        """
        runner = await self._set_up()
        await self._listen(runner, ip, port)

    async def start_when_port_free(self, ip: str, port: int) -> None:
        """Like `start`, but wait until no other process holds the port."""
        runner = await self._set_up()
        delay_s = _FIRST_BIND_DELAY_S
        while True:
            try:
                await self._listen(runner, ip, port)
            except OSError as error:
                if error.errno != errno.EADDRINUSE:
                    raise
                log.warning('port is held', ip=ip, port=port)
                await asyncio.sleep(delay_s * random.uniform(0.5, 1.0))
                delay_s = min(2 * delay_s, _MAX_BIND_DELAY_S)
                continue
            return

    async def _set_up(self) -> web.AppRunner:
        runner = web.AppRunner(
            self._app,
            handler_cancellation=True,
            access_log=None,
            shutdown_timeout=_SHUTDOWN_S,
            logger=http_guard.DISABLED_LOGGER,
            keepalive_timeout=http_guard.KEEPALIVE_S,
            max_line_size=http_guard.MAX_FIELD_BYTES,
            max_field_size=self._max_field_bytes,
        )
        await runner.setup()
        self._exits.push_async_callback(runner.cleanup)
        return runner

    async def _listen(self, runner: web.AppRunner, ip: str, port: int) -> None:
        site = web.TCPSite(
            runner,
            ip,
            port,
            reuse_port=False,
            backlog=1024,
        )
        try:
            await site.start()
        except OSError:
            await site.stop()
            raise
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
