#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/4 to review/8 start, after
# the build of the deploy file: the project's own, and those of the review.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:$PWD"
python3 -m compileall -q lacewingpitch tests review/standins_2 review/[4-8]
python3 -c 'from review.standins_2 import deployment'
