"""Tell the incarnations of the target beside one agent apart by what it says."""

from enum import IntEnum
from zlib import crc32

import msgspec

# The tag of no incarnation.
UNHEARD_TARGET = 0


class Announcement(msgspec.Struct, frozen=True):
    """Hold a target's heartbeat; ``warm_left`` is in milliseconds.

    ``number`` grows within one incarnation. ``born`` is when the target started, in
    milliseconds of its own host's time of day, None when it does not say: that clock
    may be wrong, so it is compared only with what the same ``name`` said before.
    """

    name: str
    service: str
    slots: int
    draining: bool
    warm_left: int
    number: int
    born: int | None = None


class Word(IntEnum):
    """Tell what a heartbeat is, compared with what was heard before.

    UNCLEAR: it lacks what the same target has always said, so it is another writer's.
    LATE: overtaken by a newer heartbeat, or of an incarnation that has ended.
    """

    FIRST = 0
    NEXT = 1
    SUCCESSOR = 2
    LATE = 3
    UNCLEAR = 4


class Incarnations:
    """Own the present incarnation of a target and the names of those that ended.

    ``tag`` is the number that stands for the present one between nodes. It stays when a
    target begins to tell its start: flows would else seem to have ended.
    """

    def __init__(self) -> None:
        self.present: Announcement | None = None
        self.tag = UNHEARD_TARGET
        self._is_over = False
        self._ended: dict[str, int | None] = {}

    def classify(self, found: Announcement) -> Word:
        """Compare a heartbeat with what was heard before; change nothing."""
        known = self.present
        if self._has_ended(found):
            return Word.LATE
        if known is None:
            return Word.FIRST
        if self._is_over or known.name != found.name:
            return Word.SUCCESSOR
        if found.born is None and known.born is not None:
            return Word.UNCLEAR
        if known.born is not None and found.born != known.born:
            return Word.SUCCESSOR if found.born > known.born else Word.LATE
        return Word.LATE if found.number < known.number else Word.NEXT

    def take(self, found: Announcement) -> None:
        """Take a heartbeat that is not late; what it succeeds has ended."""
        word = self.classify(found)
        if word == Word.SUCCESSOR:
            self._end(self.present.name, self.present.born)
        if word in (Word.FIRST, Word.SUCCESSOR):
            self.tag = _make_tag(found)
        self._is_over = False
        self.present = found

    def end(self, name: str, born: int | None) -> bool:
        """Take a target's last word; return whether the present incarnation is over.

        One that says a later start than the present one ends the present one too.
        """
        known = self.present
        if known is None or known.name != name:
            self._end(name, born)
            return False
        if born is not None and known.born is not None and born < known.born:
            return False
        self._end(name, known.born if born is None else born)
        self._is_over = True
        return True

    def _end(self, name: str, born: int | None) -> None:
        former = self._ended.get(name)
        if former is not None and (born is None or born < former):
            return
        self._ended[name] = born

    def _has_ended(self, found: Announcement) -> bool:
        if found.name not in self._ended:
            return False
        born = self._ended[found.name]
        if found.born is None:
            return True
        # An end without a start cannot be later than a start that is told.
        return born is not None and found.born <= born


def _make_tag(found: Announcement) -> int:
    return crc32(f"{found.name} {found.born}".encode()) or 1
