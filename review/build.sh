#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are Python programs that
# use the standard library only, so their syntax is checked and nothing else.
set -eu
cd "$(dirname "$0")"
python3 - standins.py [1-5]/case.py <<'PYTHON'
import ast
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit('Python 3.11 or newer is needed')
for path in sys.argv[1:]:
    ast.parse(pathlib.Path(path).read_text(), path)
PYTHON
