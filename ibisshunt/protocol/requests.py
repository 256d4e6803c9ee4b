"""Name the messages between the agents of one service."""

from dataclasses import dataclass
from enum import StrEnum

from ..coordination.requests.outcomes import (
    Attempt,
    Claim,
    ClaimReply,
    Copy,
    Fetch,
    Settle,
)
from ..coordination.requests.sharing import Load
from .method import Method


class Outcome(StrEnum):
    """Name what a caller is told of its request, in ``Ibisshunt-Outcome``."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class PartKind(StrEnum):
    """Name the parts of an answer, in their order; a refusal stands alone."""

    HEAD = "head"
    DATA = "data"
    END = "end"
    REFUSAL = "refusal"


@dataclass(frozen=True, slots=True)
class Envelope:
    """Tell who sends to whom, and how busy the sender is.

    ``receiver`` is checked: an address may belong to another service by now.
    """

    sender: int
    receiver: int
    load: Load


@dataclass(frozen=True, slots=True)
class Request:
    """Hold one whole request of a caller.

    ``key`` is the hash of its idempotency key, empty without one.
    """

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    caller: str
    key: bytes = b""
    fingerprint: bytes = b""


@dataclass(frozen=True, slots=True)
class Part:
    """Carry one part of an answer."""

    kind: PartKind
    status: int = 0
    reason: str = ""
    headers: tuple[tuple[str, str], ...] = ()
    data: bytes = b""
    outcome: Outcome = Outcome.DONE
    retry_after: float = 0.0
    load: Load | None = None


@dataclass(frozen=True, slots=True)
class HandRequest:
    """Hand over a request that has not started; ``seconds_left`` to its deadline."""

    envelope: Envelope
    request: Request
    attempt: Attempt
    seconds_left: float
    hops: int


@dataclass(frozen=True, slots=True)
class PullRequest:
    """Tell a load, and ask for a request when ``idle``."""

    envelope: Envelope
    idle: bool


@dataclass(frozen=True, slots=True)
class PullReply:
    """Tell how many requests are being handed over."""

    load: Load
    count: int


@dataclass(frozen=True, slots=True)
class ClaimCall:
    """Carry a claim to a holder."""

    envelope: Envelope
    claim: Claim


@dataclass(frozen=True, slots=True)
class ClaimAnswer:
    """Carry a holder's reply."""

    reply: ClaimReply
    load: Load


@dataclass(frozen=True, slots=True)
class SettleCall:
    """Carry an outcome to a holder."""

    envelope: Envelope
    settle: Settle


@dataclass(frozen=True, slots=True)
class SettleAnswer:
    """Confirm an outcome."""

    load: Load


@dataclass(frozen=True, slots=True)
class FetchCall:
    """Carry a fetch of records."""

    envelope: Envelope
    fetch: Fetch


HAND = Method("Hand", HandRequest, Part, streaming=True)
PULL = Method("Pull", PullRequest, PullReply)
CLAIM = Method("Claim", ClaimCall, ClaimAnswer)
SETTLE = Method("Settle", SettleCall, SettleAnswer)
FETCH = Method("Fetch", FetchCall, Copy)
