"""Check which callers may open flows."""

import ipaddress
from collections.abc import Callable, Iterable
from typing import Final

MAX_REMEMBERED_CALLERS: Final = 16_384


def make_caller_check(networks: Iterable[str]) -> Callable[[bytes], bool]:
    """Return a function that tells whether an address of 4 bytes is allowed.

    ``networks`` are in CIDR form; no entry admits nobody. Verdicts are kept, up to a
    bound, so that a packet of a known caller costs one look-up.
    """
    parsed = [ipaddress.IPv4Network(network, strict=False) for network in networks]
    ranges = [(int(net.netmask), int(net.network_address)) for net in parsed]
    verdicts: dict[bytes, bool] = {}

    def admit(caller: bytes) -> bool:
        verdict = verdicts.get(caller)
        if verdict is not None:
            return verdict
        number = int.from_bytes(caller, "big")
        verdict = any(number & mask == network for mask, network in ranges)
        # A scan from many forged addresses must not fill the memory.
        if len(verdicts) >= MAX_REMEMBERED_CALLERS:
            verdicts.clear()
        verdicts[caller] = verdict
        return verdict

    return admit
