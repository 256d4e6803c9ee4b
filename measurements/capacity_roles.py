"""Work out what each role costs at the size to design for."""

from ibisshunt.const import HEARTBEAT_SECONDS
from ibisshunt.coordination.flows.loads import PEERS_PER_ROUND
from ibisshunt.protocol.datagram import HEADER_BYTES

from .capacity_rows import (
    AGENTS,
    BYTES_LIMIT,
    CHANGES_A_DAY,
    CONTROL_HOSTS,
    CORE_LIMIT,
    CPU_LIMIT,
    DAY_SECONDS,
    ENTRIES_A_RESTART,
    IN_FORCE_LIMIT,
    MEMORY_LIMIT,
    MOST_HOSTS,
    NODES,
    OPEN_FLOWS,
    RESTARTS_A_DAY,
    SERVICES,
    STREAMS_LIMIT,
    TARGETS_EACH,
    Row,
    find_line,
    load,
)

AGENT_RESTARTS = RESTARTS_A_DAY * AGENTS / NODES
CHANGES_A_SECOND = (CHANGES_A_DAY + AGENT_RESTARTS * ENTRIES_A_RESTART) / DAY_SECONDS
FLOWS_AN_AGENT = OPEN_FLOWS / AGENTS
SWEEPS_A_SECOND = 2
LOAD_BYTES = HEADER_BYTES + 8
WATCHED = "components/node/watcher"
RELAYS = (
    "relays in each failure domain that watch, collect reports and renew leases for it"
)


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
            "measured",
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
            "flows/loads: 16 peers a round at most, never beyond the service",
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


