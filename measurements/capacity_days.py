"""Work out what ordinary and bad days cost, and what data traffic costs."""

from ibisshunt.const import LEASE_SECONDS

from .capacity_rows import (
    AGENT_RESTARTS,
    AGENTS,
    BALANCERS,
    BYTES_LIMIT,
    CHANGES_A_DAY,
    CONTROL_HOSTS,
    CORE_LIMIT,
    DAY_SECONDS,
    ENTRIES_A_RESTART,
    FAILURE_DOMAINS,
    FAILURES_A_DAY,
    IN_FORCE_LIMIT,
    NEW_FLOWS,
    NODES,
    OPEN_FLOWS,
    REGIONS,
    RESTARTS_A_DAY,
    SERVICES,
    TARGETS_EACH,
    Row,
    find_line,
    load,
)

# Assumptions of the page, which the letter does not give.
RACK_HOSTS = 40
PARTED_MINUTES = 10
PACKETS_A_FLOW = 10
LINK_BYTES_A_SECOND = 125e6
BUSY_NEW_FLOWS = 5_000
# Suspect, gone, removed.
ENTRIES_A_LOSS = 3

BALANCER_RESTARTS = RESTARTS_A_DAY * BALANCERS / NODES


def count_slices(changes: float) -> float:
    """Return how many of the services at least one of the changes touched."""
    return SERVICES * (1 - (1 - 1 / SERVICES) ** changes)


def list_day_rows() -> list[Row]:
    """Return the days of the letter."""
    delta = find_line("delta").at(TARGETS_EACH)
    snapshot = find_line("snapshot").at(SERVICES)
    writes = load("control")["restart_from_log"]
    rate = writes["changes"] / writes["seconds_to_write"]
    fan_out = load("control")["streams"]["control_cpu_ms_per_change_and_stream"] / 1000
    share = BALANCERS / CONTROL_HOSTS
    burst = AGENT_RESTARTS * ENTRIES_A_RESTART
    domain = AGENTS / FAILURE_DOMAINS
    missed = (CHANGES_A_DAY + burst) * PARTED_MINUTES / (24 * 60)
    back = BALANCERS / REGIONS
    catch_up = count_slices(missed) * delta
    loss = FAILURES_A_DAY * AGENTS / NODES * ENTRIES_A_LOSS
    return [
        Row(
            "13 hosts lost: bytes to each balancer in the day",
            f"{loss:.0f} entries x {delta:,.0f} B",
            loss * delta / DAY_SECONDS,
            "B/s",
            "membership/leases: suspect after 6 s, gone 30 s later, out at 10 min",
            BYTES_LIMIT,
        ),
        Row(
            "2,600 restarts spread over the day: bytes to each balancer",
            f"{burst:,.0f} entries x {delta:,.0f} B / 86,400 s",
            burst * delta / DAY_SECONDS,
            "B/s",
            "distribution/sender",
            BYTES_LIMIT,
        ),
        Row(
            "2,600 restarts spread: snapshots that control sends",
            f"{BALANCER_RESTARTS:.0f} balancers x {snapshot / 1e6:.2f} MB / 86,400 s",
            BALANCER_RESTARTS * snapshot / DAY_SECONDS,
            "B/s",
            "components/control/watches",
        ),
        Row(
            "2,600 restarts in a burst: time to write their entries",
            f"{burst:,.0f} entries / {rate:,.0f} a second (one host, measured)",
            burst / rate,
            "s",
            "components/consensus: many entries a sync",
            IN_FORCE_LIMIT,
            "announcements put into one entry a sweep, as ended leases are now",
        ),
        Row(
            "2,600 restarts in a burst: snapshots over one host's 1 Gbit/s",
            f"{BALANCER_RESTARTS:.0f} x {snapshot / 1e6:.2f} MB / {CONTROL_HOSTS} "
            "hosts / 125 MB/s",
            BALANCER_RESTARTS * snapshot / CONTROL_HOSTS / LINK_BYTES_A_SECOND,
            "s",
            "components/control/watches: one encoding a revision",
            IN_FORCE_LIMIT,
        ),
        Row(
            "2,600 restarts in a burst: processor of a host to tell its balancers",
            f"{burst:,.0f} entries x {share:.0f} streams x {fan_out * 1000:.3f} ms, "
            "if no two are joined",
            burst * share * fan_out,
            "s",
            "components/control/watches: a stream that lags takes several at once",
            IN_FORCE_LIMIT,
            "joining changes for some 100 ms before streams are woken",
        ),
        Row(
            f"a rack of {RACK_HOSTS} hosts (assumed): bytes to each balancer",
            f"{RACK_HOSTS} services change x {delta:,.0f} B, three times in 10 min",
            RACK_HOSTS * delta * ENTRIES_A_LOSS / 600,
            "B/s",
            "membership/leases: one entry a sweep",
            BYTES_LIMIT,
        ),
        Row(
            "a failure domain lost: bytes to each balancer within the 8 s",
            f"{count_slices(domain):.0f} of 1,100 slices of {delta:,.0f} B / 8 s",
            count_slices(domain) * delta / IN_FORCE_LIMIT,
            "B/s",
            "membership/leases, distribution/sender",
            BYTES_LIMIT,
            "deltas by target (a state is some 20 B) in place of whole slices",
        ),
        Row(
            f"regions apart for {PARTED_MINUTES} min (assumed): what a node has missed",
            f"{missed:.0f} changes in {count_slices(missed):.0f} slices",
            catch_up,
            "B",
            "distribution/sender: a delta from the node's own revision",
        ),
        Row(
            "regions come back: deltas over one host's 1 Gbit/s",
            f"{back:.0f} balancers x {catch_up / 1e3:.0f} kB / {CONTROL_HOSTS} hosts",
            back * catch_up / CONTROL_HOSTS / LINK_BYTES_A_SECOND,
            "s",
            "distribution/sender; helpers/backoff spreads the return",
            IN_FORCE_LIMIT,
        ),
        Row(
            "regions come back: if all need a snapshot instead",
            f"{back:.0f} x {snapshot / 1e6:.2f} MB / {CONTROL_HOSTS} hosts / 125 MB/s",
            back * snapshot / CONTROL_HOSTS / LINK_BYTES_A_SECOND,
            "s",
            "components/control/watches",
            IN_FORCE_LIMIT,
        ),
        Row(
            "regions come back: bytes of that storm from all hosts",
            f"{back:.0f} x {snapshot / 1e6:.2f} MB",
            back * snapshot,
            "B",
            "components/control/watches",
        ),
    ]


