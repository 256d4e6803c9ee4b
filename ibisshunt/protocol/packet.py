"""Read IPv4 packets and build TCP resets."""

import struct
from typing import Final

import dpkt
from returns.result import Failure, Result, Success

from ..exceptions import Fault
from ..model.flow import FlowKey, PacketInfo, Protocol

# What a forwarding decision asks of a packet, as bits.
OPENS: Final = 1
FIN: Final = 2
RST: Final = 4
ICMP_ERROR: Final = 8
TCP: Final = 16

KEY_BYTES: Final = 13
IP_HEADER_BYTES: Final = 20
TCP_HEADER_BYTES: Final = 20
UDP_HEADER_BYTES: Final = 8
ICMP_HEADER_BYTES: Final = 8
# An ICMP error quotes the IP header and at least 8 bytes of what it is about.
QUOTED_BYTES: Final = 8
ICMP_ERROR_TYPES: Final = frozenset({3, 11, 12})
PLAIN_IP_HEADER: Final = 0x45
FRAGMENT_MASK: Final = 0x3FFF
RESET_TTL: Final = 64

_KEY = struct.Struct("!BIIHH")


def _translate_tcp_flags(flags: int) -> int:
    """Turn the flag byte of a TCP header into the bits above."""
    found = TCP
    if flags & dpkt.tcp.TH_SYN and not flags & dpkt.tcp.TH_ACK:
        found |= OPENS
    if flags & dpkt.tcp.TH_FIN:
        found |= FIN
    if flags & dpkt.tcp.TH_RST:
        found |= RST
    return found


# One look-up a packet instead of three tests.
_TCP_BITS: Final = bytes(_translate_tcp_flags(flags) for flags in range(256))


class PacketError(ValueError):
    """Report a packet that cannot be forwarded; the text names the reason."""


def scan_packet(data: bytes) -> tuple[bytes, int]:
    """Return the flow key of 13 bytes and the bits of a packet from a caller.

    The key holds protocol, caller address, service address, caller port and service
    port as they stand in the packet. This is the hot path: it reads only what the
    decision needs and makes no object beyond the key. Raise PacketError with
    "malformed", "fragment", "icmp" or "protocol".
    """
    size = len(data)
    if size < IP_HEADER_BYTES:
        raise PacketError("malformed")
    # Later fragments carry no ports, so that no node could find their flow.
    if (data[6] << 8 | data[7]) & FRAGMENT_MASK:
        raise PacketError("fragment")
    start = IP_HEADER_BYTES
    if data[0] != PLAIN_IP_HEADER:
        start = _measure_header(data)
    end = data[2] << 8 | data[3]
    protocol = data[9]
    if protocol == Protocol.TCP:
        if not start + TCP_HEADER_BYTES <= end <= size or data[start + 12] < 0x50:
            raise PacketError("malformed")
        bits = _TCP_BITS[data[start + 13]]
    elif protocol == Protocol.UDP:
        if not start + UDP_HEADER_BYTES <= end <= size:
            raise PacketError("malformed")
        bits = OPENS
    elif protocol == Protocol.ICMP:
        return _scan_icmp(data, start), ICMP_ERROR
    else:
        raise PacketError("protocol")
    if start == IP_HEADER_BYTES:
        return data[9:10] + data[12:24], bits
    return data[9:10] + data[12:20] + data[start : start + 4], bits


def _measure_header(data: bytes) -> int:
    """Return the length of an IPv4 header with options, in bytes."""
    length = (data[0] & 0x0F) * 4
    if data[0] >> 4 != 4 or not IP_HEADER_BYTES <= length < len(data):
        raise PacketError("malformed")
    return length


def _scan_icmp(data: bytes, start: int) -> bytes:
    """Return the key of the flow that an ICMP error is about.

    The quoted packet went from the service to the caller, so that its ends are
    turned round to give the key that the flow's own packets have.
    """
    quoted = data[start + ICMP_HEADER_BYTES :]
    if len(quoted) < IP_HEADER_BYTES + QUOTED_BYTES:
        raise PacketError("malformed")
    if data[start] not in ICMP_ERROR_TYPES:
        raise PacketError("icmp")
    inner = _measure_header(quoted)
    protocol = quoted[9]
    if protocol not in (Protocol.TCP, Protocol.UDP) or len(quoted) < inner + 4:
        raise PacketError("icmp")
    # An error whose quote names another service must not pass as one of this one.
    if quoted[12:16] != data[16:20]:
        raise PacketError("icmp")
    ports = quoted[inner + 2 : inner + 4] + quoted[inner : inner + 2]
    return quoted[9:10] + quoted[16:20] + quoted[12:16] + ports


def unpack_key(key: bytes) -> FlowKey:
    """Return the 5-tuple that a key of 13 bytes holds."""
    protocol, caller_ip, service_ip, caller_port, service_port = _KEY.unpack(key)
    return FlowKey(protocol, caller_ip, caller_port, service_ip, service_port)


def pack_key(key: FlowKey) -> bytes:
    """Return the 13 bytes that stand for a 5-tuple."""
    return _KEY.pack(
        key.protocol, key.caller_ip, key.service_ip, key.caller_port, key.service_port
    )


def read_packet(data: bytes) -> Result[PacketInfo, Fault]:
    """Read a TCP or UDP packet whole; refuse all else with the reason."""
    try:
        key, bits = scan_packet(data)
        found = dpkt.ip.IP(data)
    except (PacketError, dpkt.UnpackError) as error:
        return Failure(Fault("read packet", "", str(error) or "malformed"))
    if bits & ICMP_ERROR:
        return Failure(Fault("read packet", "", "icmp"))
    if isinstance(found.data, dpkt.udp.UDP):
        payload = len(found.data.data)
        info = PacketInfo(unpack_key(key), False, False, False, False, 0, 0, payload)
        return Success(info)
    if not isinstance(found.data, dpkt.tcp.TCP):
        return Failure(Fault("read packet", "", "malformed"))
    return Success(_describe_tcp(unpack_key(key), found.data))


def _describe_tcp(key: FlowKey, segment: dpkt.tcp.TCP) -> PacketInfo:
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
    """Return the IPv4 packet that resets the flow, as RFC 9293 section 3.10.7.1 says.

    Return None for UDP and for a packet that itself is a reset: answering a reset
    with a reset would never end.
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