def list_control_rows() -> list[Row]:
    """Return what one control host holds and does; nodes are shared evenly."""
    watched = NODES / CONTROL_HOSTS
    balancer = find_line("control_balancers")
    agent = find_line("control_agents")
    renewal = max(0.0, agent.slope - balancer.slope)
    sweep = find_line("lease_sweep").at(AGENTS) / 1000
    track = find_line("lease_track").at(AGENTS) / 1000
    leases = AGENTS * renewal + sweep * SWEEPS_A_SECOND + track * CHANGES_A_SECOND
    follower = balancer.base + watched * balancer.slope
    per_stream = find_line("control_streams_memory")
    memory = per_stream.at(watched) + find_line("store").at(AGENTS)
    out = load("processes_balancers")["quiet"][-1]["node_received_bytes_per_second"]
    streams = load("control")["streams"]
    fan_out = streams["control_cpu_ms_per_change_and_stream"] / 1000
    nine = NODES / MOST_HOSTS
    return [
        Row(
            f"follower: processor, {CONTROL_HOSTS} hosts",
            f"{balancer.base:.3f} + {watched:,.0f} watches and reports x "
            f"{balancer.slope:.2e}",
            follower,
            "core",
            "components/control/watches, reports",
            CORE_LIMIT,
            RELAYS,
        ),
        Row(
            f"follower: processor, all {MOST_HOSTS} hosts",
            f"{balancer.base:.3f} + {nine:,.0f} x {balancer.slope:.2e}",
            balancer.base + nine * balancer.slope,
            "core",
            "components/control/watches, reports",
            CORE_LIMIT,
            RELAYS,
        ),
        Row(
            "all watches and reports together: processor",
            f"{NODES:,} x {balancer.slope:.2e}, against one core on each of "
            f"{MOST_HOSTS} hosts",
            NODES * balancer.slope,
            "core",
            "components/control/watches, reports",
            MOST_HOSTS * CORE_LIMIT,
            "several relay processes a host, and one message for report and lease",
        ),
        Row(
            "watches alone, by another run: processor of one of 5 hosts",
            f"{watched:,.0f} x {streams['idle_control_cpu_share_per_stream']:.2e} "
            f"({streams['subscribers']} subscribers, `control.json`)",
            watched * streams["idle_control_cpu_share_per_stream"],
            "core",
            "components/control/watches",
            CORE_LIMIT,
            RELAYS,
        ),
        Row(
            "leader: leases alone",
            f"{AGENTS:,} x {renewal:.2e} (agent less balancer) + {SWEEPS_A_SECOND} "
            f"sweeps/s x {sweep * 1000:.0f} ms + {CHANGES_A_SECOND:.3f} changes/s x "
            f"{track * 1000:.0f} ms",
            leases,
            "core",
            "membership/leases, components/control/leases",
            CORE_LIMIT,
            "leases kept by a relay a failure domain and renewed in one message",
        ),
        Row(
            f"leader: processor, {CONTROL_HOSTS} hosts",
            "follower + leases",
            follower + leases,
            "core",
            "one leader takes all leases",
            CORE_LIMIT,
            f"{RELAYS}; the leader watched by relays only",
        ),
        Row(
            "leader: lease renewals",
            f"{AGENTS:,} / {HEARTBEAT_SECONDS:g} s",
            AGENTS / HEARTBEAT_SECONDS,
            "messages/s",
            "components/control/leases; renewals do not go through the log",
        ),
        Row(
            f"each host: memory, {CONTROL_HOSTS} hosts",
            f"{per_stream.base / 1e6:.0f} MB + {watched:,.0f} x "
            f"{per_stream.slope / 1e3:.1f} kB + records, targets",
            memory,
            "B",
            "records/store; one greenlet a stream",
            MEMORY_LIMIT,
            "set aside hosts may be larger",
        ),
        Row(
            f"each host: streams, {CONTROL_HOSTS} hosts",
            f"{NODES:,} / {CONTROL_HOSTS}",
            watched,
            "streams",
            "MAX_STREAMS of components/control",
            STREAMS_LIMIT,
        ),
        Row(
            "each host: streams while two of five are lost",
            f"{NODES:,} / 3",
            NODES / 3,
            "streams",
            "MAX_STREAMS of components/control",
            STREAMS_LIMIT,
            "seven control hosts, or relays",
        ),
        Row(
            "each host: bytes out while nothing changes",
            f"{watched:,.0f} x {out:.0f} B/s",
            watched * out,
            "B/s",
            "components/control/watches: a heartbeat every 2 s",
        ),
        Row(
            "each host: a change to all its nodes",
            f"{watched:,.0f} x {fan_out * 1000:.3f} ms (100 subscribers measured)",
            watched * fan_out,
            "s",
            "components/control/watches: encoded once, sent by each stream",
            IN_FORCE_LIMIT,
        ),
        Row(
            "log: entries on a mean day",
            f"{CHANGES_A_DAY} + {AGENT_RESTARTS:,.0f} x {ENTRIES_A_RESTART}",
            CHANGES_A_SECOND * DAY_SECONDS,
            "entries",
            "coordination/consensus, components/storage",
        ),
        Row(
            "log: a snapshot on disk",
            "line at 6,400 targets",
            find_line("log_snapshot").at(AGENTS),
            "B",
            "records/snapshot, every 1,000 entries",
        ),
        Row(
            "log: time that a snapshot holds the process up",
            "line at 6,400 targets",
            find_line("log_snapshot_time").at(AGENTS) / 1000,
            "s",
            "records/snapshot",
            HEARTBEAT_SECONDS,
        ),
        Row(
            "hosts set aside",
            "control hosts alone; no relay is built",
            CONTROL_HOSTS,
            "hosts",
            "components/consensus",
            MOST_HOSTS,
        ),
    ]


def list_operator_rows() -> list[Row]:
    """Return what an operator's commands cost."""
    return [
        Row(
            "`ibisshunt status`: bytes",
            f"line at {NODES:,} nodes",
            find_line("status").at(NODES),
            "B",
            "components/control/reports",
            64 * 1024 * 1024,
        ),
        Row(
            "`ibisshunt apply`: changes a day",
            f"{CHANGES_A_DAY} / day",
            CHANGES_A_DAY / DAY_SECONDS,
            "changes/s",
            "components/control/records",
        ),
        Row(
            "`ibisshunt apply`: in force on 100 nodes after it was sent, worst of 50",
            "measured (`control.json` streams)",
            load("control")["streams"]["in_force_everywhere_ms_worst"] / 1000,
            "s",
            "components/control/watches, components/node/watcher",
            IN_FORCE_LIMIT,
        ),
    ]
