"""Work out what the platform's programs cost at the size to design for."""

from ibisshunt.components.directory.node import HELLO_SECONDS
from ibisshunt.components.forwarding.agent import STATUS_SECONDS

from .capacity_rows import (
    AGENTS,
    BALANCERS,
    BYTES_LIMIT,
    CONTROL_HOSTS,
    CORE_LIMIT,
    CPU_LIMIT,
    NODES,
    TARGETS_EACH,
    Row,
    find_line,
    load,
)

# What one datagram over IPv4 holds. Unit: bytes. Source: RFC 768 and RFC 791.
DATAGRAM_BYTES = 65_507


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
            "`coordination/forwarding/targets.py`",
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
            "`coordination/forwarding/placement.py`",
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
            "`components/directory/known.py`",
        ),
        Row(
            "question about one lost flow, one datagram",
            f"{AGENTS:,} agents asked",
            asked,
            "B",
            "`coordination/forwarding/search.py`",
            DATAGRAM_BYTES,
            "asking the agents of the route's services first",
        ),
        Row(
            "answer to it, when nobody holds the flow",
            "the most frequent answer names nobody",
            max(one["answer_bytes"] for one in figures["balancer"]),
            "B",
            "`coordination/forwarding/gathering.py`",
            DATAGRAM_BYTES,
        ),
        Row(
            "processor for one lost flow at a balancer",
            f"{AGENTS:,} agents asked",
            find_line("search").at(AGENTS),
            "us",
            "`coordination/forwarding/searching.py`",
        ),
    ]
