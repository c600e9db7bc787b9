"""The command-line interface of ``lacewingpitch``."""

import asyncio
import logging
import pathlib
import sys

import click
import msgspec
import rich.console
import structlog

import lacewingpitch
from lacewingpitch import checking
from lacewingpitch import contract_diff
from lacewingpitch import contract_files
from lacewingpitch import daemon
from lacewingpitch import demo_traffic
from lacewingpitch import entry as entry_module
from lacewingpitch import errors
from lacewingpitch import errors_page
from lacewingpitch import event_loop
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
    help='Lowest level of the log lines to write.',
)
def main(log_level: str) -> None:
    """Serve many LoRA adapters to customers with contracts.

    Daemons: `entry` receives the requests of callers, `sidecar` runs
    beside each backend server.  For operators: `check`, `contracts`,
    `report`, `errors`, `demo`.  Logs are written to standard error as
    JSON lines.

    Exit codes of all commands: 0 success; 1 invalid input, a daemon that
    cannot listen, or a report that cannot be fetched; 2 invalid command
    line.
    """
    configure_logs(log_level)


@main.command()
@click.argument('settings_file', type=_SETTINGS_FILE)
def entry(settings_file: pathlib.Path) -> None:
    """Run an entry instance with the settings in SETTINGS_FILE.

    SIGTERM or SIGINT drains it: /readyz returns 503, new requests are
    refused as "not-run", requests in progress are completed, and the
    process exits with code 0.  The log line "listening" contains its
    ports.
    """
    entry_settings = _load(settings_file, settings.EntrySettings)
    daemon.serve(entry_module.Entry(entry_settings))


@main.command()
@click.argument('settings_file', type=_SETTINGS_FILE)
def sidecar(settings_file: pathlib.Path) -> None:
    """Run the sidecar of a backend server.

    SETTINGS_FILE contains the address of the engine or plain service.
    SIGTERM or SIGINT drains it as an entry.  It listens on its work port
    exclusively, so a second sidecar for the same address exits with
    code 1.
    """
    sidecar_settings = _load(settings_file, settings.SidecarSettings)
    daemon.serve(sidecar_module.Sidecar(sidecar_settings))


@main.command()
def demo() -> None:
    """Serve sample traffic in one process and print a report.

    An entry, sidecars and stand-ins of engines, a plain service and the
    platform listen on free ports of 127.0.0.1.  Two customers call
    several adapters, with and without streaming; one request is refused,
    and one that must run only once is sent twice.
    """
    configure_logs('critical')
    sys.exit(event_loop.run(demo_traffic.run_demo()))


@main.command()
@click.argument('url')
@click.option('--customer', help='Report on this customer only.')
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
    help="Operators' token, or the API key of the given customer.  Prefer the"
    ' environment variable: process lists show command-line arguments.',
)
def report(
    url: str, customer: str | None, output_format: str, token: str
) -> None:
    """Print the account of service, fetched from the entry at URL.

    The report starts with its gaps: the data that may be missing from
    it.  Exits with code 1 if the report cannot be fetched.
    """
    try:
        data = asyncio.run(report_module.fetch(url, customer, token))
    except errors.PlatformError as error:
        raise click.ClickException(str(error)) from error
    if output_format == 'json':
        click.echo(data)
        return
    decoded = msgspec.json.decode(data, type=report_module.Report)
    report_text.print_table(decoded, rich.console.Console())


@main.command()
@click.argument('paths', nargs=-1, required=True, type=_PATH)
@click.option(
    '--kind',
    type=click.Choice([kind.value for kind in checking.Kind]),
    help='Kind of content of the files; by default detected by their fields.',
)
def check(paths: tuple[pathlib.Path, ...], kind: str | None) -> None:
    """Check settings and contracts offline.

    PATHS are JSON files, and folders that are searched for them.  Every
    problem is printed on its own line with the file, the field, what is
    expected and the actual value.  Files are also checked for conflicts:
    a customer, key digest, instance or address may be in only one file.

    Exits with code 0 if there is no problem, 1 if there is one or if no
    file is found.
    """
    results = checking.check_paths(
        paths, checking.Kind(kind) if kind else None
    )
    invalid = [result for result in results if result.problems]
    for result in invalid:
        for problem in result.problems:
            click.echo(str(problem))
    if not results:
        raise click.ClickException('nothing to check: found no *.json file')
    click.echo(
        f'{len(results)} checked, {len(invalid)} with problems', err=True
    )
    sys.exit(_PROBLEMS_EXIT_CODE if invalid else 0)


@main.group()
def contracts() -> None:
    """Prepare contracts for the configuration service.

    Contracts are stored in a folder, as one JSON file per customer.
    """


@contracts.command('render')
@click.argument('folder', type=_PATH)
@click.option(
    '--output',
    type=_FOLDER,
    help='Folder for one NAME.json per value; by default standard output.',
)
@click.option(
    '--shards',
    type=click.IntRange(min=1),
    default=contract_files.DEFAULT_SHARD_COUNT,
    show_default=True,
    help='Number of shards.  Keep it constant: a change moves contracts'
    ' between shards.',
)
def contracts_render(
    folder: pathlib.Path, output: pathlib.Path | None, shards: int
) -> None:
    """Write the values to publish from the contracts in FOLDER.

    The values are shards of contracts, each under 1 MB, and the index
    "contracts.index", which must be published last.  The shard of a
    customer depends only on its name and the number of shards, so that
    a change of one contract changes one shard.  On standard output each
    value is a JSON line with "name" and "content".

    Exits with code 1 and writes nothing if a contract has a problem.
    """
    try:
        loaded = contract_files.load_contracts(folder)
        values = contract_files.render(loaded, shards)
    except errors.SettingsError as error:
        raise click.ClickException(str(error)) from error
    contract_files.write_values(values, output, sys.stdout)
    index = published_contracts.INDEX_NAME
    click.echo(
        f'{len(loaded)} contracts in {len(values)} values, of which {index}'
        ' must be published last',
        err=True,
    )


@contracts.command('diff')
@click.argument('old', type=_PATH)
@click.argument('new', type=_PATH)
def contracts_diff(old: pathlib.Path, new: pathlib.Path) -> None:
    """Print the changes of each customer between OLD and NEW.

    Each is a folder of contracts, one contract, or rendered values.
    "FAULT" marks a change that must not be published: a contract whose
    content changed without a higher revision, or one that was removed
    instead of revoked.

    Exits with code 0 if there is no fault, also if nothing changed, and
    with code 1 otherwise.
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
    fault_count = sum(bool(change.problems) for change in changes)
    click.echo(
        f'{len(changes)} customers differ, {fault_count} with faults', err=True
    )
    sys.exit(_PROBLEMS_EXIT_CODE if fault_count else 0)


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
