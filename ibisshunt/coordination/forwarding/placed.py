"""Remember, at a balancer, where a flow was placed and who refused it."""

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import islice

from .messages import Reason
from .segment import Segment


@dataclass(frozen=True, slots=True)
class Offers:
    """Hold who was offered a new flow, and who refused it for its load alone."""

    tried: frozenset[str] = frozenset()
    corrected: frozenset[str] = frozenset()

    def add(self, address: str, reason: int) -> "Offers":
        """Return the offers with one more refusal."""
        corrected = self.corrected
        if reason == Reason.FULL:
            corrected |= {address}
        return Offers(self.tried | {address}, corrected)


NO_OFFERS = Offers()


@dataclass(slots=True)
class Flow:
    """Remember where a flow was placed; times are in seconds.

    ``began`` is when the caller sent its opening packet first, ``acknowledgement`` what
    it acknowledged last here, None when this balancer has not seen it, and ``noted``
    what it had acknowledged when the flow was noted for the balancer's next run.
    """

    address: str
    service: str
    sequence: int
    opening: bool
    seen_at: float
    began: float
    offers: Offers = NO_OFFERS
    acknowledgement: int | None = None
    noted: int | None = None


class DoubtfulFlows:
    """Own the keys of flows whose target may have ended; times are in seconds."""

    def __init__(self) -> None:
        # When to ask who holds a flow, by key.
        self._due_at: dict[bytes, float] = {}

    def __len__(self) -> int:
        return len(self._due_at)

    def add(self, keys: Iterable[bytes], due_at: float) -> None:
        """Doubt more flows, and ask for them from ``due_at`` on."""
        self._due_at.update(dict.fromkeys(keys, due_at))

    def take(self, most: int, now: float) -> list[bytes]:
        """Return flows to ask for now, ``most`` at most."""
        due = (key for key, due_at in self._due_at.items() if now >= due_at)
        taken = list(islice(due, most))
        for key in taken:
            del self._due_at[key]
        return taken


def recall(key: bytes, acknowledgement: int) -> Segment:
    """Return what is known of a flow without a packet of it, enough to reset it."""
    return Segment(key, b"", b"", 0, acknowledgement, acknowledges=True)
