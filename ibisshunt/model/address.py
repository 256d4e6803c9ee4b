"""Define the address on which a process or service listens."""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..exceptions import AddressError, Fault

if TYPE_CHECKING:
    from returns.result import Result


@dataclass(frozen=True, slots=True, order=True)
class Address:
    """An IPv4 address in dotted form and a port."""

    ip: str
    port: int

    def __str__(self) -> str:
        """Return ``ip:port``."""
        return f"{self.ip}:{self.port}"

    def as_pair(self) -> tuple[str, int]:
        """Return the ``(ip, port)`` tuple that the socket module uses."""
        return (self.ip, self.port)


def read_address(text: str) -> Address:
    """Parse ``ip:port``; raise AddressError if the text is malformed."""
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
    """Parse ``ip:port``; return a Fault if the text is malformed."""
    # Imported lazily: small hosts call only read_address, which does not need it.
    from returns.result import Failure, Success

    try:
        return Success(read_address(text))
    except AddressError as error:
        return Failure(error.fault)
