"""Focused failures of the replicated log, on folders in memory and a fake network."""

import pytest

from ibisshunt.coordination.consensus import Admit, Propose, Read, Role
from ibisshunt.coordination.consensus.messages import VoteReply
from tests.components.consensus.hosts import Hosts


def make_hosts(count, **options):
    hosts = Hosts(count, **options)
    hosts.found()
    hosts.run(4.0)
    assert hosts.find_leader() is not None
    return hosts


def accept(hosts, count=1):
    """Propose until so many commands are accepted."""
    wanted = len(hosts.acked) + count
    for _ in range(count * 50):
        if len(hosts.acked) >= wanted:
            return
        leader = hosts.find_leader()
        if leader is not None:
            hosts.propose(leader)
        hosts.run(0.3)
    raise AssertionError("nothing was accepted")


def find_others(hosts, host):
    return [other for other in hosts.hosts if other is not host]


def role_of(host):
    return host.driver.state.role


def test_one_host_alone_accepts():
    hosts = make_hosts(1)
    assert hosts.propose(hosts.hosts[0]) in hosts.acked


def test_three_hosts_keep_everything_through_a_crash_of_all():
    # The power of all control hosts fails at once. What was accepted was synced on
    # two of them, so it is there again when they are back.
    hosts = make_hosts(3)
    accept(hosts, 30)
    for host in hosts.hosts:
        host.crash()
    hosts.settle()


def test_a_proposal_is_answered_with_the_confirmation_that_commits_it():
    # Found by measurement: the answer waited for the next tick, 50 ms later.
    hosts = make_hosts(3)
    hosts.run(2.0)
    leader = hosts.find_leader()
    ticket = hosts.propose(leader)
    for _ in range(2):
        hosts.deliver()
        for host in hosts.hosts:
            host.step()
    assert ticket in hosts.acked


def test_hazard_11_a_partitioned_leader_answers_no_read():
    # A balancer asks a control host that sits behind a partition and still believes
    # that it leads, while the others have accepted newer changes. An answer would put
    # an older configuration in force; so the read waits for a quorum and is refused.
    hosts = make_hosts(3)
    accept(hosts, 3)
    old = hosts.find_leader()
    hosts.partition([old.name])
    ticket = hosts.read(old)
    assert role_of(old) is Role.LEADER
    hosts.run(6.0)
    accept(hosts, 2)
    later = hosts.read(old)
    hosts.run(3.0)
    assert ticket in hosts.refused
    assert later in hosts.refused
    hosts.partition()
    hosts.run(6.0)
    again = hosts.read(old)
    hosts.run(2.0)
    assert hosts.ready[again] >= max(index for index, _ in hosts.acked.values())


def test_hazard_11_a_late_read_reply_answers_no_read_of_the_next_process():
    # A follower asks for a read index, crashes and starts again. The answer to its
    # earlier process arrives late. Tickets are never drawn twice, so it is dropped.
    hosts = make_hosts(3)
    follower = find_others(hosts, hosts.find_leader())[0]
    old = hosts.read(follower)
    follower.crash()
    follower.start()
    accept(hosts, 2)
    new = hosts.read(follower)
    hosts.run(4.0)
    assert new != old
    if new in hosts.ready:
        assert hosts.ready[new] >= hosts.reads[new]


def test_hazard_12_a_proposal_that_was_replaced_is_not_accepted():
    # An operator's change reaches a leader that is cut off at that moment. The others
    # elect a new leader whose entry takes the place. The operator is told "not
    # accepted", and the change must not appear later.
    hosts = make_hosts(3)
    accept(hosts, 2)
    old = hosts.find_leader()
    hosts.partition([old.name])
    ticket = hosts.propose(old)
    hosts.run(6.0)
    assert ticket not in hosts.refused
    accept(hosts, 2)
    hosts.partition()
    hosts.run(6.0)
    assert ticket in hosts.refused
    hosts.settle()
    assert hosts.proposed[ticket] not in hosts.committed.values()


def test_hazard_12_a_proposal_whose_leader_died_is_answered_by_nobody():
    # The entry reaches the others, then the leader crashes before it answers. The
    # change is in force although the caller heard nothing: it must be told "unknown",
    # never "not accepted".
    hosts = make_hosts(3)
    accept(hosts, 1)
    old = hosts.find_leader()
    ticket = hosts.propose(old)
    hosts.deliver()
    for host in find_others(hosts, old):
        host.step()
    old.crash()
    hosts.settle()
    assert hosts.proposed[ticket] in hosts.committed.values()
    assert ticket not in hosts.refused | hosts.acked.keys()


