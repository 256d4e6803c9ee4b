"""Hash flows, targets and buckets, and score targets for rendezvous hashing."""

import math
import struct
from typing import Final

import xxhash

from ...const import WARM_UP_SECONDS
from ...model.target import Target

BUCKETS: Final = 4096
# The slow-start share of a cold target grows in steps of this length: each step costs a
# rebuild of the service's table.
RAMP_STEP_SECONDS: Final = 2.5
MIN_SHARE: Final = 0.05
HASH_RANGE: Final = 2.0**64

_BUCKET = struct.Struct("!H")


def find_bucket(key: bytes) -> int:
    """Return the bucket of a flow key; it is the same on every node."""
    return xxhash.xxh3_64_intdigest(key) & (BUCKETS - 1)


def pack_bucket(bucket: int) -> bytes:
    """Return the bytes of a bucket that go into hashes."""
    return _BUCKET.pack(bucket)


def hash_name(name: str) -> int:
    """Return the hash of a target's name."""
    return xxhash.xxh3_64_intdigest(name.encode())


def hash_instance(target: Target) -> int:
    """Return the instance id of a target: a hash of its name, host and tunnel.

    It does not change when the agent beside the target restarts. A target that replaces
    another under the same name has another tunnel and so another id: it must not be
    taken for the owner of flows that the old target still has.
    """
    announcement = target.announcement
    text = f"{announcement.name} {announcement.host} {announcement.tunnel}"
    return xxhash.xxh3_64_intdigest(text.encode())


def compute_score(digest: int, weight: int) -> float:
    """Return the weighted rendezvous score of a digest; the smallest wins."""
    return -math.log((digest + 1) / HASH_RANGE) / weight


def compute_share(target: Target, now: float) -> float:
    """Return the slow-start share of a target in 0-1; ``now`` is wall-clock seconds."""
    left = target.warm_deadline - now
    if left <= 0:
        return 1.0
    steps = math.ceil(left / RAMP_STEP_SECONDS)
    return max(MIN_SHARE, 1.0 - steps * RAMP_STEP_SECONDS / WARM_UP_SECONDS)


def find_next_ramp_step(targets: tuple[Target, ...], now: float) -> float:
    """Return the time at which a slow-start share next grows, or infinity."""
    seconds_left = [target.warm_deadline - now for target in targets]
    steps = [
        left % RAMP_STEP_SECONDS or RAMP_STEP_SECONDS
        for left in seconds_left
        if left > 0
    ]
    return now + min(steps) if steps else math.inf
