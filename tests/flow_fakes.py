"""Build services, targets, slices and packets for the tests of flows."""

import dpkt

from ibisshunt.model.address import Address
from ibisshunt.model.configuration import Configuration, ServiceSlice
from ibisshunt.model.flow import Protocol
from ibisshunt.model.record import Service, SharingPolicy
from ibisshunt.model.target import Announcement, Target, TargetState

SERVICE_IP = "127.1.0.1"
CALLER_IP = "127.3.0.9"
SYN, ACK, FIN = dpkt.tcp.TH_SYN, dpkt.tcp.TH_ACK, dpkt.tcp.TH_FIN
RST = dpkt.tcp.TH_RST


def make_service(number=1, **changes):
    fields = {
        "business": "marea",
        "name": f"booking{number}",
        "address": SERVICE_IP,
        "port": 443,
        "protocol": Protocol.TCP,
        "callers": ("127.3.0.0/16",),
        "sharing": SharingPolicy.EVEN,
        "number": number,
    }
    return Service(**(fields | changes))


def make_target(incarnation, service=None, **changes):
    service = service or make_service()
    name = changes.pop("name", f"t{incarnation}")
    state = changes.pop("state", TargetState.READY)
    warm_deadline = changes.pop("warm_deadline", 0.0)
    packets = changes.pop("packets", Address("127.0.0.1", 20_000 + incarnation))
    announcement = Announcement(
        service.business,
        service.name,
        name,
        f"session{incarnation}",
        f"host-{name}",
        changes.pop("failure_domain", f"domain{incarnation % 3}"),
        packets,
        Address("127.0.0.1", 1),
        changes.pop("tunnel", Address("127.0.0.1", (packets.port + 20_000) % 65_536)),
        changes.pop("weight", 100),
    )
    return Target(announcement, incarnation, state, warm_deadline)


def make_slice(targets, revision=1, service=None):
    return ServiceSlice(service or make_service(), tuple(targets), revision)


def make_configuration(*slices):
    revision = max((slice_.revision for slice_ in slices), default=0)
    return Configuration(revision, {slice_.number: slice_ for slice_ in slices})


def make_tcp(flags, port=40_000, data=b"", caller=CALLER_IP, service=SERVICE_IP):
    segment = dpkt.tcp.TCP(
        sport=port, dport=443, seq=100, ack=50, flags=flags, data=data
    )
    return _make_ip_packet(segment, 6, caller, service)


def make_udp(port=40_000, data=b"x", caller=CALLER_IP, service=SERVICE_IP):
    segment = dpkt.udp.UDP(sport=port, dport=443, data=data, ulen=8 + len(data))
    return _make_ip_packet(segment, 17, caller, service)


def _make_ip_packet(segment, protocol, caller, service):
    source, target = (bytes(map(int, ip.split("."))) for ip in (caller, service))
    packet = dpkt.ip.IP(src=source, dst=target, p=protocol, data=segment)
    packet.len = 20 + len(segment)
    return bytes(packet)


def make_icmp_error(quoted_packet, service=SERVICE_IP, router="127.9.0.1"):
    """Make an ICMP error of a router that quotes a packet sent to the caller."""
    quoted = bytearray(quoted_packet)
    quoted[12:16], quoted[16:20] = quoted[16:20], quoted[12:16]
    quoted[20:22], quoted[22:24] = quoted[22:24], quoted[20:22]
    error = dpkt.icmp.ICMP(type=3, code=4, data=b"\0" * 4 + bytes(quoted[:28]))
    return _make_ip_packet(error, 1, router, service)
