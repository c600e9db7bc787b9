"""Listening sockets at the addresses that the platform assigns."""

import contextlib

from aiohttp import web

from lacewingpitch.platform import settings as settings_module

_CLOSE_TIMEOUT_S = 0.1


async def listen(
    server: web.Server,
    endpoint: str,
    backlog: int,
    exits: contextlib.AsyncExitStack,
) -> web.TCPSite:
    """Listen at IP:PORT until `exits` is closed.

    Parameters
    ----------
    backlog
        Connections that may wait to be accepted.
    """
    ip, port = settings_module.split_endpoint(endpoint)
    runner = web.ServerRunner(server, shutdown_timeout=_CLOSE_TIMEOUT_S)
    await runner.setup()
    exits.push_async_callback(runner.cleanup)
    site = web.TCPSite(runner, ip, port, backlog=backlog)
    await site.start()
    return site
