"""Remember, at a balancer, where a flow was placed and who refused it."""

from collections.abc import Iterable
from itertools import islice

import msgspec

from ..messages import Reason
from ..segment import SEQUENCE_SPACE, Segment, is_later

# How soon a caller repeats what was not acknowledged, at least; copies that the network
# made come sooner.
REPEAT_SECONDS = 0.15
# How far the numbers of a caller's data may be ahead of its opening packet for that to
# be the same flow's: more than a caller sends, and little of the number space.
COPY_SPAN_BYTES = 1 << 20


class Offers(msgspec.Struct, frozen=True):
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


class Flow(msgspec.Struct):
    """Remember where a flow was placed; times are in seconds.

    ``began`` is when the caller sent its opening packet first, ``copied_after`` for how
    many seconds it had waited when it sent the newest copy that went to the target.
    ``acknowledgement`` is what it acknowledged last here, None when this balancer has
    not seen it, and ``noted`` what it had acknowledged when the flow was noted for the
    balancer's next run. ``caller_ended`` tells that it has closed or reset its end.
    ``asked`` is the number of the newest data that the caller sent, at ``asked_at``.
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
    asked: int | None = None
    asked_at: float = float("-inf")
    copied_after: float = 0.0
    caller_ended: bool = False

    def is_refused_by(self, segment: Segment) -> bool:
        """Tell whether the return of an opening packet means that the flow is refused.

        Not once the flow is open, and not while a newer copy is with the target: that
        one may have been taken, and the flow would be placed at two targets.
        """
        return self.opening and segment.waited >= self.copied_after

    def is_late_copy(self, segment: Segment) -> bool:
        """Tell whether an opening packet is a copy of the one of this open flow."""
        if self.opening:
            return False
        ahead = (self.sequence - segment.sequence) % SEQUENCE_SPACE
        return ahead < COPY_SPAN_BYTES

    def note_data(self, sequence: int, now: float) -> bool:
        """Take the number of a packet with data; return whether it was sent before."""
        if self.asked is not None and not is_later(sequence, self.asked):
            return now - self.asked_at >= REPEAT_SECONDS
        self.asked, self.asked_at = sequence, now
        return False


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

    def forget(self, keys: Iterable[bytes]) -> None:
        """Doubt these flows no more."""
        for key in keys:
            self._due_at.pop(key, None)


def recall(key: bytes, acknowledgement: int) -> Segment:
    """Return what is known of a flow without a packet of it, enough to reset it."""
    return Segment(key, b"", b"", 0, acknowledgement, acknowledges=True)
