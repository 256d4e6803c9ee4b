"""Messages between claimants and replicas of idempotency keys."""

from dataclasses import dataclass
from enum import StrEnum

from .views import View


@dataclass(frozen=True, slots=True, order=True)
class Attempt:
    """One attempt to run a request.

    ``incarnation`` is that of the agent that serves the caller; ``number`` counts its
    attempts, so that no two attempts are equal.
    """

    incarnation: int
    number: int


@dataclass(frozen=True, slots=True)
class StoredResponse:
    """A complete HTTP response.

    ``kept`` is False when the body was too large to store.
    """

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    kept: bool = True


class RecordState(StrEnum):
    """State of a key on one replica."""

    FREE = "free"
    CLAIMED = "claimed"
    UNKNOWN = "unknown"
    DONE = "done"


class ClaimStatus(StrEnum):
    """Reply of a replica to a claim."""

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
    """Ask a replica to reserve a key for one attempt.

    ``fingerprint`` is a hash of the request, ``digest`` one of the claimant's view.
    """

    key: bytes
    attempt: Attempt
    fingerprint: bytes
    digest: int


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """Reply to a claim; ``answer`` is the stored response of a key that is done."""

    verdict: ClaimStatus
    answer: StoredResponse | None = None


@dataclass(frozen=True, slots=True)
class Settle:
    """Report the outcome of an attempt to a replica.

    ``FREE`` means that the attempt has not started and never will.
    """

    key: bytes
    attempt: Attempt
    fingerprint: bytes
    state: RecordState
    answer: StoredResponse | None = None


@dataclass(frozen=True, slots=True)
class SettleReply:
    """Confirm that the outcome is stored."""


@dataclass(frozen=True, slots=True)
class LedgerRecord:
    """State of one key.

    ``released`` lists attempts that never started, so that a delayed claim of one of
    them is refused. ``deadline`` is in seconds of the replica's own clock.
    """

    key: bytes
    attempt: Attempt | None
    fingerprint: bytes
    state: RecordState
    deadline: float
    answer: StoredResponse | None = None
    released: tuple[Attempt, ...] = ()


@dataclass(frozen=True, slots=True)
class PastView:
    """An earlier view whose records may not have been copied yet.

    Records must be fetched from its members unless it is ``settled``: then all members
    but the ``missing`` have sent theirs, and the outcomes of keys with both replicas
    among the missing are lost. ``deadline`` is in seconds of the replica's own clock;
    in messages it is the number of seconds left.
    """

    view: View
    missing: tuple[int, ...]
    deadline: float
    settled: bool = False


@dataclass(frozen=True, slots=True)
class Fetch:
    """Ask for the records whose replica ``incarnation`` is under ``view``.

    An agent that replies promises to grant no claim under an older view. ``after`` is
    the last key of the previous page.
    """

    incarnation: int
    view: View
    past: tuple[PastView, ...]
    after: bytes = b""


@dataclass(frozen=True, slots=True)
class FetchReply:
    """Reply to a fetch with one page of records.

    ``seasoned`` means that the sender knows the history of the service, ``refused``
    that it has a newer view, ``more`` that another page follows. Deadlines are the
    numbers of seconds left.
    """

    incarnation: int
    records: tuple[LedgerRecord, ...] = ()
    past: tuple[PastView, ...] = ()
    seasoned: bool = False
    refused: bool = False
    more: bool = False
