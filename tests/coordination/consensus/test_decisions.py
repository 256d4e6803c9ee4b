"""Unit tests of the Raft state of one host, with events passed by hand."""

from ibisshunt.coordination.consensus import (
    AddLearner,
    ConsensusSettings,
    Entry,
    EntryKind,
    Envelope,
    Member,
    Membership,
    Propose,
    Read,
    Received,
    Role,
    Synced,
    Tick,
    collect,
    handle,
    make_state,
)
from ibisshunt.coordination.consensus.messages import (
    AppendReply,
    AppendRequest,
    HardState,
    VoteReply,
    VoteRequest,
)
from ibisshunt.coordination.consensus.state import ReadReady

HOSTS = ("a/1", "b/1", "c/1")
BOOTSTRAP_ENTRY = Entry(
    1,
    1,
    EntryKind.MEMBERSHIP,
    membership=Membership(tuple(Member(host, "", True) for host in HOSTS)),
)


def make_host(*entries, term=1, now=0.0):
    hard = HardState("k", term, "")
    return make_state(
        "a/1",
        ConsensusSettings(),
        lambda: 0.0,
        now,
        hard,
        None,
        (BOOTSTRAP_ENTRY, *entries),
    )


def make_removing_host(min_voters=3):
    """Return a host that removes unreachable voters above ``min_voters``."""
    state = make_host(term=3)
    state.settings = ConsensusSettings(
        min_voters=min_voters, removal_timeout_seconds=3.0
    )
    return state


def acknowledge_heartbeat(state, hosts, now):
    """Send a heartbeat and let the hosts acknowledge it with a complete log."""
    handle(state, Tick(), now)
    out = collect(state, now)
    handle(state, Synced(state.log.last_index, state.log.last_term), now)
    for host in hosts:
        rounds = [
            envelope.message.round
            for envelope in out.messages
            if envelope.receiver == host and isinstance(envelope.message, AppendRequest)
        ]
        last = state.log.last_index
        newest = max(rounds, default=state.heartbeat_round)
        deliver(state, host, AppendReply(state.term, True, last, 0, newest), now)


def list_members(state):
    return {member.host: member.voter for member in state.log.membership.members}


def deliver(state, sender, message, now):
    handle(state, Received(Envelope("k", sender, "a/1", message)), now)


def elect(state, now):
    handle(state, Tick(), now)
    term = state.term + 1
    deliver(state, "b/1", VoteReply(term, True, pre=True), now)
    deliver(state, "b/1", VoteReply(term, True), now)
    assert state.role is Role.LEADER
    out = collect(state, now)
    handle(state, Synced(state.log.last_index, state.log.last_term), now)
    return out


def test_an_entry_of_an_earlier_term_is_not_committed_by_count():
    # Section 5.4.2 of the Raft paper: although a majority stores an entry of an earlier
    # term, a host with a newer entry may still win an election and replace it. It is
    # committed only together with an entry of the leader's own term.
    state = make_host(Entry(2, 2, EntryKind.COMMAND, b"old"), term=3)
    elect(state, 10.0)
    assert state.noop_index == 3
    deliver(state, "b/1", AppendReply(4, True, 2, 0, 0), 10.1)
    assert state.commit_index == 0
    deliver(state, "b/1", AppendReply(4, True, 3, 0, 0), 10.2)
    assert state.commit_index == 3


def test_a_leader_counts_its_own_disk_only_after_the_sync():
    # The leader sends entries before its own sync. If it counted itself immediately, an
    # entry that only one follower has on disk would be committed.
    state = make_host(term=3)
    elect(state, 10.0)
    handle(state, Propose(7, b"x"), 10.1)
    collect(state, 10.1)
    deliver(state, "b/1", AppendReply(4, True, 3, 0, 0), 10.2)
    assert state.commit_index == 2
    handle(state, Synced(3, 4), 10.3)
    assert state.commit_index == 3


def test_vote_requests_wait_for_the_sync_of_the_own_vote():
    state = make_host(term=3)
    handle(state, Tick(), 10.0)
    deliver(state, "b/1", VoteReply(4, True, pre=True), 10.0)
    out = collect(state, 10.0)
    assert out.hard_state == HardState("k", 4, "a/1")
    assert not [m for m in out.messages if m.message == VoteRequest(4, 1, 1)]
    assert [m.receiver for m in out.messages_after_sync] == ["b/1", "c/1"]


def test_at_most_one_vote_is_granted_per_term():
    state = make_host(term=3)
    deliver(state, "b/1", VoteRequest(4, 1, 1), 10.0)
    deliver(state, "c/1", VoteRequest(4, 1, 1), 10.0)
    replies = [found.message for found in collect(state, 10.0).messages_after_sync]
    assert replies == [VoteReply(4, True), VoteReply(4, False)]


