"""HTTP server for a process's metrics, at a separate address."""

from collections.abc import AsyncIterator
import contextlib

from aiohttp import web

from lacewingpitch import caller_server
from lacewingpitch import memory_budget
from lacewingpitch import metrics as metrics_module

_PATH = '/metrics'
_NOT_FOUND = 404
_SHUTDOWN_TIMEOUT_S = 0.1


@contextlib.asynccontextmanager
async def serving(
    metrics: metrics_module.Metrics,
    ip: str,
    port: int,
    budget: memory_budget.MemoryBudget,
) -> AsyncIterator[None]:
    """Serve ``/metrics`` until the context exits."""

    async def answer(request: web.BaseRequest) -> web.Response:
        if request.path != _PATH:
            return web.Response(status=_NOT_FOUND)
        return await metrics.answer(request)

    runner = web.ServerRunner(
        caller_server.monitoring_server(answer, budget),
        shutdown_timeout=_SHUTDOWN_TIMEOUT_S,
    )
    await runner.setup()
    try:
        await web.TCPSite(runner, ip, port).start()
        yield
    finally:
        await runner.cleanup()