def list_data_rows() -> list[Row]:
    """Return what data packets cost beside control; the letter sets no limit."""
    rates = load("flows_rate")["median_packets_per_second"]
    rounds = load("flows_rate")["rounds"]
    delays = [one["control_delay_ms_max"] for one in rounds["balancer"]]
    flow = find_line("agent_flows").slope
    mean_new, mean_open = NEW_FLOWS / BALANCERS, OPEN_FLOWS / BALANCERS
    per_agent = OPEN_FLOWS / AGENTS
    packets = mean_new * PACKETS_A_FLOW
    busy = BUSY_NEW_FLOWS * PACKETS_A_FLOW
    at_agent = NEW_FLOWS / AGENTS * PACKETS_A_FLOW
    return [
        Row(
            f"balancer: packets of new flows, {PACKETS_A_FLOW} a flow (assumed)",
            f"{mean_new:.0f} new flows/s x {PACKETS_A_FLOW} / "
            f"{rates['balancer']:,} packets/s measured",
            packets / rates["balancer"],
            "core",
            "components/balancer/packets",
            CORE_LIMIT,
        ),
        Row(
            f"balancer: the same at {BUSY_NEW_FLOWS:,} new flows a second",
            f"{busy:,} / {rates['balancer']:,}",
            busy / rates["balancer"],
            "core",
            "components/balancer/packets",
            CORE_LIMIT,
            "several balancer processes a host",
        ),
        Row(
            "balancer: packets a second that each of its open flows may send",
            f"{rates['balancer']:,} / {mean_open:,.0f} open flows",
            rates["balancer"] / mean_open,
            "packets/s",
            "components/balancer/packets; no state of a flow",
        ),
        Row(
            "balancer: delay of a control message under a flood, worst",
            "measured",
            max(delays) / 1000,
            "s",
            "components/balancer/packets gives way to other tasks",
            LEASE_SECONDS,
        ),
        Row(
            "agent: packets of new flows",
            f"{NEW_FLOWS / AGENTS:.1f} new flows/s x {PACKETS_A_FLOW} / "
            f"{rates['agent']:,}",
            at_agent / rates["agent"],
            "core",
            "components/agent/packets",
            CORE_LIMIT,
        ),
        Row(
            "agent: packets a second that each of its open flows may send",
            f"{rates['agent']:,} / {per_agent:,.0f} open flows",
            rates["agent"] / per_agent,
            "packets/s",
            "components/agent/packets",
        ),
        Row(
            "agent: memory of its open flows",
            f"{per_agent:,.0f} x {flow:.0f} B",
            per_agent * flow,
            "B",
            "flows/store",
        ),
        Row(
            "all agents: memory of 16 M open flows",
            f"16 M x {flow:.0f} B",
            OPEN_FLOWS * flow,
            "B",
            "flows/store, spread over the agents",
        ),
    ]
