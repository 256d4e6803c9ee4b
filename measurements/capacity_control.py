"""Work out what control hosts and operators cost at the size to design for."""

from ibisshunt.const import HEARTBEAT_SECONDS

from .capacity_rows import (
    AGENT_RESTARTS,
    AGENTS,
    CHANGES_A_DAY,
    CHANGES_A_SECOND,
    CONTROL_HOSTS,
    CORE_LIMIT,
    DAY_SECONDS,
    ENTRIES_A_RESTART,
    IN_FORCE_LIMIT,
    MEMORY_LIMIT,
    MOST_HOSTS,
    NODES,
    STREAMS_LIMIT,
    Row,
    find_line,
    load,
)

SWEEPS_A_SECOND = 2
RELAYS = (
    "relays in each failure domain that watch, collect reports and renew leases for it"
)


def list_control_rows() -> list[Row]:
    """Return what one control host holds and does; nodes are shared evenly."""
    watched = NODES / CONTROL_HOSTS
    balancer = find_line("control_balancers")
    sweep = find_line("lease_sweep").at(AGENTS) / 1000
    track = find_line("lease_track").at(AGENTS) / 1000
    renewals = load("control")["renewals"]
    both_ends = renewals["cpu_ms_per_renewal_both_ends"] / 1000
    handler = renewals["cpu_ms_per_renewal_handler_alone"] / 1000
    # Not the difference between the slopes of an agent and of a balancer: both are
    # read in ticks of the kernel, and two runs gave 4.1 and 0.6 cores.
    renewal = both_ends / 2
    leases = (
        AGENTS / HEARTBEAT_SECONDS * renewal
        + sweep * SWEEPS_A_SECOND
        + track * CHANGES_A_SECOND
    )
    follower = balancer.base + watched * balancer.slope
    per_stream = find_line("control_streams_memory")
    memory = per_stream.at(watched) + find_line("store").at(AGENTS)
    out = load("processes_balancers")["quiet"][-1]["node_received_bytes_per_second"]
    streams = load("control")["streams"]
    fan_out = streams["control_cpu_ms_per_change_and_stream"] / 1000
    nine = NODES / MOST_HOSTS
    renew_all = load("slopes")["control"][-1]["renew_all_ms"] / 1000
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
            f"{AGENTS / HEARTBEAT_SECONDS:,.0f}/s x {renewal * 1000:.2f} ms (half of "
            f"both ends of a call, `control.json`) + {SWEEPS_A_SECOND} sweeps/s x "
            f"{sweep * 1000:.0f} ms + {CHANGES_A_SECOND:.3f} changes/s x "
            f"{track * 1000:.0f} ms",
            leases,
            "core",
            "membership/leases, components/control/leases",
            CORE_LIMIT,
            f"the decision alone takes {handler * 1e6:.0f} microseconds, the call the "
            "rest: relays that renew many leases in one message",
        ),
        Row(
            "leader: decisions on all leases, were they renewed in batches by relays",
            f"{renew_all * 1000:.0f} ms for {AGENTS:,} every {HEARTBEAT_SECONDS:g} s + "
            f"{SWEEPS_A_SECOND} sweeps/s",
            renew_all / HEARTBEAT_SECONDS + sweep * SWEEPS_A_SECOND,
            "core",
            "membership/leases (no relay is built)",
            CORE_LIMIT,
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