def test_hazard_13_a_replaced_host_counts_only_once_it_has_caught_up():
    # A control host lost its disk and comes back empty under its old name. Before it
    # has the log a second host is lost: leader and newcomer must not accept anything,
    # or the next loss would take accepted changes along.
    hosts = make_hosts(3)
    accept(hosts, 20)
    leader = hosts.find_leader()
    empty, other = find_others(hosts, leader)
    hosts.run(2.0)
    hosts.replace(empty)
    other.crash()
    accepted = len(hosts.acked)
    ticket = hosts.propose(leader)
    hosts.run(10.0)
    assert len(hosts.acked) == accepted
    assert ticket not in hosts.acked
    hosts.settle()
    hosts.replace(other)
    hosts.settle()


def test_hazard_13_an_empty_disk_under_an_old_name_does_not_vote():
    # Only one of the two hosts that are left holds the accepted changes. If the empty
    # one voted as the host that it was, a leader without them could be elected.
    hosts = make_hosts(3)
    accept(hosts, 5)
    leader = hosts.find_leader()
    empty, other = find_others(hosts, leader)
    hosts.replace(empty)
    leader.crash()
    hosts.run(20.0)
    assert hosts.find_leader() is None
    assert not empty.driver.state.hard.vote
    hosts.settle()


def test_hazard_13_a_host_that_is_alive_is_not_replaced():
    # Two processes are started under one name by mistake. The first one works, so the
    # second must not push it out.
    hosts = make_hosts(3)
    hosts.run(3.0)
    leader = hosts.find_leader()
    before = leader.driver.state.log.membership
    twin = find_others(hosts, leader)[0].name + "/copy"
    hosts.tickets += 1
    leader.step(Admit(hosts.tickets, twin, ""))
    assert hosts.tickets in hosts.refused
    assert leader.driver.state.log.membership == before


def test_hazard_13_a_removal_that_would_lose_the_quorum_is_refused():
    # An operator removes a healthy host while another one is down. The rest would be
    # one of two: nothing could be accepted any more.
    hosts = make_hosts(3)
    hosts.run(3.0)
    leader = hosts.find_leader()
    alive, down = find_others(hosts, leader)
    identity = down.driver.host
    down.crash()
    hosts.run(3.0)
    assert hosts.remove(alive.driver.host) in hosts.refused
    assert hosts.remove(leader.driver.host) in hosts.refused
    ticket = hosts.remove(identity)
    hosts.run(1.0)
    assert ticket not in hosts.refused
    members = leader.driver.state.log.membership.members
    assert identity not in {member.host for member in members}
    accept(hosts, 2)


@pytest.mark.parametrize("operations", [0, 1])
def test_hazard_14_no_vote_leaves_before_it_is_synced(operations):
    # A host grants its vote and loses power before the vote is on disk. Had the vote
    # been sent, the host could grant another one in the same term after its start,
    # and two leaders would accept different changes.
    hosts = make_hosts(3)
    leader = hosts.find_leader()
    voter, candidate = find_others(hosts, leader)
    leader.crash()
    hosts.partition([voter.name])
    hosts.run(6.0)
    hosts.partition()
    hosts.network.clear()
    while role_of(candidate) is not Role.CANDIDATE:
        candidate.clock += 0.05
        candidate.step()
        hosts.deliver()
        if role_of(candidate) is not Role.CANDIDATE:
            voter.step()
    hosts.deliver()
    voter.files.crash_after = operations
    voter.step()
    assert voter.driver is None
    votes = [
        found
        for found in hosts.network
        if isinstance(found.message, VoteReply) and not found.message.pre
    ]
    assert votes == []
    hosts.settle()


def test_hazard_14_no_entry_is_confirmed_before_it_is_synced():
    # A follower takes an entry and loses power before it is on disk. Had it confirmed
    # the entry, leader and caller would count on a copy that is gone.
    hosts = make_hosts(3)
    leader = hosts.find_leader()
    hosts.run(1.0)
    hosts.network.clear()
    hosts.propose(leader)
    follower = find_others(hosts, leader)[0]
    identity = follower.driver.host
    hosts.deliver()
    follower.files.crash_after = 1
    follower.step()
    assert follower.driver is None
    assert not [found for found in hosts.network if found.sender == identity]
    hosts.settle()


def test_hazard_15_a_leader_that_was_paused_steps_down_first():
    # The leader's process is stopped for ten seconds (a live migration, a debugger).
    # When it runs again, old answers lie in its mailbox and it still thinks it leads.
    # The deadline check goes first, and answers count by when they were asked for.
    hosts = make_hosts(3)
    accept(hosts, 3)
    old = hosts.find_leader()
    old.paused = True
    hosts.run(10.0)
    accept(hosts, 3)
    old.paused = False
    hosts.tickets += 2
    hosts.proposed[hosts.tickets] = "late"
    hosts.reads[hosts.tickets - 1] = max(index for index, _ in hosts.acked.values())
    waiting = len(old.inbox)
    assert waiting > 0
    old.step(Read(hosts.tickets - 1), Propose(hosts.tickets, b"late"))
    assert role_of(old) is not Role.LEADER
    hosts.run(3.0)
    assert hosts.tickets in hosts.refused
    hosts.settle()


