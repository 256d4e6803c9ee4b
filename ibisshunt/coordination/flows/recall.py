"""Work out, after a start, which flows an agent's target still holds."""

from collections import Counter
from enum import IntEnum
from typing import Final

from ...model.target import Target
from .ranking import identify_place

# After its start an agent waits at most this long for its peers to name its flows.
RECALL_SECONDS: Final = 0.4
MAX_PLACES: Final = 8192


class Verdict(IntEnum):
    """Number what a peer knows of a place: a target on its host."""

    UNSURE = 0
    # An earlier agent stood beside the target: flows may live there.
    KNOWN = 1
    # The place is new: nobody can own flows there yet.
    FRESH = 2


class PlaceMemory:
    """Remember which places were there before, and which agent stood there."""

    def __init__(self) -> None:
        self._first: dict[int, tuple[int, Verdict]] = {}
        self._starts: dict[int, int] = {}
        self._has_table = False

    def note(self, targets: tuple[Target, ...]) -> None:
        """Take in the targets of a table."""
        verdict = Verdict.FRESH if self._has_table else Verdict.UNSURE
        self._has_table = True
        for target in targets:
            self._first.setdefault(
                identify_place(target), (target.incarnation, verdict)
            )
        while len(self._first) > MAX_PLACES:
            del self._first[next(iter(self._first))]

    def judge(self, place: int, incarnation: int, start: int) -> Verdict:
        """Tell what is known of a place whose agent has just started.

        An agent that restarts beside its target may keep its incarnation, so that
        the number of the start tells one agent from the next.
        """
        first, verdict = self._first.get(place, (incarnation, Verdict.FRESH))
        if len(self._starts) >= MAX_PLACES:
            self._starts.clear()
        known_start = self._starts.setdefault(place, start)
        if first != incarnation or known_start != start:
            return Verdict.KNOWN
        return verdict


class Recall:
    """Track the answers of the peers to an agent that has just started."""

    def __init__(self) -> None:
        self.asked = False
        self._deadline = 0.0
        self._last_deadline = 0.0
        self._waiting: set[int] = set()
        self._received: Counter[int] = Counter()
        self._verdicts: set[int] = set()

    def start(self, peers: set[int], now: float) -> None:
        """Wait for these peers; nobody to wait for ends the recall at once."""
        self.asked = True
        self._waiting = set(peers)
        self._last_deadline = now + RECALL_SECONDS
        self._deadline = self._last_deadline if peers else 0.0

    def is_open(self, now: float) -> bool:
        """Tell whether peers may still name flows."""
        return now < self._deadline

    def takes_answers(self, now: float) -> bool:
        """Tell whether an answer still counts; that of a suspect may come late."""
        return now < self._last_deadline

    def list_waiting(self) -> set[int]:
        """Return the peers that have not answered whole."""
        return set(self._waiting)

    def count(self, peer: int, keys: int) -> None:
        """Count keys that a peer has sent."""
        self._received[peer] += keys

    def finish(self, peer: int, total: int, verdict: int) -> None:
        """Take a peer's last word; the recall ends when nothing is missing.

        A peer with a missing datagram is asked again until the deadline.
        """
        self._verdicts.add(verdict)
        if self._received.pop(peer, 0) >= total:
            self._waiting.discard(peer)
        if not self._waiting:
            self._deadline = 0.0

    def is_fresh(self) -> bool:
        """Tell whether the peers are sure that no flows lived here before.

        Were a new target to adopt flows that nobody claims for the moment, it would
        take those of an agent that is just restarting.
        """
        return Verdict.FRESH in self._verdicts and Verdict.KNOWN not in self._verdicts
