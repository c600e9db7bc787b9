"""Checks the deploy file: its build, and that its programs start with it."""

import os
import subprocess
import sys
import tomllib

from tests import processes

ROOT = processes.ROOT


def main():
    text = (ROOT / 'deploy' / 'system.toml').read_text()
    deploy = tomllib.loads(text)
    subprocess.run(['sh', '-c', deploy['build']], cwd=ROOT, check=True)
    environment = {
        'PATH': os.environ['PATH'],
        'PYTHONPATH': str(ROOT / 'target' / 'deps'),
    }
    for name, role in deploy['roles'].items():
        program, *arguments = role['run'].split()
        # Without settings the program imports everything, and then exits
        # with this error.
        found = subprocess.run(
            [program, *arguments],
            cwd=ROOT,
            env=environment,
            capture_output=True,
            text=True,
        )
        if 'LACEWINGPITCH_CONFIG is not set' not in found.stderr:
            sys.exit(f'{name} does not start: {found.stderr}')
        modules = f'lacewingpitch.platform.{arguments[-1]}'
        subprocess.run(
            [program, '-c', f'import {modules}'],
            cwd=ROOT,
            env=environment,
            check=True,
        )
        print(f'{name}: starts with what was built')


if __name__ == '__main__':
    main()
