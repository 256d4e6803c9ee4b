"""Replicate the leader's log to all members and commit entries by quorum."""

from .election import become_follower, record_leader_contact
from .membership import count_quorum, is_voter, list_voters
from .messages import AppendReply, AppendRequest, Entry, EntryKind, TransferNow
from .reads import assign_read_round, confirm_reads
from .snapshot import resend_unanswered_chunk, start_install_snapshot
from .state import (
    Appended,
    HostState,
    Progress,
    Propose,
    Refused,
    Role,
    Synced,
    append_entry,
    send,
    send_after_sync,
)

# How many heartbeat rounds keep their send time; older ones are too old for the quorum
# check.
MAX_TRACKED_ROUNDS = 256


def propose(state: HostState, event: Propose) -> None:
    """Append a command to the leader's log; refuse it on any other host."""
    if state.role is not Role.LEADER:
        reason = f"not the leader; the leader is {state.leader or 'unknown'}"
        state.outputs.refused.append(Refused(event.request_id, reason))
        return
    if state.transfer_target:
        reason = f"the lead is going over to {state.transfer_target}"
        state.outputs.refused.append(Refused(event.request_id, reason))
        return
    index = state.log.last_index + 1
    append_entry(state, Entry(index, state.term, EntryKind.COMMAND, event.command))
    state.outputs.appended.append(Appended(event.request_id, index, state.term))


def start_round(state: HostState, now: float) -> None:
    """Start a heartbeat round: send to every member and record the time."""
    state.heartbeat_round += 1
    state.round_sent_at[state.heartbeat_round] = now
    state.round_sent_at.pop(state.heartbeat_round - MAX_TRACKED_ROUNDS, None)
    state.heartbeat_deadline = now + state.settings.heartbeat_seconds
    for host, progress in state.progress.items():
        _replicate(state, host, progress, now, heartbeat=True)
    confirm_reads(state)


def send_pending(state: HostState, now: float) -> None:
    """Send the entries and heartbeats that a batch of events has made due."""
    if state.role is not Role.LEADER:
        return
    if assign_read_round(state):
        start_round(state, now)
    for host, progress in state.progress.items():
        _replicate(state, host, progress, now, heartbeat=False)


def send_commit_index(state: HostState, now: float) -> None:
    """Send the commit index to members that got no newer message since the last tick.

    Sending it immediately would double the messages per entry. Reads do not wait for
    it, since the heartbeat round that confirms a read carries the commit index too.
    """
    for host, progress in state.progress.items():
        if progress.match_index > 0 and progress.sent_commit_index < state.commit_index:
            _replicate(state, host, progress, now, heartbeat=True)


def on_append_request(
    state: HostState, sender: str, message: AppendRequest, now: float
) -> None:
    """Append the leader's entries if the log matches at ``previous_index``."""
    record_leader_contact(state, sender, now)
    previous = message.previous_index
    entries = message.entries
    if previous < state.log.base.index:
        # Entries up to the base are committed, hence identical on all hosts.
        skipped = state.log.base.index - previous
        previous = state.log.base.index
        entries = entries[skipped:]
    elif state.log.term_at(previous) != message.previous_term:
        hint = _find_conflict_hint(state, previous)
        reply = AppendReply(state.term, False, hint, previous, message.round)
        send_after_sync(state, sender, reply)
        return
    _store_entries(state, entries)
    match = max(previous, message.previous_index + len(message.entries))
    state.commit_index = max(state.commit_index, min(message.commit, match))
    send_after_sync(
        state, sender, AppendReply(state.term, True, match, 0, message.round)
    )


def on_append_reply(
    state: HostState, sender: str, message: AppendReply, now: float
) -> None:
    """Update a member's progress and commit what a quorum has on disk."""
    progress = state.progress.get(sender)
    if state.role is not Role.LEADER or progress is None:
        return
    record_acknowledged_round(state, progress, message.round)
    if message.accepted:
        progress.match_index = max(progress.match_index, message.match)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        progress.inflight_entries = 0
        advance_commit(state, now)
    elif message.previous_index > progress.match_index:
        # With several batches in flight, the rejection of a later one must not undo
        # the progress from an earlier one, or both alternate and the member never
        # catches up.
        suggested = min(progress.next_index, message.match + 1, message.previous_index)
        progress.next_index = max(progress.match_index + 1, suggested)
        progress.inflight_entries = 0
    send_timeout_now_if_caught_up(state)


