"""The platform's packets are parsed and built as its documentation shows them."""

from hypothesis import given, strategies as st

from ibisshunt.platform import packet
from ibisshunt.platform.packet import CODEC

# The example in the platform's documentation.
SYN = bytes.fromhex("4000009c416440000701bbc612000100000000a1b2c3d51122334400000000")
RESET = bytes.fromhex("08000001bbc61200019c416440000700000000000000000000000000000000")


def make_packet(flags, data=b"", echo=bytes(4), seq=7, ack=9):
    return (
        packet._HEADER.pack(
            flags,
            len(data),
            b"\x9c\x41",
            b"d@\x00\x07",
            b"\x01\xbb",
            b"\xc6\x12\x00\x01",
            echo,
            77,
            seq,
            ack,
        )
        + data
    )


def test_the_example_is_parsed():
    segment = CODEC.parse_caller_packet(SYN)
    assert segment.is_syn
    assert not segment.is_ack
    assert segment.sequence == 0x11223344
    assert segment.key == bytes((100, 64, 0, 7)) + (40_001).to_bytes(2, "big") + bytes(
        (198, 18, 0, 1)
    ) + (443).to_bytes(2, "big")
    assert CODEC.get_caller_address(segment) == "100.64.0.7"


def test_the_example_of_a_reset_is_built():
    assert CODEC.make_reset(CODEC.parse_caller_packet(SYN)) == RESET


def test_a_reset_of_an_open_flow_carries_the_callers_last_acknowledgement():
    segment = CODEC.parse_caller_packet(make_packet(packet.ACK, ack=0xFFFF0001))
    assert CODEC.make_reset(segment)[23:27] == bytes.fromhex("ffff0001")


@given(st.binary(max_size=80))
def test_any_bytes_are_parsed_or_rejected(data):
    for parse in (CODEC.parse_caller_packet, CODEC.parse_target_packet):
        segment = parse(data)
        assert segment is None or len(segment.data) == len(data) - packet.HEADER_BYTES


@given(
    st.sampled_from([packet.SYN, packet.ACK, packet.ACK | packet.FIN, packet.RST]),
    st.binary(max_size=40),
    st.tuples(*[st.integers(0, 255)] * 4),
    st.integers(0, 2**32 - 1),
)
def test_a_bounced_packet_is_restored_as_its_caller_sent_it(flags, data, balancer, seq):
    # A target returns a packet with BOUNCED set and the balancer's address in it.
    # Another target must get the packet as the caller sent it, and the address must
    # name the balancer that delivered it.
    original = make_packet(flags, data, seq=seq)
    marked = CODEC.mark_balancer(CODEC.parse_caller_packet(original), bytes(balancer))
    bounced = bytes((marked[0] | packet.BOUNCED,)) + marked[1:]
    segment = CODEC.parse_target_packet(bounced)
    assert segment.is_bounced
    assert segment.packet == original
    assert segment.balancer == bytes(balancer)
    assert segment.key == CODEC.parse_caller_packet(original).key


def test_packets_of_target_and_caller_have_the_same_flow_key():
    from_caller = CODEC.parse_caller_packet(SYN)
    swapped = packet._HEADER.pack(
        packet.SYN | packet.ACK,
        0,
        b"\x01\xbb",
        b"\xc6\x12\x00\x01",
        b"\x9c\x41",
        b"d@\x00\x07",
        bytes(4),
        5,
        1,
        2,
    )
    from_target = CODEC.parse_target_packet(swapped)
    assert from_target.key == from_caller.key
    assert CODEC.get_caller_address(from_target) == "100.64.0.7"
