"""Describe what claimants and holders of idempotency keys say to each other."""

from dataclasses import dataclass
from enum import StrEnum

from .holders import View


@dataclass(frozen=True, slots=True, order=True)
class Attempt:
    """Identify one try to run a request.

    ``incarnation`` is that of the agent which answers the caller; ``number`` counts
    its attempts, so that no two attempts are ever equal.
    """

    incarnation: int
    number: int


@dataclass(frozen=True, slots=True)
class Answer:
    """Hold a whole answer; ``kept`` is False when its body was too large to keep."""

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    kept: bool = True


class RecordState(StrEnum):
    """Name what a holder knows of a key."""

    FREE = "free"
    CLAIMED = "claimed"
    UNKNOWN = "unknown"
    DONE = "done"


class Verdict(StrEnum):
    """Name a holder's reply to a claim."""

    GRANTED = "granted"
    HELD = "held"
    DONE = "done"
    UNKNOWN = "unknown"
    MISMATCH = "mismatch"
    FULL = "full"
    CLOSED = "closed"
    RELEASED = "released"
    UNREACHABLE = "unreachable"


@dataclass(frozen=True, slots=True)
class Claim:
    """Ask a holder to reserve a key for one attempt.

    ``fingerprint`` is a hash of the request, ``digest`` that of the claimant's view.
    """

    key: bytes
    attempt: Attempt
    fingerprint: bytes
    digest: int


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """Answer a claim."""

    verdict: Verdict
    answer: Answer | None = None


@dataclass(frozen=True, slots=True)
class Settle:
    """Tell a holder what became of an attempt.

    ``FREE`` says that the attempt never started and never will.
    """

    key: bytes
    attempt: Attempt
    fingerprint: bytes
    state: RecordState
    answer: Answer | None = None


@dataclass(frozen=True, slots=True)
class SettleReply:
    """Confirm that the outcome is kept."""


@dataclass(frozen=True, slots=True)
class LedgerRecord:
    """Hold what is known of one key.

    ``released`` names attempts that never started, so that a delayed claim of theirs
    is refused. ``deadline`` is the holder's own clock, in seconds.
    """

    key: bytes
    attempt: Attempt | None
    fingerprint: bytes
    state: RecordState
    deadline: float
    answer: Answer | None = None
    released: tuple[Attempt, ...] = ()


@dataclass(frozen=True, slots=True)
class PastView:
    """Hold a view whose claims may not have been copied.

    Its members have to be asked unless it is ``settled``: then all but the ``missing``
    have been, and keys that two of the missing held are lost. ``deadline`` is the
    holder's own clock; it travels as seconds that are left.
    """

    view: View
    missing: tuple[int, ...]
    deadline: float
    settled: bool = False


@dataclass(frozen=True, slots=True)
class Fetch:
    """Ask for the records that ``incarnation`` holds under ``view``.

    Who answers has promised to grant nothing under an older view.
    """

    incarnation: int
    view: View
    past: tuple[PastView, ...]
    after: bytes = b""


@dataclass(frozen=True, slots=True)
class Copy:
    """Answer a fetch with one page of records.

    ``seasoned`` tells that the agent knows the past of the service, ``refused`` that
    it has a newer view. Deadlines are seconds that are left.
    """

    incarnation: int
    records: tuple[LedgerRecord, ...] = ()
    past: tuple[PastView, ...] = ()
    seasoned: bool = False
    refused: bool = False
    more: bool = False
