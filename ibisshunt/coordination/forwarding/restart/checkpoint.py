"""Note the open flows of a balancer for its next run, and settle them then.

The load it answers: a fleet loses power, and every caller keeps flows that ended with
it. Nobody knows of an idle one, so its caller hears of the end after its next request;
one that must not be sent twice is lost by that. With the flows of the former run at
hand, and the incarnations of the targets that agents tell of, callers are told before.
"""

from collections import deque
from collections.abc import Iterable, Iterator
from struct import Struct

import msgspec

from ..addresses import pack_address, unpack_address
from ..placing.placed import Flow
from ..segment import SEQUENCE_SPACE

# Key, the caller's last acknowledgement, the target's address, its incarnation.
_ENTRY = Struct(">12sI4sI")
ENTRY_BYTES = _ENTRY.size
# What fits a packet of usual size.
ENTRIES_PER_MESSAGE = 48
# How old a flow is that is noted: flows of a single request are mostly over by then.
NOTED_AFTER_SECONDS = 0.25
# How far a caller's acknowledgement may move, in bytes, before its flow is noted again:
# half of the span in which a caller believes a reset.
NOTED_SPAN = 38_400
# The incarnation of an entry that tells of a flow's end.
ENDED = 0
# How long an entry waits for the word of its target's agent; later packets find the
# flow's end.
SETTLE_SECONDS = 10.0


class FlowEntry(msgspec.Struct, frozen=True):
    """Hold what is noted of one flow; ``address`` is its target's."""

    key: bytes
    acknowledgement: int
    address: str
    incarnation: int


def pack_entries(entries: Iterable[FlowEntry]) -> bytes:
    """Return entries one behind the other."""
    return b"".join(
        _ENTRY.pack(
            entry.key,
            entry.acknowledgement,
            pack_address(entry.address),
            entry.incarnation,
        )
        for entry in entries
    )


def unpack_entries(data: bytes) -> Iterator[FlowEntry]:
    """Yield the whole entries in ``data``; what is left at its end is not one."""
    whole = len(data) // ENTRY_BYTES * ENTRY_BYTES
    for key, acknowledgement, address, incarnation in _ENTRY.iter_unpack(data[:whole]):
        yield FlowEntry(key, acknowledgement, unpack_address(address), incarnation)


class Checkpoint:
    """Own the entries of one balancer that have yet to go to control.

    A flow is noted once it is old enough, though it may be idle by then: callers keep
    flows on which they have sent a single request.
    """

    def __init__(self) -> None:
        self._unsent: dict[bytes, FlowEntry] = {}
        # Flows that are too young, with the time from which on they are noted.
        self._young: deque[tuple[float, bytes]] = deque()

    def watch(self, key: bytes, now: float) -> None:
        """Note a flow that has just opened once it is old enough."""
        self._young.append((now + NOTED_AFTER_SECONDS, key))

    def take_due(self, now: float) -> Iterator[bytes]:
        """Yield the keys of flows that have become old enough."""
        while self._young and now >= self._young[0][0]:
            yield self._young.popleft()[1]

    def note(self, key: bytes, flow: Flow, incarnation: int) -> None:
        """Note an open flow; again only when its caller has got much since.

        A target whose incarnation is not known cannot be seen to end.
        """
        if flow.acknowledgement is None or not incarnation:
            return
        if flow.noted is not None and not _has_moved(flow.noted, flow.acknowledgement):
            return
        flow.noted = flow.acknowledgement
        self._unsent[key] = FlowEntry(key, flow.noted, flow.address, incarnation)

    def end(self, key: bytes, flow: Flow) -> None:
        """Note that a flow has ended that was noted before."""
        if flow.noted is not None:
            flow.noted = None
            self._unsent[key] = FlowEntry(key, 0, flow.address, ENDED)

    def take(self) -> bytes:
        """Return entries for one message; nothing when all are sent."""
        keys = list(self._unsent)[:ENTRIES_PER_MESSAGE]
        return pack_entries([self._unsent.pop(key) for key in keys])


def _has_moved(noted: int, acknowledgement: int) -> bool:
    return (acknowledgement - noted) % SEQUENCE_SPACE >= NOTED_SPAN


class FormerFlows:
    """Own the entries of the former run that are not settled; times are in seconds.

    ``over`` are those whose target has ended, in the order of their resets.
    """

    def __init__(self) -> None:
        self.over: deque[FlowEntry] = deque()
        self._waiting: dict[str, dict[bytes, FlowEntry]] = {}
        self._deadline = float("inf")

    def add(self, entry: FlowEntry, now: float) -> None:
        """Keep an entry until its target's agent has spoken."""
        if not self._waiting:
            self._deadline = now + SETTLE_SECONDS
        self._waiting.setdefault(entry.address, {})[entry.key] = entry

    def settle(self, address: str, incarnation: int) -> list[FlowEntry]:
        """Take the word which incarnation of a target there is; return its flows.

        ENDED says that there is none. The entries of other incarnations are over.
        """
        held: list[FlowEntry] = []
        for entry in self._waiting.pop(address, {}).values():
            if entry.incarnation == incarnation:
                held.append(entry)
            else:
                self.over.append(entry)
        return held

    def take_over(self, most: int) -> list[FlowEntry]:
        """Return flows to reset now, ``most`` at most."""
        return [self.over.popleft() for _ in range(min(most, len(self.over)))]

    def sweep(self, now: float) -> None:
        """Forget entries whose targets have not been heard for too long."""
        if now >= self._deadline:
            self._waiting.clear()
