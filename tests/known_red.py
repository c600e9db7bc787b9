"""Tests that may fail for a real fault that is known and filed.

KNOWN-RED.txt at the root lists them, one a line: the test's node id,
the cause, the issue, parted by ``|``.  Three lines at most.  CI passes
over just these failures, and prints them; one that passes is named, so
that its line goes.
"""

import dataclasses
import pathlib
import re

PAGE = pathlib.Path(__file__).parents[1] / 'KNOWN-RED.txt'
MAX_LINES = 3
_NODE_ID = re.compile(r'tests/\w+\.py::\S+')
_ISSUE = re.compile(r'#?\d+')


class MalformedError(Exception):
    """The list is too long, or a line is not what it must be."""


@dataclasses.dataclass(frozen=True)
class KnownRed:
    """One line of the list."""

    test: str
    cause: str
    issue: str


def parse(text):
    """Return the lines of the list."""
    lines = [line.strip() for line in text.splitlines() if line.strip()]
    if len(lines) > MAX_LINES:
        raise MalformedError(f'{len(lines)} lines, allowed are {MAX_LINES}')
    found = [_parse_line(line) for line in lines]
    if len({line.test for line in found}) < len(found):
        raise MalformedError('a test is listed twice')
    return found


def load():
    """Return the lines of the list; there may be no list."""
    return parse(PAGE.read_text()) if PAGE.exists() else []


def _parse_line(line):
    parts = [part.strip() for part in line.split('|')]
    if len(parts) != 3 or not all(parts):
        raise MalformedError(f'not "test | cause | issue": {line}')
    test, cause, issue = parts
    if not _NODE_ID.fullmatch(test):
        raise MalformedError(f'not the id of a test: {test}')
    if not _ISSUE.fullmatch(issue):
        raise MalformedError(f'not the number of an issue: {issue}')
    return KnownRed(test, cause, issue)
