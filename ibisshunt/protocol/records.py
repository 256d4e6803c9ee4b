"""Define the messages for the change history of records."""

from dataclasses import dataclass

from ..coordination.records.history import HistoryEntry
from .method import Method


@dataclass(frozen=True, slots=True)
class HistoryRequest:
    """Request for the latest changes of a business, or of all if it is empty."""

    business: str = ""


@dataclass(frozen=True, slots=True)
class HistoryReply:
    """The history entries, oldest first, at one revision."""

    entries: tuple[HistoryEntry, ...]
    revision: int


HISTORY = Method("History", HistoryRequest, HistoryReply)
