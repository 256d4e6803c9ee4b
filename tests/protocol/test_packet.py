import contextlib

import dpkt
import pytest
from hypothesis import given, strategies as st

from ibisshunt.model.flow import Protocol
from ibisshunt.protocol.packet import (
    FIN,
    ICMP_ERROR,
    OPENS_FLOW,
    RST,
    TCP,
    PacketError,
    make_reset,
    pack_key,
    read_packet,
    scan_packet,
    unpack_key,
)

CALLER = bytes([127, 3, 0, 9])
SERVICE = bytes([127, 1, 0, 1])
SYN, ACK = dpkt.tcp.TH_SYN, dpkt.tcp.TH_ACK


def make_packet(payload, protocol, **fields):
    packet = dpkt.ip.IP(src=CALLER, dst=SERVICE, p=protocol, data=payload, **fields)
    packet.len = packet.__hdr_len__ + len(fields.get("opts", b"")) + len(payload)
    if "opts" in fields:
        packet.hl = 5 + len(fields["opts"]) // 4
    return bytes(packet)


def make_tcp(flags, seq=100, ack=0, data=b"", **fields):
    segment = dpkt.tcp.TCP(
        sport=40_000, dport=443, seq=seq, ack=ack, flags=flags, data=data
    )
    return make_packet(segment, 6, **fields)


def make_udp(data=b"x"):
    datagram = dpkt.udp.UDP(sport=40_000, dport=443, data=data, ulen=8 + len(data))
    return make_packet(datagram, 17)


@pytest.mark.parametrize(
    ("flags", "expected"),
    [
        (SYN, TCP | OPENS_FLOW),
        (SYN | ACK, TCP),
        (ACK, TCP),
        (ACK | dpkt.tcp.TH_FIN, TCP | FIN),
        (dpkt.tcp.TH_RST, TCP | RST),
    ],
)
def test_scan_returns_the_key_and_the_bits(flags, expected):
    key, packet_flags = scan_packet(make_tcp(flags))
    info = read_packet(make_tcp(flags)).unwrap()
    assert packet_flags == expected
    assert unpack_key(key) == info.key
    assert pack_key(info.key) == key
    assert info.opens_flow == bool(expected & OPENS_FLOW)


def test_ip_options_do_not_change_key_and_bits():
    without_options = scan_packet(make_tcp(SYN))
    assert scan_packet(make_tcp(SYN, opts=b"\x01\x01\x01\x00")) == without_options


def test_each_udp_packet_may_open_a_flow():
    key, packet_flags = scan_packet(make_udp())
    assert packet_flags == OPENS_FLOW
    assert unpack_key(key).protocol == Protocol.UDP
    assert read_packet(make_udp(b"abc")).unwrap().payload_bytes == 3


def test_an_icmp_error_has_the_key_of_the_quoted_flow():
    quoted = bytearray(make_tcp(ACK))
    quoted[12:16], quoted[16:20] = SERVICE, CALLER
    quoted[20:22], quoted[22:24] = quoted[22:24], quoted[20:22]
    error = dpkt.icmp.ICMP(type=3, code=4, data=b"\0" * 4 + bytes(quoted[:28]))
    key, packet_flags = scan_packet(make_packet(error, 1))
    assert packet_flags == ICMP_ERROR
    assert key == scan_packet(make_tcp(ACK))[0]


def test_an_icmp_error_that_quotes_another_service_is_rejected():
    quoted = bytearray(make_tcp(ACK))
    quoted[12:16], quoted[16:20] = bytes([127, 1, 0, 77]), CALLER
    error = dpkt.icmp.ICMP(type=3, code=4, data=b"\0" * 4 + bytes(quoted[:28]))
    with pytest.raises(PacketError, match="icmp"):
        scan_packet(make_packet(error, 1))


def test_fragments_and_other_protocols_are_rejected_with_a_reason():
    fragment = bytearray(make_udp())
    fragment[6] = 0x20
    with pytest.raises(PacketError, match="fragment"):
        scan_packet(bytes(fragment))
    with pytest.raises(PacketError, match="protocol"):
        scan_packet(make_packet(b"\0" * 40, 47))
    echo = dpkt.icmp.ICMP(type=8, data=b"\0" * 40)
    with pytest.raises(PacketError, match="icmp"):
        scan_packet(make_packet(echo, 1))


@given(st.binary(max_size=80), st.integers(0, 44))
def test_malformed_input_raises_only_packet_error(random_bytes, cut):
    reasons = {"malformed", "fragment", "icmp", "protocol"}
    for data in (random_bytes, make_tcp(ACK)[:cut], make_tcp(ACK)[:cut] + random_bytes):
        fault = read_packet(data).swap().value_or(None)
        if fault is None:
            scan_packet(data)
            continue
        with contextlib.suppress(PacketError):
            scan_packet(data)
        assert fault.reason in reasons or len(data) > 20


def test_resets_of_a_syn_and_of_a_segment_follow_the_rfc():
    reset = dpkt.ip.IP(make_reset(read_packet(make_tcp(SYN, seq=7)).unwrap()))
    assert (reset.src, reset.dst) == (SERVICE, CALLER)
    assert (reset.data.sport, reset.data.dport) == (443, 40_000)
    assert reset.data.flags == dpkt.tcp.TH_RST | ACK
    assert (reset.data.seq, reset.data.ack) == (0, 8)
    info = read_packet(make_tcp(ACK, seq=7, ack=55, data=b"abc")).unwrap()
    reset = dpkt.ip.IP(make_reset(info))
    assert (reset.data.flags, reset.data.seq) == (dpkt.tcp.TH_RST, 55)


def test_the_checksums_of_a_reset_are_correct():
    packet = make_reset(read_packet(make_tcp(SYN)).unwrap())
    assert dpkt.in_cksum(packet[:20]) == 0
    pseudo_header = packet[12:20] + bytes([0, 6]) + (20).to_bytes(2, "big")
    assert dpkt.in_cksum(pseudo_header + packet[20:]) == 0


def test_resets_and_udp_packets_get_no_reset():
    assert make_reset(read_packet(make_tcp(dpkt.tcp.TH_RST)).unwrap()) is None
    assert make_reset(read_packet(make_udp()).unwrap()) is None
