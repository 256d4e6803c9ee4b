"""Log entries, memberships and the messages between hosts.

The algorithm is Raft (Ongaro, "Consensus: Bridging Theory and Practice", 2014). A host
id is ``name/disk``: the configured name and a random id that is stored with the data,
so that a host that restarts with an empty disk counts as a different host.
"""

from dataclasses import dataclass
from enum import StrEnum


class EntryKind(StrEnum):
    """Type of a log entry.

    ``BARRIER`` is the no-op entry that a new leader appends in its term.
    """

    COMMAND = "command"
    MEMBERSHIP = "membership"
    BARRIER = "barrier"


@dataclass(frozen=True, slots=True)
class Member:
    """A host that receives the log; only voters count towards a quorum."""

    host: str
    address: str
    voter: bool


@dataclass(frozen=True, slots=True)
class Membership:
    """The hosts that receive the log, in the order in which they joined."""

    members: tuple[Member, ...] = ()


@dataclass(frozen=True, slots=True)
class Entry:
    """One entry of the log."""

    index: int
    term: int
    kind: EntryKind
    command: bytes = b""
    membership: Membership | None = None


@dataclass(frozen=True, slots=True)
class HardState:
    """State that must be on disk before a vote or reply leaves the host.

    ``vote`` is the candidate that got this host's vote in ``term``, or empty.
    """

    cluster: str = ""
    term: int = 0
    vote: str = ""


@dataclass(frozen=True, slots=True)
class LogBase:
    """The last compacted entry: the log starts at the next index."""

    index: int = 0
    term: int = 0
    membership: Membership = Membership()


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Serialized state machine after applying the entry at ``index``."""

    index: int
    term: int
    membership: Membership
    data: bytes


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """Request a vote; with ``pre``, ask whether it would be granted.

    ``transfer`` marks an election that the leader requested, so that hosts in contact
    with that leader grant votes too.
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
    """Send entries that follow ``previous_index``; without entries, a heartbeat.

    ``commit`` is the leader's commit index, ``round`` the heartbeat round.
    """

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit: int
    round: int


@dataclass(frozen=True, slots=True)
class AppendReply:
    """Report up to which index the sender's log matches and is on its disk.

    A rejection echoes ``previous_index`` and suggests in ``match`` where to continue.
    """

    term: int
    accepted: bool
    match: int
    previous_index: int
    round: int


@dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """Send the part at ``offset`` of a snapshot of ``total`` bytes."""

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
    """Request the chunk at ``offset``, or report that the snapshot is on disk."""

    term: int
    index: int
    offset: int
    installed: bool
    round: int


@dataclass(frozen=True, slots=True)
class ReadRequest:
    """Request a read index from the leader: a read at that index is linearizable.

    ``ticket`` is the request id. A host must never reuse one, not even after a restart:
    a late reply to an old request would make a new read stale.
    """

    ticket: int


@dataclass(frozen=True, slots=True)
class ReadReply:
    """Answer a read request; ``index`` is -1 if the sender cannot confirm a read."""

    ticket: int
    index: int


@dataclass(frozen=True, slots=True)
class TransferNow:
    """Ask the receiver to start an election at once; Raft's TimeoutNow."""

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
