#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts: plain Python of the
# standard library, so that it only checks that they compile. Run it after the
# build of the deploy file, from any directory.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/galenaquay_platform || {
    echo 'run the build of deploy/system.toml first' >&2
    exit 2
}
export PYTHONPYCACHEPREFIX="$PWD/target/review-2"
python3 -m compileall -q review/lab2.py review/engine2.py review/[678]/case.py
