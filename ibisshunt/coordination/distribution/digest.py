"""Take a digest over a configuration, slice by slice."""

from collections.abc import Iterable

import xxhash

from ...model.configuration import ServiceSlice
from ...protocol.codec import encode


def digest_slice(found: ServiceSlice) -> int:
    """Return 64 bits that stand for the slice with its number and revision."""
    return xxhash.xxh3_64_intdigest(encode(found))


def combine_digests(digests: Iterable[int]) -> int:
    """Return one digest for a set of slices, in any order.

    Exclusive or lets a node renew the digest from the changed slices alone.
    """
    whole = 0
    for digest in digests:
        whole ^= digest
    return whole
