"""Describe flows and packets."""

from dataclasses import dataclass
from enum import IntEnum


class Protocol(IntEnum):
    """Number the transport protocols as IANA does."""

    ICMP = 1
    TCP = 6
    UDP = 17


@dataclass(frozen=True, slots=True)
class FlowKey:
    """Identify a flow by its 5-tuple; addresses are 32-bit numbers."""

    protocol: int
    caller_ip: int
    caller_port: int
    service_ip: int
    service_port: int


@dataclass(frozen=True, slots=True)
class PacketInfo:
    """Describe what a forwarding decision needs to know of one packet."""

    key: FlowKey
    syn: bool
    ack: bool
    fin: bool
    rst: bool
    sequence: int
    acknowledgment: int
    payload_bytes: int

    @property
    def opens(self) -> bool:
        """Tell whether the packet may open a flow."""
        if self.key.protocol == Protocol.UDP:
            return True
        return self.syn and not self.ack
