"""Order the targets of a service for each bucket of flows by rendezvous hashing."""

from array import array
from collections.abc import Iterator
from typing import Final

import xxhash

from ...model.configuration import ServiceSlice
from ...model.target import Target, TargetState
from .ranking import (
    BUCKETS,
    HASH_RANGE,
    compute_score,
    compute_share,
    find_next_ramp_step,
    hash_instance,
    hash_name,
    pack_bucket,
)

MAX_CHAIN_LENGTH: Final = 32
# Buckets that are computed before other tasks may run.
PRECOMPUTE_BATCH_BUCKETS: Final = 64
NO_TARGET_INDEX: Final = -1
_NOT_COMPUTED: Final = -2


class ServiceTable:
    """Compute the chain of each bucket of one service.

    A chain starts with the first and second choice for new flows. The other targets
    follow, the likeliest owners of older flows first. A table is a pure function of
    the slice and ``now`` (wall-clock seconds); chains are computed on first use.

    The order is weighted rendezvous hashing over *all* targets, whatever their state.
    A leaving target accepts no new flows, but keeps its position in the order, so that
    the chain still leads to it.
    """

    def __init__(self, slice_: ServiceSlice, now: float) -> None:
        self.slice = slice_
        self.number = slice_.number
        self.revision = slice_.revision
        self.targets = tuple(
            target for target in slice_.targets if target.state != TargetState.GONE
        )
        self.by_incarnation = {target.incarnation: target for target in self.targets}
        self.valid_until = find_next_ramp_step(self.targets, now)
        # When all leases have expired, the control hosts are more likely unreachable
        # than all targets dead: suspects then accept new flows.
        ready = [target for target in self.targets if target.takes_new_work]
        accepting = ready or [target for target in self.targets if target.is_suspect]
        self._accepting_incarnations = {target.incarnation for target in accepting}
        self._name_hashes = [hash_name(target.name) for target in self.targets]
        self._instance_ids = [hash_instance(target) for target in self.targets]
        self._shares = [compute_share(target, now) for target in self.targets]
        self._weights = [max(1, target.announcement.weight) for target in self.targets]
        self._accepting_indexes = self._list_accepting_indexes()
        self._has_warming_target = any(
            self._shares[index] < 1 for index in self._accepting_indexes
        )
        self._has_equal_weights = (
            len({self._weights[index] for index in self._accepting_indexes}) == 1
        )
        self._chains: dict[int, tuple[Target, ...]] = {}
        self._choice_counts: dict[int, int] = {}
        # Balancers need only the first choices, but of every service: two bytes for
        # each bucket instead of a chain.
        self._first_indexes = array("h", [_NOT_COMPUTED]) * BUCKETS

    def _list_accepting_indexes(self) -> list[int]:
        """Return the indexes of targets that accept new flows, newest first.

        Two incarnations of one name have the same score: the newer one wins.
        """
        accepting = [
            index
            for index, target in enumerate(self.targets)
            if self.accepts_new_flows(target)
        ]
        return sorted(accepting, key=lambda index: -self.targets[index].incarnation)

    def is_outdated(self, now: float) -> bool:
        """Return whether a slow-start share has grown since the table was built."""
        return now >= self.valid_until

    def find_first_index(self, bucket: int) -> int:
        """Return the index in ``targets`` of the first choice, or -1 without targets.

        If no target accepts new flows it is the likeliest owner of older ones: it
        delivers those and refuses new flows.
        """
        first = self._first_indexes[bucket]
        if first == _NOT_COMPUTED:
            first = self._first_indexes[bucket] = self._compute_first_index(bucket)
        return first

    def _compute_first_index(self, bucket: int) -> int:
        """Return the index of the first choice without computing the chain."""
        indexes = self._accepting_indexes
        if self._has_warming_target:
            covering = [
                index for index in indexes if self._covers_bucket(bucket, index)
            ]
            indexes = covering or indexes
        if not indexes:
            order = sorted(self._rank(bucket), key=self._is_suspect)
            return order[0] if order else NO_TARGET_INDEX
        salt = pack_bucket(bucket)
        name_hashes = self._name_hashes
        digests = [
            xxhash.xxh3_64_intdigest(salt, name_hashes[index]) for index in indexes
        ]
        if self._has_equal_weights:
            # With equal weights the largest digest wins: no logarithm is needed.
            return indexes[digests.index(max(digests))]
        scores = [
            compute_score(digest, self._weights[index])
            for digest, index in zip(digests, indexes, strict=True)
        ]
        return indexes[scores.index(min(scores))]

    def find_chain(self, bucket: int) -> tuple[Target, ...]:
        """Return the targets to try, first choice first; at most MAX_CHAIN_LENGTH."""
        chain = self._chains.get(bucket)
        if chain is None:
            chain = self._chains[bucket] = self._make_chain(bucket)
        return chain

    def find_choices(self, bucket: int) -> tuple[Target, ...]:
        """Return the first and second choice for new flows, as far as there are any."""
        chain = self.find_chain(bucket)
        return chain[: self._choice_counts[bucket]]

    def accepts_new_flows(self, target: Target) -> bool:
        """Return whether a target accepts new flows."""
        return target.incarnation in self._accepting_incarnations

    def find_first_incarnation(self, bucket: int) -> int:
        """Return the incarnation of the first choice, or 0 without targets."""
        index = self.find_first_index(bucket)
        return 0 if index == NO_TARGET_INDEX else self.targets[index].incarnation

    def list_first_incarnations(self) -> list[int]:
        """Return the incarnation of the first choice of every bucket."""
        incarnations = [target.incarnation for target in self.targets] + [0]
        return [
            incarnations[self.find_first_index(bucket)] for bucket in range(BUCKETS)
        ]

    def find_by_instance(self, instance_id: int) -> Target | None:
        """Return the newest incarnation with an instance id, or None."""
        matching = [
            target
            for target, known_id in zip(self.targets, self._instance_ids, strict=True)
            if known_id == instance_id
        ]
        return max(matching, key=lambda target: target.incarnation, default=None)

    def compute_share(self, incarnation: int) -> float:
        """Return the slow-start share of a target in 0-1; 1 for an unknown target."""
        for target, share in zip(self.targets, self._shares, strict=True):
            if target.incarnation == incarnation:
                return share
        return 1.0

    def precompute(self) -> Iterator[int]:
        """Compute the first choice of every bucket; yield after each batch.

        For a large service this takes long enough to delay other tasks.
        """
        for start in range(0, BUCKETS, PRECOMPUTE_BATCH_BUCKETS):
            for bucket in range(start, start + PRECOMPUTE_BATCH_BUCKETS):
                self.find_first_index(bucket)
            yield start

    def _make_chain(self, bucket: int) -> tuple[Target, ...]:
        ranked = self._rank(bucket)
        choices = self._choose_first_two(bucket, ranked)
        self._choice_counts[bucket] = len(choices)
        rest = [index for index in ranked if index not in choices]
        # A suspect may be dead and a packet that is forwarded to it lost, so suspects
        # come last. They stay in the chain because they may be alive.
        rest.sort(key=self._is_suspect)
        order = (choices + rest)[:MAX_CHAIN_LENGTH]
        return tuple(self.targets[index] for index in order)

    def _is_suspect(self, index: int) -> bool:
        return self.targets[index].state == TargetState.SUSPECT

    def _rank(self, bucket: int) -> list[int]:
        """Return the indexes of all targets by weighted rendezvous hashing."""
        salt = pack_bucket(bucket)
        scores = []
        for index, target in enumerate(self.targets):
            digest = xxhash.xxh3_64_intdigest(salt, self._name_hashes[index])
            score = compute_score(digest, self._weights[index])
            scores.append((score, -target.incarnation, index))
        scores.sort()
        return [index for _, _, index in scores]

    def _choose_first_two(self, bucket: int, ranked: list[int]) -> list[int]:
        """Return the first two accepting targets, if possible of two domains."""
        accepting = [
            index for index in ranked if self.accepts_new_flows(self.targets[index])
        ]
        eligible = [
            index for index in accepting if self._covers_bucket(bucket, index)
        ] or accepting
        if len(eligible) < 2:
            return eligible
        first = eligible[0]
        domain = self.targets[first].failure_domain
        for index in eligible[1:]:
            if self.targets[index].failure_domain != domain:
                return [first, index]
        return eligible[:2]

    def _covers_bucket(self, bucket: int, index: int) -> bool:
        """Return whether the slow-start share of a target covers this bucket.

        A larger share covers all buckets of a smaller one, so a ramp only adds buckets.
        """
        share = self._shares[index]
        if share >= 1.0:
            return True
        salt = b"ramp" + pack_bucket(bucket)
        digest = xxhash.xxh3_64_intdigest(salt, self._name_hashes[index])
        return digest / HASH_RANGE < share
