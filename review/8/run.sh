#!/bin/sh
# Runs the case; see claim.txt. TROUBLE=0 runs it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH="$PWD/target/deps" exec python3 review/8/case.py
