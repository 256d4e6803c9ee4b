"""Work out what the platform's programs cost at the size to design for."""

from ibisshunt.components.directory.node import HELLO_SECONDS
from ibisshunt.components.forwarding.agent import STATUS_SECONDS
from ibisshunt.coordination.forwarding.failure_detection.suspect_pinger import (
    PINGS_PER_SECOND,
)
from ibisshunt.coordination.forwarding.recovery.archive import (
    GENERATION_SECONDS,
    GENERATIONS,
)

from .capacity_rows import (
    AGENTS,
    BALANCERS,
    BYTES_LIMIT,
    CONTROL_HOSTS,
    CORE_LIMIT,
    CPU_LIMIT,
    MEMORY_LIMIT,
    NEW_FLOWS,
    NODES,
    TARGETS_EACH,
    Row,
    find_line,
    load,
)

# What one datagram over IPv4 holds. Unit: bytes. Source: RFC 768 and RFC 791.
DATAGRAM_BYTES = 65_507

# A flow is noted on one control host more than may be lost: two of five.
COPIES = CONTROL_HOSTS // 2 + 1


def list_forwarding_rows() -> list[Row]:
    """Return the lines of statuses, introductions, lists and questions."""
    figures = load("forwarding")
    statuses = AGENTS / STATUS_SECONDS
    # Taking in a status looks up one target: the largest figure, and no line through
    # what is noise.
    status_us = max(one["status_us"] for one in figures["balancer"])
    hellos = NODES / HELLO_SECONDS
    hello_us = find_line("hello_taken").at(NODES)
    asked = find_line("question").at(AGENTS)
    noted = max(one["noted_bytes"] for one in figures["archive"])
    noted_us = max(one["take_us"] for one in figures["archive"])
    notes = NEW_FLOWS * COPIES / CONTROL_HOSTS
    kept = notes * GENERATIONS * GENERATION_SECONDS
    groups = "balancers that hear only the services they place"
    return [
        Row(
            "statuses to a balancer",
            f"{AGENTS:,} / {STATUS_SECONDS} s x {figures['status_bytes']} B",
            statuses * figures["status_bytes"],
            "B/s",
            "`components/forwarding/agent.py`",
            BYTES_LIMIT,
            f"{groups}, or one digest a failure domain",
        ),
        Row(
            "processor for statuses at a balancer",
            f"{statuses:,.0f} a second x {status_us:.1f} us",
            statuses * status_us / 1e6,
            "core",
            "`coordination/forwarding/placement/target_table.py`",
            CPU_LIMIT,
            groups,
        ),
        Row(
            "statuses of an agent",
            f"{BALANCERS} / {STATUS_SECONDS} s x {figures['status_bytes']} B",
            BALANCERS / STATUS_SECONDS * figures["status_bytes"],
            "B/s",
            "`components/forwarding/agent.py`",
            BYTES_LIMIT,
            "one status to a relay of each failure domain",
        ),
        Row(
            "choice of a target",
            f"{TARGETS_EACH:.1f} targets a service",
            find_line("choice").at(TARGETS_EACH),
            "us",
            "`coordination/forwarding/placement/target.py`",
        ),
        Row(
            "introductions of a node",
            f"{CONTROL_HOSTS} / {HELLO_SECONDS} s x {figures['hello_bytes']} B",
            CONTROL_HOSTS / HELLO_SECONDS * figures["hello_bytes"],
            "B/s",
            "`components/directory/node.py`",
            BYTES_LIMIT,
        ),
        Row(
            "processor for introductions at a control host",
            f"{hellos:,.0f} a second x {hello_us:.1f} us",
            hellos * hello_us / 1e6,
            "core",
            "`coordination/directory/registry.py`",
            CORE_LIMIT,
            "introductions each 2 s to two hosts",
        ),
        Row(
            "list of agents to a balancer, one datagram",
            f"{AGENTS:,} agents",
            find_line("list").at(AGENTS),
            "B",
            "`coordination/directory/registry.py`",
            DATAGRAM_BYTES,
            "lists in pieces, as configurations are",
        ),
        Row(
            "file of nodes on a control host",
            f"{NODES:,} nodes",
            find_line("node_file").at(NODES),
            "B",
            "`components/directory/saved_state.py`",
        ),
        Row(
            "question about one lost flow, one datagram",
            f"{AGENTS:,} agents asked",
            asked,
            "B",
            "`coordination/forwarding/search/search.py`",
            DATAGRAM_BYTES,
            "asking the agents of the route's services first",
        ),
        Row(
            "answer to it, when nobody holds the flow",
            "the most frequent answer names nobody",
            max(one["answer_bytes"] for one in figures["balancer"]),
            "B",
            "`coordination/forwarding/search/aggregation.py`",
            DATAGRAM_BYTES,
        ),
        Row(
            "processor for one lost flow at a balancer",
            f"{AGENTS:,} agents asked",
            find_line("search").at(AGENTS),
            "us",
            "`coordination/forwarding/search/manager.py`",
        ),
        Row(
            "flows that a balancer notes for its next run",
            f"{NEW_FLOWS:,} / {BALANCERS} x {COPIES} copies x {noted:.0f} B",
            NEW_FLOWS / BALANCERS * COPIES * noted,
            "B/s",
            "`coordination/forwarding/recovery/checkpoint.py`",
            BYTES_LIMIT,
        ),
        Row(
            "processor for noted flows at a control host",
            f"{notes:,.0f} a second x {noted_us:.1f} us",
            notes * noted_us / 1e6,
            "core",
            "`coordination/forwarding/recovery/archive.py`",
            CORE_LIMIT,
        ),
        Row(
            "memory of noted flows at a control host, if none were left out",
            f"{kept:,.0f} flows of {GENERATIONS * GENERATION_SECONDS:.0f} s",
            find_line("archive").at(kept),
            "B",
            "`coordination/forwarding/recovery/archive.py`",
            MEMORY_LIMIT,
            "entries read from the disk when their balancer asks; 35,000 in 30 s are"
            " taken today, the rest is left out",
        ),
        Row(
            "pings of a balancer, while hosts fall silent",
            f"{PINGS_PER_SECOND} a second x {figures['ping_bytes']} B",
            PINGS_PER_SECOND * figures["ping_bytes"],
            "B/s",
            "`coordination/forwarding/failure_detection/suspect_pinger.py`",
            BYTES_LIMIT,
        ),
    ]
