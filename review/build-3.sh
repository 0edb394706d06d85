#!/usr/bin/env bash
# Builds the stand-ins of this review's scripts, which need only the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/testbed.py review/11 review/12 review/13 review/14 review/15 2>/dev/null || true
python3 -c "import sys; sys.path.insert(0, 'review'); import testbed"
