import re
import subprocess
import sys
from pathlib import Path

import pytest

import ibisshunt.coordination

ROOT = Path(__file__).resolve().parents[2]
# Runs the example in an interpreter of its own and prints what it has imported.
RUN = """
import runpy, sys
runpy.run_module(sys.argv[1], run_name="__main__")
print("imported", [name for name in ("gevent", "grpc") if name in sys.modules])
"""


def run_example(name):
    return subprocess.run(
        [sys.executable, "-c", RUN, f"examples.{name}"],
        cwd=ROOT,
        check=True,
        capture_output=True,
        text=True,
        timeout=30,
    ).stdout.splitlines()


def test_a_record_store_is_replicated_over_an_embedded_transport():
    # The leader of three embedded hosts is lost after it accepted a record. The other
    # two must elect a new leader and hold that record and the next one.
    lost, *hosts, imported = run_example("replicated_store")
    assert lost.endswith("accepted marea; now it is lost")
    assert len(hosts) == 2
    assert {line.partition("records=")[2] for line in hosts} == {
        "['kai-heap', 'marea']"
    }
    assert len({re.search(r"revision=(\d+)", line)[1] for line in hosts}) == 1
    assert imported == "imported []"


def test_flows_stay_on_a_drained_target_in_an_embedded_proxy():
    # A target is drained while flows are open, and their packets come through another
    # router without state: each must still reach the target that accepted its flow.
    opened, drained, imported = run_example("flow_proxy")
    assert int(re.search(r"on_drained=(\d+)", opened)[1]) > 0
    assert drained == "broken=0 new_on_drained=0"
    assert imported == "imported []"


def test_a_caller_of_a_failed_host_is_reset_in_time_by_an_embedded_balancer():
    # A host fails with a caller's request in flight. The request has a deadline of 1 s,
    # the caller repeats it after 0.2 s and must get a reset within half the deadline.
    printed, imported = run_example("silent_host")
    assert float(re.search(r"after (\S+) s", printed)[1]) <= 0.5
    assert imported == "imported []"


@pytest.mark.parametrize("name", ["replicated_store", "flow_proxy", "silent_host"])
def test_examples_are_short(name):
    lines = (ROOT / "examples" / f"{name}.py").read_text().splitlines()
    assert len(lines) < 120


def test_the_library_page_lists_the_public_names():
    page = (ROOT / "docs" / "LIBRARY.md").read_text()
    documented = set(re.findall(r"^\| `(\w+)`", page, re.M))
    assert documented == set(ibisshunt.coordination.__all__)
