"""Work out what a balancer and an agent cost at the size to design for."""

from ibisshunt.const import HEARTBEAT_SECONDS
from ibisshunt.coordination.flows.load_reports import PEERS_PER_ROUND
from ibisshunt.protocol.datagram import HEADER_BYTES

from .capacity_rows import (
    AGENTS,
    BYTES_LIMIT,
    CHANGES_A_SECOND,
    CPU_LIMIT,
    IN_FORCE_LIMIT,
    MEMORY_LIMIT,
    OPEN_FLOWS,
    SERVICES,
    TARGETS_EACH,
    Row,
    find_line,
    load,
)

FLOWS_AN_AGENT = OPEN_FLOWS / AGENTS
LOAD_BYTES = HEADER_BYTES + 8
WATCHED = "components/node/watcher"


def count_bytes(kind: str) -> float:
    """Return the measured bytes a second of an idle node, both ways."""
    quiet = load(f"processes_{kind}")["quiet"][-1]
    sent = quiet["node_sent_bytes_per_second"]
    return sent + quiet["node_received_bytes_per_second"]


def list_balancer_rows() -> list[Row]:
    """Return what one balancer holds and does."""
    delta = find_line("delta").at(TARGETS_EACH)
    idle = load("processes_services")["streams"][-1]["idle_cpu_share"]
    rebuild = find_line("rebuild").at(TARGETS_EACH) / 1000
    firsts = find_line("firsts").at(TARGETS_EACH) / 1000
    changing = (rebuild + firsts) * CHANGES_A_SECOND
    return [
        Row(
            "resident memory, all 1,100 services in force, listeners open",
            "line at 1,100 services",
            find_line("balancer_streams_memory").at(SERVICES),
            "B",
            "flows/router, flows/table; no state of a flow",
            MEMORY_LIMIT,
        ),
        Row(
            "control bytes while nothing changes, both ways (payload of TCP)",
            "measured",
            count_bytes("balancers"),
            "B/s",
            f"{WATCHED}: heartbeat and report every {HEARTBEAT_SECONDS:g} s",
            BYTES_LIMIT,
        ),
        Row(
            "control bytes of a mean day's changes",
            f"{CHANGES_A_SECOND:.3f} changes/s x {delta:,.0f} B",
            CHANGES_A_SECOND * delta,
            "B/s",
            "distribution/sender: only the slice that changed",
            BYTES_LIMIT,
        ),
        Row(
            "control messages while nothing changes",
            f"heartbeat, report and its reply every {HEARTBEAT_SECONDS:g} s",
            3 / HEARTBEAT_SECONDS,
            "messages/s",
            WATCHED,
        ),
        Row(
            "processor, idle, 1,100 services",
            "measured over 1.5 s: one tick is 0.67%",
            idle,
            "core",
            "gevent loop, watch, report, housekeeping",
            CPU_LIMIT,
        ),
        Row(
            "processor for a mean day's changes",
            f"{CHANGES_A_SECOND:.3f}/s x ({rebuild * 1000:.2f} + "
            f"{firsts * 1000:.1f} ms to rebuild and fill a table)",
            changing,
            "core",
            "flows/router: one table a change, buckets filled when asked",
            CPU_LIMIT,
        ),
        Row(
            "a start: the whole configuration, bytes at once",
            "line at 1,100 services",
            find_line("snapshot").at(SERVICES),
            "B",
            "distribution/sender: snapshot, encoded once for all",
        ),
        Row(
            "a start: time those bytes would take at 10 KB/s",
            "bytes / 10,000",
            find_line("snapshot").at(SERVICES) / BYTES_LIMIT,
            "s",
            "nothing paces a snapshot; held against the 8 s",
            IN_FORCE_LIMIT,
            "snapshots compressed and from a relay nearby, or slices asked for first "
            "when a packet wants them; the limit read as a mean over an hour holds",
        ),
        Row(
            "a start: processor time until in force",
            "line at 1,100 services",
            find_line("take_in").at(SERVICES) / 1000,
            "s",
            "distribution/receiver, flows/router",
            IN_FORCE_LIMIT,
        ),
    ]


def list_agent_rows() -> list[Row]:
    """Return what one agent holds and does."""
    base = load("processes_agents")["quiet"][0]["node_resident_bytes_most"]
    flows = find_line("agent_flows").slope * FLOWS_AN_AGENT
    peers = min(PEERS_PER_ROUND, TARGETS_EACH - 1)
    return [
        Row(
            "resident memory with its share of the flows",
            f"{base / 1e6:.0f} MB measured + {FLOWS_AN_AGENT:,.0f} flows x "
            f"{find_line('agent_flows').slope:.0f} B",
            base + flows,
            "B",
            "flows/store; holds one service's slice",
            MEMORY_LIMIT,
        ),
        Row(
            "control bytes while nothing changes, both ways (payload of TCP)",
            "measured",
            count_bytes("agents"),
            "B/s",
            f"{WATCHED}, components/node/announcer",
            BYTES_LIMIT,
        ),
        Row(
            "loads told to peers of the service (UDP payload)",
            f"{peers:.1f} peers x {LOAD_BYTES} B a second, and as many back",
            2 * peers * LOAD_BYTES,
            "B/s",
            "flows/load_reports: 16 peers a round at most, never beyond the service",
            BYTES_LIMIT,
        ),
        Row(
            "control messages while nothing changes",
            f"heartbeat, report, announcement, two replies every "
            f"{HEARTBEAT_SECONDS:g} s, and the loads",
            5 / HEARTBEAT_SECONDS + 2 * peers,
            "messages/s",
            f"{WATCHED}, components/node/announcer",
        ),
        Row(
            "changes of other services that wake it",
            "every change in force is told as an empty update",
            CHANGES_A_SECOND,
            "messages/s",
            "components/control/watches",
        ),
        Row(
            "processor, idle, service of 5.8 targets",
            "line at 5.8 agents of a service",
            find_line("agent_quiet").at(TARGETS_EACH),
            "core",
            "gevent loop, watch, report, lease, loads, housekeeping",
            CPU_LIMIT,
            "fewer wake-ups in components/agent/packets and one stream for report "
            "and lease",
        ),
        Row(
            "processor while targets of its service warm up (10 s after a start)",
            "line at 5.8 agents of a service",
            find_line("agent_warming").at(TARGETS_EACH),
            "core",
            "flows/state fills all 4,096 first choices at each step of the ramp",
            CPU_LIMIT,
            "work out only the buckets that the step of the ramp adds",
        ),
    ]
