"""Digests of configurations and of their slices."""

from collections.abc import Iterable

import xxhash

from ...model.configuration import ServiceSlice
from ...protocol.codec import encode


def digest_slice(service_slice: ServiceSlice) -> int:
    """Return a 64-bit digest of a slice, including its number and revision."""
    return xxhash.xxh3_64_intdigest(encode(service_slice))


def combine_digests(digests: Iterable[int]) -> int:
    """Return the digest of a set of slices, in any order.

    It is the exclusive or of the slice digests, so that a node can update it from the
    changed slices alone.
    """
    combined = 0
    for digest in digests:
        combined ^= digest
    return combined
