"""Keep, on a control host, the open flows that balancers note for their next run."""

from collections import deque
from collections.abc import Iterable

from ..addresses import ADDRESS_BYTES, pack_address, unpack_address
from ..messages import Recalled
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
# Messages for one question, as many as a thin link takes at once.
WINDOW = 8
# Flows that are taken in one generation, of all balancers. What is above is not noted,
# and its callers hear of an end when they use their flows.
MAX_ENTRIES = 35_000


class FlowArchive:
    """Own the entries of all balancers, by generation; times are in seconds.

    ``former`` holds the batches of each generation of the former run, oldest first.
    """

    def __init__(
        self, now: float = 0.0, former: Iterable[Iterable[bytes]] = ()
    ) -> None:
        self._generations: deque[dict[str, dict[bytes, FlowEntry]]] = deque(
            maxlen=GENERATIONS
        )
        for batches in former:
            self._generations.append({})
            for batch in batches:
                self._apply(batch)
        self._generations.append({})
        self._rotate_at = now + GENERATION_SECONDS
        self._taken = 0
        self._unsaved: list[bytes] = []
        self._recalled: dict[str, list[FlowEntry]] = {}

    def __len__(self) -> int:
        return sum(
            len(entries)
            for generation in self._generations
            for entries in generation.values()
        )

    def take(self, balancer: str, entries: bytes) -> None:
        """Take the entries of a balancer."""
        self._taken += len(entries) // ENTRY_BYTES
        if self._taken > MAX_ENTRIES:
            return
        batch = pack_address(balancer) + entries
        self._apply(batch)
        self._unsaved.append(batch)

    def take_unsaved(self) -> list[bytes]:
        """Return the batches that are not on disk yet."""
        unsaved, self._unsaved = self._unsaved, []
        return unsaved

    def rotate(self, now: float) -> bool:
        """Begin another generation when it is time to; return whether it was."""
        if now < self._rotate_at:
            return False
        self._rotate_at = now + GENERATION_SECONDS
        self._generations.append({})
        self._taken = 0
        self._recalled.clear()
        return True

    def recall(self, balancer: str, first: int) -> list[Recalled]:
        """Return the messages of one window, from entry ``first`` on."""
        if first == 0 or balancer not in self._recalled:
            self._recalled[balancer] = self._list_open(balancer)
        found = self._recalled[balancer]
        end = min(len(found), first + WINDOW * ENTRIES_PER_MESSAGE)
        starts = range(first, end, ENTRIES_PER_MESSAGE)
        messages = [
            Recalled(
                start,
                len(found),
                pack_entries(found[start : min(end, start + ENTRIES_PER_MESSAGE)]),
            )
            for start in starts
        ]
        return messages or [Recalled(first, len(found), b"")]

    def _apply(self, batch: bytes) -> None:
        balancer = unpack_address(batch[:ADDRESS_BYTES])
        entries = self._generations[-1].setdefault(balancer, {})
        for entry in unpack_entries(batch[ADDRESS_BYTES:]):
            entries[entry.key] = entry

    def _list_open(self, balancer: str) -> list[FlowEntry]:
        latest: dict[bytes, FlowEntry] = {}
        for generation in self._generations:
            latest.update(generation.get(balancer, {}))
        return [entry for entry in latest.values() if entry.incarnation != ENDED]