def test_a_candidate_that_lacks_entries_gets_no_vote():
    # The missing entries may be committed; electing the candidate would revert them.
    state = make_host(Entry(2, 2, EntryKind.COMMAND, b"x"), term=3)
    deliver(state, "b/1", VoteRequest(4, 9, 1), 10.0)
    deliver(state, "c/1", VoteRequest(4, 2, 2), 10.0)
    replies = [found.message for found in collect(state, 10.0).messages_after_sync]
    assert replies == [VoteReply(4, False), VoteReply(4, True)]


def test_a_heartbeat_acknowledges_only_the_entries_that_it_verified():
    # The log continues with entries that the leader does not have. Acknowledging them
    # would count entries that are about to be replaced.
    state = make_host(Entry(2, 2, EntryKind.COMMAND, b"x"), term=3)
    deliver(state, "b/1", AppendRequest(3, 1, 1, (), 2, 1), 10.0)
    reply = collect(state, 10.0).messages_after_sync[0].message
    assert reply == AppendReply(3, True, 1, 0, 1)
    assert state.commit_index == 1


def test_a_new_leader_serves_reads_only_after_it_committed_an_entry():
    # A new leader stores all committed entries but does not know which are committed. A
    # read at its own commit index could miss writes that its predecessor acknowledged.
    state = make_host(Entry(2, 2, EntryKind.COMMAND, b"old"), term=3)
    elect(state, 10.0)
    handle(state, Read(5), 10.1)
    collect(state, 10.1)
    deliver(state, "b/1", AppendReply(4, True, 2, 0, state.heartbeat_round), 10.1)
    assert collect(state, 10.1).ready_reads == []
    deliver(state, "b/1", AppendReply(4, True, 3, 0, state.heartbeat_round), 10.2)
    collect(state, 10.2)
    deliver(state, "b/1", AppendReply(4, True, 3, 0, state.heartbeat_round), 10.3)
    assert collect(state, 10.3).ready_reads == [ReadReady(5, 3)]


def test_a_host_in_contact_with_its_leader_ignores_candidates():
    # A removed or misconfigured host requests votes in a high term. Hosts in contact
    # with the leader do not reply, so the term stays and the leader is not deposed.
    state = make_host(term=3)
    deliver(state, "b/1", AppendRequest(3, 1, 1, (), 0, 1), 10.0)
    collect(state, 10.0)
    deliver(state, "c/1", VoteRequest(9, 9, 9), 10.5)
    assert collect(state, 10.5).messages_after_sync == []
    assert state.term == 3
    deliver(state, "c/1", VoteRequest(9, 9, 9), 12.0)
    assert state.term == 9


def test_messages_of_another_cluster_or_disk_are_ignored():
    # A host serves an address that belonged to another cluster, or still receives
    # messages for the disk that it lost.
    state = make_host(term=3)
    request = AppendRequest(9, 1, 1, (), 0, 1)
    handle(state, Received(Envelope("other", "b/1", "a/1", request)), 10.0)
    handle(state, Received(Envelope("k", "b/1", "a/0", request)), 10.0)
    assert state.term == 3
    assert collect(state, 10.0).messages_after_sync == []


def test_only_one_membership_change_at_a_time():
    # Two concurrent changes can have quorums that do not overlap.
    state = make_host(term=3)
    elect(state, 10.0)
    deliver(state, "b/1", AppendReply(4, True, 2, 0, 0), 10.1)
    for now in (10.1, 11.0):
        handle(state, AddLearner(5, "d/1", ""), now)
        assert "elected just now" in collect(state, now).refused[0].reason
    handle(state, AddLearner(6, "d/1", ""), 11.5)
    assert [found.request_id for found in collect(state, 11.5).appended] == [6]
    handle(state, AddLearner(7, "e/1", ""), 11.5)
    assert "in progress" in collect(state, 11.5).refused[0].reason


