"""Parse and build the platform's packets: a header of 31 bytes, then the data."""

import struct
from socket import inet_ntoa

from ..coordination.forwarding.segment import Segment
from ..protocol.segments import SegmentCodec

# Fields: flags, pad and len, source and destination, echo, sum, seq, ack. Callers and
# targets write 0 to ``echo`` and never read it. A bounced packet keeps its value, so
# that balancers use it for their own address.
_HEADER = struct.Struct(">BH2s4s2s4s4sIII")
_ECHO_FIELD = slice(15, 19)
HEADER_BYTES = _HEADER.size
SYN, ACK, FIN, RST, BOUNCED = 64, 4, 128, 8, 2
# Seconds from the first SYN of a flow to each retransmission; ``ack`` of a SYN is the
# number of the retransmission, 0 for the first SYN.
_SYN_COPY_SECONDS = (0.0, 0.2, 0.6)


def parse_caller_packet(packet: bytes) -> Segment | None:
    """Parse a caller's packet; return None if its length is wrong."""
    if len(packet) < HEADER_BYTES:
        return None
    flags, size, sport, src, dport, dst, echo, _, seq, ack = _HEADER.unpack_from(packet)
    if len(packet) != HEADER_BYTES + size:
        return None
    key = src + sport + dst + dport
    return _make_segment(key, packet, flags, echo, seq, ack)


def parse_target_packet(packet: bytes) -> Segment | None:
    """Parse a packet from a target; return None if its length is wrong.

    The packet is the target's own, or a caller's packet that the target bounced.
    """
    if len(packet) < HEADER_BYTES:
        return None
    flags, size, sport, src, dport, dst, echo, _, seq, ack = _HEADER.unpack_from(packet)
    if len(packet) != HEADER_BYTES + size:
        return None
    if flags & BOUNCED:
        restored = _restore_original(packet, flags)
        return _make_segment(src + sport + dst + dport, restored, flags, echo, seq, ack)
    return _make_segment(dst + dport + src + sport, packet, flags, echo, seq, ack)


def mark_balancer(segment: Segment, balancer: bytes) -> bytes:
    """Return the packet with the balancer's IPv4 address in the ``echo`` field."""
    packet = segment.packet
    return packet[: _ECHO_FIELD.start] + balancer + packet[_ECHO_FIELD.stop :]


def make_reset(segment: Segment) -> bytes:
    """Return an RST from the VIP to the caller; its seq is the caller's last ack."""
    key = segment.key
    src, sport, dst, dport = key[:4], key[4:6], key[6:10], key[10:]
    no_echo = bytes(4)
    # A caller that has not acknowledged any packet accepts any sequence number.
    sequence = segment.acknowledgement if segment.is_ack else 0
    return _HEADER.pack(RST, 0, dport, dst, sport, src, no_echo, 0, sequence, 0)


def get_caller_address(segment: Segment) -> str:
    """Return the caller's IPv4 address as text."""
    return inet_ntoa(segment.key[:4])


def _make_segment(
    key: bytes, packet: bytes, flags: int, echo: bytes, seq: int, ack: int
) -> Segment:
    copy_number = ack if flags & SYN and not flags & ACK else 0
    return Segment(
        key,
        packet,
        packet[HEADER_BYTES:],
        seq,
        ack,
        bool(flags & SYN),
        bool(flags & ACK),
        bool(flags & FIN),
        bool(flags & RST),
        bool(flags & BOUNCED),
        echo,
        _SYN_COPY_SECONDS[min(copy_number, len(_SYN_COPY_SECONDS) - 1)],
    )


def _restore_original(packet: bytes, flags: int) -> bytes:
    """Return a bounced packet as its caller sent it."""
    restored_flags = bytes((flags & ~BOUNCED,))
    return (
        restored_flags
        + packet[1 : _ECHO_FIELD.start]
        + bytes(4)
        + packet[_ECHO_FIELD.stop :]
    )


CODEC = SegmentCodec(
    parse_caller_packet,
    parse_target_packet,
    mark_balancer,
    make_reset,
    get_caller_address,
)
