"""Parse IPv4 packets and build TCP resets."""

import struct
from typing import Final

import dpkt
from returns.result import Failure, Result, Success

from ..exceptions import Fault
from ..model.flow import FlowKey, PacketInfo, Protocol

# Packet flags: properties of a packet that forwarding decisions use, as bits.
OPENS_FLOW: Final = 1
FIN: Final = 2
RST: Final = 4
ICMP_ERROR: Final = 8
TCP: Final = 16

KEY_BYTES: Final = 13
IP_HEADER_BYTES: Final = 20  # without options
TCP_HEADER_BYTES: Final = 20
UDP_HEADER_BYTES: Final = 8
ICMP_HEADER_BYTES: Final = 8
# An ICMP error quotes the IP header and at least 8 bytes of the packet that caused it.
QUOTED_BYTES: Final = 8
# Destination unreachable, time exceeded, parameter problem.
ICMP_ERROR_TYPES: Final = frozenset({3, 11, 12})
# First byte of an IPv4 header without options.
PLAIN_IP_HEADER: Final = 0x45
# The more-fragments flag and the fragment offset.
FRAGMENT_MASK: Final = 0x3FFF
RESET_TTL: Final = 64

_KEY = struct.Struct("!BIIHH")


def _translate_tcp_flags(flags: int) -> int:
    """Convert the flag byte of a TCP header to the packet flags above."""
    packet_flags = TCP
    if flags & dpkt.tcp.TH_SYN and not flags & dpkt.tcp.TH_ACK:
        packet_flags |= OPENS_FLOW
    if flags & dpkt.tcp.TH_FIN:
        packet_flags |= FIN
    if flags & dpkt.tcp.TH_RST:
        packet_flags |= RST
    return packet_flags


# Precomputed, because the lookup is faster than three tests per packet.
_TCP_BITS: Final = bytes(_translate_tcp_flags(flags) for flags in range(256))


class PacketError(ValueError):
    """A packet cannot be forwarded; the text is the reason used in counters."""


def scan_packet(data: bytes) -> tuple[bytes, int]:
    """Return the flow key (13 bytes) and the packet flags of a caller's packet.

    The key holds protocol, caller address, service address, caller port and service
    port in network byte order. This is the hot path: it reads only the fields that
    forwarding needs and creates no object but the key. Raise PacketError with
    "malformed", "fragment", "icmp" or "protocol".
    """
    size = len(data)
    if size < IP_HEADER_BYTES:
        raise PacketError("malformed")
    # Fragments after the first have no ports, so their flow is unknown.
    if (data[6] << 8 | data[7]) & FRAGMENT_MASK:
        raise PacketError("fragment")
    payload_start = IP_HEADER_BYTES
    if data[0] != PLAIN_IP_HEADER:
        payload_start = _parse_header_length(data)
    end = data[2] << 8 | data[3]
    protocol = data[9]
    if protocol == Protocol.TCP:
        if (
            not payload_start + TCP_HEADER_BYTES <= end <= size
            or data[payload_start + 12] < 0x50
        ):
            raise PacketError("malformed")
        packet_flags = _TCP_BITS[data[payload_start + 13]]
    elif protocol == Protocol.UDP:
        if not payload_start + UDP_HEADER_BYTES <= end <= size:
            raise PacketError("malformed")
        packet_flags = OPENS_FLOW
    elif protocol == Protocol.ICMP:
        return _scan_icmp(data, payload_start), ICMP_ERROR
    else:
        raise PacketError("protocol")
    if payload_start == IP_HEADER_BYTES:
        return data[9:10] + data[12:24], packet_flags
    return data[9:10] + data[12:20] + data[
        payload_start : payload_start + 4
    ], packet_flags


def _parse_header_length(data: bytes) -> int:
    """Return the length of an IPv4 header with options, in bytes."""
    length = (data[0] & 0x0F) * 4
    if data[0] >> 4 != 4 or not IP_HEADER_BYTES <= length < len(data):
        raise PacketError("malformed")
    return length


