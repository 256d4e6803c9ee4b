#!/usr/bin/env bash
# Prepare the stand-ins of the second review's scripts. They are Python programs without
# dependencies, so there is nothing to build but their byte code.
set -euo pipefail
cd "$(dirname "$0")"
python3 -S -m compileall -q fleet_2.py [4-8]
test -d ../target/deps || echo "build-2: run the build line of deploy/system.toml too" >&2
