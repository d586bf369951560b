#!/usr/bin/env bash
# Builds every stand-in that the scripts start. All of them are Python, from this
# repository's review/ and tests/standins/, and need only what the build of the deploy
# file puts into target/deps: this checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD" PYTHONDONTWRITEBYTECODE=1
python3 -c "import review.platform_standin"
