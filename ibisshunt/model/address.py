"""Describe where a process or service listens."""

import ipaddress
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from ..exceptions import Fault


@dataclass(frozen=True, slots=True, order=True)
class Address:
    """Name an IPv4 address in dotted form and a port."""

    ip: str
    port: int

    def __str__(self) -> str:
        """Give ``ip:port``."""
        return f"{self.ip}:{self.port}"

    def as_pair(self) -> tuple[str, int]:
        """Return the pair that sockets take."""
        return (self.ip, self.port)


def parse_address(text: str) -> Result[Address, Fault]:
    """Read ``ip:port``; fail with what was found and what is expected."""
    ip, colon, port = text.rpartition(":")
    if not colon:
        return Failure(Fault("parse address", "", f"{text!r} is not ip:port"))
    try:
        ipaddress.IPv4Address(ip)
    except ValueError:
        return Failure(Fault("parse address", "", f"{ip!r} is not an IPv4 address"))
    if not port.isdigit() or int(port) > 65_535:
        return Failure(Fault("parse address", "", f"{port!r} is not a port 0-65535"))
    return Success(Address(ip, int(port)))
