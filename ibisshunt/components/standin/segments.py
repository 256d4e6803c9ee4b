"""Build and parse the IPv4 packets of simulated callers and endpoints."""

from dataclasses import dataclass

import dpkt
from gevent import socket

from ...model.address import Address


@dataclass(frozen=True, slots=True)
class Segment:
    """TCP segment with its source and destination."""

    source: Address
    destination: Address
    sequence: int
    acknowledgment: int
    flags: int
    payload: bytes = b""

    def has_flag(self, flag: int) -> bool:
        """Return whether a TCP flag is set."""
        return bool(self.flags & flag)


SYN = dpkt.tcp.TH_SYN
ACK = dpkt.tcp.TH_ACK
FIN = dpkt.tcp.TH_FIN
RST = dpkt.tcp.TH_RST
PUSH = dpkt.tcp.TH_PUSH


def build_packet(segment: Segment) -> bytes:
    """Return the segment as an IPv4 packet with checksums."""
    tcp = dpkt.tcp.TCP(
        sport=segment.source.port,
        dport=segment.destination.port,
        seq=segment.sequence & 0xFFFFFFFF,
        ack=segment.acknowledgment & 0xFFFFFFFF,
        flags=segment.flags,
        data=segment.payload,
    )
    packet = dpkt.ip.IP(
        src=socket.inet_aton(segment.source.ip),
        dst=socket.inet_aton(segment.destination.ip),
        p=dpkt.ip.IP_PROTO_TCP,
        data=tcp,
    )
    packet.len = len(packet)
    return bytes(packet)


def parse_packet(data: bytes) -> Segment | None:
    """Return the TCP segment in an IPv4 packet, or None when there is none."""
    try:
        packet = dpkt.ip.IP(data)
    except dpkt.UnpackError:
        return None
    tcp = packet.data
    if not isinstance(tcp, dpkt.tcp.TCP):
        return None
    return Segment(
        Address(socket.inet_ntoa(packet.src), tcp.sport),
        Address(socket.inet_ntoa(packet.dst), tcp.dport),
        tcp.seq,
        tcp.ack,
        tcp.flags,
        bytes(tcp.data),
    )
