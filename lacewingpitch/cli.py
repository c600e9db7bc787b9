"""The command line."""

import asyncio
import logging
import pathlib
import sys

import click
import msgspec
import rich.console
import structlog
import uvloop

import lacewingpitch
from lacewingpitch import checking
from lacewingpitch import contract_diff
from lacewingpitch import contract_files
from lacewingpitch import daemon
from lacewingpitch import demo_traffic
from lacewingpitch import entry as entry_module
from lacewingpitch import errors
from lacewingpitch import errors_page
from lacewingpitch import published_contracts
from lacewingpitch import report as report_module
from lacewingpitch import report_text
from lacewingpitch import settings
from lacewingpitch import sidecar as sidecar_module
from lacewingpitch import standin_cli

_SETTINGS_FILE = click.Path(
    exists=True, dir_okay=False, path_type=pathlib.Path
)
_PATH = click.Path(exists=True, path_type=pathlib.Path)
_FOLDER = click.Path(file_okay=False, path_type=pathlib.Path)
_PROBLEMS_EXIT_CODE = 1


@click.group()
@click.version_option(lacewingpitch.__version__)
@click.option(
    '--log-level',
    type=click.Choice(['debug', 'info', 'warning', 'error', 'critical']),
    default='info',
    show_default=True,
    help='Least important log lines to write.',
)
def main(log_level: str) -> None:
    """Serve many LoRA adapters, each customer by its contract.

    Daemons: `entry` takes callers' requests, `sidecar` runs beside each
    backend server.  For operators: `check`, `contracts`, `report`,
    `errors`, `demo`.  Logs go to standard error as JSON lines.

    Exit codes of every command: 0 done, nothing wrong; 1 something given
    is wrong, a daemon cannot listen, or no report was got; 2 the command
    line is wrong.
    """
    configure_logs(log_level)


@main.command()
@click.argument('settings_file', type=_SETTINGS_FILE)
def entry(settings_file: pathlib.Path) -> None:
    """Run an entry instance with the settings in SETTINGS_FILE.

    SIGTERM or SIGINT drains it: /readyz turns 503, new requests are
    refused as "not-run", those in progress end whole, and it exits 0.
    The log line "listening" names its ports.
    """
    found = _load(settings_file, settings.EntrySettings)
    daemon.serve(entry_module.Entry(found))


@main.command()
@click.argument('settings_file', type=_SETTINGS_FILE)
def sidecar(settings_file: pathlib.Path) -> None:
    """Run the process beside a backend server.

    SETTINGS_FILE names the engine or plain service.  SIGTERM or SIGINT
    drains it as an entry.  It listens on its work port exclusively, so a
    second sidecar for the same address exits 1.
    """
    found = _load(settings_file, settings.SidecarSettings)
    daemon.serve(sidecar_module.Sidecar(found))


@main.command()
def demo() -> None:
    """Serve sample traffic in one process and print a report.

    Entry, sidecars and stand-ins run here on free ports of 127.0.0.1;
    two customers call several adapters, whole and streamed, are refused
    once, and send one request twice that may run only once.
    """
    configure_logs('critical')
    sys.exit(uvloop.run(demo_traffic.run_demo()))


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
    show_envvar=True,
    required=True,
    help="Operators' token, or the API key of the customer named.  Better"
    ' given in the environment, where no list of processes shows it.',
)
def report(
    url: str, customer: str | None, output_format: str, token: str
) -> None:
    """Print the account of service, asked of the entry at URL.

    It says first what it may lack.  Exit code 1: no report was got.
    """
    try:
        data = asyncio.run(report_module.fetch(url, customer, token))
    except errors.PlatformError as error:
        raise click.ClickException(str(error)) from error
    if output_format == 'json':
        click.echo(data)
        return
    found = msgspec.json.decode(data, type=report_module.Report)
    report_text.print_table(found, rich.console.Console())


