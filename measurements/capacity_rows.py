"""Hold the size to design for, the limits, and the lines fitted through figures."""

import json
from dataclasses import dataclass
from functools import cache
from pathlib import Path
from typing import Any

from .fitting import Line, fit

RESULTS = Path(__file__).parent / "results"

BALANCERS = 850
AGENTS = 6_400
NODES = BALANCERS + AGENTS
SERVICES = 1_100
TARGETS_EACH = AGENTS / SERVICES
OPEN_FLOWS = 16_000_000
NEW_FLOWS = 85_000
CHANGES_A_DAY = 900
RESTARTS_A_DAY = 2_600
FAILURES_A_DAY = 13
FAILURE_DOMAINS = 7
REGIONS = 2
CONTROL_HOSTS = 5
MOST_HOSTS = 9
DAY_SECONDS = 86_400
# Entries of the log for the restart of an agent: it leaves, it is announced again, and
# its former incarnation is removed.
ENTRIES_A_RESTART = 3

AGENT_RESTARTS = RESTARTS_A_DAY * AGENTS / NODES
CHANGES_A_SECOND = (CHANGES_A_DAY + AGENT_RESTARTS * ENTRIES_A_RESTART) / DAY_SECONDS

CPU_LIMIT = 0.035
MEMORY_LIMIT = 128e6
BYTES_LIMIT = 10e3
IN_FORCE_LIMIT = 8.0
# A control process is one thread of Python: it has one core and no more.
CORE_LIMIT = 1.0
STREAMS_LIMIT = 2_048


@dataclass(frozen=True, slots=True)
class Row:
    """Hold one line of a table; ``mend`` is what would make it fit."""

    what: str
    arithmetic: str
    value: float
    unit: str
    mechanism: str
    limit: float | None = None
    mend: str = ""

    @property
    def verdict(self) -> str:
        """Tell whether the value keeps within its limit."""
        if self.limit is None:
            return "no limit set"
        if self.value <= self.limit:
            return "fits"
        return f"**does not fit**; {self.mend or 'no mend known yet'}"

    def show(self, value: float | None) -> str:
        """Return a value with its unit."""
        return "-" if value is None else show_value(value, self.unit)


def show_value(value: float, unit: str) -> str:
    """Return a value in its unit."""
    if unit == "core":
        return f"{value:.2%} of a core"
    if unit in ("B", "B/s"):
        for factor, prefix in ((1e9, "G"), (1e6, "M"), (1e3, "k")):
            if abs(value) >= factor:
                return f"{value / factor:,.3g} {prefix}{unit}"
    return f"{value:,.3g} {unit}" if value < 1000 else f"{value:,.0f} {unit}"


@dataclass(frozen=True, slots=True)
class Slope:
    """Hold one fitted line of the page."""

    what: str
    grows_with: str
    sizes: str
    unit: str
    line: Line
    source: str


@cache
def load(name: str) -> Any:
    """Return the figures of one file of results."""
    return json.loads((RESULTS / f"{name}.json").read_text())


def fit_figures(points: list[dict[str, Any]], size: str, value: str) -> Line:
    """Return the line through one value of several points."""
    return fit([(one[size], one[value]) for one in points])


