"""The list of tests that may fail for a known fault with an issue.

KNOWN-RED.txt at the root lists them, one per line: the node id of the
test, or the script of a case in review/, the cause and the issue, separated
by ``|``; at most three lines, not counting crowds of clients and scripts.
CI ignores the failures of these tests only, and prints them.  It also
prints the tests that pass, so that their lines are removed.  It runs no
script.
"""

import dataclasses
import pathlib
import re

PAGE = pathlib.Path(__file__).parents[1] / 'KNOWN-RED.txt'
MAX_LINES = 3
_CROWDS = 'tests/test_client_crowds.py::'
_NODE_ID = re.compile(r'tests/\w+\.py::\S+')
_SCRIPT = re.compile(r'review/\d+/run\.sh')
_ISSUE = re.compile(r'#?\d+')


class MalformedError(Exception):
    """The list is too long or has a malformed line."""


@dataclasses.dataclass(frozen=True)
class KnownRed:
    """One line of the list."""

    test: str
    cause: str
    issue: str

    @property
    def is_script(self):
        """Whether it is a script rather than a test."""
        return _SCRIPT.fullmatch(self.test) is not None

    @property
    def counts(self):
        """Whether it counts towards the limit."""
        return not (self.is_script or self.test.startswith(_CROWDS))


def parse(text):
    """Return the lines of the list."""
    lines = [line.strip() for line in text.splitlines() if line.strip()]
    entries = [_parse_line(line) for line in lines]
    count = sum(entry.counts for entry in entries)
    if count > MAX_LINES:
        raise MalformedError(f'{count} lines exceed the limit of {MAX_LINES}')
    if len({entry.test for entry in entries}) < len(entries):
        raise MalformedError('a test is listed twice')
    return entries


def load():
    """Return the lines of the list, none if the file does not exist."""
    return parse(PAGE.read_text()) if PAGE.exists() else []


def _parse_line(line):
    parts = [part.strip() for part in line.split('|')]
    if len(parts) != 3 or not all(parts):
        raise MalformedError(f'expected "test | cause | issue": {line}')
    test, cause, issue = parts
    entry = KnownRed(test, cause, issue)
    if not (entry.is_script or _NODE_ID.fullmatch(test)):
        raise MalformedError(f'not the node id of a test: {test}')
    if not _ISSUE.fullmatch(issue):
        raise MalformedError(f'not an issue number: {issue}')
    return entry
