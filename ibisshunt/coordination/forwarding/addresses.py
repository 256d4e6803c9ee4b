"""Encode IPv4 addresses in four bytes each."""

from collections.abc import Iterable
from functools import lru_cache

ADDRESS_BYTES = 4
# Most cached addresses, in each direction.
CACHE_SIZE = 8_192


@lru_cache(CACHE_SIZE)
def pack_address(address: str) -> bytes:
    """Return the four bytes of an address like ``10.0.0.1``."""
    return bytes(int(part) for part in address.split("."))


@lru_cache(CACHE_SIZE)
def unpack_address(packed: bytes) -> str:
    """Return the address of four bytes."""
    return ".".join(str(part) for part in packed)


def pack_addresses(addresses: Iterable[str]) -> bytes:
    """Return the concatenated addresses, four bytes each."""
    return b"".join(map(pack_address, addresses))


def unpack_addresses(packed: bytes) -> tuple[str, ...]:
    """Return the addresses; ignore an incomplete last one."""
    ends = range(ADDRESS_BYTES, len(packed) + 1, ADDRESS_BYTES)
    return tuple(unpack_address(packed[end - ADDRESS_BYTES : end]) for end in ends)
