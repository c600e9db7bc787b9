"""HTTP servers that bound what their clients send and keep open."""

import collections
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web
import structlog

from lacewingpitch import caller_connection
from lacewingpitch import http_guard
from lacewingpitch import memory_budget

# What is read ahead of a handler.
_READ_BUFFER_BYTES = 64 << 10
_LOG_INTERVAL_S = 1.0
# Endpoints for load balancers, scrapers and operators.
_MONITORING_LIMITS = caller_connection.ConnectionLimits(
    header_bytes=http_guard.MAX_FIELD_BYTES, header_timeout_s=3.0, body_bytes=0
)
_MONITORING_KEEPALIVE_S = 15.0
log = structlog.get_logger(__name__)

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class CallerServer(web.Server):
    """Server whose connections are bounded in what they hold.

    Parameters
    ----------
    limits
        Returns what a client may send.
    budget
        Memory for all connections of the process.

    Attributes
    ----------
    closed_by_reason
        Number of connections closed for what their clients did.
    """

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], caller_connection.ConnectionLimits],
        budget: memory_budget.MemoryBudget,
        **options: Any,
    ) -> None:
        super().__init__(
            self._handle,
            access_log=None,
            logger=http_guard.DISABLED_LOGGER,
            read_bufsize=_READ_BUFFER_BYTES,
            **options,
        )
        self._handler = handler
        self._limits = limits
        self._budget = budget
        self._unlogged: collections.Counter[str] = collections.Counter()
        self.closed_by_reason: collections.Counter[str] = collections.Counter()

    def __call__(self) -> web.RequestHandler:
        """Return the protocol of a new connection."""
        return caller_connection.CallerConnection(
            self,
            self,
            self._limits,
            self._budget,
            loop=self._loop,
            **self._kwargs,
        )

    def record_closed(self, reason: str) -> None:
        """Count a closed connection, and log the counts now and then."""
        self.closed_by_reason[reason] += 1
        if not self._unlogged:
            self._loop.call_later(_LOG_INTERVAL_S, self._log_closed)
        self._unlogged[reason] += 1

    def _log_closed(self) -> None:
        log.warning(
            'connections closed',
            counts=dict(self._unlogged),
            open_count=len(self.connections),
            held_bytes=self._budget.held_bytes,
        )
        self._unlogged.clear()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = caller_connection.connection_of(request)
        if connection is None:
            raise ConnectionResetError('the connection is closed')
        try:
            response = await self._handler(request)
            if connection.is_discarding or not request.content.is_eof():
                if not response.prepared:
                    response.force_close()
                await response.prepare(request)
                await response.write_eof()
                await connection.linger()
            return response
        finally:
            connection.end_request()


class CallerRunner(web.AppRunner):
    """Runs an application on a `CallerServer`."""

    def __init__(
        self,
        app: web.Application,
        limits: Callable[[], caller_connection.ConnectionLimits],
        budget: memory_budget.MemoryBudget,
        **options: Any,
    ) -> None:
        super().__init__(app, **options)
        self._limits = limits
        self._budget = budget

    async def _make_server(self) -> web.Server:
        server = await super()._make_server()
        ours = ('access_log', 'logger', 'read_bufsize', 'loop')
        options = {
            name: value
            for name, value in server._kwargs.items()
            if name not in ours
        }
        return CallerServer(
            server.request_handler,
            self._limits,
            self._budget,
            request_factory=server.request_factory,
            handler_cancellation=server.handler_cancellation,
            **options,
        )


def monitoring_server(
    handler: Handler, budget: memory_budget.MemoryBudget
) -> CallerServer:
    """Return a server for requests without a body by few clients."""
    return CallerServer(
        handler,
        lambda: _MONITORING_LIMITS,
        budget,
        keepalive_timeout=_MONITORING_KEEPALIVE_S,
    )
