"""Define the messages and methods between control hosts."""

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

MESSAGE_TYPES = {
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
class PackedEnvelope:
    """An encoded envelope; ``kind`` is the class name of the message in ``body``."""

    cluster: str
    sender: str
    receiver: str
    kind: str
    body: bytes


@dataclass(frozen=True, slots=True)
class ExchangeRequest:
    """Envelopes for another host, which sends its replies as separate envelopes."""

    envelopes: tuple[PackedEnvelope, ...]


@dataclass(frozen=True, slots=True)
class ExchangeReply:
    """Number of envelopes that the host accepted; it dropped the others."""

    taken: int


@dataclass(frozen=True, slots=True)
class HelloRequest:
    """Introduction of a host that is not yet a member, to bootstrap or join a cluster.

    ``names`` are all hosts in its settings, sorted.
    """

    host: str
    address: str
    cluster: str
    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class HelloReply:
    """Description of the host that replies; ``leader`` is an address, "" if unknown."""

    host: str
    cluster: str
    names: tuple[str, ...]
    leader: str = ""


@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """A proposal forwarded to the leader; ``timeout`` is in seconds."""

    command: bytes
    timeout: float


@dataclass(frozen=True, slots=True)
class ForwardReply:
    """The outcome of a proposal: accepted, not_accepted or unknown."""

    outcome: str
    reply: bytes = b""
    reason: str = ""

    def to_result(self, peer: str) -> Result[bytes, Fault]:
        """Convert the reply of the leader ``peer`` to a result."""
        if self.outcome == ACCEPTED:
            return Success(self.reply)
        fault_type = NotAccepted if self.outcome == NOT_ACCEPTED else OutcomeUnknown
        return Failure(fault_type("propose", peer, self.reason))


EXCHANGE = Method("ConsensusExchange", ExchangeRequest, ExchangeReply)
HELLO = Method("ConsensusHello", HelloRequest, HelloReply)
FORWARD = Method("ConsensusForward", ForwardRequest, ForwardReply)


def pack(envelope: Envelope) -> PackedEnvelope:
    """Encode an envelope."""
    kind = type(envelope.message).__name__
    return PackedEnvelope(
        envelope.cluster,
        envelope.sender,
        envelope.receiver,
        kind,
        encode(envelope.message),
    )


def unpack(packed: PackedEnvelope) -> Result[Envelope, Fault]:
    """Decode an envelope; fail on an unknown kind or an invalid field."""
    kind = MESSAGE_TYPES.get(packed.kind)
    if kind is None:
        reason = f"unknown kind {packed.kind!r}"
        return Failure(Fault("unpack envelope", packed.sender, reason))
    result = decode(packed.body, kind)
    if fault := result.swap().value_or(None):
        return Failure(Fault("unpack envelope", packed.sender, fault.reason))
    message = result.unwrap()
    return Success(Envelope(packed.cluster, packed.sender, packed.receiver, message))


def make_reply(result: Result[bytes, Fault]) -> ForwardReply:
    """Convert the result of a proposal to a reply."""
    fault = result.swap().value_or(None)
    if fault is None:
        return ForwardReply(ACCEPTED, result.unwrap())
    outcome = NOT_ACCEPTED if isinstance(fault, NotAccepted) else UNKNOWN
    return ForwardReply(outcome, reason=fault.reason)
