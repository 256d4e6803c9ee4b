"""Store the log entries that are not compacted."""

from .messages import Entry, EntryKind, LogBase, Membership


class Log:
    """Store entries with consecutive indexes, starting after ``base``."""

    __slots__ = ("_entries", "_memberships", "base")

    def __init__(self, base: LogBase, entries: tuple[Entry, ...] = ()) -> None:
        self.base = base
        self._entries: list[Entry] = []
        self._memberships: list[tuple[int, Membership]] = []
        for entry in entries:
            self.append(entry)

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.base.index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self._entries[-1].term if self._entries else self.base.term

    @property
    def membership(self) -> Membership:
        """Return the latest membership; in Raft it applies before it is committed."""
        return self._memberships[-1][1] if self._memberships else self.base.membership

    @property
    def membership_index(self) -> int:
        """Return the index of the latest membership."""
        return self._memberships[-1][0] if self._memberships else self.base.index

    def membership_at(self, index: int) -> Membership:
        """Return the membership as it was after the entry at ``index``."""
        latest = self.base.membership
        for changed_at, membership in self._memberships:
            if changed_at <= index:
                latest = membership
        return latest

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None if it is not in the log."""
        if index == self.base.index:
            return self.base.term
        position = index - self.base.index - 1
        return (
            self._entries[position].term if 0 <= position < len(self._entries) else None
        )

    def get(self, index: int) -> Entry:
        """Return the entry at ``index``; raise LookupError if it is not in the log."""
        position = index - self.base.index - 1
        if position < 0:
            raise LookupError(
                f"log entry {index} was compacted, the log begins after"
                f" {self.base.index}"
            )
        return self._entries[position]

    def read_batch(
        self, first: int, max_entries: int, max_bytes: int
    ) -> tuple[Entry, ...]:
        """Return entries from ``first`` on, at least one if there is any."""
        start = first - self.base.index - 1
        batch: list[Entry] = []
        size = 0
        for entry in self._entries[start : start + max_entries]:
            size += len(entry.command)
            if batch and size > max_bytes:
                break
            batch.append(entry)
        return tuple(batch)

    def entries(self) -> tuple[Entry, ...]:
        """Return all entries after the base."""
        return tuple(self._entries)

    def append(self, entry: Entry) -> None:
        """Append the next entry; raise ValueError if its index leaves a gap."""
        if entry.index != self.last_index + 1:
            raise ValueError(
                f"log entry {entry.index} does not follow {self.last_index}"
            )
        self._entries.append(entry)
        if entry.kind is EntryKind.MEMBERSHIP and entry.membership is not None:
            self._memberships.append((entry.index, entry.membership))

    def truncate(self, index: int) -> None:
        """Remove the entry at ``index`` and all later ones."""
        del self._entries[index - self.base.index - 1 :]
        self._memberships = [pair for pair in self._memberships if pair[0] < index]

    def compact(self, index: int) -> None:
        """Remove all entries up to and including ``index``."""
        if index <= self.base.index:
            return
        base = LogBase(index, self.term_at(index) or 0, self.membership_at(index))
        del self._entries[: index - self.base.index]
        self._memberships = [pair for pair in self._memberships if pair[0] > index]
        self.base = base

    def reset(self, base: LogBase) -> None:
        """Remove all entries and start after ``base``."""
        self._entries.clear()
        self._memberships.clear()
        self.base = base
