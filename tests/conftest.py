from gevent import monkey

monkey.patch_all()

import os
from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings

from ibisshunt.helpers.runtime import prepare_grpc

prepare_grpc()

# CI must reach the same verdict every time: fixed examples, no time limits.
settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    max_examples=60,
    database=None,
    suppress_health_check=list(HealthCheck),
)
# A larger budget by command: IBISSHUNT_PROFILE=long script/test --hypothesis-seed=N
settings.register_profile(
    "long",
    deadline=None,
    max_examples=2000,
    database=None,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile(os.environ.get("IBISSHUNT_PROFILE", "ci"))


def read_known_red():
    """Return the reasons of the tests that KNOWN-RED.txt lists, by test."""
    path = Path(__file__).resolve().parents[1] / "KNOWN-RED.txt"
    rows = path.read_text().splitlines() if path.exists() else []
    found = {}
    for row in rows:
        if row and not row.startswith("#"):
            test, _, reason = row.partition(" | ")
            found[test] = reason
    return found


def pytest_collection_modifyitems(items):
    """Let just the tests that KNOWN-RED.txt lists fail; they are run and printed."""
    known = read_known_red()
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason=known[item.nodeid], strict=False))
