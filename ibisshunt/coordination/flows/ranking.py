"""Turn flows, targets and buckets into the numbers that rank them."""

import math
import struct
from typing import Final

import xxhash

from ...const import WARM_UP_SECONDS
from ...model.target import Target

BUCKETS: Final = 4096
# The share of a cold target grows in steps of this many seconds: each step costs a
# rebuild of the service's table.
RAMP_STEP_SECONDS: Final = 2.5
SMALLEST_SHARE: Final = 0.05
HASH_RANGE: Final = 2.0**64

_BUCKET = struct.Struct("!H")


def find_bucket(key: bytes) -> int:
    """Return the bucket of a flow key; every node finds the same."""
    return xxhash.xxh3_64_intdigest(key) & (BUCKETS - 1)


def pack_bucket(bucket: int) -> bytes:
    """Return the bytes that stand for a bucket in all hashes."""
    return _BUCKET.pack(bucket)


def identify_target(name: str) -> int:
    """Return the number that stands for a target's name in all hashes."""
    return xxhash.xxh3_64_intdigest(name.encode())


def identify_place(target: Target) -> int:
    """Return the number of a target on its host.

    An agent that restarts beside its target keeps it. A target that replaces another
    under the same name has a tunnel of its own: it must not be taken for the owner of
    flows that the other still holds.
    """
    announcement = target.announcement
    text = f"{announcement.name} {announcement.host} {announcement.tunnel}"
    return xxhash.xxh3_64_intdigest(text.encode())


def find_score(digest: int, weight: int) -> float:
    """Return the weighted rendezvous score of a digest; the smallest wins."""
    return -math.log((digest + 1) / HASH_RANGE) / weight


def find_share(target: Target, now: float) -> float:
    """Return the part of its full share that a target takes by now."""
    left = target.warm_deadline - now
    if left <= 0:
        return 1.0
    steps = math.ceil(left / RAMP_STEP_SECONDS)
    return max(SMALLEST_SHARE, 1.0 - steps * RAMP_STEP_SECONDS / WARM_UP_SECONDS)


def find_next_step(targets: tuple[Target, ...], now: float) -> float:
    """Return the time at which a share next grows; infinity when all are warm."""
    lefts = [target.warm_deadline - now for target in targets]
    steps = [
        left % RAMP_STEP_SECONDS or RAMP_STEP_SECONDS for left in lefts if left > 0
    ]
    return now + min(steps) if steps else math.inf
