"""State of one Raft host, the events it processes and the outputs it returns."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from .log import Log
from .messages import (
    Entry,
    Envelope,
    HardState,
    LogBase,
    Membership,
    Message,
    Snapshot,
)


class Role(StrEnum):
    """Role of a host in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class ConsensusSettings:
    """Timeouts (seconds), batch limits (entries, bytes) and number of voters.

    The leader removes a member without contact for ``removal_timeout_seconds``, but no
    voter while there are at most ``min_voters`` of them; 0 leaves removal to the
    operator. Until a host has seen a leader since its start, its first election timeout
    is ``first_election_seconds`` and doubles with each attempt up to
    ``election_seconds``; 0 applies ``election_seconds`` from the start.
    """

    heartbeat_seconds: float = 0.2
    election_seconds: float = 1.2
    first_election_seconds: float = 0.0
    max_batch_entries: int = 256
    max_batch_bytes: int = 512 * 1024
    max_inflight_entries: int = 2_048
    snapshot_chunk_bytes: int = 256 * 1024
    max_promotion_lag_entries: int = 64
    retained_entries: int = 512
    retained_bytes: int = 4 * 1024 * 1024
    max_voters: int = 9
    min_voters: int = 0
    removal_timeout_seconds: float = 3.0


@dataclass(frozen=True, slots=True)
class Received:
    """A message arrived from another host."""

    envelope: Envelope


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; timeouts are checked."""


@dataclass(frozen=True, slots=True)
class Propose:
    """A client proposes a command for the log."""

    request_id: int
    command: bytes


@dataclass(frozen=True, slots=True)
class Read:
    """A client requests a read index for a linearizable read."""

    request_id: int


@dataclass(frozen=True, slots=True)
class Synced:
    """All writes of earlier outputs, up to this entry, are on disk."""

    index: int
    term: int


@dataclass(frozen=True, slots=True)
class BootstrapCluster:
    """Create a new cluster; ignored on a host that has any state."""

    cluster: str
    membership: Membership


@dataclass(frozen=True, slots=True)
class AddLearner:
    """A host that is not a member asks to join as a learner.

    ``request_id`` is 0 if nobody waits for the outcome.
    """

    request_id: int
    host: str
    address: str


@dataclass(frozen=True, slots=True)
class RemoveMember:
    """An operator removes a lost host."""

    request_id: int
    host: str


@dataclass(frozen=True, slots=True)
class TransferLeadership:
    """Transfer leadership to another voter before a planned stop."""


@dataclass(frozen=True, slots=True)
class Compact:
    """A snapshot is on disk; entries that it covers may be dropped."""

    snapshot: Snapshot


Event = (
    Received
    | Tick
    | Propose
    | Read
    | Synced
    | BootstrapCluster
    | AddLearner
    | RemoveMember
    | TransferLeadership
    | Compact
)


@dataclass(frozen=True, slots=True)
class Appended:
    """A proposal was appended at ``index``; it succeeds once it is committed."""

    request_id: int
    index: int
    term: int


@dataclass(frozen=True, slots=True)
class Refused:
    """A request was refused and has no effect."""

    request_id: int
    reason: str


@dataclass(frozen=True, slots=True)
class ReadReady:
    """A read is linearizable once the entry at ``index`` is applied."""

    request_id: int
    index: int


@dataclass(slots=True)
class Outputs:
    """What the host must do, in this order.

    Write ``hard_state`` and ``entries``; send ``messages``; sync; pass the event
    Synced; send ``messages_after_sync``, which rely on the synced data; apply up to the
    commit index.
    """

    hard_state: HardState | None = None
    entries: list[Entry] = field(default_factory=list)
    installed_snapshot: Snapshot | None = None
    messages: list[Envelope] = field(default_factory=list)
    messages_after_sync: list[Envelope] = field(default_factory=list)
    appended: list[Appended] = field(default_factory=list)
    refused: list[Refused] = field(default_factory=list)
    ready_reads: list[ReadReady] = field(default_factory=list)


@dataclass(slots=True)
class Progress:
    """Replication progress of one other member, as the leader knows it.

    ``last_contact_at`` is when the newest round that the member acknowledged was sent,
    not when the reply arrived: a reply that was delayed in a queue proves no recent
    contact. ``tracked_since`` is when the leader began to replicate to the member.
    """

    next_index: int
    tracked_since: float = float("-inf")
    match_index: int = 0
    last_contact_at: float = float("-inf")
    acknowledged_round: int = 0
    inflight_entries: int = 0
    sent_commit_index: int = 0
    snapshot: Snapshot | None = None
    snapshot_offset: int = 0
    chunk_resend_deadline: float = 0.0


@dataclass(slots=True)
class PendingRead:
    """A read that waits until a quorum has acknowledged heartbeat ``round``."""

    host: str
    request_id: int
    round: int
    read_index: int


@dataclass(slots=True)
class IncomingSnapshot:
    """The received part of a snapshot."""

    index: int
    term: int
    data: bytearray


@dataclass(slots=True)
class HostState:
    """State of one Raft host."""

    host: str
    settings: ConsensusSettings
    random_fraction: Callable[[], float]
    hard_state: HardState
    log: Log
    snapshot: Snapshot | None = None
    role: Role = Role.FOLLOWER
    leader: str = ""
    commit_index: int = 0
    synced_index: int = 0
    election_deadline: float = 0.0
    # Elections this host started, and whether it had contact with a leader, since its
    # start.
    election_attempts: int = 0
    has_seen_leader: bool = False
    leader_contact_deadline: float = float("-inf")
    votes: set[str] = field(default_factory=set)
    progress: dict[str, Progress] = field(default_factory=dict)
    heartbeat_deadline: float = 0.0
    elected_at: float = 0.0
    noop_index: int = 0
    heartbeat_round: int = 0
    round_sent_at: dict[int, float] = field(default_factory=dict)
    queued_reads: list[PendingRead] = field(default_factory=list)
    unconfirmed_reads: list[PendingRead] = field(default_factory=list)
    incoming_snapshot: IncomingSnapshot | None = None
    transfer_target: str = ""
    transfer_deadline: float = 0.0
    outputs: Outputs = field(default_factory=Outputs)

    @property
    def term(self) -> int:
        """Return the current term."""
        return self.hard_state.term


def make_state(
    host: str,
    settings: ConsensusSettings,
    random_fraction: Callable[[], float],
    now: float,
    hard_state: HardState | None = None,
    base: LogBase | None = None,
    entries: tuple[Entry, ...] = (),
    snapshot: Snapshot | None = None,
) -> HostState:
    """Return the state of a host that starts with the given persisted data.

    ``random_fraction`` returns a float in [0, 1), which randomizes election timeouts.
    """
    log = Log(base or LogBase(), entries)
    state = HostState(
        host, settings, random_fraction, hard_state or HardState(), log, snapshot
    )
    state.commit_index = snapshot.index if snapshot else log.base.index
    state.synced_index = log.last_index
    reset_election_deadline(state, now)
    return state


def reset_election_deadline(state: HostState, now: float) -> None:
    """Set a random election timeout between one and two times the configured one.

    After a power loss of all hosts nothing works until there is a leader, so the first
    timeouts after a start are short. If two hosts then split the vote, waiting for the
    ordinary timeout would prolong the outage by 0.9 s; doubling the short timeout
    instead still gives slow disks enough time. The pre-vote keeps a host that restarted
    alone from deposing a leader.
    """
    settings = state.settings
    timeout = settings.election_seconds
    if settings.first_election_seconds and not state.has_seen_leader:
        timeout = min(
            timeout, settings.first_election_seconds * 2**state.election_attempts
        )
    state.election_deadline = now + timeout * (1 + state.random_fraction())


def set_hard_state(state: HostState, hard_state: HardState) -> None:
    """Change the hard state and output it to be written."""
    state.hard_state = hard_state
    state.outputs.hard_state = hard_state


def send(state: HostState, receiver: str, message: Message) -> None:
    """Send a message that does not rely on data synced to this host's disk."""
    envelope = Envelope(state.hard_state.cluster, state.host, receiver, message)
    state.outputs.messages.append(envelope)


def send_after_sync(state: HostState, receiver: str, message: Message) -> None:
    """Send a message once all writes output so far are on disk.

    If a vote or reply were sent before its sync and then lost in a crash, two leaders
    could win the same term, or a committed entry could be lost.
    """
    envelope = Envelope(state.hard_state.cluster, state.host, receiver, message)
    state.outputs.messages_after_sync.append(envelope)


def append_entry(state: HostState, entry: Entry) -> None:
    """Append an entry to the log and output it to be written."""
    state.log.append(entry)
    state.outputs.entries.append(entry)
