"""Elect at most one leader per term: pre-vote, vote, step down."""

from dataclasses import replace

from .membership import count_quorum, is_voter, list_voters, reconcile_progress
from .messages import (
    Entry,
    EntryKind,
    HardState,
    VoteReply,
    VoteRequest,
)
from .reads import refuse_reads
from .state import (
    BootstrapCluster,
    HostState,
    Role,
    append_entry,
    reset_election_deadline,
    send,
    send_after_sync,
    set_hard_state,
)

BOOTSTRAP_TERM = 1


def bootstrap_cluster(state: HostState, event: BootstrapCluster, now: float) -> None:
    """Write the first membership of a new cluster on a host without any state."""
    if state.hard_state.cluster or state.log.last_index:
        return
    set_hard_state(state, HardState(event.cluster, BOOTSTRAP_TERM, state.host))
    kind = EntryKind.MEMBERSHIP
    append_entry(state, Entry(1, BOOTSTRAP_TERM, kind, membership=event.membership))
    state.election_deadline = now


def check_election_timeout(state: HostState, now: float) -> None:
    """Start an election when the election timeout has elapsed without a leader."""
    # A single voter need not wait: no other host can lead.
    is_only_voter = list_voters(state.log.membership) == (state.host,)
    if now < state.election_deadline and not is_only_voter:
        return
    state.leader = ""
    state.election_attempts += 1
    reset_election_deadline(state, now)
    if is_voter(state, state.host):
        start_pre_vote(state, now)


def start_pre_vote(state: HostState, now: float) -> None:
    """Ask the voters whether they would grant a vote, without raising the term.

    Without a pre-vote, a host that rejoins after a network partition would bring a
    higher term and depose a working leader.
    """
    state.role = Role.PRE_CANDIDATE
    state.votes = {state.host}
    _request_votes(
        state, VoteRequest(state.term + 1, *_get_last_index_and_term(state), pre=True)
    )
    _count_votes(state, now)


def campaign(state: HostState, now: float, transfer: bool = False) -> None:
    """Become a candidate: raise the term, vote for this host and request votes."""
    set_hard_state(
        state, replace(state.hard_state, term=state.term + 1, vote=state.host)
    )
    state.role = Role.CANDIDATE
    state.leader = ""
    state.votes = {state.host}
    reset_election_deadline(state, now)
    request = VoteRequest(
        state.term, *_get_last_index_and_term(state), transfer=transfer
    )
    _request_votes(state, request)
    _count_votes(state, now)


def become_follower(state: HostState, term: int, leader: str, now: float) -> None:
    """Become a follower; clear the vote if the term is higher."""
    if term > state.term:
        set_hard_state(state, replace(state.hard_state, term=term, vote=""))
    if state.role is Role.LEADER:
        refuse_reads(state)
        state.progress.clear()
        state.transfer_target = ""
    if state.role is not Role.FOLLOWER:
        reset_election_deadline(state, now)
    state.role = Role.FOLLOWER
    state.leader = leader


def record_leader_contact(state: HostState, leader: str, now: float) -> None:
    """Follow the leader of this term and restart the election timeout."""
    become_follower(state, state.term, leader, now)
    state.has_seen_leader = True
    state.leader_contact_deadline = now + state.settings.election_seconds
    reset_election_deadline(state, now)


def on_vote_request(
    state: HostState, sender: str, message: VoteRequest, now: float
) -> None:
    """Grant at most one vote per term, to a candidate whose log is up to date."""
    if not message.transfer and _has_leader_contact(state, now):
        return
    if message.pre:
        _reply_to_pre_vote(state, sender, message)
        return
    if message.term > state.term:
        become_follower(state, message.term, "", now)
    granted = (
        message.term == state.term
        and state.hard_state.vote in ("", sender)
        and _is_log_up_to_date(state, message)
    )
    if granted:
        set_hard_state(state, replace(state.hard_state, vote=sender))
        reset_election_deadline(state, now)
    send_after_sync(state, sender, VoteReply(state.term, granted))


def on_vote_reply(
    state: HostState, sender: str, message: VoteReply, now: float
) -> None:
    """Count a vote for this host in the current election or pre-vote."""
    if message.pre and message.granted:
        is_current = state.role is Role.PRE_CANDIDATE and message.term == state.term + 1
    else:
        if message.term > state.term:
            become_follower(state, message.term, "", now)
            return
        is_current = state.role is Role.CANDIDATE and message.term == state.term
    if not is_current or not message.granted:
        return
    state.votes.add(sender)
    _count_votes(state, now)


def on_transfer_now(state: HostState, now: float) -> None:
    """Start an election at the leader's request, as Raft's TimeoutNow."""
    if state.role is Role.FOLLOWER and is_voter(state, state.host):
        campaign(state, now, transfer=True)


def _reply_to_pre_vote(state: HostState, sender: str, message: VoteRequest) -> None:
    granted = message.term > state.term and _is_log_up_to_date(state, message)
    term = message.term if granted else state.term
    send_after_sync(state, sender, VoteReply(term, granted, pre=True))


def _has_leader_contact(state: HostState, now: float) -> bool:
    if state.role is Role.LEADER:
        return True
    return bool(state.leader) and now < state.leader_contact_deadline


def _get_last_index_and_term(state: HostState) -> tuple[int, int]:
    return state.log.last_index, state.log.last_term


def _is_log_up_to_date(state: HostState, message: VoteRequest) -> bool:
    candidate_last = (message.last_term, message.last_index)
    return candidate_last >= (state.log.last_term, state.log.last_index)


def _request_votes(state: HostState, request: VoteRequest) -> None:
    # A vote request implies that the candidate voted for itself; that vote must be on
    # disk before the request leaves.
    send_request = send if request.pre else send_after_sync
    for host in list_voters(state.log.membership):
        if host != state.host:
            send_request(state, host, request)


def _count_votes(state: HostState, now: float) -> None:
    voters = list_voters(state.log.membership)
    if len(state.votes.intersection(voters)) < count_quorum(voters):
        return
    if state.role is Role.PRE_CANDIDATE:
        campaign(state, now)
    elif state.role is Role.CANDIDATE:
        _become_leader(state, now)


def _become_leader(state: HostState, now: float) -> None:
    state.role = Role.LEADER
    state.has_seen_leader = True
    state.leader = state.host
    state.elected_at = now
    state.heartbeat_deadline = now
    state.incoming_snapshot = None
    state.progress.clear()
    reconcile_progress(state, now)
    # Entries of earlier terms are committed only together with one of this term, so
    # append a no-op: another leader could still replace entries of earlier terms that
    # a majority already stores.
    state.noop_index = state.log.last_index + 1
    append_entry(state, Entry(state.noop_index, state.term, EntryKind.BARRIER))
