"""Dispatch events to their handlers and return what the host must do."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from .election import (
    become_follower,
    bootstrap_cluster,
    check_election_timeout,
    on_transfer_now,
    on_vote_reply,
    on_vote_request,
    record_leader_contact,
)
from .membership import (
    add_learner,
    advance_membership,
    is_reachable,
    is_voter,
    remove_member,
)
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
from .reads import on_read_reply, on_read_request, request_read
from .replication import (
    advance_commit,
    get_quorum_contact_time,
    on_append_reply,
    on_append_request,
    on_synced,
    propose,
    record_acknowledged_round,
    send_commit_index,
    send_pending,
    send_timeout_now_if_caught_up,
    start_round,
)
from .snapshot import compact, on_snapshot_chunk, on_snapshot_reply
from .state import (
    AddLearner,
    BootstrapCluster,
    Compact,
    Event,
    HostState,
    Outputs,
    Propose,
    Read,
    Received,
    RemoveMember,
    Role,
    Synced,
    Tick,
    TransferLeadership,
    send_after_sync,
    set_hard_state,
)


def handle(state: HostState, event: Event, now: float) -> None:
    """Process one event; ``now`` is monotonic time in seconds."""
    _HANDLERS[type(event)](state, event, now)


def collect(state: HostState, now: float) -> Outputs:
    """Return what the host must do after the events since the last call."""
    send_pending(state, now)
    out = state.outputs
    state.outputs = Outputs()
    return out


def has_fresh_quorum(state: HostState, now: float) -> bool:
    """Return whether this host leads and a quorum responded within the timeout."""
    if state.role is not Role.LEADER:
        return False
    return now < get_quorum_contact_time(state) + state.settings.election_seconds


def _tick(state: HostState, now: float) -> None:
    if state.role is not Role.LEADER:
        check_election_timeout(state, now)
        return
    if _has_lost_quorum(state, now):
        become_follower(state, state.term, "", now)
        return
    if state.transfer_target and now >= state.transfer_deadline:
        state.transfer_target = ""
    if now >= state.heartbeat_deadline:
        start_round(state, now)
        send_timeout_now_if_caught_up(state)
    send_commit_index(state, now)
    advance_membership(state, now)


def _has_lost_quorum(state: HostState, now: float) -> bool:
    # A leader that is partitioned from the quorum, or that was suspended, would keep
    # taking proposals that it cannot commit and keep clients away from the new leader.
    is_timeout_over = now >= state.elected_at + state.settings.election_seconds
    return is_timeout_over and not has_fresh_quorum(state, now)


def _start_transfer(state: HostState, now: float) -> None:
    if state.role is not Role.LEADER:
        return
    eligible = [
        (progress.match_index, host)
        for host, progress in state.progress.items()
        if is_voter(state, host) and is_reachable(state, host, now)
    ]
    if not eligible:
        return
    state.transfer_target = max(eligible)[1]
    state.transfer_deadline = now + state.settings.election_seconds
    send_timeout_now_if_caught_up(state)


def _receive(state: HostState, envelope: Envelope, now: float) -> None:
    if envelope.receiver != state.host or not _is_same_cluster(state, envelope):
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


def _is_same_cluster(state: HostState, envelope: Envelope) -> bool:
    """Join the first cluster that addresses this host id; ignore all others."""
    if not state.hard_state.cluster and envelope.cluster:
        set_hard_state(state, replace(state.hard_state, cluster=envelope.cluster))
    return envelope.cluster == state.hard_state.cluster


def _receive_in_term(
    state: HostState, sender: str, message: Message, now: float
) -> None:
    if message.term > state.term:
        become_follower(state, message.term, "", now)
    if message.term < state.term:
        _reply_to_stale_term(state, sender, message)
        return
    match message:
        case AppendRequest():
            on_append_request(state, sender, message, now)
        case AppendReply():
            on_append_reply(state, sender, message, now)
        case SnapshotChunk():
            record_leader_contact(state, sender, now)
            on_snapshot_chunk(state, sender, message)
        case SnapshotReply():
            _receive_snapshot_reply(state, sender, message, now)
        case TransferNow():
            on_transfer_now(state, now)


def _receive_snapshot_reply(
    state: HostState, sender: str, message: SnapshotReply, now: float
) -> None:
    progress = state.progress.get(sender)
    if state.role is not Role.LEADER or progress is None:
        return
    record_acknowledged_round(state, progress, message.round)
    on_snapshot_reply(state, sender, message, now)
    advance_commit(state, now)


def _reply_to_stale_term(state: HostState, sender: str, message: Message) -> None:
    """Send the current term to a deposed leader, so that it steps down."""
    if not isinstance(message, AppendRequest | SnapshotChunk):
        return
    reply = AppendReply(state.term, False, 0, 0, 0)
    send_after_sync(state, sender, reply)


_HANDLERS: dict[type[Event], Callable[[HostState, Any, float], None]] = {
    Received: lambda state, event, now: _receive(state, event.envelope, now),
    Tick: lambda state, event, now: _tick(state, now),
    Propose: lambda state, event, now: propose(state, event),
    Read: lambda state, event, now: request_read(state, event),
    Synced: on_synced,
    BootstrapCluster: bootstrap_cluster,
    AddLearner: add_learner,
    RemoveMember: remove_member,
    TransferLeadership: lambda state, event, now: _start_transfer(state, now),
    Compact: lambda state, event, now: compact(state, event),
}
