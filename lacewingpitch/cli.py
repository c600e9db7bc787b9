"""The command line."""

import asyncio
import logging
import pathlib
import signal
import sys
from typing import Protocol

import click
import structlog
import uvloop

import lacewingpitch
from lacewingpitch import demo as demo_module
from lacewingpitch import entry as entry_module
from lacewingpitch import errors
from lacewingpitch import report as report_module
from lacewingpitch import settings
from lacewingpitch import sidecar as sidecar_module
from lacewingpitch import standin_engine
from lacewingpitch import standin_platform
from lacewingpitch import standin_service

log = structlog.get_logger(__name__)
_SETTINGS_FILE = click.Path(
    exists=True, dir_okay=False, path_type=pathlib.Path
)


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


@click.group()
@click.version_option(lacewingpitch.__version__)
@click.option(
    '--log-level',
    type=click.Choice(['debug', 'info', 'warning', 'error']),
    default='info',
    show_default=True,
    help='Least important log lines to write.',
)
def main(log_level: str) -> None:
    """Serve many LoRA adapters, each customer by its contract."""
    configure_logs(log_level)


@main.command()
@click.argument('settings_file', type=_SETTINGS_FILE)
def entry(settings_file: pathlib.Path) -> None:
    """Run an entry instance; SIGTERM drains it."""
    found = _load(settings_file, settings.EntrySettings)
    _serve(entry_module.Entry(found))


@main.command()
@click.argument('settings_file', type=_SETTINGS_FILE)
def sidecar(settings_file: pathlib.Path) -> None:
    """Run the process beside a backend server; SIGTERM drains it."""
    found = _load(settings_file, settings.SidecarSettings)
    _serve(sidecar_module.Sidecar(found))


@main.command()
def demo() -> None:
    """Serve sample traffic in one process and print a report."""
    configure_logs('error')
    sys.exit(uvloop.run(demo_module.run_demo()))


@main.command()
@click.argument('url')
@click.option('--customer', help='Only this customer, and no other.')
@click.option(
    '--format',
    'output_format',
    type=click.Choice(['table', 'json']),
    default='table',
    show_default=True,
)
@click.option(
    '--token',
    envvar='LACEWINGPITCH_TOKEN',
    required=True,
    help="Operators' token, or the customer's API key.  Better given in"
    ' the environment as LACEWINGPITCH_TOKEN, where no list of processes'
    ' shows it.',
)
def report(
    url: str, customer: str | None, output_format: str, token: str
) -> None:
    """Print the account of service, asked of the entry at URL.

    It says first what it may lack.  Exit code 1: no report was got.
    """
    try:
        asyncio.run(
            report_module.print_report(url, customer, token, output_format)
        )
    except errors.PlatformError as error:
        raise click.ClickException(str(error)) from error


@main.group()
def standin() -> None:
    """Run a small stand-in of an outside system, for tests."""


@standin.command('engine')
@click.option('--ip', default='127.0.0.1', show_default=True)
@click.option('--port', type=int, default=0, show_default=True)
@click.option('--base-model', default='base', show_default=True)
@click.option('--adapter-slots', type=int, default=4, show_default=True)
@click.option('--load-s', type=float, default=0.05, show_default=True)
@click.option('--token-s', type=float, default=0.005, show_default=True)
@click.option('--answer-tokens', type=int, default=8, show_default=True)
@click.option('--checks-fencing/--ignores-fencing', default=True)
def standin_engine_command(
    ip: str,
    port: int,
    base_model: str,
    adapter_slots: int,
    load_s: float,
    token_s: float,
    answer_tokens: int,
    checks_fencing: bool,
) -> None:
    """Run a stand-in for a model engine."""
    engine = standin_engine.StandinEngine(
        base_model,
        adapter_slots=adapter_slots,
        checks_fencing=checks_fencing,
        load_s=load_s,
        token_s=token_s,
        answer_tokens=answer_tokens,
    )
    _serve(_AtAddress(engine, ip, port))


@standin.command('platform')
@click.option('--ip', default='127.0.0.1', show_default=True)
@click.option('--port', type=int, default=0, show_default=True)
def standin_platform_command(ip: str, port: int) -> None:
    """Run a stand-in for configuration service and live list."""
    _serve(_AtAddress(standin_platform.StandinPlatform(), ip, port))


@standin.command('service')
@click.option('--ip', default='127.0.0.1', show_default=True)
@click.option('--port', type=int, default=0, show_default=True)
@click.option('--answer-s', type=float, default=0.01, show_default=True)
def standin_service_command(ip: str, port: int, answer_s: float) -> None:
    """Run a stand-in for a plain service."""
    service = standin_service.StandinService(answer_s=answer_s)
    _serve(_AtAddress(service, ip, port))


def configure_logs(level: str) -> None:
    """Write logs as JSON lines to standard error."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=False,
    )


class _Listener(Protocol):
    @property
    def port(self) -> int: ...

    async def start(self, ip: str, port: int) -> None: ...

    async def close(self) -> None: ...


class _AtAddress:
    def __init__(self, listener: _Listener, ip: str, port: int) -> None:
        self._listener = listener
        self._ip = ip
        self._port = port

    async def start(self) -> None:
        await self._listener.start(self._ip, self._port)

    async def close(self) -> None:
        await self._listener.close()

    def ports(self) -> dict[str, int]:
        return {'work_port': self._listener.port}


def _load(
    path: pathlib.Path, kind: type[settings.SettingsType]
) -> settings.SettingsType:
    try:
        return settings.load_settings(path, kind)
    except errors.SettingsError as error:
        raise click.ClickException(str(error)) from error


def _serve(daemon: Daemon) -> None:
    try:
        uvloop.run(_serve_until_signal(daemon))
    except OSError as error:
        raise click.ClickException(f'cannot listen: {error}') from error


async def _serve_until_signal(daemon: Daemon) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    await daemon.start()
    log.info('listening', **daemon.ports())
    await stopping.wait()
    log.info('stopping')
    await daemon.close()
