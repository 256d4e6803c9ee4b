"""Define the settings that balancers, agents and control hosts of a fleet share."""

import msgspec

from .address import Address


class NodeSettings(msgspec.Struct, frozen=True):
    """The settings that a process reads at its start.

    ``address`` is the node's IPv4 address. ``internal_address`` receives the datagrams
    of other nodes, ``internal_rpc_address`` the calls of other control hosts.
    ``seeds`` are IPv4 addresses of control hosts. ``may_bootstrap`` allows a control
    host with an empty disk to bootstrap the cluster. ``fault_tolerance`` is the number
    of control hosts that may fail at the same time.

    ``heartbeat_seconds`` is the interval of a target's heartbeats, ``max_flow_seconds``
    the longest life of a flow. ``packets`` is the address at which a balancer receives
    packets of callers, ``outbound_address`` the one at which an agent receives packets
    of its target. ``ready`` serves the readiness probe, ``control`` an agent's API for
    its target or a control host's API for operators. ``target`` is the address of an
    agent's local target.

    ``failure_domains`` are the names of all failure domains, empty if unknown. In any
    second, a target that is warming up may get ``warmup_overage`` times the rate that
    its service allows, plus ``warmup_slack`` new flows.
    """

    name: str
    address: str
    failure_domain: str
    internal_address: Address
    internal_rpc_address: Address
    seeds: tuple[str, ...]
    may_bootstrap: bool
    fault_tolerance: int
    heartbeat_seconds: float
    max_flow_seconds: float
    packets: Address | None = None
    outbound_address: Address | None = None
    ready: Address | None = None
    control: Address | None = None
    target: Address | None = None
    service: str = ""
    data_folder: str = ""
    failure_domains: frozenset[str] = frozenset()
    warmup_overage: float = 1.0
    warmup_slack: float = 0.0
