#!/bin/sh
# Builds the stand-ins of the cases: checks that they compile, and that they
# import with nothing but the build of the deploy file.
cd "$(dirname "$0")/.." || exit 1
export PYTHONPATH="$PWD/target/deps:$PWD:$PWD/review"
export PYTHONDONTWRITEBYTECODE=1
python3 - <<'END'
import importlib
import pathlib

for path in sorted(pathlib.Path('review').rglob('*.py')):
    compile(path.read_text(), str(path), 'exec')
for name in ('case', 'client', 'fleet', 'proxy', 'record', 'servers', 'store'):
    importlib.import_module(f'standins.{name}')
print('the stand-ins compile and import')
END
