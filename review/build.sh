#!/usr/bin/env bash
# The stand-ins of the cases need only Python's standard library: compile them.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review