def test_a_learner_without_the_log_is_not_promoted():
    # A learner that responds but has not caught up must not count towards the quorum.
    state = make_host(*[Entry(i, 1, EntryKind.COMMAND, b"x") for i in range(2, 200)])
    elect(state, 10.0)
    last = state.log.last_index
    for now in (10.8, 11.5):
        handle(state, Tick(), now)
        for host in ("b/1", "c/1"):
            deliver(
                state, host, AppendReply(2, True, last, 0, state.heartbeat_round), now
            )
    handle(state, AddLearner(6, "d/1", ""), 11.5)
    collect(state, 11.5)
    deliver(
        state, "b/1", AppendReply(2, True, last + 1, 0, state.heartbeat_round), 11.5
    )
    handle(state, Synced(last + 1, 2), 11.5)
    for match, voter in ((50, False), (last + 1, True)):
        handle(state, Tick(), 12.0)
        for host in ("b/1", "c/1", "d/1"):
            found = match if host == "d/1" else last + 1
            deliver(
                state, host, AppendReply(2, True, found, 0, state.heartbeat_round), 12.0
            )
        handle(state, Tick(), 12.0)
        newest = state.log.membership.members[-1]
        assert (newest.host, newest.voter) == ("d/1", voter)


def test_a_single_voter_leads_without_waiting():
    membership = Membership((Member("a/1", "", True), Member("d/1", "", False)))
    entry = Entry(1, 1, EntryKind.MEMBERSHIP, membership=membership)
    hard = HardState("k", 3, "")
    state = make_state(
        "a/1", ConsensusSettings(), lambda: 0.0, 10.0, hard, None, (entry,)
    )
    handle(state, Tick(), 10.0)
    assert state.role is Role.LEADER


def test_a_new_learner_is_not_removed_as_unreachable():
    # A host returned with an empty disk, was added as a learner and has not responded
    # yet. If it were removed at once and added again, for ever, it would never become a
    # voter, and the loss of the next disk would leave no majority.
    state = make_removing_host()
    elect(state, 10.0)
    now = 10.0
    while now < 20.0:
        now += 0.2
        acknowledge_heartbeat(state, ["b/1"], now)
    handle(state, AddLearner(0, "c/2", "10.0.0.3:1"), now)
    acknowledge_heartbeat(state, ["b/1"], now + 0.1)
    acknowledge_heartbeat(state, ["b/1"], now + 0.3)
    assert list_members(state)["c/2"] is False
    for step in range(20):
        acknowledge_heartbeat(state, ["b/1", "c/2"], now + 0.5 + step * 0.2)
    assert list_members(state) == {"a/1": True, "b/1": True, "c/2": True}


def test_a_lost_host_that_was_replaced_under_another_name_is_removed():
    # A host is permanently lost and another one with a new address took its place.
    # While the old one still counts, a quorum is three of four voters, and the loss of
    # one more host leaves none.
    state = make_removing_host()
    elect(state, 10.0)
    now = 12.0
    for step in range(10):
        acknowledge_heartbeat(state, ["b/1", "c/1"], 10.2 + step * 0.2)
    handle(state, AddLearner(0, "d/1", "10.0.0.4:1"), now)
    for step in range(10):
        acknowledge_heartbeat(state, ["b/1", "c/1", "d/1"], now + step * 0.2)
    assert list_members(state)["d/1"] is True
    now = 14.0
    for step in range(12):
        acknowledge_heartbeat(state, ["b/1", "d/1"], now + step * 0.2)
    assert "c/1" in list_members(state)
    for step in range(12, 25):
        acknowledge_heartbeat(state, ["b/1", "d/1"], now + step * 0.2)
    assert list_members(state) == {"a/1": True, "b/1": True, "d/1": True}


def test_an_unreachable_host_keeps_its_vote_at_the_minimum_of_voters():
    state = make_removing_host()
    elect(state, 10.0)
    for step in range(100):
        acknowledge_heartbeat(state, ["b/1"], 10.2 + step * 0.2)
    assert list_members(state) == {"a/1": True, "b/1": True, "c/1": True}


def test_after_a_split_vote_following_a_power_loss_hosts_retry_soon():
    # All control hosts start together and two become candidates at the same moment, so
    # the vote is split. Nothing works without a leader, so the next attempts come after
    # 0.2 s and 0.4 s instead of the ordinary timeout, which applies again once a leader
    # was seen.
    settings = ConsensusSettings(election_seconds=0.6, first_election_seconds=0.1)
    hard = HardState("k", 1, "")
    state = make_state(
        "a/1", settings, lambda: 0.0, 0.0, hard, None, (BOOTSTRAP_ENTRY,)
    )
    assert state.election_deadline == 0.1
    now, waits = 0.1, []
    for _ in range(4):
        handle(state, Tick(), now)
        collect(state, now)
        waits.append(round(state.election_deadline - now, 3))
        now = state.election_deadline
    assert waits == [0.2, 0.4, 0.6, 0.6]
    leader = AppendRequest(state.term, 1, 1, (), 0, 1)
    handle(state, Received(Envelope("k", "b/1", "a/1", leader)), now)
    assert round(state.election_deadline - now, 3) == 0.6
