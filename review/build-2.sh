#!/usr/bin/env bash
# Builds the stand-ins of the second review: Python, which is only compiled.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/deployment
