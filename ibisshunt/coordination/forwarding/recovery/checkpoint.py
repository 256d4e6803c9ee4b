"""Checkpoint the open flows of a balancer, and resolve them in its next run.

When a fleet loses power, every caller keeps flows that ended with it. No node knows an
idle one, so its caller would get a reset only after its next request; a request that
must not be sent twice would be lost. With the flows of the previous run and the
incarnations of the targets that agents report, callers are reset before.
"""

from collections import deque
from collections.abc import Iterable, Iterator
from struct import Struct

import msgspec

from ..addresses import pack_address, unpack_address
from ..placement.flow import PlacedFlow
from ..segment import SEQUENCE_SPACE

# Key, the caller's last acknowledgement, the target's address, its incarnation.
_ENTRY = Struct(">12sI4sI")
ENTRY_BYTES = _ENTRY.size
# As many as fit a packet of the usual size.
ENTRIES_PER_MESSAGE = 48
# Age at which a flow is checkpointed: flows of a single request are mostly over by
# then.
CHECKPOINT_AGE_SECONDS = 0.25
# How far a caller's acknowledgement may advance, in bytes, before its flow is
# checkpointed again: half of the span in which a caller accepts a reset.
CHECKPOINT_SPAN_BYTES = 38_400
# Incarnation of an entry that records a flow's end.
ENDED = 0
# How long an entry waits for a status of its target's agent; after that a caller's next
# packet shows whether the flow has ended.
RESOLVE_TIMEOUT_SECONDS = 10.0


class FlowEntry(msgspec.Struct, frozen=True):
    """Checkpoint entry of one flow; ``address`` is its target's."""

    key: bytes
    acknowledgement: int
    address: str
    incarnation: int


def pack_entries(entries: Iterable[FlowEntry]) -> bytes:
    """Return the entries packed one after the other."""
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
    """Yield the complete entries in ``data``; skip an incomplete one at its end."""
    complete = len(data) // ENTRY_BYTES * ENTRY_BYTES
    for key, acknowledgement, address, incarnation in _ENTRY.iter_unpack(
        data[:complete]
    ):
        yield FlowEntry(key, acknowledgement, unpack_address(address), incarnation)


class CheckpointQueue:
    """Entries of one balancer that are not sent to control hosts yet.

    A flow is checkpointed once it is old enough, even if it is idle by then: callers
    keep flows on which they have sent a single request.
    """

    def __init__(self) -> None:
        self._unsent: dict[bytes, FlowEntry] = {}
        # Flows that are too young, with the time at which they are checkpointed.
        self._scheduled: deque[tuple[float, bytes]] = deque()

    def schedule(self, key: bytes, now: float) -> None:
        """Checkpoint a flow that has just opened once it is old enough."""
        self._scheduled.append((now + CHECKPOINT_AGE_SECONDS, key))

    def pop_due(self, now: float) -> Iterator[bytes]:
        """Yield the keys of flows that have become old enough."""
        while self._scheduled and now >= self._scheduled[0][0]:
            yield self._scheduled.popleft()[1]

    def record(self, key: bytes, flow: PlacedFlow, incarnation: int) -> None:
        """Queue the entry of an open flow if its caller's acknowledgement has advanced.

        A target whose incarnation is unknown cannot be recognised as ended.
        """
        if flow.acknowledgement is None or not incarnation:
            return
        if flow.checkpointed_acknowledgement is not None and not _has_advanced(
            flow.checkpointed_acknowledgement, flow.acknowledgement
        ):
            return
        flow.checkpointed_acknowledgement = flow.acknowledgement
        self._unsent[key] = FlowEntry(
            key, flow.checkpointed_acknowledgement, flow.address, incarnation
        )

    def record_end(self, key: bytes, flow: PlacedFlow) -> None:
        """Queue the end of a flow that was checkpointed."""
        if flow.checkpointed_acknowledgement is not None:
            flow.checkpointed_acknowledgement = None
            self._unsent[key] = FlowEntry(key, 0, flow.address, ENDED)

    def pop_batch(self) -> bytes:
        """Return entries for one message; empty when all are sent."""
        keys = list(self._unsent)[:ENTRIES_PER_MESSAGE]
        return pack_entries([self._unsent.pop(key) for key in keys])


def _has_advanced(checkpointed: int, acknowledgement: int) -> bool:
    return (acknowledgement - checkpointed) % SEQUENCE_SPACE >= CHECKPOINT_SPAN_BYTES


class RecoveredFlows:
    """Unresolved entries of the previous run; times are in seconds.

    ``ended`` are those whose target has ended, in the order of their resets.
    """

    def __init__(self) -> None:
        self.ended: deque[FlowEntry] = deque()
        self._unresolved: dict[str, dict[bytes, FlowEntry]] = {}
        self._deadline = float("inf")

    def add(self, entry: FlowEntry, now: float) -> None:
        """Keep an entry until its target's agent has sent a status."""
        if not self._unresolved:
            self._deadline = now + RESOLVE_TIMEOUT_SECONDS
        self._unresolved.setdefault(entry.address, {})[entry.key] = entry

    def resolve(self, address: str, incarnation: int) -> list[FlowEntry]:
        """Resolve the entries of a target by its incarnation; return its open flows.

        ENDED means that the target has none. The entries of other incarnations have
        ended.
        """
        still_open = self.resolve_open(address, incarnation)
        self.ended.extend(self._unresolved.pop(address, {}).values())
        return still_open

    def resolve_open(self, address: str, incarnation: int) -> list[FlowEntry]:
        """Resolve the open flows of an incarnation and return them.

        The entries of other incarnations stay, as one of them may be alive.
        """
        unresolved = self._unresolved.get(address, {})
        still_open = [
            entry for entry in unresolved.values() if entry.incarnation == incarnation
        ]
        for entry in still_open:
            del unresolved[entry.key]
        return still_open

    def pop_ended(self, limit: int) -> list[FlowEntry]:
        """Return flows to reset now, ``limit`` at most."""
        return [self.ended.popleft() for _ in range(min(limit, len(self.ended)))]

    def expire(self, now: float) -> None:
        """Remove the entries whose targets have sent no status in time."""
        if now >= self._deadline:
            self._unresolved.clear()
