"""Keep established flows on their target in a proxy that embeds the library.

Run ``python -m examples.flow_proxy``: flows open through two routers that keep no
per-flow state, a target is drained, and every flow continues at the target that holds
it while new ones are placed on other targets. The example needs no gevent or gRPC.
"""

import struct
from dataclasses import replace

from ibisshunt.coordination import FlowOwner, Router, ServiceTable
from ibisshunt.coordination.flows.actions import ActionKind
from ibisshunt.model.address import Address
from ibisshunt.model.configuration import Configuration, ServiceSlice
from ibisshunt.model.flow import Protocol
from ibisshunt.model.record import Service
from ibisshunt.model.target import Announcement, Target, TargetState
from ibisshunt.protocol.datagram import read_datagram
from ibisshunt.protocol.packet import scan_packet

SYN, ACK = 0x02, 0x10
SERVICE = Service(
    "marea",
    "booking",
    "127.1.0.1",
    443,
    Protocol.TCP,
    callers=("127.3.0.0/16",),
    number=1,
)
Pair = tuple[str, int]


def make_target(number: int) -> Target:
    """Return a target whose agent receives packets at port 20000 + ``number``."""
    address = Address("127.0.0.1", 20_000 + number)
    announcement = Announcement(
        SERVICE.business,
        SERVICE.name,
        f"booking-{number}",
        session=f"session-{number}",
        host=f"host-{number}",
        failure_domain=f"domain-{number}",
        packets=address,
        streams=address,
        tunnel=address,
    )
    return Target(announcement, number, TargetState.READY, warm_deadline=0.0)


def make_packet(port: int, flags: int) -> bytes:
    """Return an IPv4 packet with an empty TCP segment."""
    source, destination = b"\x7f\x03\x00\x01", b"\x7f\x01\x00\x01"
    ip = struct.pack("!BBHHHBBH4s4s", 0x45, 0, 40, 0, 0, 64, 6, 0, source, destination)
    return ip + struct.pack("!HHIIBBHHH", port, 443, 1, 1, 0x50, flags, 1024, 0, 0)


class Proxy:
    """Own two stateless routers and one flow owner per target."""

    def __init__(self, targets: list[Target]) -> None:
        self.now = 1000.0
        self.routers = (Router(), Router())
        self.targets = {
            target.announcement.packets.as_pair(): target for target in targets
        }
        self.owners = {pair: FlowOwner(1000, self.now) for pair in self.targets}
        self.publish(targets, revision=1)
        # A flow owner that starts waits until its peers have advertised older flows.
        self.now += 2 * SERVICE.idle_timeout_ms / 1000

    def publish(self, targets: list[Target], revision: int) -> None:
        """Give all nodes the targets; on real nodes this need not happen at once."""
        slice_ = ServiceSlice(SERVICE, tuple(targets), revision)
        for router in self.routers:
            router.update(Configuration(revision, {slice_.number: slice_}), self.now)
        table = ServiceTable(slice_, self.now)
        for pair, owner in self.owners.items():
            owner.update(table, self.targets[pair].incarnation, self.now)
            for _ in owner.advertise_flows(to_backups=False):
                pass
            self.deliver_notices(owner)

    def send(self, packet: bytes, router: int) -> str:
        """Route a packet; return the name of the target reached, or a reason."""
        pair, head = self.routers[router].route(packet, self.now)
        header, _ = read_datagram(head + packet).unwrap()
        key, packet_flags = scan_packet(packet)
        while True:
            action = self.owners[pair].handle(header, key, packet_flags, self.now)
            self.deliver_notices(self.owners[pair])
            if action.kind is not ActionKind.FORWARD:
                delivered = action.kind is ActionKind.DELIVER
                return self.targets[pair].name if delivered else action.reason
            pair, header = action.socket_address, action.header

    def deliver_notices(self, owner: FlowOwner) -> None:
        """Deliver the notices of a flow owner to its peers; a loss costs extra hops."""
        for notice in owner.take_notices():
            header, payload = read_datagram(notice.data).unwrap()
            self.owners[notice.socket_address].receive(header, payload, self.now)


def main() -> None:
    """Open flows, drain a target and continue the flows through the other router."""
    targets = [make_target(number) for number in range(1, 5)]
    proxy = Proxy(targets)
    flows = {port: proxy.send(make_packet(port, SYN), 0) for port in range(3000, 3200)}
    drained = replace(targets[0], state=TargetState.LEAVING)
    proxy.publish([drained, *targets[1:]], revision=2)
    targets_after = {port: proxy.send(make_packet(port, ACK), 1) for port in flows}
    new_flows = [proxy.send(make_packet(port, SYN), 1) for port in range(4000, 4200)]
    broken = sum(targets_after[port] != target for port, target in flows.items())
    print(f"flows={len(flows)} on_drained={list(flows.values()).count(drained.name)}")
    print(f"broken={broken} new_on_drained={new_flows.count(drained.name)}")


if __name__ == "__main__":
    main()
