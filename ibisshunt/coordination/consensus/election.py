"""Elect at most one leader a term: pre-vote, vote, step down."""

from dataclasses import replace

from .membership import count_quorum, is_voter, list_voters, sync_progress
from .messages import (
    Entry,
    EntryKind,
    HardState,
    VoteReply,
    VoteRequest,
)
from .reads import fail_reads
from .state import (
    Found,
    HostState,
    Role,
    append_entry,
    promise,
    reset_election_deadline,
    send,
    set_hard,
)

FOUNDING_TERM = 1


def found_cluster(state: HostState, event: Found, now: float) -> None:
    """Write the first membership on a host that holds nothing."""
    if state.hard.cluster or state.log.last_index:
        return
    set_hard(state, HardState(event.cluster, FOUNDING_TERM, state.host))
    kind = EntryKind.MEMBERSHIP
    append_entry(state, Entry(1, FOUNDING_TERM, kind, membership=event.membership))
    state.election_deadline = now


def check_election(state: HostState, now: float) -> None:
    """Stand for election when no leader was heard in time."""
    # The only voter need not wait: nobody else can lead.
    is_alone = list_voters(state.log.membership) == (state.host,)
    if now < state.election_deadline and not is_alone:
        return
    state.leader = ""
    state.attempts += 1
    reset_election_deadline(state, now)
    if is_voter(state, state.host):
        start_pre_vote(state, now)


def start_pre_vote(state: HostState, now: float) -> None:
    """Ask whether an election could be won, without raising the term.

    A host that comes back from behind a partition would otherwise bring a higher term
    along and depose a leader that works.
    """
    state.role = Role.PRE_CANDIDATE
    state.votes = {state.host}
    _ask_for_votes(state, VoteRequest(state.term + 1, *_last(state), pre=True))
    _count_votes(state, now)


def campaign(state: HostState, now: float, transfer: bool = False) -> None:
    """Raise the term, vote for this host and ask the others."""
    set_hard(state, replace(state.hard, term=state.term + 1, vote=state.host))
    state.role = Role.CANDIDATE
    state.leader = ""
    state.votes = {state.host}
    reset_election_deadline(state, now)
    request = VoteRequest(state.term, *_last(state), transfer=transfer)
    _ask_for_votes(state, request)
    _count_votes(state, now)


def become_follower(state: HostState, term: int, leader: str, now: float) -> None:
    """Follow; a higher term starts without a vote."""
    if term > state.term:
        set_hard(state, replace(state.hard, term=term, vote=""))
    if state.role is Role.LEADER:
        fail_reads(state)
        state.progress.clear()
        state.transfer_target = ""
    if state.role is not Role.FOLLOWER:
        reset_election_deadline(state, now)
    state.role = Role.FOLLOWER
    state.leader = leader


def note_leader(state: HostState, leader: str, now: float) -> None:
    """Remember that the leader of this term was heard."""
    become_follower(state, state.term, leader, now)
    state.has_met_leader = True
    state.leader_deadline = now + state.settings.election_seconds
    reset_election_deadline(state, now)


def on_vote_request(
    state: HostState, sender: str, message: VoteRequest, now: float
) -> None:
    """Grant at most one vote a term, to a host whose log is as new as ours."""
    if not message.transfer and _hears_leader(state, now):
        return
    if message.pre:
        _answer_pre_vote(state, sender, message)
        return
    if message.term > state.term:
        become_follower(state, message.term, "", now)
    granted = (
        message.term == state.term
        and state.hard.vote in ("", sender)
        and _is_new_enough(state, message)
    )
    if granted:
        set_hard(state, replace(state.hard, vote=sender))
        reset_election_deadline(state, now)
    promise(state, sender, VoteReply(state.term, granted))


def on_vote_reply(
    state: HostState, sender: str, message: VoteReply, now: float
) -> None:
    """Count a vote of this election."""
    if message.pre and message.granted:
        current = state.role is Role.PRE_CANDIDATE and message.term == state.term + 1
    else:
        if message.term > state.term:
            become_follower(state, message.term, "", now)
            return
        current = state.role is Role.CANDIDATE and message.term == state.term
    if not current or not message.granted:
        return
    state.votes.add(sender)
    _count_votes(state, now)


def on_transfer_now(state: HostState, now: float) -> None:
    """Stand for election at the wish of the leader."""
    if state.role is Role.FOLLOWER and is_voter(state, state.host):
        campaign(state, now, transfer=True)


def _answer_pre_vote(state: HostState, sender: str, message: VoteRequest) -> None:
    granted = message.term > state.term and _is_new_enough(state, message)
    term = message.term if granted else state.term
    promise(state, sender, VoteReply(term, granted, pre=True))


def _hears_leader(state: HostState, now: float) -> bool:
    if state.role is Role.LEADER:
        return True
    return bool(state.leader) and now < state.leader_deadline


def _last(state: HostState) -> tuple[int, int]:
    return state.log.last_index, state.log.last_term


def _is_new_enough(state: HostState, message: VoteRequest) -> bool:
    theirs = (message.last_term, message.last_index)
    return theirs >= (state.log.last_term, state.log.last_index)


def _ask_for_votes(state: HostState, request: VoteRequest) -> None:
    # The request of a candidate implies its own vote, which must be on disk first.
    ask = send if request.pre else promise
    for host in list_voters(state.log.membership):
        if host != state.host:
            ask(state, host, request)


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
    state.has_met_leader = True
    state.leader = state.host
    state.elected_at = now
    state.heartbeat_deadline = now
    state.incoming = None
    state.progress.clear()
    sync_progress(state, now)
    # Entries of earlier terms count as committed only together with one of this
    # term: another leader could still replace them although a majority holds them.
    state.barrier_index = state.log.last_index + 1
    append_entry(state, Entry(state.barrier_index, state.term, EntryKind.BARRIER))
