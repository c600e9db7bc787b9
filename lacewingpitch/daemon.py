"""Lifecycle of daemons: signals, background tasks, graceful shutdown."""

import asyncio
from collections.abc import Callable, Coroutine
import contextlib
import signal
from typing import Any, Protocol

import click
import structlog

from lacewingpitch import event_loop

# Keeps a task that fails at once from using all processor time.
_RESTART_DELAY_S = 0.5
log = structlog.get_logger(__name__)


class Daemon(Protocol):
    """A long-running process of the system."""

    async def start(self) -> None:
        """Start serving."""
        ...

    async def close(self) -> None:
        """Finish the work in progress and stop."""
        ...

    def ports(self) -> dict[str, int]:
        """Return the ports that it listens on, by name."""
        ...


class BackgroundTasks:
    """The resources and background tasks of a daemon."""

    def __init__(self) -> None:
        self.exits = contextlib.AsyncExitStack()

    def run(
        self, name: str, work: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Run a supervised task until `exits` is closed."""
        task = asyncio.create_task(run_supervised(name, work))
        self.exits.callback(task.cancel)


async def run_supervised(
    name: str, work: Callable[[], Coroutine[Any, Any, None]]
) -> None:
    """Run a long-running task; log its failures and restart it.

    The event loop does not report a failed task.  The process would seem to
    work but continue with outdated state, and only its callers would see
    errors.
    """
    while True:
        try:
            await work()
            return
        except Exception:
            log.exception('task failed', task=name)
            await asyncio.sleep(_RESTART_DELAY_S)


def serve(daemon: Daemon, reload: Callable[[], None] | None = None) -> None:
    """Run a daemon until SIGTERM or SIGINT, then shut it down gracefully.

    Parameters
    ----------
    reload
        Called on SIGHUP; without it, SIGHUP terminates the process.

    Raises
    ------
    ClickException
        The daemon cannot listen on its address.
    """
    try:
        event_loop.run(_serve_until_signal(daemon, reload))
    except OSError as error:
        raise click.ClickException(f'cannot listen: {error}') from error


async def _serve_until_signal(
    daemon: Daemon, reload: Callable[[], None] | None
) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    if reload is not None:
        loop.add_signal_handler(signal.SIGHUP, reload)
    await daemon.start()
    log.info('listening', **daemon.ports())
    await stopping.wait()
    log.info('stopping')
    await daemon.close()
