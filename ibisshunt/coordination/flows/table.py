"""Order the targets of a service for each bucket of flows."""

from array import array
from collections.abc import Iterator
from typing import Final

import xxhash

from ...model.configuration import ServiceSlice
from ...model.target import Target, TargetState
from .ranking import (
    BUCKETS,
    HASH_RANGE,
    find_next_step,
    find_score,
    find_share,
    identify_place,
    identify_target,
    pack_bucket,
)

CHAIN_LIMIT: Final = 32
# Buckets worked out before other tasks may run.
PREPARE_STEP: Final = 64
NOBODY: Final = -1
_UNKNOWN: Final = -2


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
        self.valid_until = find_next_step(self.targets, now)
        # When every lease has run out it is control that cannot be reached, rather than
        # that all targets died at once: suspects then take new flows.
        ready = [target for target in self.targets if target.takes_new_work]
        takers = ready or [target for target in self.targets if target.is_suspect]
        self._takers = {target.incarnation for target in takers}
        self._identities = [identify_target(target.name) for target in self.targets]
        self._places = [identify_place(target) for target in self.targets]
        self._shares = [find_share(target, now) for target in self.targets]
        self._weights = [max(1, one.announcement.weight) for one in self.targets]
        self._newest_takers = self._sort_takers()
        self._has_cold = any(self._shares[one] < 1 for one in self._newest_takers)
        self._is_even = len({self._weights[one] for one in self._newest_takers}) == 1
        self._chains: dict[int, tuple[Target, ...]] = {}
        self._choices: dict[int, int] = {}
        # Balancers ask for the first choice only and hold every service: two bytes a
        # bucket instead of a chain.
        self._firsts = array("h", [_UNKNOWN]) * BUCKETS

    def _sort_takers(self) -> list[int]:
        """Return the indexes of the takers, the newest incarnation first.

        Two incarnations of one name score alike: the newer wins.
        """
        takers = [
            index for index, target in enumerate(self.targets) if self.is_taker(target)
        ]
        return sorted(takers, key=lambda one: -self.targets[one].incarnation)

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
            first = self._firsts[bucket] = self._work_out_first(bucket)
        return first

    def _work_out_first(self, bucket: int) -> int:
        """Return what the chain starts with, without working out the chain."""
        candidates = self._newest_takers
        if self._has_cold:
            warm = [index for index in candidates if self._is_warm(bucket, index)]
            candidates = warm or candidates
        if not candidates:
            order = sorted(self._rank(bucket), key=self._is_suspect)
            return order[0] if order else NOBODY
        salt = pack_bucket(bucket)
        identities = self._identities
        digests = [
            xxhash.xxh3_64_intdigest(salt, identities[index]) for index in candidates
        ]
        if self._is_even:
            # All take an equal part: the largest digest wins and needs no logarithm.
            return candidates[digests.index(max(digests))]
        scores = [
            find_score(digest, self._weights[index])
            for digest, index in zip(digests, candidates, strict=True)
        ]
        return candidates[scores.index(min(scores))]

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

    def find_by_place(self, place: int) -> Target | None:
        """Return the newest incarnation of the target in a place."""
        found = [
            target
            for target, known in zip(self.targets, self._places, strict=True)
            if known == place
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
        salt = pack_bucket(bucket)
        scores = []
        for index, target in enumerate(self.targets):
            digest = xxhash.xxh3_64_intdigest(salt, self._identities[index])
            score = find_score(digest, self._weights[index])
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
        salt = b"ramp" + pack_bucket(bucket)
        digest = xxhash.xxh3_64_intdigest(salt, self._identities[index])
        return digest / HASH_RANGE < share
