#!/usr/bin/env bash
# Writes requirements.lock: all packages that requirements.lock.in needs, with
# the versions that pip installs now.
set -eu
cd "$(dirname "$0")/.."
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
python3 -m venv "$scratch/venv"
"$scratch/venv/bin/pip" install -q -r requirements.lock.in
"$scratch/venv/bin/pip" freeze --all --exclude pip > requirements.lock
