"""Name the messages that tell operators what changed."""

from dataclasses import dataclass

from ..coordination.records.history import Entry
from .method import Method


@dataclass(frozen=True, slots=True)
class HistoryRequest:
    """Ask for the latest changes of a business, or of all when empty."""

    business: str = ""


@dataclass(frozen=True, slots=True)
class HistoryReply:
    """Hold the entries, oldest first, at one revision."""

    entries: tuple[Entry, ...]
    revision: int


HISTORY = Method("History", HistoryRequest, HistoryReply)
