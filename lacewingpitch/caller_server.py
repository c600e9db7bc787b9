"""HTTP servers that bound what their clients send and keep open."""

import asyncio
import collections
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web
import structlog

from lacewingpitch import caller_connection
from lacewingpitch import caller_limits
from lacewingpitch import http_guard
from lacewingpitch import memory_budget

# Of the descriptors of a process, callers may use half; the rest is for
# backend servers, peers, files, and connections not yet counted.
_CONNECTION_RATIO = 0.5
_BACKLOG_RATIO = 0.25
_MAX_BACKLOG = 1024
# What is read ahead of a handler.
_READ_BUFFER_BYTES = 64 << 10
_LOG_INTERVAL_S = 1.0
# Endpoints for load balancers, scrapers and operators.
_MONITORING_CONNECTIONS = 64
_MONITORING_LIMITS = caller_limits.CallerLimits(
    header_bytes=http_guard.MAX_FIELD_BYTES, header_timeout_s=3.0, body_bytes=0
)
_MONITORING_KEEPALIVE_S = 15.0
log = structlog.get_logger(__name__)

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class CallerServer(web.Server):
    """Server whose connections are bounded in number and in what they hold.

    Above `max_connections`, the connection that has waited longest without
    a request is closed; if all are in use, the newest is.

    Parameters
    ----------
    limits
        Returns what a client may send.
    budget
        Memory for all connections of the process.
    max_connections
        Largest number of open connections.

    Attributes
    ----------
    closed_by_reason
        Number of connections closed for what their clients did.
    """

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], caller_limits.CallerLimits],
        budget: memory_budget.MemoryBudget,
        max_connections: int,
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
        self._max_connections = max_connections
        # In the order in which they were accepted.
        self._open: dict[caller_connection.CallerConnection, None] = {}
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

    def connection_made(
        self, handler: web.RequestHandler, transport: asyncio.Transport
    ) -> None:
        """Count a new connection; close another if there are too many."""
        super().connection_made(handler, transport)
        assert isinstance(handler, caller_connection.CallerConnection)
        self._open[handler] = None
        if len(self._open) > self._max_connections:
            victim = self._dispensable() or handler
            del self._open[victim]
            self.record_closed('too many connections')
            victim.force_close()

    def connection_lost(
        self, handler: web.RequestHandler, exc: BaseException | None = None
    ) -> None:
        """Forget a connection."""
        assert isinstance(handler, caller_connection.CallerConnection)
        self._open.pop(handler, None)
        super().connection_lost(handler, exc)

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
            open_count=len(self._open),
            held_bytes=self._budget.held_bytes,
        )
        self._unlogged.clear()

    def _dispensable(self) -> caller_connection.CallerConnection | None:
        """Return an unused connection, else an idle one, the oldest first."""
        idle = None
        *older, _ = self._open
        for connection in older:
            if connection.is_unused or connection.is_lingering:
                return connection
            if idle is None and connection.is_idle:
                idle = connection
        return idle

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
            http_guard.forget_body(request)
            connection.memory.end_request()


class CallerRunner(web.AppRunner):
    """Runs an application on a `CallerServer`."""

    def __init__(
        self,
        app: web.Application,
        limits: Callable[[], caller_limits.CallerLimits],
        budget: memory_budget.MemoryBudget,
        max_connections: int,
        **options: Any,
    ) -> None:
        super().__init__(app, **options)
        self._limits = limits
        self._budget = budget
        self._max_connections = max_connections

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
            self._max_connections,
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
        _MONITORING_CONNECTIONS,
        keepalive_timeout=_MONITORING_KEEPALIVE_S,
    )


def connection_limit(descriptor_count: int) -> int:
    """Return how many connections of callers a process may have open."""
    return max(1, int(_CONNECTION_RATIO * descriptor_count))


def backlog(descriptor_count: int) -> int:
    """Return how many connections may wait to be accepted.

    All of them may be accepted before any connection is counted.
    """
    return max(1, min(_MAX_BACKLOG, int(_BACKLOG_RATIO * descriptor_count)))