@main.command()
@click.argument('paths', nargs=-1, required=True, type=_PATH)
@click.option(
    '--kind',
    type=click.Choice([kind.value for kind in checking.Kind]),
    help='What the files hold; told from their fields if left out.',
)
def check(paths: tuple[pathlib.Path, ...], kind: str | None) -> None:
    """Check settings and contracts offline.

    PATHS are JSON files and folders of them.  Every problem is printed
    on a line of its own with file, field, what is allowed and the value
    found.  Files are checked alone and against each other: a customer,
    key digest, instance or address may be in one of them only.

    Exits 0 if all is well, 1 if there is a problem or no file.
    """
    found = checking.check_paths(paths, checking.Kind(kind) if kind else None)
    bad = [item for item in found if item.problems]
    for item in bad:
        for problem in item.problems:
            click.echo(str(problem))
    if not found:
        raise click.ClickException('nothing to check: found no *.json file')
    click.echo(f'{len(found)} checked, {len(bad)} with problems', err=True)
    sys.exit(_PROBLEMS_EXIT_CODE if bad else 0)


@main.group()
def contracts() -> None:
    """Prepare contracts for the configuration service.

    Contracts are kept as one JSON file for each customer in a folder.
    """


@contracts.command('render')
@click.argument('folder', type=_PATH)
@click.option(
    '--output',
    type=_FOLDER,
    help='Folder for one NAME.json per value; standard output if left out.',
)
@click.option(
    '--shards',
    type=click.IntRange(min=1),
    default=contract_files.DEFAULT_SHARD_COUNT,
    show_default=True,
    help='How many values the contracts are spread over; keep it.',
)
def contracts_render(
    folder: pathlib.Path, output: pathlib.Path | None, shards: int
) -> None:
    """Write the values to publish from the contracts in FOLDER.

    The values are shards of contracts, each under 1 MB, and the index
    "contracts.index", which is to be published last.  A customer's shard
    follows from its name and the number of shards, so one change touches
    one shard.  To standard output each value is a JSON line with "name"
    and "content".

    Exits 1 and writes nothing if a contract has a problem.
    """
    try:
        found = contract_files.load_contracts(folder)
        values = contract_files.render(found, shards)
    except errors.SettingsError as error:
        raise click.ClickException(str(error)) from error
    contract_files.write_values(values, output, sys.stdout)
    index = published_contracts.INDEX_NAME
    click.echo(
        f'{len(found)} contracts in {len(values)} values, of which {index}'
        ' is to be published last',
        err=True,
    )


@contracts.command('diff')
@click.argument('old', type=_PATH)
@click.argument('new', type=_PATH)
def contracts_diff(old: pathlib.Path, new: pathlib.Path) -> None:
    """Say who changes in what between OLD and NEW.

    Each is a folder of contracts, one contract, or rendered values.
    A line "FAULT" marks a change that must not be published: a content
    that changed while its revision did not rise, or a contract that was
    removed instead of revoked.

    Exits 0 if there is no fault (also if nothing changed), else 1.
    """
    try:
        changes = contract_diff.diff(
            contract_files.load_contracts(old),
            contract_files.load_contracts(new),
        )
    except errors.SettingsError as error:
        raise click.ClickException(str(error)) from error
    for change in changes:
        for line in change.changes:
            click.echo(f'{change.customer}: {line}')
        for line in change.problems:
            click.echo(f'{change.customer}: FAULT {line}')
    faulty = sum(bool(change.problems) for change in changes)
    click.echo(
        f'{len(changes)} customers differ, {faulty} with faults', err=True
    )
    sys.exit(_PROBLEMS_EXIT_CODE if faulty else 0)


@main.command('errors')
def errors_command() -> None:
    """Print the table of error kinds, as in docs/ERRORS.md."""
    click.echo(errors_page.render(), nl=False)


main.add_command(standin_cli.standin)


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


def _load(
    path: pathlib.Path, kind: type[settings.SettingsType]
) -> settings.SettingsType:
    try:
        return settings.load_settings(path, kind)
    except errors.SettingsError as error:
        raise click.ClickException(str(error)) from error
