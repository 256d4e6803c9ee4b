"""Single decisions of one host, driven by hand."""

from ibisshunt.coordination.consensus import (
    Admit,
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
FOUNDING = Entry(
    1,
    1,
    EntryKind.MEMBERSHIP,
    membership=Membership(tuple(Member(host, "", True) for host in HOSTS)),
)


def make_host(*entries, term=1, now=0.0):
    hard = HardState("k", term, "")
    return make_state(
        "a/1", ConsensusSettings(), lambda: 0.0, now, hard, None, (FOUNDING, *entries)
    )


def make_keeper(kept=3):
    """Return a host that removes silent voters above ``kept``."""
    state = make_host(term=3)
    state.settings = ConsensusSettings(kept_voters=kept, silent_seconds=3.0)
    return state


def answer(state, hosts, now):
    """Let hosts answer a heartbeat, with all of the log."""
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
        newest = max(rounds, default=state.round)
        give(state, host, AppendReply(state.term, True, last, 0, newest), now)


def list_members(state):
    return {member.host: member.voter for member in state.log.membership.members}


def give(state, sender, message, now):
    handle(state, Received(Envelope("k", sender, "a/1", message)), now)


def elect(state, now):
    handle(state, Tick(), now)
    term = state.term + 1
    give(state, "b/1", VoteReply(term, True, pre=True), now)
    give(state, "b/1", VoteReply(term, True), now)
    assert state.role is Role.LEADER
    out = collect(state, now)
    handle(state, Synced(state.log.last_index, state.log.last_term), now)
    return out


def test_an_entry_of_an_earlier_term_is_not_committed_by_count():
    # Section 5.4.2 of the Raft paper: a majority holds an entry of an earlier term,
    # yet a host with a newer one may still win and replace it. It counts only
    # together with an entry of the leader's own term.
    state = make_host(Entry(2, 2, EntryKind.COMMAND, b"old"), term=3)
    elect(state, 10.0)
    assert state.barrier_index == 3
    give(state, "b/1", AppendReply(4, True, 2, 0, 0), 10.1)
    assert state.commit == 0
    give(state, "b/1", AppendReply(4, True, 3, 0, 0), 10.2)
    assert state.commit == 3


def test_a_leader_counts_its_own_disk_only_after_the_sync():
    # The leader sends entries before its own sync. If it counted itself at once, an
    # entry that only one follower has on disk would be called accepted.
    state = make_host(term=3)
    elect(state, 10.0)
    handle(state, Propose(7, b"x"), 10.1)
    collect(state, 10.1)
    give(state, "b/1", AppendReply(4, True, 3, 0, 0), 10.2)
    assert state.commit == 2
    handle(state, Synced(3, 4), 10.3)
    assert state.commit == 3


def test_requests_for_votes_wait_for_the_sync_of_the_own_vote():
    state = make_host(term=3)
    handle(state, Tick(), 10.0)
    give(state, "b/1", VoteReply(4, True, pre=True), 10.0)
    out = collect(state, 10.0)
    assert out.hard == HardState("k", 4, "a/1")
    assert not [m for m in out.messages if m.message == VoteRequest(4, 1, 1)]
    assert [m.receiver for m in out.promises] == ["b/1", "c/1"]


def test_one_vote_a_term():
    state = make_host(term=3)
    give(state, "b/1", VoteRequest(4, 1, 1), 10.0)
    give(state, "c/1", VoteRequest(4, 1, 1), 10.0)
    replies = [found.message for found in collect(state, 10.0).promises]
    assert replies == [VoteReply(4, True), VoteReply(4, False)]


def test_no_vote_for_a_host_that_lacks_entries():
    # The candidate may lack what was accepted; its election would revert it.
    state = make_host(Entry(2, 2, EntryKind.COMMAND, b"x"), term=3)
    give(state, "b/1", VoteRequest(4, 9, 1), 10.0)
    give(state, "c/1", VoteRequest(4, 2, 2), 10.0)
    replies = [found.message for found in collect(state, 10.0).promises]
    assert replies == [VoteReply(4, False), VoteReply(4, True)]


def test_a_heartbeat_confirms_only_what_it_checked():
    # The log goes on with entries that the leader does not have. To confirm them
    # would count entries that are about to be replaced.
    state = make_host(Entry(2, 2, EntryKind.COMMAND, b"x"), term=3)
    give(state, "b/1", AppendRequest(3, 1, 1, (), 2, 1), 10.0)
    reply = collect(state, 10.0).promises[0].message
    assert reply == AppendReply(3, True, 1, 0, 1)
    assert state.commit == 1


def test_a_new_leader_reads_only_after_it_committed_an_entry():
    # A new leader holds all that was accepted but does not know how much of it was.
    # A read at its own commit index would miss what its predecessor answered for.
    state = make_host(Entry(2, 2, EntryKind.COMMAND, b"old"), term=3)
    elect(state, 10.0)
    handle(state, Read(5), 10.1)
    collect(state, 10.1)
    give(state, "b/1", AppendReply(4, True, 2, 0, state.round), 10.1)
    assert collect(state, 10.1).reads == []
    give(state, "b/1", AppendReply(4, True, 3, 0, state.round), 10.2)
    collect(state, 10.2)
    give(state, "b/1", AppendReply(4, True, 3, 0, state.round), 10.3)
    assert collect(state, 10.3).reads == [ReadReady(5, 3)]


def test_a_host_that_hears_its_leader_ignores_candidates():
    # A removed or confused host asks for votes in a high term. Whoever hears the
    # leader does not answer, so the term stays and the leader goes on.
    state = make_host(term=3)
    give(state, "b/1", AppendRequest(3, 1, 1, (), 0, 1), 10.0)
    collect(state, 10.0)
    give(state, "c/1", VoteRequest(9, 9, 9), 10.5)
    assert collect(state, 10.5).promises == []
    assert state.term == 3
    give(state, "c/1", VoteRequest(9, 9, 9), 12.0)
    assert state.term == 9


def test_messages_of_another_cluster_or_disk_are_ignored():
    # A host answers under an address that belonged to another cluster, or still gets
    # messages meant for the disk that it lost.
    state = make_host(term=3)
    request = AppendRequest(9, 1, 1, (), 0, 1)
    handle(state, Received(Envelope("other", "b/1", "a/1", request)), 10.0)
    handle(state, Received(Envelope("k", "b/1", "a/0", request)), 10.0)
    assert state.term == 3
    assert collect(state, 10.0).promises == []


def test_one_change_of_membership_at_a_time():
    # Two changes at once can have quorums that do not meet.
    state = make_host(term=3)
    elect(state, 10.0)
    give(state, "b/1", AppendReply(4, True, 2, 0, 0), 10.1)
    for now in (10.1, 11.0):
        handle(state, Admit(5, "d/1", ""), now)
        assert "elected just now" in collect(state, now).refused[0].reason
    handle(state, Admit(6, "d/1", ""), 11.5)
    assert [found.ticket for found in collect(state, 11.5).appended] == [6]
    handle(state, Admit(7, "e/1", ""), 11.5)
    assert "in progress" in collect(state, 11.5).refused[0].reason


def test_a_learner_without_the_log_is_not_promoted():
    # A learner that answers but has not caught up must not count for a quorum.
    state = make_host(*[Entry(i, 1, EntryKind.COMMAND, b"x") for i in range(2, 200)])
    elect(state, 10.0)
    last = state.log.last_index
    for now in (10.8, 11.5):
        handle(state, Tick(), now)
        for host in ("b/1", "c/1"):
            give(state, host, AppendReply(2, True, last, 0, state.round), now)
    handle(state, Admit(6, "d/1", ""), 11.5)
    collect(state, 11.5)
    give(state, "b/1", AppendReply(2, True, last + 1, 0, state.round), 11.5)
    handle(state, Synced(last + 1, 2), 11.5)
    for match, voter in ((50, False), (last + 1, True)):
        handle(state, Tick(), 12.0)
        for host in ("b/1", "c/1", "d/1"):
            found = match if host == "d/1" else last + 1
            give(state, host, AppendReply(2, True, found, 0, state.round), 12.0)
        handle(state, Tick(), 12.0)
        newest = state.log.membership.members[-1]
        assert (newest.host, newest.voter) == ("d/1", voter)


def test_the_only_voter_leads_without_waiting():
    founding = Membership((Member("a/1", "", True), Member("d/1", "", False)))
    entry = Entry(1, 1, EntryKind.MEMBERSHIP, membership=founding)
    hard = HardState("k", 3, "")
    state = make_state(
        "a/1", ConsensusSettings(), lambda: 0.0, 10.0, hard, None, (entry,)
    )
    handle(state, Tick(), 10.0)
    assert state.role is Role.LEADER


def test_a_new_learner_is_not_taken_for_silent():
    # A host came back with an empty disk and was admitted as a learner. It has not
    # answered yet, and was never heard. Removed at once and admitted again, for ever,
    # it would never vote, and the next lost disk would leave no majority.
    state = make_keeper()
    elect(state, 10.0)
    now = 10.0
    while now < 20.0:
        now += 0.2
        answer(state, ["b/1"], now)
    handle(state, Admit(0, "c/2", "10.0.0.3:1"), now)
    answer(state, ["b/1"], now + 0.1)
    answer(state, ["b/1"], now + 0.3)
    assert list_members(state)["c/2"] is False
    for step in range(20):
        answer(state, ["b/1", "c/2"], now + 0.5 + step * 0.2)
    assert list_members(state) == {"a/1": True, "b/1": True, "c/2": True}


def test_a_host_that_another_name_replaced_is_removed():
    # A host is gone for good, another with a new address took its place. While the
    # old one counts, four voters need three, and one more loss stops everything.
    state = make_keeper()
    elect(state, 10.0)
    now = 12.0
    for step in range(10):
        answer(state, ["b/1", "c/1"], 10.2 + step * 0.2)
    handle(state, Admit(0, "d/1", "10.0.0.4:1"), now)
    for step in range(10):
        answer(state, ["b/1", "c/1", "d/1"], now + step * 0.2)
    assert list_members(state)["d/1"] is True
    now = 14.0
    for step in range(12):
        answer(state, ["b/1", "d/1"], now + step * 0.2)
    assert "c/1" in list_members(state)
    for step in range(12, 25):
        answer(state, ["b/1", "d/1"], now + step * 0.2)
    assert list_members(state) == {"a/1": True, "b/1": True, "d/1": True}


def test_a_host_that_is_only_away_keeps_its_vote():
    state = make_keeper()
    elect(state, 10.0)
    for step in range(100):
        answer(state, ["b/1"], 10.2 + step * 0.2)
    assert list_members(state) == {"a/1": True, "b/1": True, "c/1": True}


def test_hosts_that_collide_after_a_power_loss_stand_again_soon():
    # All control hosts start together and two stand in the same moment: the term has no
    # winner. Nothing works until one leads, so the next attempts come after 0.2 s and
    # 0.4 s instead of the ordinary timeout; from a leader on, the ordinary one counts.
    settings = ConsensusSettings(election_seconds=0.6, first_election_seconds=0.1)
    hard = HardState("k", 1, "")
    state = make_state("a/1", settings, lambda: 0.0, 0.0, hard, None, (FOUNDING,))
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
