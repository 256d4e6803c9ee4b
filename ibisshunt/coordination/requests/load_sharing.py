"""Choose the agent of a service that runs a request."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

from .admission import Admission

# Older load reports are ignored.
MAX_LOAD_AGE_SECONDS: Final = 2.0
# A peer gets no requests for this long after a failed call.
SUSPENSION_SECONDS: Final = 2.0


@dataclass(frozen=True, slots=True)
class Load:
    """Load of an agent: running and queued requests, and usable slots.

    ``service_seconds`` is the mean time that a request runs in a slot. An agent that is
    ``stopping`` takes no more requests.
    """

    running: int
    queued: int
    slots: int
    service_seconds: float
    stopping: bool = False

    @property
    def estimated_wait(self) -> float:
        """Return the seconds that one more request would wait in the queue."""
        ahead = self.running + self.queued + 1 - self.slots
        return max(0, ahead) * self.service_seconds / max(1, self.slots)


RANDOM_CHOICES: Final = 2


def measure_load(admission: Admission, share: float, weight: float) -> Load:
    """Return the load that an agent reports when it uses ``share`` of its slots.

    ``weight`` is the weight of the agent's target in 0-1. A target that rejects
    requests at once looks idle, so the agent of an outlier reports its slots as taken.
    """
    slots = admission.count_usable_slots(share)
    running, seconds = len(admission.running), admission.service_seconds
    if weight < 1.0:
        running, seconds = max(running, slots), seconds / weight
    return Load(running, admission.queued, slots, seconds, admission.stopping)


@dataclass(slots=True)
class _Peer:
    load: Load
    reported_at: float
    sent_since_report: int = 0
    suspension_deadline: float = 0.0


class LoadSharing:
    """Store the newest load report of each other agent and choose among the agents.

    Reports travel with all messages between agents and need no messages of their own.
    """

    def __init__(self) -> None:
        self._peers: dict[int, _Peer] = {}

    def retain(self, incarnations: Iterable[int]) -> None:
        """Remove agents that are no longer members."""
        members = set(incarnations)
        removed = set(self._peers) - members
        for incarnation in removed:
            del self._peers[incarnation]

    def update_load(self, incarnation: int, load: Load, now: float) -> None:
        """Store the load report that came with a message."""
        peer = self._peers.setdefault(incarnation, _Peer(load, now))
        peer.load, peer.reported_at, peer.sent_since_report = load, now, 0

    def list_known_peers(self) -> tuple[int, ...]:
        """Return the agents whose load is known."""
        return tuple(self._peers)

    def suspend(self, incarnation: int, now: float) -> None:
        """Send no requests to an agent for a while, after a failed call."""
        if peer := self._peers.get(incarnation):
            peer.suspension_deadline = now + SUSPENSION_SECONDS

    def choose_peer(
        self,
        local_load: Load,
        random_fraction: Callable[[], float],
        now: float,
        weights: dict[int, float],
    ) -> int | None:
        """Return the agent that should run a new request, or None for this one.

        This agent is compared with two others at random. Requests that were sent to an
        agent since its last report count as its load, otherwise all agents would send
        theirs to the one that reported idle slots a moment ago.
        """
        if local_load.estimated_wait <= 0 and not local_load.stopping:
            return None
        usable = [peer for peer in self._peers if self._is_usable(peer, now)]
        if not usable:
            return None
        candidates = {
            usable[int(random_fraction() * len(usable))] for _ in range(RANDOM_CHOICES)
        }
        wait, chosen = min(
            (self._estimate_wait(peer, weights), peer) for peer in candidates
        )
        if wait >= local_load.estimated_wait and not local_load.stopping:
            return None
        self._peers[chosen].sent_since_report += 1
        return chosen

    def _estimate_wait(self, incarnation: int, weights: dict[int, float]) -> float:
        peer = self._peers[incarnation]
        seconds_per_request = peer.load.service_seconds / max(1, peer.load.slots)
        weight = max(0.05, weights.get(incarnation, 1.0))
        return (
            peer.load.estimated_wait + peer.sent_since_report * seconds_per_request
        ) / weight

    def find_longest_queue(self, now: float) -> int | None:
        """Return the agent whose queue is longest in seconds, to pull from."""
        queue_seconds = [
            (peer.load.queued * peer.load.service_seconds, incarnation)
            for incarnation, peer in self._peers.items()
            if peer.load.queued > 0 and self._is_responsive(peer, now)
        ]
        return max(queue_seconds)[1] if queue_seconds else None

    def _is_usable(self, incarnation: int, now: float) -> bool:
        peer = self._peers[incarnation]
        return self._is_responsive(peer, now) and not peer.load.stopping

    @staticmethod
    def _is_responsive(peer: _Peer, now: float) -> bool:
        is_recent = now - peer.reported_at <= MAX_LOAD_AGE_SECONDS
        return is_recent and now >= peer.suspension_deadline
