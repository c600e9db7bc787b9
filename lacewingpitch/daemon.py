"""Running a daemon until a signal asks it to end."""

import asyncio
from collections.abc import Callable, Coroutine
import contextlib
import signal
from typing import Any, Protocol

import click
import structlog
import uvloop

# A fault that shows at once would otherwise keep the processor busy.
_RESTART_AFTER_S = 0.5
log = structlog.get_logger(__name__)


class Daemon(Protocol):
    """A long-running process of the system."""

    async def start(self) -> None:
        """Begin to work."""
        ...

    async def close(self) -> None:
        """End gracefully."""
        ...

    def ports(self) -> dict[str, int]:
        """Return the ports it listens on, by name."""
        ...


class BackgroundTasks:
    """What a daemon keeps open, and its tasks that go on for ever."""

    def __init__(self) -> None:
        self.exits = contextlib.AsyncExitStack()

    def run(
        self, name: str, work: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Run a task until the exits are left."""
        task = asyncio.create_task(run_supervised(name, work))
        self.exits.callback(task.cancel)


async def run_supervised(
    name: str, work: Callable[[], Coroutine[Any, Any, None]]
) -> None:
    """Run a task that is to go on for ever; begin it anew if it fails.

    The loop keeps quiet about a task that has failed.  The process would
    look well and go on with what it last believed: no error shows it but
    that of callers.
    """
    while True:
        try:
            await work()
            return
        except Exception:
            log.exception('task failed', task=name)
            await asyncio.sleep(_RESTART_AFTER_S)


def serve(daemon: Daemon, reload: Callable[[], None] | None = None) -> None:
    """Run a daemon until SIGTERM or SIGINT, and let it end gracefully.

    Parameters
    ----------
    reload
        Called at SIGHUP; without it that signal ends the process.

    Raises
    ------
    ClickException
        It cannot listen.
    """
    try:
        uvloop.run(_serve_until_signal(daemon, reload))
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
