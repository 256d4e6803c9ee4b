"""Bring the logs of all members to that of the leader, and commit by quorum."""

from .election import become_follower, note_leader
from .membership import count_quorum, is_voter, list_voters
from .messages import AppendReply, AppendRequest, Entry, EntryKind, TransferNow
from .reads import bind_reads, confirm_reads
from .snapshot import resend_chunk, start_snapshot
from .state import (
    Appended,
    HostState,
    Progress,
    Propose,
    Refused,
    Role,
    Synced,
    append_entry,
    promise,
    send,
)

# Rounds whose sending time is kept; older answers prove nothing that is of use.
KEPT_ROUNDS = 256


def propose(state: HostState, event: Propose) -> None:
    """Add a command to the log of the leader; refuse it anywhere else."""
    if state.role is not Role.LEADER:
        reason = f"not the leader; the leader is {state.leader or 'unknown'}"
        state.out.refused.append(Refused(event.ticket, reason))
        return
    if state.transfer_target:
        reason = f"the lead is going over to {state.transfer_target}"
        state.out.refused.append(Refused(event.ticket, reason))
        return
    index = state.log.last_index + 1
    append_entry(state, Entry(index, state.term, EntryKind.COMMAND, event.command))
    state.out.appended.append(Appended(event.ticket, index, state.term))


def start_round(state: HostState, now: float) -> None:
    """Send a heartbeat to every member and remember when."""
    state.round += 1
    state.round_times[state.round] = now
    state.round_times.pop(state.round - KEPT_ROUNDS, None)
    state.heartbeat_deadline = now + state.settings.heartbeat_seconds
    for host, progress in state.progress.items():
        _replicate(state, host, progress, now, heartbeat=True)
    confirm_reads(state)


def flush(state: HostState, now: float) -> None:
    """Send what a batch of events has left to send."""
    if state.role is not Role.LEADER:
        return
    if bind_reads(state):
        start_round(state, now)
    for host, progress in state.progress.items():
        _replicate(state, host, progress, now, heartbeat=False)


def tell_commit(state: HostState, now: float) -> None:
    """Tell members of a commit that no entry has carried since the last tick.

    Sending it at once would double the messages of every entry; a read does not wait
    for it, since the round that confirms the read carries it too.
    """
    for host, progress in state.progress.items():
        if progress.match > 0 and progress.commit_sent < state.commit:
            _replicate(state, host, progress, now, heartbeat=True)


def on_append_request(
    state: HostState, sender: str, message: AppendRequest, now: float
) -> None:
    """Take entries of the leader when they follow on from ours."""
    note_leader(state, sender, now)
    previous = message.previous_index
    entries = message.entries
    if previous < state.log.base.index:
        # Entries up to the base are committed and so the same everywhere.
        skipped = state.log.base.index - previous
        previous = state.log.base.index
        entries = entries[skipped:]
    elif state.log.term_at(previous) != message.previous_term:
        hint = _find_hint(state, previous)
        reply = AppendReply(state.term, False, hint, previous, message.round)
        promise(state, sender, reply)
        return
    _take_entries(state, entries)
    match = max(previous, message.previous_index + len(message.entries))
    state.commit = max(state.commit, min(message.commit, match))
    promise(state, sender, AppendReply(state.term, True, match, 0, message.round))


def on_append_reply(
    state: HostState, sender: str, message: AppendReply, now: float
) -> None:
    """Note how far a member has come; commit what a quorum has on disk."""
    progress = state.progress.get(sender)
    if state.role is not Role.LEADER or progress is None:
        return
    note_round(state, progress, message.round)
    if message.accepted:
        progress.match = max(progress.match, message.match)
        progress.next = max(progress.next, progress.match + 1)
        progress.unanswered = 0
        advance_commit(state, now)
    elif message.previous_index > progress.match:
        # Several batches are on their way: the refusal of a later one must not undo
        # what an earlier one told, or the two take turns and the member never gets on.
        wanted = min(progress.next, message.match + 1, message.previous_index)
        progress.next = max(progress.match + 1, wanted)
        progress.unanswered = 0
    check_transfer(state)


