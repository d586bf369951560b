#!/bin/sh
# Builds what the scripts of cases 4 to 8 start beside the build of the deploy file: the
# stand-ins of the project and those of this folder, which are Python.
cd "$(dirname "$0")/.." || exit 2
if [ ! -d target/deps ]; then
  echo "run the build of the deploy file first" >&2
  exit 2
fi
PYTHONPATH="$PWD/target/deps" exec python3 -m compileall -q \
  papayapick tests/standins tests/entry review
