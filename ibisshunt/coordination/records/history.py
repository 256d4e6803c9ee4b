"""Keep the latest changes of each business."""

from collections import deque
from dataclasses import dataclass
from typing import Final

from ...model.record import RecordKind
from .commands import ChangeRecords
from .draft import Draft

MAX_ENTRIES: Final = 100


@dataclass(frozen=True, slots=True)
class Entry:
    """Describe one accepted change; a text is empty when there was no record.

    ``time`` is wall-clock time in seconds; ``actor`` names the grant, or "admin".
    """

    revision: int
    time: float
    actor: str
    kind: RecordKind
    business: str
    name: str
    before: str
    after: str


class History:
    """Hold a bounded number of entries for each business, oldest first.

    The bound is for each business: a busy one must not push out what others did.
    """

    def __init__(self, entries: tuple[Entry, ...] = ()) -> None:
        self._by_business: dict[str, deque[Entry]] = {}
        for entry in entries:
            self._add(entry)

    def note(
        self, command: ChangeRecords, actor: str, index: int, old: Draft, new: Draft
    ) -> None:
        """Add an entry for each record that the command changed."""
        for change in command.changes:
            key = (change.kind, change.business, change.name)
            before, after = old.records.get(key), new.records.get(key)
            if before == after:
                continue
            self._add(
                Entry(
                    index,
                    command.now,
                    actor,
                    *key,
                    before.document if before else "",
                    after.document if after else "",
                )
            )

    def list_entries(self, business: str = "") -> tuple[Entry, ...]:
        """Return the entries of one business, or of all, by revision."""
        if business:
            return tuple(self._by_business.get(business, ()))
        entries = (entry for kept in self._by_business.values() for entry in kept)
        return tuple(sorted(entries, key=lambda entry: entry.revision))

    def _add(self, entry: Entry) -> None:
        kept = self._by_business.setdefault(entry.business, deque(maxlen=MAX_ENTRIES))
        kept.append(entry)
