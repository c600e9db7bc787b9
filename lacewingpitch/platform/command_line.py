"""Command line of the daemons on the platform."""

import os
import pathlib
import sys

import click

from lacewingpitch import daemon
from lacewingpitch import errors
from lacewingpitch import log_output
from lacewingpitch.platform import settings as settings_module

_SETTINGS_VARIABLE = 'LACEWINGPITCH_CONFIG'


@click.group()
def main() -> None:
    """Run lacewingpitch on the platform.

    Settings are read from the file named by LACEWINGPITCH_CONFIG.  Logs go
    to standard output as JSON lines.
    """


@main.command()
def entry() -> None:
    """Run an entry, which accepts requests of callers.

    On SIGTERM it drains: it reports that it is not ready, finishes the
    requests in progress within its drain time, and exits with status 0.
    SIGHUP, or a change of the settings file, reloads the settings.
    """
    file = _start('entry', 'callers', 'ready')
    from lacewingpitch.platform import entry as module

    daemon.serve(module.Entry(file), file.reload)


@main.command()
def sidecar() -> None:
    """Run a sidecar, which controls the model engine on this instance."""
    file = _start('sidecar', 'engine', 'service')
    from lacewingpitch.platform import sidecar as module

    daemon.serve(module.Sidecar(file), file.reload)


@main.command()
def check() -> None:
    """Check the settings file; exit with status 1 if it is invalid."""
    _load()
    click.echo('1 checked, 0 with problems')


def _start(role: str, *required_fields: str) -> settings_module.SettingsFile:
    file = _load()
    try:
        file.require(*required_fields)
    except errors.SettingsError as error:
        raise click.ClickException(str(error)) from error
    log_output.configure(
        'info',
        sys.stdout.fileno(),
        instance=file.settings.instance,
        role=role,
    )
    return file


def _load() -> settings_module.SettingsFile:
    path = os.environ.get(_SETTINGS_VARIABLE, '')
    if not path:
        raise click.ClickException(f'{_SETTINGS_VARIABLE} is not set')
    try:
        return settings_module.SettingsFile(pathlib.Path(path))
    except errors.SettingsError as error:
        raise click.ClickException(str(error)) from error
