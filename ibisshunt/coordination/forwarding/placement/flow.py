"""Track, at a balancer, where a flow was placed and which targets rejected it."""

from collections.abc import Iterable
from itertools import islice

import msgspec

from ..messages import RejectReason
from ..segment import SEQUENCE_SPACE, Segment, is_sequence_after

# Shortest interval of a caller's retransmissions; duplicates made by the network arrive
# sooner.
MIN_RETRANSMISSION_SECONDS = 0.15
# How far the sequence numbers of a caller's data may be ahead of a SYN that belongs to
# the same flow: more than a caller sends, and little of the sequence space.
SYN_COPY_SPAN_BYTES = 1 << 20


class Attempts(msgspec.Struct, frozen=True):
    """Targets that a new flow was sent to, and those that rejected it for overload."""

    tried: frozenset[str] = frozenset()
    overloaded: frozenset[str] = frozenset()

    def add_rejection(self, address: str, reason: int) -> "Attempts":
        """Return the attempts with one more rejection."""
        overloaded = self.overloaded
        if reason == RejectReason.FULL:
            overloaded |= {address}
        return Attempts(self.tried | {address}, overloaded)


NO_ATTEMPTS = Attempts()


class PlacedFlow(msgspec.Struct):
    """A flow and the address of its target; times are in seconds.

    ``first_syn_at`` is when the caller sent its first SYN, ``newest_syn_age`` how many
    seconds later it sent the newest SYN copy that went to the target. ``is_opening``
    tells that the handshake is not complete. ``acknowledgement`` is the caller's last
    one seen by this balancer, None if there was none, and
    ``checkpointed_acknowledgement`` the one in the flow's last checkpoint entry.
    ``is_closed_by_caller`` tells that the caller has sent FIN or RST.
    ``newest_sequence`` is the sequence number of the caller's newest data, which
    arrived at ``newest_data_at``.
    """

    address: str
    service: str
    sequence: int
    is_opening: bool
    last_packet_at: float
    first_syn_at: float
    attempts: Attempts = NO_ATTEMPTS
    acknowledgement: int | None = None
    checkpointed_acknowledgement: int | None = None
    newest_sequence: int | None = None
    newest_data_at: float = float("-inf")
    newest_syn_age: float = 0.0
    is_closed_by_caller: bool = False

    def is_rejected_by(self, segment: Segment) -> bool:
        """Return whether a rejected SYN means that the flow is rejected.

        False once the flow is open, and while a newer copy is at the target: that copy
        may have been accepted, and the flow would be placed at two targets.
        """
        return self.is_opening and segment.syn_age >= self.newest_syn_age

    def is_duplicate_syn(self, segment: Segment) -> bool:
        """Return whether a SYN is a copy of the one that opened this flow."""
        if self.is_opening:
            return False
        ahead = (self.sequence - segment.sequence) % SEQUENCE_SPACE
        return ahead < SYN_COPY_SPAN_BYTES

    def record_data(self, sequence: int, now: float) -> bool:
        """Record the sequence number of data; return whether it is a retransmission."""
        if self.newest_sequence is not None and not is_sequence_after(
            sequence, self.newest_sequence
        ):
            return now - self.newest_data_at >= MIN_RETRANSMISSION_SECONDS
        self.newest_sequence, self.newest_data_at = sequence, now
        return False


class SuspectFlows:
    """Keys of the flows whose target may have ended; times are in seconds."""

    def __init__(self) -> None:
        # When to search for the flow's holder, by key.
        self._due_at: dict[bytes, float] = {}

    def __len__(self) -> int:
        return len(self._due_at)

    def add(self, keys: Iterable[bytes], due_at: float) -> None:
        """Suspect flows, and search for their holders from ``due_at`` on."""
        self._due_at.update(dict.fromkeys(keys, due_at))

    def pop_due(self, limit: int, now: float) -> list[bytes]:
        """Remove and return flows to search now, ``limit`` at most."""
        due = (key for key, due_at in self._due_at.items() if now >= due_at)
        keys = list(islice(due, limit))
        for key in keys:
            del self._due_at[key]
        return keys

    def remove(self, keys: Iterable[bytes]) -> None:
        """Clear the suspicion of these flows."""
        for key in keys:
            self._due_at.pop(key, None)


def make_placeholder_segment(key: bytes, acknowledgement: int) -> Segment:
    """Return a segment without a packet that suffices to reset a flow."""
    return Segment(key, b"", b"", 0, acknowledgement, is_ack=True)
