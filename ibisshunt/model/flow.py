"""Define flows and parsed packets."""

from dataclasses import dataclass
from enum import IntEnum


class Protocol(IntEnum):
    """IP protocol number as assigned by IANA."""

    ICMP = 1
    TCP = 6
    UDP = 17


@dataclass(frozen=True, slots=True)
class FlowKey:
    """The 5-tuple that identifies a flow; IPv4 addresses are 32-bit integers."""

    protocol: int
    caller_ip: int
    caller_port: int
    service_ip: int
    service_port: int


@dataclass(frozen=True, slots=True)
class PacketInfo:
    """The header fields of a packet that forwarding decisions use."""

    key: FlowKey
    syn: bool
    ack: bool
    fin: bool
    rst: bool
    sequence: int
    acknowledgment: int
    payload_bytes: int

    @property
    def opens_flow(self) -> bool:
        """Return whether the packet may open a flow: UDP, or a SYN without ACK."""
        if self.key.protocol == Protocol.UDP:
            return True
        return self.syn and not self.ack
