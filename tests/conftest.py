"""Fixtures and settings of all tests, and the list of known failures."""

import hypothesis
import pytest

from lacewingpitch import cli
from tests import known_red

# Every run takes the same examples, so that its result is reproducible.
# There is no deadline, since the machine may be busy.
hypothesis.settings.register_profile(
    'repeatable',
    derandomize=True,
    deadline=None,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
hypothesis.settings.load_profile('repeatable')
pytest_plugins = ['pytester']

_KNOWN_FAILURES = pytest.StashKey()


@pytest.fixture(autouse=True)
def logs():
    """Configure logging as the daemons do."""
    cli.configure_logs('info')


def pytest_configure(config):
    """Read the list of known failures; a malformed list aborts the run."""
    try:
        listed = known_red.load()
    except known_red.MalformedError as error:
        raise pytest.UsageError(f'{known_red.PAGE.name}: {error}') from error
    config.stash[_KNOWN_FAILURES] = {line.test: line for line in listed}


def pytest_collection_modifyitems(config, items):
    """Mark the listed tests as expected failures."""
    for item in items:
        line = config.stash[_KNOWN_FAILURES].get(item.nodeid)
        if line is not None:
            reason = f'{line.cause} (issue {line.issue})'
            item.add_marker(pytest.mark.xfail(reason=reason, strict=False))


def pytest_terminal_summary(terminalreporter, config):
    """Print the result of each listed test."""
    listed = config.stash[_KNOWN_FAILURES]
    if not listed:
        return
    failed = {r.nodeid for r in terminalreporter.getreports('xfailed')}
    passed = {r.nodeid for r in terminalreporter.getreports('xpassed')}
    terminalreporter.section(known_red.PAGE.name)
    for line in listed.values():
        state = 'is run by hand' if line.is_script else 'did not run'
        if line.test in failed:
            state = 'FAILED, as known'
        elif line.test in passed:
            state = 'passes now: take its line out'
        terminalreporter.line(
            f'{line.test}: {state}: {line.cause} (issue {line.issue})'
        )
