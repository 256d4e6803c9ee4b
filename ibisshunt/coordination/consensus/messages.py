"""Describe log entries, memberships and the messages between hosts.

The algorithm is Raft (Ongaro, "Consensus: Bridging Theory and Practice", 2014). A
host is named ``name/disk``: its configured name and an id that was drawn once and is
stored with its data, so that an empty disk is another host to the algorithm.
"""

from dataclasses import dataclass
from enum import StrEnum


class EntryKind(StrEnum):
    """Tell what an entry of the log holds."""

    COMMAND = "command"
    MEMBERSHIP = "membership"
    BARRIER = "barrier"


@dataclass(frozen=True, slots=True)
class Member:
    """Name a host that receives the log; only voters count for a quorum."""

    host: str
    address: str
    voter: bool


@dataclass(frozen=True, slots=True)
class Membership:
    """List the hosts that receive the log, in the order of their admission."""

    members: tuple[Member, ...] = ()


@dataclass(frozen=True, slots=True)
class Entry:
    """Hold one entry of the log."""

    index: int
    term: int
    kind: EntryKind
    command: bytes = b""
    membership: Membership | None = None


@dataclass(frozen=True, slots=True)
class HardState:
    """Hold what must be on disk before a vote or reply leaves the host."""

    cluster: str = ""
    term: int = 0
    vote: str = ""


@dataclass(frozen=True, slots=True)
class LogBase:
    """Describe the last entry before the first one that the log still holds."""

    index: int = 0
    term: int = 0
    membership: Membership = Membership()


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Hold the state machine as it was after the entry at ``index``."""

    index: int
    term: int
    membership: Membership
    data: bytes


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """Ask for a vote; ``pre`` asks whether one would be given.

    ``transfer`` says that the leader asked for this election, so a host that still
    hears the leader need not protect it.
    """

    term: int
    last_index: int
    last_term: int
    pre: bool = False
    transfer: bool = False


@dataclass(frozen=True, slots=True)
class VoteReply:
    """Grant or refuse a vote in ``term``."""

    term: int
    granted: bool
    pre: bool = False


@dataclass(frozen=True, slots=True)
class AppendRequest:
    """Send entries that follow ``previous_index``; none makes it a heartbeat."""

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit: int
    round: int


@dataclass(frozen=True, slots=True)
class AppendReply:
    """Tell up to which index the log of the sender is on its disk.

    A refusal echoes ``previous_index`` and proposes in ``match`` where to go on.
    """

    term: int
    accepted: bool
    match: int
    previous_index: int
    round: int


@dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """Send one part of a snapshot of ``total`` bytes."""

    term: int
    index: int
    snapshot_term: int
    membership: Membership
    offset: int
    total: int
    data: bytes
    round: int


@dataclass(frozen=True, slots=True)
class SnapshotReply:
    """Ask for the chunk at ``offset``, or tell that the snapshot is on disk."""

    term: int
    index: int
    offset: int
    installed: bool
    round: int


@dataclass(frozen=True, slots=True)
class ReadRequest:
    """Ask the leader for an index from which a read is not stale.

    ``ticket`` must never be drawn twice by one host, also not after a restart: a
    late reply to an old request would let a new read be stale.
    """

    ticket: int


@dataclass(frozen=True, slots=True)
class ReadReply:
    """Answer a read request; ``index`` is -1 when the sender cannot tell."""

    ticket: int
    index: int


@dataclass(frozen=True, slots=True)
class TransferNow:
    """Ask the receiver to stand for election at once."""

    term: int


Message = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
    | ReadRequest
    | ReadReply
    | TransferNow
)


@dataclass(frozen=True, slots=True)
class Envelope:
    """Carry one message between two hosts of a cluster."""

    cluster: str
    sender: str
    receiver: str
    message: Message
