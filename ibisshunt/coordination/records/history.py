"""Change history: the latest changes of each business."""

from collections import deque
from dataclasses import dataclass
from typing import Final

from ...model.record import RecordKind
from .commands import ChangeRecords
from .record_set import RecordSet

MAX_ENTRIES_PER_BUSINESS: Final = 100


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """One accepted change of a record.

    ``before`` and ``after`` are its documents, empty where the record did not exist.
    ``time`` is wall-clock time in seconds; ``actor`` names the grant, or is "admin".
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
    """A bounded number of entries for each business, oldest first.

    The bound is per business, so that a busy one does not evict the history of others.
    """

    def __init__(self, entries: tuple[HistoryEntry, ...] = ()) -> None:
        self._by_business: dict[str, deque[HistoryEntry]] = {}
        for entry in entries:
            self._add(entry)

    def add_changes(
        self,
        command: ChangeRecords,
        actor: str,
        revision: int,
        old: RecordSet,
        new: RecordSet,
    ) -> None:
        """Add an entry for each record that the command changed."""
        for change in command.changes:
            key = (change.kind, change.business, change.name)
            before, after = old.records.get(key), new.records.get(key)
            if before == after:
                continue
            self._add(
                HistoryEntry(
                    revision,
                    command.now,
                    actor,
                    *key,
                    before.document if before else "",
                    after.document if after else "",
                )
            )

    def list_entries(self, business: str = "") -> tuple[HistoryEntry, ...]:
        """Return the entries of one business, or of all, ordered by revision."""
        if business:
            return tuple(self._by_business.get(business, ()))
        entries = (entry for latest in self._by_business.values() for entry in latest)
        return tuple(sorted(entries, key=lambda entry: entry.revision))

    def _add(self, entry: HistoryEntry) -> None:
        latest = self._by_business.setdefault(
            entry.business, deque(maxlen=MAX_ENTRIES_PER_BUSINESS)
        )
        latest.append(entry)
