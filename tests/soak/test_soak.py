"""Run a short seeded soak test of the programs, and test its checks."""

import subprocess
import sys

import pytest

from soak.invariants import Record
from soak.plan import PLANNED_KINDS, generate_plan
from soak.standin import ROOT

SECONDS = 6.0


def test_a_seed_always_gives_the_same_plan():
    assert generate_plan(7, 20.0) == generate_plan(7, 20.0)
    assert generate_plan(7, 20.0) != generate_plan(8, 20.0)
    assert all(fault.kind in PLANNED_KINDS for fault in generate_plan(7, 20.0, True))


def test_the_invariants_hold_under_a_fixed_plan():
    # Processes are killed, frozen, stopped and restarted under load. Checked are the
    # invariants that do not depend on the speed of the host: complete answers of the
    # right service, no request run twice, no configuration version that reverts. They
    # run in a separate process: stopped children disturb the event loop of the tests.
    command = [sys.executable, "-m", "soak.command", "--seed", "3"]
    command += ["--seconds", str(SECONDS), "--untimed"]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    assert done.returncode == 0, done.stdout + done.stderr
    assert "1 passed, 0 failed" in done.stdout


@pytest.mark.parametrize(
    ("body", "invariant"),
    [
        ("docs r-1 i-1", "no wrong service"),
        ("booking r-2 i-1", "the answer to its own request"),
        ("booking r-1", "whole answers only"),
    ],
)
def test_a_wrong_answer_is_reported(body, invariant):
    record = Record()
    record.check_answer("booking", "r-1", body)
    assert [line.partition(":")[0] for line in record.violations] == [invariant]


def test_two_runs_and_a_run_that_was_denied_are_reported():
    record = Record()
    record.runs.update({"r-1": 2, "r-2": 1, "r-3": 1})
    record.not_run.add("r-3")
    record.check_runs()
    found = [line.partition(":")[0] for line in record.violations]
    assert found == ["at most once", "not run is true"]


def test_an_older_read_is_reported():
    record = Record()
    record.check_read(5, 5)
    record.check_read(5, 4)
    assert len(record.violations) == 1
