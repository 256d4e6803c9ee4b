"""Hold the state of one host, the events it takes and the outputs it gives."""

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
    """Tell what a host does in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class ConsensusSettings:
    """Bound times (seconds), batches (entries, bytes) and the number of voters.

    While there are more voters than ``kept_voters``, one that was silent for
    ``silent_seconds`` is removed; 0 leaves that to the operator. A host that has just
    started stands after ``first_election_seconds`` or a little later, and each time
    twice as late until it hears a leader; 0 leaves it the ordinary time.
    """

    heartbeat_seconds: float = 0.2
    election_seconds: float = 1.2
    first_election_seconds: float = 0.0
    max_batch_entries: int = 256
    max_batch_bytes: int = 512 * 1024
    max_inflight_entries: int = 2_048
    chunk_bytes: int = 256 * 1024
    catch_up_entries: int = 64
    kept_entries: int = 512
    kept_bytes: int = 4 * 1024 * 1024
    max_voters: int = 9
    kept_voters: int = 0
    silent_seconds: float = 3.0


@dataclass(frozen=True, slots=True)
class Received:
    """A message arrived."""

    envelope: Envelope


@dataclass(frozen=True, slots=True)
class Tick:
    """Time went on."""


@dataclass(frozen=True, slots=True)
class Propose:
    """A command shall be added to the log."""

    ticket: int
    command: bytes


@dataclass(frozen=True, slots=True)
class Read:
    """A read wants an index from which it is not stale."""

    ticket: int


@dataclass(frozen=True, slots=True)
class Synced:
    """All that earlier outputs asked to write, up to this entry, is on disk."""

    index: int
    term: int


@dataclass(frozen=True, slots=True)
class Found:
    """Make a new cluster; allowed only on a host without any state."""

    cluster: str
    membership: Membership


@dataclass(frozen=True, slots=True)
class Admit:
    """A host that is no member asks to receive the log."""

    ticket: int
    host: str
    address: str


@dataclass(frozen=True, slots=True)
class Remove:
    """An operator takes a lost host out."""

    ticket: int
    host: str


@dataclass(frozen=True, slots=True)
class Transfer:
    """Hand the lead to another host before a planned stop."""


@dataclass(frozen=True, slots=True)
class Compact:
    """A snapshot is on disk; older entries may go."""

    snapshot: Snapshot


Event = (
    Received
    | Tick
    | Propose
    | Read
    | Synced
    | Found
    | Admit
    | Remove
    | Transfer
    | Compact
)


@dataclass(frozen=True, slots=True)
class Appended:
    """A proposal became the entry at ``index``; it is accepted once committed."""

    ticket: int
    index: int
    term: int


@dataclass(frozen=True, slots=True)
class Refused:
    """A proposal or read was not taken and has no effect."""

    ticket: int
    reason: str


@dataclass(frozen=True, slots=True)
class ReadReady:
    """A read is not stale once the entry at ``index`` is applied."""

    ticket: int
    index: int


@dataclass(slots=True)
class Outputs:
    """Collect what the host must do, in this order.

    Write ``hard`` and ``entries``; send ``messages``; sync; give the event Synced;
    send ``promises``, which claim what the sync made durable; apply up to commit.
    """

    hard: HardState | None = None
    entries: list[Entry] = field(default_factory=list)
    installed: Snapshot | None = None
    messages: list[Envelope] = field(default_factory=list)
    promises: list[Envelope] = field(default_factory=list)
    appended: list[Appended] = field(default_factory=list)
    refused: list[Refused] = field(default_factory=list)
    reads: list[ReadReady] = field(default_factory=list)


@dataclass(slots=True)
class Progress:
    """Hold what the leader knows of one other member.

    ``heard_at`` is the time at which the newest round that the member answered was
    sent, not the time of the answer: answers that lay in a queue prove nothing about
    the present. ``known_at`` is when the leader began to send to it.
    """

    next: int
    known_at: float = float("-inf")
    match: int = 0
    heard_at: float = float("-inf")
    round: int = 0
    unanswered: int = 0
    commit_sent: int = 0
    snapshot: Snapshot | None = None
    offset: int = 0
    resend_deadline: float = 0.0


@dataclass(slots=True)
class PendingRead:
    """Hold a read until a quorum has answered ``round``."""

    host: str
    ticket: int
    round: int
    index: int


@dataclass(slots=True)
class Incoming:
    """Hold the part of a snapshot that has arrived."""

    index: int
    term: int
    data: bytearray


@dataclass(slots=True)
class HostState:
    """Hold the state of one host."""

    host: str
    settings: ConsensusSettings
    draw: Callable[[], float]
    hard: HardState
    log: Log
    snapshot: Snapshot | None = None
    role: Role = Role.FOLLOWER
    leader: str = ""
    commit: int = 0
    synced_index: int = 0
    election_deadline: float = 0.0
    # How often this host stood, and whether any leader was heard, since its start.
    attempts: int = 0
    has_met_leader: bool = False
    leader_deadline: float = float("-inf")
    votes: set[str] = field(default_factory=set)
    progress: dict[str, Progress] = field(default_factory=dict)
    heartbeat_deadline: float = 0.0
    elected_at: float = 0.0
    barrier_index: int = 0
    round: int = 0
    round_times: dict[int, float] = field(default_factory=dict)
    new_reads: list[PendingRead] = field(default_factory=list)
    reads: list[PendingRead] = field(default_factory=list)
    incoming: Incoming | None = None
    transfer_target: str = ""
    transfer_deadline: float = 0.0
    out: Outputs = field(default_factory=Outputs)

    @property
    def term(self) -> int:
        """Return the present term."""
        return self.hard.term


def make_state(
    host: str,
    settings: ConsensusSettings,
    draw: Callable[[], float],
    now: float,
    hard: HardState | None = None,
    base: LogBase | None = None,
    entries: tuple[Entry, ...] = (),
    snapshot: Snapshot | None = None,
) -> HostState:
    """Return the state of a host that starts with what its disk holds.

    ``draw`` returns a number in [0, 1) and spreads the election timeouts.
    """
    log = Log(base or LogBase(), entries)
    state = HostState(host, settings, draw, hard or HardState(), log, snapshot)
    state.commit = snapshot.index if snapshot else log.base.index
    state.synced_index = log.last_index
    reset_election_deadline(state, now)
    return state


def reset_election_deadline(state: HostState, now: float) -> None:
    """Wait between one and two election timeouts, so that hosts rarely collide.

    All hosts may have lost power together, and nothing works before one leads: the
    first timeouts are short. Two hosts that collide then must not wait for the ordinary
    time, which kept a fleet out of service for 0.9 s more; the span that doubles makes
    room for disks that are slow. The pre-vote keeps a host that restarted alone from
    deposing a leader.
    """
    settings = state.settings
    span = settings.election_seconds
    if settings.first_election_seconds and not state.has_met_leader:
        span = min(span, settings.first_election_seconds * 2**state.attempts)
    state.election_deadline = now + span * (1 + state.draw())


def set_hard(state: HostState, hard: HardState) -> None:
    """Change the hard state and ask for it to be written."""
    state.hard = hard
    state.out.hard = hard


def send(state: HostState, receiver: str, message: Message) -> None:
    """Send a message that claims nothing about this host's disk."""
    envelope = Envelope(state.hard.cluster, state.host, receiver, message)
    state.out.messages.append(envelope)


def promise(state: HostState, receiver: str, message: Message) -> None:
    """Send a message once everything asked for so far is on disk.

    A vote or a reply that left before its sync and is forgotten in a crash lets two
    leaders win one term, or an accepted entry vanish.
    """
    envelope = Envelope(state.hard.cluster, state.host, receiver, message)
    state.out.promises.append(envelope)


def append_entry(state: HostState, entry: Entry) -> None:
    """Add an entry to the log and ask for it to be written."""
    state.log.append(entry)
    state.out.entries.append(entry)
