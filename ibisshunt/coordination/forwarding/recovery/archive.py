"""Store, on a control host, the checkpoint entries of balancers for their next run."""

from collections import deque
from collections.abc import Iterable

from ..addresses import ADDRESS_BYTES, pack_address, unpack_address
from ..messages import RecoveryReply
from .checkpoint import (
    ENDED,
    ENTRIES_PER_MESSAGE,
    ENTRY_BYTES,
    FlowEntry,
    pack_entries,
    unpack_entries,
)

# How long entries go into one generation, which is one file: half of the longest life
# of a flow, so that three of them hold each open flow.
GENERATION_SECONDS = 30.0
GENERATIONS = 3
# Reply messages for one request: as many as a link of low bandwidth takes at once.
WINDOW_MESSAGES = 8
# Entries accepted in one generation from all balancers. Entries above it are dropped;
# callers of these flows are reset when they use them.
MAX_GENERATION_ENTRIES = 35_000


class FlowArchive:
    """Checkpoint entries of all balancers, by generation; times are in seconds.

    ``previous`` holds the batches of each generation of the previous run, oldest first.
    """

    def __init__(
        self, now: float = 0.0, previous: Iterable[Iterable[bytes]] = ()
    ) -> None:
        self._generations: deque[dict[str, dict[bytes, FlowEntry]]] = deque(
            maxlen=GENERATIONS
        )
        for batches in previous:
            self._generations.append({})
            for batch in batches:
                self._apply(batch)
        self._generations.append({})
        self._rotate_at = now + GENERATION_SECONDS
        self._entry_count = 0
        self._unsaved: list[bytes] = []
        self._recoverable: dict[str, list[FlowEntry]] = {}

    def __len__(self) -> int:
        return sum(
            len(entries)
            for generation in self._generations
            for entries in generation.values()
        )

    def add_entries(self, balancer: str, entries: bytes) -> None:
        """Add the entries of a balancer."""
        self._entry_count += len(entries) // ENTRY_BYTES
        if self._entry_count > MAX_GENERATION_ENTRIES:
            return
        batch = pack_address(balancer) + entries
        self._apply(batch)
        self._unsaved.append(batch)

    def pop_unsaved(self) -> list[bytes]:
        """Return the batches that are not on disk yet."""
        unsaved, self._unsaved = self._unsaved, []
        return unsaved

    def rotate(self, now: float) -> bool:
        """Start another generation if it is due; return whether it was."""
        if now < self._rotate_at:
            return False
        self._rotate_at = now + GENERATION_SECONDS
        self._generations.append({})
        self._entry_count = 0
        self._recoverable.clear()
        return True

    def make_replies(self, balancer: str, offset: int) -> list[RecoveryReply]:
        """Return the messages of one window, from entry ``offset`` on."""
        if offset == 0 or balancer not in self._recoverable:
            self._recoverable[balancer] = self._list_open_flows(balancer)
        open_flows = self._recoverable[balancer]
        end = min(len(open_flows), offset + WINDOW_MESSAGES * ENTRIES_PER_MESSAGE)
        starts = range(offset, end, ENTRIES_PER_MESSAGE)
        messages = [
            RecoveryReply(
                start,
                len(open_flows),
                pack_entries(open_flows[start : min(end, start + ENTRIES_PER_MESSAGE)]),
            )
            for start in starts
        ]
        return messages or [RecoveryReply(offset, len(open_flows), b"")]

    def _apply(self, batch: bytes) -> None:
        balancer = unpack_address(batch[:ADDRESS_BYTES])
        entries = self._generations[-1].setdefault(balancer, {})
        for entry in unpack_entries(batch[ADDRESS_BYTES:]):
            entries[entry.key] = entry

    def _list_open_flows(self, balancer: str) -> list[FlowEntry]:
        latest: dict[bytes, FlowEntry] = {}
        for generation in self._generations:
            latest.update(generation.get(balancer, {}))
        return [entry for entry in latest.values() if entry.incarnation != ENDED]