def _scan_icmp(data: bytes, payload_start: int) -> bytes:
    """Return the key of the flow that an ICMP error refers to.

    The quoted packet went from the service to the caller: source and destination are
    swapped to give the key of the caller's packets.
    """
    quoted = data[payload_start + ICMP_HEADER_BYTES :]
    if len(quoted) < IP_HEADER_BYTES + QUOTED_BYTES:
        raise PacketError("malformed")
    if data[payload_start] not in ICMP_ERROR_TYPES:
        raise PacketError("icmp")
    ports_start = _parse_header_length(quoted)
    protocol = quoted[9]
    if protocol not in (Protocol.TCP, Protocol.UDP) or len(quoted) < ports_start + 4:
        raise PacketError("icmp")
    # Reject errors sent to this service that quote a packet of another service.
    if quoted[12:16] != data[16:20]:
        raise PacketError("icmp")
    ports = (
        quoted[ports_start + 2 : ports_start + 4]
        + quoted[ports_start : ports_start + 2]
    )
    return quoted[9:10] + quoted[16:20] + quoted[12:16] + ports


def unpack_key(key: bytes) -> FlowKey:
    """Decode a key of 13 bytes to a 5-tuple."""
    protocol, caller_ip, service_ip, caller_port, service_port = _KEY.unpack(key)
    return FlowKey(protocol, caller_ip, caller_port, service_ip, service_port)


def pack_key(key: FlowKey) -> bytes:
    """Encode a 5-tuple as a key of 13 bytes."""
    return _KEY.pack(
        key.protocol, key.caller_ip, key.service_ip, key.caller_port, key.service_port
    )


def read_packet(data: bytes) -> Result[PacketInfo, Fault]:
    """Parse a TCP or UDP packet; fail with the reason for any other packet."""
    try:
        key, packet_flags = scan_packet(data)
        packet = dpkt.ip.IP(data)
    except (PacketError, dpkt.UnpackError) as error:
        return Failure(Fault("read packet", "", str(error) or "malformed"))
    if packet_flags & ICMP_ERROR:
        return Failure(Fault("read packet", "", "icmp"))
    if isinstance(packet.data, dpkt.udp.UDP):
        size = len(packet.data.data)
        info = PacketInfo(unpack_key(key), False, False, False, False, 0, 0, size)
        return Success(info)
    if not isinstance(packet.data, dpkt.tcp.TCP):
        return Failure(Fault("read packet", "", "malformed"))
    return Success(_make_tcp_info(unpack_key(key), packet.data))


def _make_tcp_info(key: FlowKey, segment: dpkt.tcp.TCP) -> PacketInfo:
    return PacketInfo(
        key,
        syn=bool(segment.flags & dpkt.tcp.TH_SYN),
        ack=bool(segment.flags & dpkt.tcp.TH_ACK),
        fin=bool(segment.flags & dpkt.tcp.TH_FIN),
        rst=bool(segment.flags & dpkt.tcp.TH_RST),
        sequence=segment.seq,
        acknowledgment=segment.ack,
        payload_bytes=len(segment.data),
    )


def make_reset(info: PacketInfo) -> bytes | None:
    """Return an IPv4 packet with the RST that RFC 9293 section 3.10.7.1 requires.

    Return None for UDP and for a packet that is itself an RST: answering an RST with
    an RST could go on forever.
    """
    if info.key.protocol != Protocol.TCP or info.rst:
        return None
    if info.ack:
        sequence, acknowledgment, flags = info.acknowledgment, 0, dpkt.tcp.TH_RST
    else:
        length = info.payload_bytes + info.syn + info.fin
        sequence = 0
        acknowledgment = (info.sequence + length) & 0xFFFF_FFFF
        flags = dpkt.tcp.TH_RST | dpkt.tcp.TH_ACK
    segment = dpkt.tcp.TCP(
        sport=info.key.service_port,
        dport=info.key.caller_port,
        seq=sequence,
        ack=acknowledgment,
        flags=flags,
        win=0,
    )
    packet = dpkt.ip.IP(
        src=info.key.service_ip.to_bytes(4, "big"),
        dst=info.key.caller_ip.to_bytes(4, "big"),
        p=Protocol.TCP,
        ttl=RESET_TTL,
        data=segment,
    )
    packet.len = IP_HEADER_BYTES + TCP_HEADER_BYTES
    return bytes(packet)
