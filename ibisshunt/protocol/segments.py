"""Define the interface of a packet format for balancers and agents."""

from collections.abc import Callable

import msgspec

from ..coordination.forwarding.segment import Segment


class SegmentCodec(msgspec.Struct, frozen=True):
    """The functions of one packet format.

    ``parse_caller_packet`` parses a packet of a caller, ``parse_target_packet`` one of
    a target; both return None if it is malformed. ``mark_balancer`` returns the packet
    with the balancer's IPv4 address (four bytes) in a field that a target preserves
    when it bounces the packet. ``make_reset`` returns the RST packet that answers a
    packet of a caller. ``get_caller_address`` returns the caller's IPv4 address in
    dotted form.
    """

    parse_caller_packet: Callable[[bytes], Segment | None]
    parse_target_packet: Callable[[bytes], Segment | None]
    mark_balancer: Callable[[Segment, bytes], bytes]
    make_reset: Callable[[Segment], bytes]
    get_caller_address: Callable[[Segment], str]
