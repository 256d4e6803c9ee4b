from hypothesis import given, strategies as st

from ibisshunt.protocol.datagram import (
    DatagramKind,
    Header,
    PointerList,
    pack_header,
    pack_load,
    pack_pointers,
    read_datagram,
    read_load,
    read_pointers,
)

NUMBERS = st.integers(0, 2**64 - 1)
HEADERS = st.builds(
    Header,
    st.just(DatagramKind.PACKET),
    st.integers(0, 31),
    st.integers(0, 2**32 - 1),
    NUMBERS,
    NUMBERS,
    NUMBERS,
    st.tuples(st.ip_addresses(v=4).map(str), st.integers(0, 65_535)),
    st.lists(NUMBERS, max_size=40).map(tuple),
)


@given(HEADERS, st.binary(max_size=50))
def test_a_header_is_parsed_back(header, payload):
    assert read_datagram(pack_header(header) + payload).unwrap() == (header, payload)


@given(st.binary(max_size=60))
def test_random_bytes_raise_no_exception(data):
    datagram = read_datagram(data).value_or(None)
    if datagram is not None:
        read_pointers(*datagram)
        read_load(datagram[1])


def test_an_unknown_version_and_a_truncated_header_are_rejected():
    data = pack_header(Header(DatagramKind.PACKET, 0, 1, 2, 3, visited=(4, 5)))
    assert "version 9" in str(read_datagram(b"\x09" + data[1:]).failure())
    assert "2 hops" in str(read_datagram(data[:-1]).failure())


@given(HEADERS, st.lists(st.binary(min_size=13, max_size=13), max_size=100))
def test_pointers_are_parsed_back(header, keys):
    pointers = PointerList(7, 9, ("127.0.0.1", 4000), tuple(keys))
    parsed, payload = read_datagram(pack_pointers(header, pointers)).unwrap()
    assert parsed.kind == DatagramKind.POINTER
    assert read_pointers(parsed, payload).unwrap() == pointers


def test_a_load_is_parsed_back():
    header = Header(DatagramKind.LOAD, 0, 1, 2, 3, 4)
    parsed, payload = read_datagram(pack_load(header, 2.5)).unwrap()
    assert parsed.origin == 4
    assert read_load(payload).unwrap() == 2.5


def test_the_header_layout_does_not_change():
    """Guard against a changed layout: nodes of two releases run side by side."""
    header = Header(
        DatagramKind.PACKET, 4, 7, 300, 12, 13, ("127.0.0.1", 4000), (12, 13)
    )
    assert pack_header(header).hex() == (
        "0101040200000007"
        "000000000000012c"
        "000000000000000c"
        "000000000000000d"
        "7f0000010fa0"
        "000000000000000c000000000000000d"
    )
