"""Check which callers may open flows."""

import ipaddress
from collections.abc import Callable, Iterable
from typing import Final

MAX_CACHED_CALLERS: Final = 16_384


def make_caller_check(networks: Iterable[str]) -> Callable[[bytes], bool]:
    """Return a function that checks whether an address of 4 bytes is allowed.

    ``networks`` are in CIDR form; without any, no caller is allowed. Results are
    cached, so that a packet of a known caller costs one look-up.
    """
    parsed = [ipaddress.IPv4Network(network, strict=False) for network in networks]
    ranges = [(int(net.netmask), int(net.network_address)) for net in parsed]
    results: dict[bytes, bool] = {}

    def is_allowed(caller: bytes) -> bool:
        result = results.get(caller)
        if result is not None:
            return result
        number = int.from_bytes(caller, "big")
        result = any(number & mask == network for mask, network in ranges)
        # A scan from many spoofed addresses must not exhaust the memory.
        if len(results) >= MAX_CACHED_CALLERS:
            results.clear()
        results[caller] = result
        return result

    return is_allowed
