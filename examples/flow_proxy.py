"""Keep established flows on their target in the embedder's own proxy.

Run ``python -m examples.flow_proxy``: flows open through two entry points that keep no
state of any flow, a target is drained, and every flow goes on at the target that has
it while new ones go elsewhere. Nothing here needs gevent or gRPC.
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
    """Return a target; its agent takes packets at the given port."""
    address = Address("127.0.0.1", 20_000 + number)
    announced = Announcement(
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
    return Target(announced, number, TargetState.READY, warm_deadline=0.0)


def make_packet(port: int, flags: int) -> bytes:
    """Return an IPv4 packet with an empty TCP segment."""
    source, service = b"\x7f\x03\x00\x01", b"\x7f\x01\x00\x01"
    ip = struct.pack("!BBHHHBBH4s4s", 0x45, 0, 40, 0, 0, 64, 6, 0, source, service)
    return ip + struct.pack("!HHIIBBHHH", port, 443, 1, 1, 0x50, flags, 1024, 0, 0)


class Proxy:
    """Own two stateless entry points and one flow owner beside each target."""

    def __init__(self, targets: list[Target]) -> None:
        self.now = 1000.0
        self.entries = (Router(), Router())
        self.names = {
            target.announcement.packets.as_pair(): target for target in targets
        }
        self.owners = {pair: FlowOwner(1000, self.now) for pair in self.names}
        self.put_in_force(targets, revision=1)
        # A flow owner that starts leaves its peers a moment to name older flows.
        self.now += 2 * SERVICE.idle_timeout_ms / 1000

    def put_in_force(self, targets: list[Target], revision: int) -> None:
        """Give all nodes the targets; they need not take them at the same moment."""
        part = ServiceSlice(SERVICE, tuple(targets), revision)
        for entry in self.entries:
            entry.update(Configuration(revision, {part.number: part}), self.now)
        table = ServiceTable(part, self.now)
        for pair, owner in self.owners.items():
            owner.update(table, self.names[pair].incarnation, self.now)
            for _ in owner.hand_over(everything=False):
                pass
            self.carry_notices(owner)

    def send(self, packet: bytes, entry: int) -> str:
        """Follow a packet to the target that gets it and return the target's name."""
        pair, head = self.entries[entry].route(packet, self.now)
        header, _ = read_datagram(head + packet).unwrap()
        key, bits = scan_packet(packet)
        while True:
            action = self.owners[pair].handle(header, key, bits, self.now)
            self.carry_notices(self.owners[pair])
            if action.kind is not ActionKind.FORWARD:
                delivered = action.kind is ActionKind.DELIVER
                return self.names[pair].name if delivered else action.reason
            pair, header = action.pair, action.header

    def carry_notices(self, owner: FlowOwner) -> None:
        """Deliver what flow owners tell each other; a loss costs hops, not flows."""
        for notice in owner.take_notices():
            header, payload = read_datagram(notice.data).unwrap()
            self.owners[notice.pair].receive(header, payload, self.now)


def main() -> None:
    """Open flows, drain a target and send on."""
    targets = [make_target(number) for number in range(1, 5)]
    proxy = Proxy(targets)
    flows = {port: proxy.send(make_packet(port, SYN), 0) for port in range(3000, 3200)}
    drained = replace(targets[0], state=TargetState.LEAVING)
    proxy.put_in_force([drained, *targets[1:]], revision=2)
    after = {port: proxy.send(make_packet(port, ACK), 1) for port in flows}
    fresh = [proxy.send(make_packet(port, SYN), 1) for port in range(4000, 4200)]
    broken = sum(after[port] != taker for port, taker in flows.items())
    print(f"flows={len(flows)} on_drained={list(flows.values()).count(drained.name)}")
    print(f"broken={broken} new_on_drained={fresh.count(drained.name)}")


if __name__ == "__main__":
    main()
