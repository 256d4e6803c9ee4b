#!/usr/bin/env bash
# Show the case of claim.txt: exit 1 if the rule was broken, 0 if it held, 2 if not run.
set -euo pipefail
cd "$(dirname "$0")"
exec python3 -S case.py
