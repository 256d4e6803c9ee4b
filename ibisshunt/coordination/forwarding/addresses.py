"""Write lists of IPv4 addresses in four bytes each."""

from collections.abc import Iterable
from functools import lru_cache

ADDRESS_BYTES = 4
# Addresses that are kept in both forms.
MAX_KEPT = 8_192


@lru_cache(MAX_KEPT)
def pack_address(address: str) -> bytes:
    """Return the four bytes of an address like ``10.0.0.1``."""
    return bytes(int(part) for part in address.split("."))


@lru_cache(MAX_KEPT)
def unpack_address(packed: bytes) -> str:
    """Return the address that four bytes stand for."""
    return ".".join(str(part) for part in packed)


def pack_addresses(addresses: Iterable[str]) -> bytes:
    """Return the addresses one after the other."""
    return b"".join(map(pack_address, addresses))


def unpack_addresses(packed: bytes) -> tuple[str, ...]:
    """Return the addresses; bytes of a broken last one are left out."""
    ends = range(ADDRESS_BYTES, len(packed) + 1, ADDRESS_BYTES)
    return tuple(unpack_address(packed[end - ADDRESS_BYTES : end]) for end in ends)
