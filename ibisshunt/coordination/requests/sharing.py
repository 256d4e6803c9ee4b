"""Decide which agent of a service runs a request that has not started."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

from .admission import Admission

# A load that was heard longer ago says nothing any more, in seconds.
LOAD_AGE_SECONDS: Final = 2.0
# A peer that failed a call gets nothing for this long, in seconds.
SET_ASIDE_SECONDS: Final = 2.0


@dataclass(frozen=True, slots=True)
class Load:
    """Tell how busy an agent is: requests in slots, waiting, and its usable slots.

    ``service_seconds`` is the mean time in a slot. ``stopping`` asks for no more work.
    """

    running: int
    queued: int
    slots: int
    service_seconds: float
    stopping: bool = False

    @property
    def wait(self) -> float:
        """Return the seconds that one more request would wait."""
        ahead = self.running + self.queued + 1 - self.slots
        return max(0, ahead) * self.service_seconds / max(1, self.slots)


CHOICES: Final = 2


def measure_load(admission: Admission, share: float, weight: float) -> Load:
    """Return the load of an agent that uses ``share`` of its slots.

    ``weight`` is that of its own target. A target that refuses at once looks idle;
    what was seen of it counts more, so an outlier tells that its slots are taken.
    """
    slots = admission.count_usable(share)
    running, seconds = len(admission.running), admission.service_seconds
    if weight < 1.0:
        running, seconds = max(running, slots), seconds / weight
    return Load(running, admission.queued, slots, seconds, admission.stopping)


@dataclass(slots=True)
class _Peer:
    load: Load
    heard: float
    sent: int = 0
    aside_deadline: float = 0.0


class Sharing:
    """Remember the loads of the other agents as their messages told them.

    Loads come with every message between agents, so they cost no message of their own.
    """

    def __init__(self) -> None:
        self._peers: dict[int, _Peer] = {}

    def keep_only(self, incarnations: Iterable[int]) -> None:
        """Forget agents that are no longer members."""
        wanted = set(incarnations)
        gone = set(self._peers) - wanted
        for incarnation in gone:
            del self._peers[incarnation]

    def hear(self, incarnation: int, load: Load, now: float) -> None:
        """Take in the load that came with a message."""
        peer = self._peers.setdefault(incarnation, _Peer(load, now))
        peer.load, peer.heard, peer.sent = load, now, 0

    def list_heard(self) -> tuple[int, ...]:
        """Return the agents whose load is known."""
        return tuple(self._peers)

    def set_aside(self, incarnation: int, now: float) -> None:
        """Send nothing for a while to an agent that failed a call."""
        if peer := self._peers.get(incarnation):
            peer.aside_deadline = now + SET_ASIDE_SECONDS

    def choose(
        self,
        own: Load,
        draw: Callable[[], float],
        now: float,
        weights: dict[int, float],
    ) -> int | None:
        """Return the agent that should run a new request, None for this one.

        Two others at random are compared with this agent. What was sent since the other
        was last heard counts as its load, else all would rush to the one that was idle
        a moment ago.
        """
        if own.wait <= 0 and not own.stopping:
            return None
        usable = [one for one in self._peers if self._is_usable(one, now)]
        if not usable:
            return None
        drawn = {usable[int(draw() * len(usable))] for _ in range(CHOICES)}
        wait, chosen = min((self._estimate(one, weights), one) for one in drawn)
        if wait >= own.wait and not own.stopping:
            return None
        self._peers[chosen].sent += 1
        return chosen

    def _estimate(self, incarnation: int, weights: dict[int, float]) -> float:
        peer = self._peers[incarnation]
        mean = peer.load.service_seconds / max(1, peer.load.slots)
        weight = max(0.05, weights.get(incarnation, 1.0))
        return (peer.load.wait + peer.sent * mean) / weight

    def find_longest(self, now: float) -> int | None:
        """Return the agent with the longest wait, for an idle one to pull from."""
        waiting = [
            (peer.load.queued * peer.load.service_seconds, incarnation)
            for incarnation, peer in self._peers.items()
            if peer.load.queued > 0 and self._is_heard(peer, now)
        ]
        return max(waiting)[1] if waiting else None

    def _is_usable(self, incarnation: int, now: float) -> bool:
        peer = self._peers[incarnation]
        return self._is_heard(peer, now) and not peer.load.stopping

    @staticmethod
    def _is_heard(peer: _Peer, now: float) -> bool:
        fresh = now - peer.heard <= LOAD_AGE_SECONDS
        return fresh and now >= peer.aside_deadline
