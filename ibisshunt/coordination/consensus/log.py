"""Hold the part of the log that is not compacted."""

from .messages import Entry, EntryKind, LogBase, Membership


class Log:
    """Hold entries with indexes that follow one another from ``base`` on."""

    __slots__ = ("_changes", "_entries", "base")

    def __init__(self, base: LogBase, entries: tuple[Entry, ...] = ()) -> None:
        self.base = base
        self._entries: list[Entry] = []
        self._changes: list[tuple[int, Membership]] = []
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
        """Return the newest membership, committed or not: Raft acts by that."""
        return self._changes[-1][1] if self._changes else self.base.membership

    @property
    def membership_index(self) -> int:
        """Return the index of the newest membership."""
        return self._changes[-1][0] if self._changes else self.base.index

    def membership_at(self, index: int) -> Membership:
        """Return the membership as it was after the entry at ``index``."""
        found = self.base.membership
        for changed, membership in self._changes:
            if changed <= index:
                found = membership
        return found

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None when the log does not hold it."""
        if index == self.base.index:
            return self.base.term
        place = index - self.base.index - 1
        return self._entries[place].term if 0 <= place < len(self._entries) else None

    def get(self, index: int) -> Entry:
        """Return the entry at ``index``; raise LookupError when it is not there."""
        place = index - self.base.index - 1
        if place < 0:
            raise LookupError(f"entry {index} was compacted")
        return self._entries[place]

    def read(self, first: int, max_entries: int, max_bytes: int) -> tuple[Entry, ...]:
        """Return entries from ``first`` on, at least one when there is any."""
        start = first - self.base.index - 1
        found: list[Entry] = []
        size = 0
        for entry in self._entries[start : start + max_entries]:
            size += len(entry.command)
            if found and size > max_bytes:
                break
            found.append(entry)
        return tuple(found)

    def entries(self) -> tuple[Entry, ...]:
        """Return all entries behind the base."""
        return tuple(self._entries)

    def append(self, entry: Entry) -> None:
        """Add the next entry."""
        if entry.index != self.last_index + 1:
            raise ValueError(f"entry {entry.index} does not follow {self.last_index}")
        self._entries.append(entry)
        if entry.kind is EntryKind.MEMBERSHIP and entry.membership is not None:
            self._changes.append((entry.index, entry.membership))

    def cut(self, index: int) -> None:
        """Drop the entry at ``index`` and all behind it."""
        del self._entries[index - self.base.index - 1 :]
        self._changes = [pair for pair in self._changes if pair[0] < index]

    def compact(self, index: int) -> None:
        """Drop all entries up to and including ``index``."""
        if index <= self.base.index:
            return
        base = LogBase(index, self.term_at(index) or 0, self.membership_at(index))
        del self._entries[: index - self.base.index]
        self._changes = [pair for pair in self._changes if pair[0] > index]
        self.base = base

    def reset(self, base: LogBase) -> None:
        """Drop everything and start behind ``base``."""
        self._entries.clear()
        self._changes.clear()
        self.base = base