def record_acknowledged_round(
    state: HostState, progress: Progress, acknowledged_round: int
) -> None:
    """Record the newest heartbeat round that a member acknowledged."""
    if acknowledged_round > progress.acknowledged_round:
        progress.acknowledged_round = acknowledged_round
        sent_at = state.round_sent_at.get(acknowledged_round, float("-inf"))
        progress.last_contact_at = max(progress.last_contact_at, sent_at)
    confirm_reads(state)


def on_synced(state: HostState, event: Synced, now: float) -> None:
    """Count the entries on this host's own disk towards the quorum."""
    if state.log.term_at(event.index) != event.term:
        return
    state.synced_index = max(state.synced_index, event.index)
    if state.role is Role.LEADER:
        advance_commit(state, now)
        send_timeout_now_if_caught_up(state)


def advance_commit(state: HostState, now: float) -> None:
    """Commit up to the newest entry of this term that a quorum has on disk."""
    voters = list_voters(state.log.membership)
    match_indexes = [_get_match_index(state, host) for host in voters]
    index = sorted(match_indexes, reverse=True)[count_quorum(voters) - 1]
    # Counting replicas is not enough for entries of earlier terms, see _become_leader.
    if index <= state.commit_index or state.log.term_at(index) != state.term:
        return
    state.commit_index = index
    is_removed = not is_voter(state, state.host)
    if is_removed and state.log.membership_index <= state.commit_index:
        become_follower(state, state.term, "", now)


def send_timeout_now_if_caught_up(state: HostState) -> None:
    """Ask the transfer target to start an election once its log is complete."""
    progress = state.progress.get(state.transfer_target)
    if progress is None or progress.match_index < state.log.last_index:
        return
    send(state, state.transfer_target, TransferNow(state.term))


def get_quorum_contact_time(state: HostState) -> float:
    """Return when the newest round that a quorum acknowledged was sent."""
    voters = list_voters(state.log.membership)
    times = [
        float("inf") if host == state.host else _get_last_contact(state, host)
        for host in voters
    ]
    return sorted(times, reverse=True)[count_quorum(voters) - 1]


def _get_last_contact(state: HostState, host: str) -> float:
    progress = state.progress.get(host)
    return progress.last_contact_at if progress else float("-inf")


def _get_match_index(state: HostState, host: str) -> int:
    if host == state.host:
        return state.synced_index
    progress = state.progress.get(host)
    return progress.match_index if progress else 0


def _replicate(
    state: HostState, host: str, progress: Progress, now: float, heartbeat: bool
) -> None:
    if progress.snapshot is not None:
        resend_unanswered_chunk(state, host, progress, now)
        return
    if progress.next_index <= state.log.base.index:
        start_install_snapshot(state, host, progress, now)
        return
    settings = state.settings
    while progress.inflight_entries < settings.max_inflight_entries:
        entries = state.log.read_batch(
            progress.next_index, settings.max_batch_entries, settings.max_batch_bytes
        )
        if not entries:
            break
        _send_entries(state, host, progress, entries)
        heartbeat = False
    if heartbeat:
        _send_entries(state, host, progress, ())


def _send_entries(
    state: HostState, host: str, progress: Progress, entries: tuple[Entry, ...]
) -> None:
    previous = progress.next_index - 1
    term = state.log.term_at(previous) or 0
    request = AppendRequest(
        state.term, previous, term, entries, state.commit_index, state.heartbeat_round
    )
    send(state, host, request)
    progress.next_index += len(entries)
    progress.inflight_entries += len(entries)
    progress.sent_commit_index = state.commit_index


def _find_conflict_hint(state: HostState, previous: int) -> int:
    """Return an index where the logs may match.

    That is the last one before the conflicting term, or the end of this host's log.
    """
    term = state.log.term_at(previous)
    if term is None:
        return min(previous - 1, state.log.last_index)
    index = previous - 1
    while index > state.commit_index and state.log.term_at(index) == term:
        index -= 1
    return index


def _store_entries(state: HostState, entries: tuple[Entry, ...]) -> None:
    for entry in entries:
        local_term = state.log.term_at(entry.index)
        if local_term == entry.term:
            continue
        if local_term is not None:
            _truncate_log(state, entry.index)
        append_entry(state, entry)


def _truncate_log(state: HostState, index: int) -> None:
    if index <= state.commit_index:
        raise AssertionError(
            f"conflict at entry {index}, but committed up to {state.commit_index}"
        )
    state.log.truncate(index)
    state.synced_index = min(state.synced_index, index - 1)
