"""Order the targets of a service for each bucket of flows."""

import math
import struct
from array import array
from collections.abc import Iterator
from typing import Final

import xxhash

from ...const import WARM_UP_SECONDS
from ...model.configuration import ServiceSlice
from ...model.target import Target, TargetState

BUCKETS: Final = 4096
CHAIN_LIMIT: Final = 32
# The share of a cold target grows in steps of this many seconds: each step costs a
# rebuild of the service's table.
RAMP_STEP_SECONDS: Final = 1.0
SMALLEST_SHARE: Final = 0.05
# Buckets worked out before other tasks may run.
PREPARE_STEP: Final = 64

NOBODY: Final = -1
_UNKNOWN: Final = -2
_UNIT: Final = 2.0**64
_BUCKET = struct.Struct("!H")


def find_bucket(key: bytes) -> int:
    """Return the bucket of a flow key; every node finds the same."""
    return xxhash.xxh3_64_intdigest(key) & (BUCKETS - 1)


def identify_target(name: str) -> int:
    """Return the number that stands for a target's name in all hashes."""
    return xxhash.xxh3_64_intdigest(name.encode())


class ServiceTable:
    """Give the chain of each bucket of one service.

    A chain starts with the first and second choice for new flows; then come the other
    targets in the order in which they are likely to own older flows. The whole is a
    pure function of the slice and ``now`` (wall-clock seconds): chains are worked out
    when first asked for, and kept.

    The order is weighted rendezvous hashing over *all* targets, whatever their state:
    a target that leaves keeps its place in the order and only takes no new flows, so
    that the chain still leads to it.
    """

    def __init__(self, slice_: ServiceSlice, now: float) -> None:
        self.slice = slice_
        self.number = slice_.number
        self.revision = slice_.revision
        self.targets = tuple(
            target for target in slice_.targets if target.state != TargetState.GONE
        )
        self.by_incarnation = {target.incarnation: target for target in self.targets}
        self.valid_until = _find_next_step(self.targets, now)
        # When every lease has run out it is control that cannot be reached, rather than
        # that all targets died at once: suspects then take new flows.
        ready = [target for target in self.targets if target.takes_new_work]
        takers = ready or [target for target in self.targets if target.is_suspect]
        self._takers = {target.incarnation for target in takers}
        self._identities = [identify_target(target.name) for target in self.targets]
        self._shares = [_find_share(target, now) for target in self.targets]
        self._is_plain = self._check_plain()
        self._chains: dict[int, tuple[Target, ...]] = {}
        self._choices: dict[int, int] = {}
        # Balancers ask for the first choice only and hold every service: two bytes a
        # bucket instead of a chain.
        self._firsts = array("h", [_UNKNOWN]) * BUCKETS

    def _check_plain(self) -> bool:
        """Tell whether all targets take new flows, alike, under names of their own."""
        weights = {target.announcement.weight for target in self.targets}
        return (
            len(weights) == 1
            and len(self._takers) == len(self.targets)
            and min(self._shares) >= 1.0
            and len(set(self._identities)) == len(self._identities)
        )

    def is_old(self, now: float) -> bool:
        """Tell whether the share of a cold target has grown since."""
        return now >= self.valid_until

    def find_first(self, bucket: int) -> int:
        """Return the index in ``targets`` of whom to ask first, or -1 for nobody.

        Without a taker it is the likeliest owner: it serves its old flows and refuses
        new ones truthfully.
        """
        first = self._firsts[bucket]
        if first == _UNKNOWN:
            ranked = self._rank(bucket)
            order = self._choose(bucket, ranked) or sorted(ranked, key=self._is_suspect)
            first = self._firsts[bucket] = order[0] if order else NOBODY
        return first

    def find_chain(self, bucket: int) -> tuple[Target, ...]:
        """Return the targets to ask, first choice first; at most CHAIN_LIMIT."""
        chain = self._chains.get(bucket)
        if chain is None:
            chain = self._chains[bucket] = self._make_chain(bucket)
        return chain

    def find_choices(self, bucket: int) -> tuple[Target, ...]:
        """Return the first and second choice for new flows; may be empty."""
        chain = self.find_chain(bucket)
        return chain[: self._choices[bucket]]

    def is_taker(self, target: Target) -> bool:
        """Tell whether a target may take new flows."""
        return target.incarnation in self._takers

    def name_first(self, bucket: int) -> int:
        """Return the incarnation of whom to ask first, or 0 for nobody."""
        index = self.find_first(bucket)
        return 0 if index == NOBODY else self.targets[index].incarnation

    def list_firsts(self) -> list[int]:
        """Return the incarnation of whom to ask first, for every bucket."""
        names = [target.incarnation for target in self.targets] + [0]
        return [names[self.find_first(bucket)] for bucket in range(BUCKETS)]

    def find_by_identity(self, identity: int) -> Target | None:
        """Return the newest incarnation of the target with that number."""
        found = [
            target
            for target, known in zip(self.targets, self._identities, strict=True)
            if known == identity
        ]
        return max(found, key=lambda target: target.incarnation, default=None)

    def find_share(self, incarnation: int) -> float:
        """Return the part of its full share that a target takes; 1 when unknown."""
        for target, share in zip(self.targets, self._shares, strict=True):
            if target.incarnation == incarnation:
                return share
        return 1.0

    def prepare(self) -> Iterator[int]:
        """Work out the first choice of every bucket; yield between the steps.

        A large service takes a while: the caller lets other tasks run in between.
        """
        for start in range(0, BUCKETS, PREPARE_STEP):
            for bucket in range(start, start + PREPARE_STEP):
                self.find_first(bucket)
            yield start

    def _make_chain(self, bucket: int) -> tuple[Target, ...]:
        ranked = self._rank(bucket)
        choices = self._choose(bucket, ranked)
        self._choices[bucket] = len(choices)
        rest = [index for index in ranked if index not in choices]
        # A suspect may be dead: a packet that walks through it would be lost, so it
        # is asked last. It is asked all the same, because it may be alive.
        rest.sort(key=self._is_suspect)
        order = (choices + rest)[:CHAIN_LIMIT]
        return tuple(self.targets[index] for index in order)

    def _is_suspect(self, index: int) -> bool:
        return self.targets[index].state == TargetState.SUSPECT

    def _rank(self, bucket: int) -> list[int]:
        """Return the indexes of all targets by weighted rendezvous hashing."""
        salt = _BUCKET.pack(bucket)
        scores = []
        for index, target in enumerate(self.targets):
            digest = xxhash.xxh3_64_intdigest(salt, self._identities[index])
            weight = max(1, target.announcement.weight)
            score = -math.log((digest + 1) / _UNIT) / weight
            # Two incarnations of one name score alike: the newer goes first.
            scores.append((score, -target.incarnation, index))
        scores.sort()
        return [index for _, _, index in scores]

    def _choose(self, bucket: int, ranked: list[int]) -> list[int]:
        """Return the first two takers, in two failure domains where there are two."""
        ready = [index for index in ranked if self.is_taker(self.targets[index])]
        takers = [index for index in ready if self._is_warm(bucket, index)] or ready
        if len(takers) < 2:
            return takers
        first = takers[0]
        domain = self.targets[first].failure_domain
        for index in takers[1:]:
            if self.targets[index].failure_domain != domain:
                return [first, index]
        return takers[:2]

    def _is_warm(self, bucket: int, index: int) -> bool:
        """Tell whether a target's share so far covers this bucket.

        The buckets of a smaller share are part of those of a larger one: a ramp only
        ever adds buckets.
        """
        share = self._shares[index]
        if share >= 1.0:
            return True
        salt = b"ramp" + _BUCKET.pack(bucket)
        digest = xxhash.xxh3_64_intdigest(salt, self._identities[index])
        return digest / _UNIT < share


def _find_share(target: Target, now: float) -> float:
    """Return the part of its full share that a target takes by now."""
    left = target.warm_deadline - now
    if left <= 0:
        return 1.0
    steps = math.ceil(left / RAMP_STEP_SECONDS)
    return max(SMALLEST_SHARE, 1.0 - steps * RAMP_STEP_SECONDS / WARM_UP_SECONDS)


def _find_next_step(targets: tuple[Target, ...], now: float) -> float:
    """Return the time at which a share next grows; infinity when all are warm."""
    lefts = [target.warm_deadline - now for target in targets]
    steps = [
        left % RAMP_STEP_SECONDS or RAMP_STEP_SECONDS for left in lefts if left > 0
    ]
    return now + min(steps) if steps else math.inf