def test_hazard_15_old_answers_do_not_prolong_a_lead():
    # Answers lay in a queue for longer than the election timeout. They show that the
    # others lived then, not now: a lead counted from their arrival would go on while
    # the others have long elected someone else.
    hosts = make_hosts(3)
    leader = hosts.find_leader()
    hosts.run(1.0)
    hosts.network.clear()
    leader.clock += 0.25
    leader.step()
    hosts.deliver()
    for host in find_others(hosts, leader):
        host.step()
    hosts.deliver()
    leader.clock += 0.45
    leader.step()
    assert role_of(leader) is Role.LEADER
    leader.clock += 0.8
    leader.step()
    assert role_of(leader) is not Role.LEADER


def test_hazard_16_a_host_returns_after_the_log_was_compacted():
    # A host was away for hundreds of changes; the others dropped those entries. It
    # gets the snapshot in chunks, then the entries behind it.
    hosts = make_hosts(3)
    accept(hosts, 3)
    away = find_others(hosts, hosts.find_leader())[0]
    away.crash()
    accept(hosts, 200)
    first = hosts.find_leader().driver.state.log.base.index + 1
    assert first > 150
    away.start()
    hosts.loss = 0.1
    hosts.run(30.0, reorder=True)
    hosts.settle()
    assert away.driver.state.snapshot.index >= first - 1
    assert len(away.applied) == len(hosts.find_leader().applied)


def test_a_host_from_behind_a_partition_deposes_nobody():
    # A host was cut off for a minute and kept asking for votes. When it is back the
    # leader goes on in its term: pre-votes raise no term.
    hosts = make_hosts(3)
    leader = hosts.find_leader()
    term = leader.driver.state.term
    hosts.partition([find_others(hosts, leader)[0].name])
    hosts.run(60.0)
    hosts.partition()
    hosts.run(5.0)
    assert hosts.find_leader() is leader
    assert leader.driver.state.term == term


def test_a_planned_stop_hands_the_lead_over_at_once():
    hosts = make_hosts(3)
    accept(hosts, 3)
    leader = hosts.find_leader()
    hosts.transfer()
    hosts.run(0.5)
    assert hosts.find_leader() not in (None, leader)


def test_two_regions_part_and_only_the_larger_side_accepts():
    # Five voters, three in one region and two in the other. While the regions are
    # parted the side of two accepts nothing and answers no read.
    hosts = make_hosts(5)
    accept(hosts, 2)
    hosts.partition(["c1", "c2", "c3"], ["c4", "c5"])
    hosts.run(8.0)
    accept(hosts, 3)
    assert hosts.find_leader().name in ("c1", "c2", "c3")
    tickets = [hosts.read(hosts.hosts[3]), hosts.propose(hosts.hosts[4])]
    hosts.run(3.0)
    assert set(tickets) <= hosts.refused
    hosts.settle()


def test_a_log_that_differs_is_mended_under_several_batches_at_once():
    # Found by a storm (seed 133 of a trial): a member's log ended in entries that
    # were never accepted. The refusals of two batches took turns in telling the
    # leader where to go on, and the member never got any further.
    hosts = make_hosts(3, snapshot_entries=100)
    accept(hosts, 4)
    old = hosts.find_leader()
    hosts.partition([old.name])
    for _ in range(4):
        hosts.propose(old)
    hosts.run(6.0)
    accept(hosts, 14)
    hosts.partition()
    hosts.run(3.0)
    assert old.applied == hosts.find_leader().applied
    hosts.settle()


def test_a_newcomer_asks_again_when_its_admission_was_lost():
    # Found by a storm (seed 996 of a trial): the leader that admitted an empty disk
    # was deposed, and the next one knew nothing of it. The newcomer had heard of the
    # cluster, asked no more, and stayed outside for ever.
    hosts = make_hosts(5)
    accept(hosts, 3)
    old = hosts.find_leader()
    empty, *others = find_others(hosts, old)
    empty.crash()
    hosts.run(2.0)
    hosts.partition([old.name, empty.name], [host.name for host in others])
    hosts.replace(empty)
    hosts.admit_newcomers()
    for _ in range(8):
        hosts.deliver()
        empty.step()
        old.clock += 0.05
        old.step()
    assert empty.driver.state.hard.cluster
    hosts.run(6.0)
    accept(hosts, 2)
    hosts.settle()


def test_three_hosts_grow_to_five_one_at_a_time():
    # Two more control hosts are started. Each is a learner first and a voter once it
    # has the log; no two changes are under way at once.
    hosts = Hosts(5)
    hosts.found(3)
    hosts.run(4.0)
    accept(hosts, 10)
    hosts.settle()
    members = hosts.find_leader().driver.state.log.membership.members
    assert [member.voter for member in members] == [True] * 5
    for host in find_others(hosts, hosts.find_leader())[:2]:
        host.crash()
    accept(hosts, 2)
    hosts.settle()
