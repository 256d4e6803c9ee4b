"""Describe the settings that balancers, agents and control hosts of a fleet share."""

import msgspec

from .address import Address


class NodeSettings(msgspec.Struct, frozen=True):
    """Hold what a process is told at its start.

    ``inner`` is where other nodes send datagrams, ``inner_calls`` where control hosts
    call each other. ``seeds`` are IPv4 addresses of control hosts. ``is_first_start``
    tells whether a control host with an empty disk may found the cluster.
    ``losses`` is how many control hosts may be lost at once. ``heartbeat`` is how
    often a target speaks, ``max_flow`` how long a flow lives, both in seconds.
    ``domains`` are the names of all failure domains, none when they are not told.
    A cold target may get ``cold_overage`` times the rate that its service allows, and
    ``cold_slack`` new flows more, in any second.
    """

    name: str
    address: str
    failure_domain: str
    inner: Address
    inner_calls: Address
    seeds: tuple[str, ...]
    is_first_start: bool
    losses: int
    heartbeat: float
    max_flow: float
    packets: Address | None = None
    outward: Address | None = None
    ready: Address | None = None
    control: Address | None = None
    target: Address | None = None
    service: str = ""
    data_folder: str = ""
    domains: frozenset[str] = frozenset()
    cold_overage: float = 1.0
    cold_slack: float = 0.0
