"""Take one event after another and decide what the host does."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from .election import (
    become_follower,
    check_election,
    found_cluster,
    note_leader,
    on_transfer_now,
    on_vote_reply,
    on_vote_request,
)
from .membership import admit, is_heard, is_voter, plan_change, remove
from .messages import (
    AppendReply,
    AppendRequest,
    Envelope,
    Message,
    ReadReply,
    ReadRequest,
    SnapshotChunk,
    SnapshotReply,
    TransferNow,
    VoteReply,
    VoteRequest,
)
from .reads import on_read_reply, on_read_request, read
from .replication import (
    advance_commit,
    check_transfer,
    find_quorum_time,
    flush,
    note_round,
    on_append_reply,
    on_append_request,
    on_synced,
    propose,
    start_round,
    tell_commit,
)
from .snapshot import compact, on_snapshot_chunk, on_snapshot_reply
from .state import (
    Admit,
    Compact,
    Event,
    Found,
    HostState,
    Outputs,
    Propose,
    Read,
    Received,
    Remove,
    Role,
    Synced,
    Tick,
    Transfer,
    promise,
    set_hard,
)


def handle(state: HostState, event: Event, now: float) -> None:
    """Take one event; ``now`` is in seconds and never goes back."""
    _HANDLERS[type(event)](state, event, now)


def collect(state: HostState, now: float) -> Outputs:
    """Return what the events since the last call ask for."""
    flush(state, now)
    out = state.out
    state.out = Outputs()
    return out


def has_fresh_quorum(state: HostState, now: float) -> bool:
    """Tell whether this host leads and a quorum answered within the timeout."""
    if state.role is not Role.LEADER:
        return False
    return now < find_quorum_time(state) + state.settings.election_seconds


def _tick(state: HostState, now: float) -> None:
    if state.role is not Role.LEADER:
        check_election(state, now)
        return
    if _has_lost_quorum(state, now):
        become_follower(state, state.term, "", now)
        return
    if state.transfer_target and now >= state.transfer_deadline:
        state.transfer_target = ""
    if now >= state.heartbeat_deadline:
        start_round(state, now)
        check_transfer(state)
    tell_commit(state, now)
    plan_change(state, now)


def _has_lost_quorum(state: HostState, now: float) -> bool:
    # A leader behind a partition, or one that was paused, would go on to take
    # proposals that cannot be accepted and keep callers from the new leader.
    elected = now >= state.elected_at + state.settings.election_seconds
    return elected and not has_fresh_quorum(state, now)


def _start_transfer(state: HostState, now: float) -> None:
    if state.role is not Role.LEADER:
        return
    able = [
        (progress.match, host)
        for host, progress in state.progress.items()
        if is_voter(state, host) and is_heard(state, host, now)
    ]
    if not able:
        return
    state.transfer_target = max(able)[1]
    state.transfer_deadline = now + state.settings.election_seconds
    check_transfer(state)


def _receive(state: HostState, envelope: Envelope, now: float) -> None:
    if envelope.receiver != state.host or not _check_cluster(state, envelope):
        return
    sender, message = envelope.sender, envelope.message
    match message:
        case VoteRequest():
            on_vote_request(state, sender, message, now)
        case VoteReply():
            on_vote_reply(state, sender, message, now)
        case ReadRequest():
            on_read_request(state, sender, message)
        case ReadReply():
            on_read_reply(state, message)
        case _:
            _receive_in_term(state, sender, message, now)


def _check_cluster(state: HostState, envelope: Envelope) -> bool:
    """Join the cluster that counts this very disk; ignore all others."""
    if not state.hard.cluster and envelope.cluster:
        set_hard(state, replace(state.hard, cluster=envelope.cluster))
    return envelope.cluster == state.hard.cluster


def _receive_in_term(
    state: HostState, sender: str, message: Message, now: float
) -> None:
    if message.term > state.term:
        become_follower(state, message.term, "", now)
    if message.term < state.term:
        _answer_old_term(state, sender, message)
        return
    match message:
        case AppendRequest():
            on_append_request(state, sender, message, now)
        case AppendReply():
            on_append_reply(state, sender, message, now)
        case SnapshotChunk():
            note_leader(state, sender, now)
            on_snapshot_chunk(state, sender, message)
        case SnapshotReply():
            _take_snapshot_reply(state, sender, message, now)
        case TransferNow():
            on_transfer_now(state, now)


def _take_snapshot_reply(
    state: HostState, sender: str, message: SnapshotReply, now: float
) -> None:
    progress = state.progress.get(sender)
    if state.role is not Role.LEADER or progress is None:
        return
    note_round(state, progress, message.round)
    on_snapshot_reply(state, sender, message, now)
    advance_commit(state, now)


def _answer_old_term(state: HostState, sender: str, message: Message) -> None:
    """Tell a deposed leader about the newer term, so that it steps down."""
    if not isinstance(message, AppendRequest | SnapshotChunk):
        return
    reply = AppendReply(state.term, False, 0, 0, 0)
    promise(state, sender, reply)


_HANDLERS: dict[type[Event], Callable[[HostState, Any, float], None]] = {
    Received: lambda state, event, now: _receive(state, event.envelope, now),
    Tick: lambda state, event, now: _tick(state, now),
    Propose: lambda state, event, now: propose(state, event),
    Read: lambda state, event, now: read(state, event),
    Synced: on_synced,
    Found: found_cluster,
    Admit: admit,
    Remove: remove,
    Transfer: lambda state, event, now: _start_transfer(state, now),
    Compact: lambda state, event, now: compact(state, event),
}
