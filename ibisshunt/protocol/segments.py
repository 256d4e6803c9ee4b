"""Describe what a packet format must offer to balancers and agents."""

from collections.abc import Callable

import msgspec

from ..coordination.forwarding.segment import Segment


class SegmentCodec(msgspec.Struct, frozen=True):
    """Hold the closures of one packet format.

    ``parse_inward`` reads a caller's packet, ``parse_outward`` a target's, each None
    when it is not one. ``mark`` returns the packet with the balancer's IPv4 address
    (four bytes) in a field that survives a bounce. ``make_reset`` answers a caller's
    packet with a reset. ``find_caller`` returns the caller's IPv4 address.
    """

    parse_inward: Callable[[bytes], Segment | None]
    parse_outward: Callable[[bytes], Segment | None]
    mark: Callable[[Segment, bytes], bytes]
    make_reset: Callable[[Segment], bytes]
    find_caller: Callable[[Segment], str]
