"""The event loop of a process."""

import pathlib
import subprocess
import sys

from tests import processes

OPEN_FILES = """
import asyncio, os
from lacewingpitch import event_loop

async def main():
    await asyncio.sleep(0.01)
    for number in os.listdir('/proc/self/fd'):
        path = f'/proc/self/fd/{number}'
        if os.path.lexists(path):
            print(os.readlink(path))

event_loop.run(main())
"""


class TestRun:
    def test_the_loop_opens_no_io_uring(self):
        """Guards against processes that use io_uring."""
        found = subprocess.run(
            [sys.executable, '-c', OPEN_FILES],
            cwd=processes.ROOT,
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        assert 'eventpoll' in found
        assert 'io_uring' not in found

    def test_no_other_module_runs_the_loop(self):
        """Guards against loops that are run without the setting."""
        package = pathlib.Path(processes.ROOT) / 'lacewingpitch'
        users = [
            path.name
            for path in package.rglob('*.py')
            if 'import uvloop' in path.read_text()
        ]
        assert users == ['event_loop.py']
