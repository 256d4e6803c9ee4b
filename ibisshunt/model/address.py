"""Describe where a process or service listens."""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..exceptions import AddressError, Fault

if TYPE_CHECKING:
    from returns.result import Result


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


def read_address(text: str) -> Address:
    """Read ``ip:port``; raise AddressError with what was found and is expected."""
    ip, colon, port = text.rpartition(":")
    if not colon:
        raise AddressError(Fault("parse address", "", f"{text!r} is not ip:port"))
    try:
        ipaddress.IPv4Address(ip)
    except ValueError as error:
        reason = f"{ip!r} is not an IPv4 address"
        raise AddressError(Fault("parse address", "", reason)) from error
    if not port.isdigit() or int(port) > 65_535:
        reason = f"{port!r} is not a port 0-65535"
        raise AddressError(Fault("parse address", "", reason))
    return Address(ip, int(port))


def parse_address(text: str) -> Result[Address, Fault]:
    """Read ``ip:port``; fail with what was found and what is expected."""
    # Here, so that a thin host which only reads its settings is spared the import.
    from returns.result import Failure, Success

    try:
        return Success(read_address(text))
    except AddressError as error:
        return Failure(error.fault)
