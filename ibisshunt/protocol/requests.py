"""Define the messages and methods between the agents of one service."""

from dataclasses import dataclass
from enum import StrEnum

from ..coordination.requests.load_sharing import Load
from ..coordination.requests.messages import (
    Attempt,
    Claim,
    ClaimReply,
    Fetch,
    FetchReply,
    Settle,
)
from .method import Method


class Outcome(StrEnum):
    """Outcome of a request, sent to its caller in the ``Ibisshunt-Outcome`` header."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class ResponsePartKind(StrEnum):
    """Kind of a response part: HEAD, DATA, END in order, or one REFUSAL."""

    HEAD = "head"
    DATA = "data"
    END = "end"
    REFUSAL = "refusal"


@dataclass(frozen=True, slots=True)
class Envelope:
    """The incarnations of sender and receiver, and the load of the sender.

    The receiver checks ``receiver``, because its address may previously have belonged
    to an agent of another service.
    """

    sender: int
    receiver: int
    load: Load


@dataclass(frozen=True, slots=True)
class Request:
    """A complete HTTP request of a caller.

    ``key`` is the hash of its idempotency key, empty if it has none. ``fingerprint``
    is a hash of the request, which distinguishes a retry from a reuse of the key for
    another request.
    """

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    caller: str
    key: bytes = b""
    fingerprint: bytes = b""


@dataclass(frozen=True, slots=True)
class ResponsePart:
    """One part of a response; which fields are set depends on ``kind``.

    ``retry_after`` is in seconds.
    """

    kind: ResponsePartKind
    status: int = 0
    reason: str = ""
    headers: tuple[tuple[str, str], ...] = ()
    data: bytes = b""
    outcome: Outcome = Outcome.DONE
    retry_after: float = 0.0
    load: Load | None = None


@dataclass(frozen=True, slots=True)
class HandOverRequest:
    """A queued request that is handed over; it expires after ``seconds_left``."""

    envelope: Envelope
    request: Request
    attempt: Attempt
    seconds_left: float
    hops: int


@dataclass(frozen=True, slots=True)
class PullRequest:
    """Report of the sender's load; requests queued requests if ``idle``."""

    envelope: Envelope
    idle: bool


@dataclass(frozen=True, slots=True)
class PullReply:
    """The number of requests that the peer hands over."""

    load: Load
    count: int


@dataclass(frozen=True, slots=True)
class ClaimCall:
    """A claim of an idempotency key, sent to a replica."""

    envelope: Envelope
    claim: Claim


@dataclass(frozen=True, slots=True)
class ClaimAnswer:
    """A replica's reply to a claim."""

    reply: ClaimReply
    load: Load


@dataclass(frozen=True, slots=True)
class SettleCall:
    """The outcome of a request, sent to a replica."""

    envelope: Envelope
    settle: Settle


@dataclass(frozen=True, slots=True)
class SettleAnswer:
    """Confirmation that a replica stored an outcome."""

    load: Load


@dataclass(frozen=True, slots=True)
class FetchCall:
    """A request for ledger records, sent to a replica."""

    envelope: Envelope
    fetch: Fetch


HAND_OVER = Method("Hand", HandOverRequest, ResponsePart, streaming=True)
PULL = Method("Pull", PullRequest, PullReply)
CLAIM = Method("Claim", ClaimCall, ClaimAnswer)
SETTLE = Method("Settle", SettleCall, SettleAnswer)
FETCH = Method("Fetch", FetchCall, FetchReply)
