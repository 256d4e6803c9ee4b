"""The platform's packets are read and written as its page shows them."""

from hypothesis import given, strategies as st

from ibisshunt.platform import packet
from ibisshunt.platform.packet import CODEC

# The example of the platform's page.
SYN = bytes.fromhex("4000009c416440000701bbc612000100000000a1b2c3d51122334400000000")
RESET = bytes.fromhex("08000001bbc61200019c416440000700000000000000000000000000000000")


def make_packet(flags, data=b"", echo=bytes(4), seq=7, ack=9):
    return (
        packet._HEAD.pack(
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


def test_the_example_is_read():
    segment = CODEC.parse_inward(SYN)
    assert segment.opens
    assert not segment.acknowledges
    assert segment.sequence == 0x11223344
    assert segment.key == bytes((100, 64, 0, 7)) + (40_001).to_bytes(2, "big") + bytes(
        (198, 18, 0, 1)
    ) + (443).to_bytes(2, "big")
    assert CODEC.find_caller(segment) == "100.64.0.7"


def test_the_example_of_a_reset_is_written():
    assert CODEC.make_reset(CODEC.parse_inward(SYN)) == RESET


def test_a_reset_of_an_open_flow_carries_the_callers_last_acknowledgement():
    segment = CODEC.parse_inward(make_packet(packet.ACK, ack=0xFFFF0001))
    assert CODEC.make_reset(segment)[23:27] == bytes.fromhex("ffff0001")


@given(st.binary(max_size=80))
def test_any_bytes_are_read_or_refused(data):
    for parse in (CODEC.parse_inward, CODEC.parse_outward):
        segment = parse(data)
        assert segment is None or len(segment.data) == len(data) - packet.HEAD_BYTES


@given(
    st.sampled_from([packet.SYN, packet.ACK, packet.ACK | packet.FIN, packet.RST]),
    st.binary(max_size=40),
    st.tuples(*[st.integers(0, 255)] * 4),
    st.integers(0, 2**32 - 1),
)
def test_a_bounced_packet_is_what_its_caller_wrote(flags, data, origin, seq):
    # An endpoint sends a packet back with BOUNCED set and our mark in it. Another
    # endpoint must get it as the caller wrote it, and the mark tells who sent it.
    written = make_packet(flags, data, seq=seq)
    marked = CODEC.mark(CODEC.parse_inward(written), bytes(origin))
    bounced = bytes((marked[0] | packet.BOUNCED,)) + marked[1:]
    segment = CODEC.parse_outward(bounced)
    assert segment.returned
    assert segment.raw == written
    assert segment.origin == bytes(origin)
    assert segment.key == CODEC.parse_inward(written).key


def test_a_targets_packet_names_the_same_flow_as_the_callers():
    inward = CODEC.parse_inward(SYN)
    swapped = packet._HEAD.pack(
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
    outward = CODEC.parse_outward(swapped)
    assert outward.key == inward.key
    assert CODEC.find_caller(outward) == "100.64.0.7"
