"""HTTP server that tracks requests in progress and can drain them."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
import contextlib
import errno
import random

from aiohttp import web
import structlog

from lacewingpitch import caller_limits
from lacewingpitch import caller_server
from lacewingpitch import clock as clock_module
from lacewingpitch import http_guard
from lacewingpitch import machine_limits as machine_limits_module
from lacewingpitch import memory_budget

Handler = http_guard.Handler
ResponseHook = Callable[[web.Request, web.StreamResponse], Awaitable[None]]
_SHUTDOWN_TIMEOUT_S = 1.0
_FIRST_BIND_DELAY_S = 0.05
_MAX_BIND_DELAY_S = 1.0
log = structlog.get_logger(__name__)
_STALL_TIMEOUT_S = 60.0
_HEADER_TIMEOUT_S = 10.0
# Header fields of the largest size that a request may have.
_HEADER_FIELDS = 2


class HttpServer:
    """Routes requests to handlers and counts those in progress.

    Parameters
    ----------
    max_body_bytes
        Larger request bodies are refused.
    max_field_bytes
        Maximum size of a header field.
    stall_s
        Resets the connection of a tracked request if the peer acknowledges
        no data for this time.
    machine_limits
        What the process may use; ``None`` to ask the operating system.

    Attributes
    ----------
    memory
        Memory for what clients send and what waits for them.
    """

    def __init__(
        self,
        max_body_bytes: int,
        *,
        max_field_bytes: int = http_guard.MAX_FIELD_BYTES,
        stall_s: float = _STALL_TIMEOUT_S,
        machine_limits: machine_limits_module.MachineLimits | None = None,
    ) -> None:
        self._machine_limits = (
            machine_limits or machine_limits_module.machine_limits()
        )
        self.memory = memory_budget.MemoryBudget(
            self._machine_limits.memory_bytes, clock_module.SystemClock()
        )
        self._limits = caller_limits.CallerLimits(
            header_bytes=_HEADER_FIELDS * max_field_bytes,
            header_timeout_s=_HEADER_TIMEOUT_S,
            body_bytes=max_body_bytes,
        )
        self._app = web.Application(
            client_max_size=max_body_bytes,
            middlewares=[http_guard.error_middleware],
        )
        self._app.on_response_prepare.append(_close_if_unread)
        self._max_field_bytes = max_field_bytes
        self._stall_s = stall_s
        self._exits = contextlib.AsyncExitStack()
        self._idle = asyncio.Event()
        self._idle.set()
        self.in_progress = 0
        self.port = 0

    def route(self, method: str, path: str, handler: Handler) -> None:
        """Register the handler of `method` at `path`."""
        self._app.router.add_route(
            method, path, handler, expect_handler=http_guard.handle_expect
        )

    def route_tracked(self, method: str, path: str, handler: Handler) -> None:
        """Like `route`, for requests that `drain` waits for."""

        async def tracked(request: web.Request) -> web.StreamResponse:
            with self._track():
                http_guard.set_stall_timeout(request, self._stall_s)
                response = await handler(request)
                await http_guard.finish_response(request, response)
                return response

        self.route(method, path, tracked)

    def add_response_hook(self, hook: ResponseHook) -> None:
        """Call `hook` on every response before its headers are sent."""
        self._app.on_response_prepare.append(hook)

    async def start(self, ip: str, port: int) -> None:
        """Bind `ip` and `port` exclusively; port 0 selects a free port.

        Raises
        ------
        OSError
            The address cannot be bound, e.g. as the port is in use.
        """
        runner = await self._set_up()
        await self._listen(runner, ip, port)

    async def start_when_port_free(self, ip: str, port: int) -> None:
        """Like `start`, but wait while another process uses the port."""
        runner = await self._set_up()
        delay_s = _FIRST_BIND_DELAY_S
        while True:
            try:
                await self._listen(runner, ip, port)
            except OSError as error:
                if error.errno != errno.EADDRINUSE:
                    raise
                log.warning('port in use', ip=ip, port=port)
                await asyncio.sleep(delay_s * random.uniform(0.5, 1.0))
                delay_s = min(2 * delay_s, _MAX_BIND_DELAY_S)
                continue
            return

    async def _set_up(self) -> web.AppRunner:
        descriptor_count = self._machine_limits.descriptor_count
        runner = caller_server.CallerRunner(
            self._app,
            lambda: self._limits,
            self.memory,
            caller_server.connection_limit(descriptor_count),
            handler_cancellation=True,
            shutdown_timeout=_SHUTDOWN_TIMEOUT_S,
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
            backlog=caller_server.backlog(
                self._machine_limits.descriptor_count
            ),
        )
        try:
            await site.start()
        except OSError:
            await site.stop()
            raise
        self.port = runner.addresses[0][1]

    async def drain(self, timeout_s: float) -> bool:
        """Wait until no request is in progress; ``False`` on timeout."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True

    async def close(self) -> None:
        """Stop listening, and end the requests in progress."""
        await self._exits.aclose()

    @contextlib.contextmanager
    def _track(self) -> Iterator[None]:
        self.in_progress += 1
        self._idle.clear()
        try:
            yield
        finally:
            self.in_progress -= 1
            if not self.in_progress:
                self._idle.set()


async def _close_if_unread(
    request: web.Request, response: web.StreamResponse
) -> None:
    """Announce that a connection ends whose body was not read whole."""
    if not request.content.is_eof():
        response.headers['Connection'] = 'close'
        response.force_close()
