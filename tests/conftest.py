from gevent import monkey

monkey.patch_all()

import os
from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings

from ibisshunt.helpers.runtime import prepare_grpc

prepare_grpc()

# CI has to be deterministic: fixed examples and no time limits.
settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    max_examples=60,
    database=None,
    suppress_health_check=list(HealthCheck),
)
# More examples: IBISSHUNT_PROFILE=long script/test --hypothesis-seed=N
settings.register_profile(
    "long",
    deadline=None,
    max_examples=2000,
    database=None,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile(os.environ.get("IBISSHUNT_PROFILE", "ci"))


def read_known_failures():
    """Return the reason of each test that KNOWN-RED.txt lists, by its node id."""
    path = Path(__file__).resolve().parents[1] / "KNOWN-RED.txt"
    rows = path.read_text().splitlines() if path.exists() else []
    reasons = {}
    for row in rows:
        if row and not row.startswith("#"):
            test, _, reason = row.partition(" | ")
            reasons[test] = reason
    return reasons


def pytest_collection_modifyitems(items):
    """Mark the tests that KNOWN-RED.txt lists as expected failures; they still run."""
    known = read_known_failures()
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason=known[item.nodeid], strict=False))
