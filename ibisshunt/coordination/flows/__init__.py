"""Assign flows to targets and forward each packet to the owner of its flow.

A proxy that embeds these parts provides the sockets and clocks, and uses:

* ``ServiceTable``: the targets to try for a flow of a service, in order.
* ``Router``: the agent to which a balancer sends a packet; it keeps no flow state.
* ``FlowOwner``: what an agent does with a packet: deliver, forward, reset or drop.

A balancer and two agents that share the flows of one service::

    >>> from ibisshunt.coordination import flows
    >>> from ibisshunt.model import address, configuration, flow, record, target
    >>> service = record.Service(
    ...     "marea", "booking", "192.0.2.1", 443, flow.Protocol.TCP,
    ...     callers=("198.51.100.0/24",), number=7,
    ... )
    >>> def make_target(number):
    ...     here = address.Address("127.0.0.1", 9000 + number)
    ...     announcement = target.Announcement(
    ...         "marea", "booking", f"t{number}", "session", f"host{number}",
    ...         "moin-a", packets=here, streams=here, tunnel=here,
    ...     )
    ...     return target.Target(announcement, number, target.TargetState.READY, 0.0)
    >>> targets = (make_target(1), make_target(2))
    >>> slice_ = configuration.ServiceSlice(service, targets, revision=1)
    >>> router = flows.Router()
    >>> router.update(configuration.Configuration(1, {7: slice_}), now=1000.0)
    1
    >>> agents = {}
    >>> for target_ in targets:
    ...     agent = flows.FlowOwner(max_flows=1000, now=0.0)
    ...     table = flows.ServiceTable(slice_, 1000.0)
    ...     agent.update(table, target_.incarnation, now=0.0)
    ...     agents[target_.announcement.packets.as_pair()] = agent

The caller's SYN arrives. The router returns the agent to send it to and the header to
prepend; that agent, or one that it forwards the packet to, delivers it::

    >>> from ibisshunt.protocol.datagram import read_datagram
    >>> from ibisshunt.protocol.packet import scan_packet
    >>> syn = bytes.fromhex(
    ...     "450000280000000040060000c6336401c0000201"
    ...     "9c4001bb00000064000000005002ffff00000000"
    ... )
    >>> address, header_bytes = router.route(syn, now=1000.0)
    >>> header, packet = read_datagram(header_bytes + syn).unwrap()
    >>> key, packet_flags = scan_packet(packet)
    >>> action = agents[address].handle(header, key, packet_flags, now=400.0)
    >>> while action.kind == flows.ActionKind.FORWARD:
    ...     address = action.socket_address
    ...     action = agents[address].handle(action.header, key, packet_flags, now=400.0)
    >>> action.kind.name, agents[address].count()
    ('DELIVER', 1)

After each call ``FlowOwner.take_notices`` returns datagrams for other agents. They
save hops; no flow breaks when one is lost.
"""

from .actions import Action, ActionKind, Notice
from .owner import FlowOwner
from .router import Router
from .table import ServiceTable

__all__ = ["Action", "ActionKind", "FlowOwner", "Notice", "Router", "ServiceTable"]
