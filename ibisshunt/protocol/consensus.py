"""Name the messages and methods between control hosts."""

from dataclasses import dataclass

from returns.result import Failure, Result, Success

from ..coordination.consensus import NotAccepted, OutcomeUnknown, messages
from ..coordination.consensus.messages import Envelope
from ..exceptions import Fault
from .codec import decode, encode
from .method import Method

ACCEPTED = "accepted"
NOT_ACCEPTED = "not_accepted"
UNKNOWN = "unknown"

KINDS = {
    kind.__name__: kind
    for kind in (
        messages.VoteRequest,
        messages.VoteReply,
        messages.AppendRequest,
        messages.AppendReply,
        messages.SnapshotChunk,
        messages.SnapshotReply,
        messages.ReadRequest,
        messages.ReadReply,
        messages.TransferNow,
    )
}


@dataclass(frozen=True, slots=True)
class Packed:
    """Carry an envelope; ``kind`` names the type of the message in ``body``."""

    cluster: str
    sender: str
    receiver: str
    kind: str
    body: bytes


@dataclass(frozen=True, slots=True)
class ExchangeRequest:
    """Bring envelopes to another host; answers come as envelopes of their own."""

    envelopes: tuple[Packed, ...]


@dataclass(frozen=True, slots=True)
class ExchangeReply:
    """Tell how many envelopes were taken; the rest were lost on purpose."""

    taken: int


@dataclass(frozen=True, slots=True)
class HelloRequest:
    """Introduce a host that is no member and asks to be founded with or admitted.

    ``names`` are all hosts that its settings know, in order.
    """

    host: str
    address: str
    cluster: str
    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class HelloReply:
    """Introduce the host that answers; ``leader`` is where the leader serves."""

    host: str
    cluster: str
    names: tuple[str, ...]
    leader: str = ""


@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """Bring a proposal to the leader; ``timeout`` is in seconds."""

    command: bytes
    timeout: float


@dataclass(frozen=True, slots=True)
class ForwardReply:
    """Answer a proposal; ``outcome`` is accepted, not_accepted or unknown."""

    outcome: str
    reply: bytes = b""
    reason: str = ""

    def to_result(self, peer: str) -> Result[bytes, Fault]:
        """Return the result that the leader ``peer`` came to."""
        if self.outcome == ACCEPTED:
            return Success(self.reply)
        kind = NotAccepted if self.outcome == NOT_ACCEPTED else OutcomeUnknown
        return Failure(kind("propose", peer, self.reason))


EXCHANGE = Method("ConsensusExchange", ExchangeRequest, ExchangeReply)
HELLO = Method("ConsensusHello", HelloRequest, HelloReply)
FORWARD = Method("ConsensusForward", ForwardRequest, ForwardReply)


def pack(envelope: Envelope) -> Packed:
    """Return the form that travels."""
    kind = type(envelope.message).__name__
    return Packed(
        envelope.cluster,
        envelope.sender,
        envelope.receiver,
        kind,
        encode(envelope.message),
    )


def unpack(packed: Packed) -> Result[Envelope, Fault]:
    """Read an envelope; fail on an unknown kind or a field that does not fit."""
    kind = KINDS.get(packed.kind)
    if kind is None:
        reason = f"unknown kind {packed.kind!r}"
        return Failure(Fault("unpack envelope", packed.sender, reason))
    result = decode(packed.body, kind)
    if fault := result.swap().value_or(None):
        return Failure(Fault("unpack envelope", packed.sender, fault.reason))
    message = result.unwrap()
    return Success(Envelope(packed.cluster, packed.sender, packed.receiver, message))


def make_reply(result: Result[bytes, Fault]) -> ForwardReply:
    """Return the form of a proposal's result that travels."""
    fault = result.swap().value_or(None)
    if fault is None:
        return ForwardReply(ACCEPTED, result.unwrap())
    outcome = NOT_ACCEPTED if isinstance(fault, NotAccepted) else UNKNOWN
    return ForwardReply(outcome, reason=fault.reason)