def note_round(state: HostState, progress: Progress, answered: int) -> None:
    """Remember the newest round that a member answered."""
    if answered > progress.round:
        progress.round = answered
        sent_at = state.round_times.get(answered, float("-inf"))
        progress.heard_at = max(progress.heard_at, sent_at)
    confirm_reads(state)


def on_synced(state: HostState, event: Synced, now: float) -> None:
    """Count this host's own disk towards the quorum."""
    if state.log.term_at(event.index) != event.term:
        return
    state.synced_index = max(state.synced_index, event.index)
    if state.role is Role.LEADER:
        advance_commit(state, now)
        check_transfer(state)


def advance_commit(state: HostState, now: float) -> None:
    """Commit the newest entry of this term that a quorum has on disk."""
    voters = list_voters(state.log.membership)
    places = [_match_of(state, host) for host in voters]
    index = sorted(places, reverse=True)[count_quorum(voters) - 1]
    # By count alone an entry of an earlier term is not safe: see _become_leader.
    if index <= state.commit or state.log.term_at(index) != state.term:
        return
    state.commit = index
    removed = not is_voter(state, state.host)
    if removed and state.log.membership_index <= state.commit:
        become_follower(state, state.term, "", now)


def check_transfer(state: HostState) -> None:
    """Tell the successor to stand for election once its log is complete."""
    progress = state.progress.get(state.transfer_target)
    if progress is None or progress.match < state.log.last_index:
        return
    send(state, state.transfer_target, TransferNow(state.term))


def find_quorum_time(state: HostState) -> float:
    """Return until when a quorum has answered: the time of the round it answered."""
    voters = list_voters(state.log.membership)
    times = [
        float("inf") if host == state.host else _heard_at(state, host)
        for host in voters
    ]
    return sorted(times, reverse=True)[count_quorum(voters) - 1]


def _heard_at(state: HostState, host: str) -> float:
    progress = state.progress.get(host)
    return progress.heard_at if progress else float("-inf")


def _match_of(state: HostState, host: str) -> int:
    if host == state.host:
        return state.synced_index
    progress = state.progress.get(host)
    return progress.match if progress else 0


def _replicate(
    state: HostState, host: str, progress: Progress, now: float, heartbeat: bool
) -> None:
    if progress.snapshot is not None:
        resend_chunk(state, host, progress, now)
        return
    if progress.next <= state.log.base.index:
        start_snapshot(state, host, progress, now)
        return
    limits = state.settings
    while progress.unanswered < limits.max_inflight_entries:
        entries = state.log.read(
            progress.next, limits.max_batch_entries, limits.max_batch_bytes
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
    previous = progress.next - 1
    term = state.log.term_at(previous) or 0
    request = AppendRequest(
        state.term, previous, term, entries, state.commit, state.round
    )
    send(state, host, request)
    progress.next += len(entries)
    progress.unanswered += len(entries)
    progress.commit_sent = state.commit


def _find_hint(state: HostState, previous: int) -> int:
    """Return where the logs may agree: before the term that differs, or our end."""
    term = state.log.term_at(previous)
    if term is None:
        return min(previous - 1, state.log.last_index)
    index = previous - 1
    while index > state.commit and state.log.term_at(index) == term:
        index -= 1
    return index


def _take_entries(state: HostState, entries: tuple[Entry, ...]) -> None:
    for entry in entries:
        found = state.log.term_at(entry.index)
        if found == entry.term:
            continue
        if found is not None:
            _cut(state, entry.index)
        append_entry(state, entry)


def _cut(state: HostState, index: int) -> None:
    if index <= state.commit:
        raise AssertionError(f"entry {index} is committed and must not be replaced")
    state.log.cut(index)
    state.synced_index = min(state.synced_index, index - 1)
