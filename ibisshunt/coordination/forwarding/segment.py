"""Describe one packet of a flow, independent of its format."""

import msgspec

SEQUENCE_SPACE = 1 << 32


class Segment(msgspec.Struct, frozen=True):
    """The fields of a packet that decisions depend on.

    ``key`` identifies the flow in both directions: the caller's address and port, then
    the VIP, twelve bytes. ``packet`` is the whole packet on the wire. ``is_bounced``
    tells that a target bounced the packet, and ``balancer`` is then the address of the
    balancer that sent it, four bytes. ``syn_age`` is, for a copy of a SYN, how many
    seconds after the first SYN the caller sent it.
    """

    key: bytes
    packet: bytes
    data: bytes
    sequence: int
    acknowledgement: int
    is_syn: bool = False
    is_ack: bool = False
    is_fin: bool = False
    is_rst: bool = False
    is_bounced: bool = False
    balancer: bytes = b""
    syn_age: float = 0.0

    @property
    def vip(self) -> bytes:
        """Return the VIP, the service's virtual address and port, six bytes."""
        return self.key[6:]


def is_sequence_between(first: int, number: int, last: int) -> bool:
    """Return whether a sequence number is in a range, both ends included."""
    return (number - first) % SEQUENCE_SPACE <= (last - first) % SEQUENCE_SPACE


def is_sequence_after(number: int, other: int) -> bool:
    """Return whether a sequence number is after another one, modulo 2^32."""
    return 0 < (number - other) % SEQUENCE_SPACE < SEQUENCE_SPACE // 2