# what, with, file, path of the points, size, value, unit
FITTED = {
    "snapshot": (
        "configuration on the wire",
        "service of 6 targets",
        ("slopes", "by_services"),
        ("services", "snapshot_bytes", "B"),
    ),
    "snapshot_targets": (
        "configuration of 100 services on the wire",
        "target a service",
        ("slopes", "by_targets_each"),
        ("targets_each", "snapshot_bytes", "B"),
    ),
    "take_in": (
        "time to put a whole configuration in force",
        "service of 6 targets",
        ("slopes", "by_services"),
        ("services", "balancer_take_in_ms", "ms"),
    ),
    "balancer_memory": (
        "resident memory of a balancer (packets)",
        "service of 6 targets",
        ("processes_services", "packets"),
        ("services", "resident_bytes", "B"),
    ),
    "balancer_streams_memory": (
        "resident memory of a balancer (packets, listeners)",
        "service of 6 targets",
        ("processes_services", "streams"),
        ("services", "resident_bytes", "B"),
    ),
    "delta": (
        "one change of a service on the wire",
        "target a service",
        ("slopes", "change"),
        ("targets_each", "delta_bytes", "B"),
    ),
    "rebuild": (
        "time to put one change in force (balancer)",
        "target a service",
        ("slopes", "change"),
        ("targets_each", "balancer_rebuild_ms", "ms"),
    ),
    "firsts": (
        "time to fill all 4,096 buckets of a service",
        "target a service",
        ("slopes", "change"),
        ("targets_each", "all_first_choices_ms", "ms"),
    ),
    "agent_quiet": (
        "processor share of an idle agent",
        "agent of its service",
        ("processes_agents", "quiet"),
        ("nodes", "node_cpu_share", "core"),
    ),
    "agent_warming": (
        "processor share of an agent while targets warm up",
        "agent of its service",
        ("processes_agents", "warming"),
        ("nodes", "node_cpu_share", "core"),
    ),
    "agent_flows": (
        "memory of the flows of an agent",
        "flow",
        ("flows_state", "flows"),
        ("flows", "flow_bytes", "B"),
    ),
    "control_balancers": (
        "processor share of a control host",
        "balancer (watch, report)",
        ("processes_balancers", "quiet"),
        ("nodes", "control_cpu_share", "core"),
    ),
    "control_agents": (
        "processor share of a control host",
        "agent (watch, report, lease)",
        ("processes_agents", "quiet"),
        ("nodes", "control_cpu_share", "core"),
    ),
    "control_streams_memory": (
        "resident memory of a control host",
        "node that watches it",
        ("processes_balancers", "quiet"),
        ("nodes", "control_resident_bytes", "B"),
    ),
    "store": (
        "memory of records and targets (control)",
        "target",
        ("slopes", "control"),
        ("targets", "store_bytes", "B"),
    ),
    "log_snapshot": (
        "snapshot of the log on disk",
        "target",
        ("slopes", "control"),
        ("targets", "log_snapshot_bytes", "B"),
    ),
    "log_snapshot_time": (
        "time to take a snapshot of the log",
        "target",
        ("slopes", "control"),
        ("targets", "log_snapshot_ms", "ms"),
    ),
    "lease": (
        "memory of leases (control leader)",
        "target",
        ("slopes", "control"),
        ("targets", "lease_bytes", "B"),
    ),
    "lease_sweep": (
        "time of one sweep of all leases",
        "target",
        ("slopes", "control"),
        ("targets", "lease_sweep_ms", "ms"),
    ),
    "lease_track": (
        "time to follow one change with all leases",
        "target",
        ("slopes", "control"),
        ("targets", "lease_track_ms", "ms"),
    ),
    "status": (
        "status of the whole system on the wire",
        "node",
        ("slopes", "status"),
        ("nodes", "reply_bytes", "B"),
    ),
    "choice": (
        "time to choose a target (platform)",
        "target of the service",
        ("forwarding", "balancer"),
        ("targets", "choice_us", "us"),
    ),
    "search": (
        "time to learn that a flow has ended (platform; with making the answer)",
        "agent asked",
        ("forwarding", "balancer"),
        ("targets", "search_us", "us"),
    ),
    "question": (
        "question about a lost flow on the wire (platform)",
        "agent asked",
        ("forwarding", "balancer"),
        ("targets", "question_bytes", "B"),
    ),
    "hello_taken": (
        "time to answer one introduction (platform)",
        "node",
        ("forwarding", "control"),
        ("nodes", "hello_us", "us"),
    ),
    "list": (
        "list of agents on the wire (platform)",
        "agent",
        ("forwarding", "control"),
        ("nodes", "list_bytes", "B"),
    ),
    "archive": (
        "memory of noted flows on a control host (platform)",
        "flow",
        ("forwarding", "archive"),
        ("flows", "held_bytes", "B"),
    ),
    "node_file": (
        "file of nodes on a control host (platform)",
        "node",
        ("forwarding", "control"),
        ("nodes", "file_bytes", "B"),
    ),
}


def find_points(name: str, part: str) -> list[dict[str, Any]]:
    """Return the points of one part; flows are turned into bytes altogether."""
    points = load(name)[part]
    if name != "flows_state":
        return points
    return [
        {"flows": one["flows"], "flow_bytes": one["flows"] * one["bytes_per_flow"]}
        for one in points
    ]


@cache
def find_line(key: str) -> Line:
    """Return the fitted line of one quantity."""
    _, _, (name, part), (size, value, _) = FITTED[key]
    return fit_figures(find_points(name, part), size, value)


def list_slopes() -> list[Slope]:
    """Return all fitted lines, in the order of the page."""
    found = []
    for key, (what, grows_with, (name, part), (size, _, unit)) in FITTED.items():
        sizes = ", ".join(f"{one[size]:,}" for one in find_points(name, part))
        source = f"{name}.json {part}"
        found.append(Slope(what, grows_with, sizes, unit, find_line(key), source))
    return found
