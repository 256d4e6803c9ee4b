"""Decide who may reach a service."""

import ipaddress
from collections.abc import Callable


def make_caller_check(networks: tuple[str, ...]) -> Callable[[int], bool]:
    """Return a check of a caller's address as a 32-bit number.

    No network admits nobody: a forgotten list must not open a service to all.
    """
    parsed = [ipaddress.IPv4Network(network) for network in networks]
    ranges = [
        (int(network.netmask), int(network.network_address)) for network in parsed
    ]

    def check(caller_ip: int) -> bool:
        return any(caller_ip & mask == base for mask, base in ranges)

    return check


def number_of(ip: str) -> int:
    """Return a dotted IPv4 address as a 32-bit number."""
    return int(ipaddress.IPv4Address(ip))
