"""Recover the flows of a target from the peers of its agent after a restart."""

from collections import Counter
from enum import IntEnum
from typing import Final

from ...model.target import Target
from .ranking import hash_instance

# How long an agent waits after its start for the peers' lists of its flows.
RECALL_TIMEOUT_SECONDS: Final = 0.4
MAX_INSTANCES: Final = 8192


class InstanceStatus(IntEnum):
    """What a peer knows of an instance: a target on its host."""

    UNSURE = 0
    # The target had an agent before: it may have flows.
    KNOWN = 1
    # The instance is new: it cannot have flows yet.
    FRESH = 2


class InstanceHistory:
    """Record the instances of a service and the agents that were seen beside them."""

    def __init__(self) -> None:
        self._first_seen: dict[int, tuple[int, InstanceStatus]] = {}
        self._agent_starts: dict[int, int] = {}
        self._has_seen_table = False

    def add_targets(self, targets: tuple[Target, ...]) -> None:
        """Record the targets of a table."""
        status = InstanceStatus.FRESH if self._has_seen_table else InstanceStatus.UNSURE
        self._has_seen_table = True
        for target in targets:
            self._first_seen.setdefault(
                hash_instance(target), (target.incarnation, status)
            )
        while len(self._first_seen) > MAX_INSTANCES:
            del self._first_seen[next(iter(self._first_seen))]

    def classify(
        self, instance_id: int, incarnation: int, start_id: int
    ) -> InstanceStatus:
        """Return the status of an instance whose agent has just started.

        An agent that restarts beside its target may keep its incarnation; ``start_id``
        distinguishes it from the previous agent.
        """
        first_incarnation, status = self._first_seen.get(
            instance_id, (incarnation, InstanceStatus.FRESH)
        )
        if len(self._agent_starts) >= MAX_INSTANCES:
            self._agent_starts.clear()
        known_start_id = self._agent_starts.setdefault(instance_id, start_id)
        if first_incarnation != incarnation or known_start_id != start_id:
            return InstanceStatus.KNOWN
        return status


class Recall:
    """Track the answers of the peers to one recall, after the start of an agent."""

    def __init__(self) -> None:
        self.has_started = False
        self._deadline = 0.0
        self._answer_deadline = 0.0
        self._pending_peers: set[int] = set()
        self._received_keys: Counter[int] = Counter()
        self._statuses: set[int] = set()

    def start(self, peers: set[int], now: float) -> None:
        """Wait for the answers of these peers; without any the recall has ended."""
        self.has_started = True
        self._pending_peers = set(peers)
        self._answer_deadline = now + RECALL_TIMEOUT_SECONDS
        self._deadline = self._answer_deadline if peers else 0.0

    def is_running(self, now: float) -> bool:
        """Return whether the recall still waits for answers."""
        return now < self._deadline

    def accepts_answers(self, now: float) -> bool:
        """Return whether an answer still counts; that of a suspect may be late."""
        return now < self._answer_deadline

    def list_pending_peers(self) -> set[int]:
        """Return the peers whose answer is not complete."""
        return set(self._pending_peers)

    def add_received_keys(self, peer: int, key_count: int) -> None:
        """Count the keys in a datagram from a peer."""
        self._received_keys[peer] += key_count

    def finish_peer(self, peer: int, total: int, status: int) -> None:
        """Handle the datagram that ends a peer's answer.

        The recall ends when the answers of all peers are complete. A peer whose answer
        lacks keys is asked again until the deadline.
        """
        self._statuses.add(status)
        if self._received_keys.pop(peer, 0) >= total:
            self._pending_peers.discard(peer)
        if not self._pending_peers:
            self._deadline = 0.0

    def is_new_instance(self) -> bool:
        """Return whether the peers know that this instance cannot have older flows.

        A new target must not adopt flows without a known owner: they may belong to a
        target whose agent is restarting.
        """
        return (
            InstanceStatus.FRESH in self._statuses
            and InstanceStatus.KNOWN not in self._statuses
        )
