"""Failure scenarios of the replicated log on in-memory folders and a fake network."""

import pytest

from ibisshunt.coordination.consensus import AddLearner, Propose, Read, Role
from ibisshunt.coordination.consensus.messages import VoteReply
from tests.components.consensus.simulated_cluster import SimulatedCluster


def make_cluster(count, **options):
    cluster = SimulatedCluster(count, **options)
    cluster.found()
    cluster.run(4.0)
    assert cluster.find_leader() is not None
    return cluster


def accept(cluster, count=1):
    """Propose until ``count`` more commands are accepted."""
    target_count = len(cluster.accepted) + count
    for _ in range(count * 50):
        if len(cluster.accepted) >= target_count:
            return
        leader = cluster.find_leader()
        if leader is not None:
            cluster.propose(leader)
        cluster.run(0.3)
    raise AssertionError("too few commands were accepted within the attempts")


def find_others(cluster, host):
    return [other for other in cluster.hosts if other is not host]


def get_role(host):
    return host.driver.state.role


def test_a_single_host_accepts_commands():
    cluster = make_cluster(1)
    assert cluster.propose(cluster.hosts[0]) in cluster.accepted


def test_three_hosts_keep_accepted_commands_through_a_crash_of_all():
    # All control hosts lose power at once. Accepted commands were synced on two of
    # them, so they must be back after the restart.
    cluster = make_cluster(3)
    accept(cluster, 30)
    for host in cluster.hosts:
        host.crash()
    cluster.settle()


def test_a_proposal_is_answered_with_the_acknowledgement_that_commits_it():
    # Guards against an answer that waits for the next tick, 50 ms later.
    cluster = make_cluster(3)
    cluster.run(2.0)
    leader = cluster.find_leader()
    request_id = cluster.propose(leader)
    for _ in range(2):
        cluster.deliver()
        for host in cluster.hosts:
            host.step()
    assert request_id in cluster.accepted


def test_hazard_11_a_partitioned_leader_answers_no_read():
    # A balancer reads from a partitioned control host that still believes to be the
    # leader while the others have accepted newer changes. An answer would activate an
    # outdated configuration, so the read waits for a quorum and is refused.
    cluster = make_cluster(3)
    accept(cluster, 3)
    old_leader = cluster.find_leader()
    cluster.partition([old_leader.name])
    request_id = cluster.read(old_leader)
    assert get_role(old_leader) is Role.LEADER
    cluster.run(6.0)
    accept(cluster, 2)
    later_read = cluster.read(old_leader)
    cluster.run(3.0)
    assert request_id in cluster.refused
    assert later_read in cluster.refused
    cluster.partition()
    cluster.run(6.0)
    read_after_healing = cluster.read(old_leader)
    cluster.run(2.0)
    assert cluster.read_indexes[read_after_healing] >= max(
        index for index, _ in cluster.accepted.values()
    )


def test_hazard_11_a_late_read_reply_answers_no_read_of_the_next_process():
    # A follower requests a read index, crashes and restarts. The reply to its previous
    # process arrives late. Request ids are never reused, so the reply is dropped.
    cluster = make_cluster(3)
    follower = find_others(cluster, cluster.find_leader())[0]
    first_read = cluster.read(follower)
    follower.crash()
    follower.start()
    accept(cluster, 2)
    second_read = cluster.read(follower)
    cluster.run(4.0)
    assert second_read != first_read
    if second_read in cluster.read_indexes:
        assert cluster.read_indexes[second_read] >= cluster.reads[second_read]


def test_hazard_12_a_proposal_that_was_replaced_is_not_accepted():
    # An operator's change reaches a leader that is partitioned at that moment. The
    # others elect a new leader, whose entry gets the same index. The operator is told
    # "not accepted", and the change must not appear later.
    cluster = make_cluster(3)
    accept(cluster, 2)
    old_leader = cluster.find_leader()
    cluster.partition([old_leader.name])
    request_id = cluster.propose(old_leader)
    cluster.run(6.0)
    assert request_id not in cluster.refused
    accept(cluster, 2)
    cluster.partition()
    cluster.run(6.0)
    assert request_id in cluster.refused
    cluster.settle()
    assert cluster.proposed[request_id] not in cluster.committed.values()


def test_hazard_12_a_proposal_whose_leader_crashed_gets_no_answer():
    # The entry is replicated, then the leader crashes before it answers. The change
    # takes effect without an answer: the caller must be told "unknown", never "not
    # accepted".
    cluster = make_cluster(3)
    accept(cluster, 1)
    old_leader = cluster.find_leader()
    request_id = cluster.propose(old_leader)
    cluster.deliver()
    for host in find_others(cluster, old_leader):
        host.step()
    old_leader.crash()
    cluster.settle()
    assert cluster.proposed[request_id] in cluster.committed.values()
    assert request_id not in cluster.refused | cluster.accepted.keys()


def test_hazard_13_a_replaced_host_counts_only_once_it_has_caught_up():
    # A control host lost its disk and restarts empty under its old name. Before it has
    # caught up a second host is lost: leader and new host must not accept anything, or
    # the next failure could lose accepted changes.
    cluster = make_cluster(3)
    accept(cluster, 20)
    leader = cluster.find_leader()
    empty, other = find_others(cluster, leader)
    cluster.run(2.0)
    cluster.replace(empty)
    other.crash()
    accepted = len(cluster.accepted)
    request_id = cluster.propose(leader)
    cluster.run(10.0)
    assert len(cluster.accepted) == accepted
    assert request_id not in cluster.accepted
    cluster.settle()
    cluster.replace(other)
    cluster.settle()


def test_hazard_13_a_host_with_an_empty_disk_does_not_vote_under_its_old_identity():
    # Only one of the two remaining hosts holds the accepted changes. If the empty one
    # voted under its former identity, a leader without them could be elected.
    cluster = make_cluster(3)
    accept(cluster, 5)
    leader = cluster.find_leader()
    empty, other = find_others(cluster, leader)
    cluster.replace(empty)
    leader.crash()
    cluster.run(20.0)
    assert cluster.find_leader() is None
    assert not empty.driver.state.hard_state.vote
    cluster.settle()


def test_hazard_13_a_healthy_host_is_not_replaced():
    # Two processes are started under one name by mistake. The first one is healthy, so
    # the second must not replace it.
    cluster = make_cluster(3)
    cluster.run(3.0)
    leader = cluster.find_leader()
    before = leader.driver.state.log.membership
    duplicate = find_others(cluster, leader)[0].name + "/copy"
    cluster.last_request_id += 1
    leader.step(AddLearner(cluster.last_request_id, duplicate, ""))
    assert cluster.last_request_id in cluster.refused
    assert leader.driver.state.log.membership == before


def test_hazard_13_a_removal_that_would_lose_the_quorum_is_refused():
    # An operator removes a healthy host while another one is down. That would leave one
    # of two voters running, without a quorum.
    cluster = make_cluster(3)
    cluster.run(3.0)
    leader = cluster.find_leader()
    healthy, down = find_others(cluster, leader)
    identity = down.driver.host
    down.crash()
    cluster.run(3.0)
    assert cluster.remove_member(healthy.driver.host) in cluster.refused
    assert cluster.remove_member(leader.driver.host) in cluster.refused
    request_id = cluster.remove_member(identity)
    cluster.run(1.0)
    assert request_id not in cluster.refused
    members = leader.driver.state.log.membership.members
    assert identity not in {member.host for member in members}
    accept(cluster, 2)


@pytest.mark.parametrize("operations", [0, 1])
def test_hazard_14_no_vote_is_sent_before_it_is_synced(operations):
    # A host grants its vote and loses power before the vote is synced. Had the vote
    # been sent, the host could vote again in the same term after its restart, and two
    # leaders would accept different changes.
    cluster = make_cluster(3)
    leader = cluster.find_leader()
    voter, candidate = find_others(cluster, leader)
    leader.crash()
    cluster.partition([voter.name])
    cluster.run(6.0)
    cluster.partition()
    cluster.network.clear()
    while get_role(candidate) is not Role.CANDIDATE:
        candidate.clock += 0.05
        candidate.step()
        cluster.deliver()
        if get_role(candidate) is not Role.CANDIDATE:
            voter.step()
    cluster.deliver()
    voter.files.crash_after = operations
    voter.step()
    assert voter.driver is None
    votes = [
        envelope
        for envelope in cluster.network
        if isinstance(envelope.message, VoteReply) and not envelope.message.pre
    ]
    assert votes == []
    cluster.settle()


def test_hazard_14_no_entry_is_acknowledged_before_it_is_synced():
    # A follower appends an entry and loses power before it is synced. Had it
    # acknowledged the entry, the leader would count a copy that is lost.
    cluster = make_cluster(3)
    leader = cluster.find_leader()
    cluster.run(1.0)
    cluster.network.clear()
    cluster.propose(leader)
    follower = find_others(cluster, leader)[0]
    identity = follower.driver.host
    cluster.deliver()
    follower.files.crash_after = 1
    follower.step()
    assert follower.driver is None
    assert not [envelope for envelope in cluster.network if envelope.sender == identity]
    cluster.settle()


def test_hazard_15_a_leader_that_was_paused_steps_down_first():
    # The leader's process is paused for ten seconds (a live migration, a debugger).
    # When it resumes, old replies are queued and it still believes to be the leader.
    # Deadlines are checked first, and replies count by the time of their request.
    cluster = make_cluster(3)
    accept(cluster, 3)
    old_leader = cluster.find_leader()
    old_leader.paused = True
    cluster.run(10.0)
    accept(cluster, 3)
    old_leader.paused = False
    cluster.last_request_id += 2
    cluster.proposed[cluster.last_request_id] = "late"
    cluster.reads[cluster.last_request_id - 1] = max(
        index for index, _ in cluster.accepted.values()
    )
    queued = len(old_leader.inbox)
    assert queued > 0
    old_leader.step(
        Read(cluster.last_request_id - 1), Propose(cluster.last_request_id, b"late")
    )
    assert get_role(old_leader) is not Role.LEADER
    cluster.run(3.0)
    assert cluster.last_request_id in cluster.refused
    cluster.settle()


def test_hazard_15_delayed_replies_do_not_extend_leadership():
    # Replies were queued for longer than the election timeout. They show that the other
    # hosts were alive then, not now: a leader that counted them from their arrival
    # would continue after the others have elected another one.
    cluster = make_cluster(3)
    leader = cluster.find_leader()
    cluster.run(1.0)
    cluster.network.clear()
    leader.clock += 0.25
    leader.step()
    cluster.deliver()
    for host in find_others(cluster, leader):
        host.step()
    cluster.deliver()
    leader.clock += 0.45
    leader.step()
    assert get_role(leader) is Role.LEADER
    leader.clock += 0.8
    leader.step()
    assert get_role(leader) is not Role.LEADER


def test_hazard_16_a_host_catches_up_after_the_log_was_compacted():
    # A host was down for hundreds of changes and the others have compacted those
    # entries. It gets the snapshot in chunks, then the entries after it.
    cluster = make_cluster(3)
    accept(cluster, 3)
    lagging = find_others(cluster, cluster.find_leader())[0]
    lagging.crash()
    accept(cluster, 200)
    first_index = cluster.find_leader().driver.state.log.base.index + 1
    assert first_index > 150
    lagging.start()
    cluster.loss = 0.1
    cluster.run(30.0, reorder=True)
    cluster.settle()
    assert lagging.driver.state.snapshot.index >= first_index - 1
    assert len(lagging.applied) == len(cluster.find_leader().applied)


def test_a_host_that_was_partitioned_does_not_depose_the_leader():
    # A host was partitioned for a minute and kept requesting pre-votes. When it is back
    # the leader keeps its term, since pre-votes do not increment the term.
    cluster = make_cluster(3)
    leader = cluster.find_leader()
    term = leader.driver.state.term
    cluster.partition([find_others(cluster, leader)[0].name])
    cluster.run(60.0)
    cluster.partition()
    cluster.run(5.0)
    assert cluster.find_leader() is leader
    assert leader.driver.state.term == term


def test_a_planned_stop_transfers_leadership_at_once():
    cluster = make_cluster(3)
    accept(cluster, 3)
    leader = cluster.find_leader()
    cluster.transfer()
    cluster.run(0.5)
    assert cluster.find_leader() not in (None, leader)


def test_only_the_majority_side_of_a_partition_accepts():
    # Five voters, three in one region and two in the other. While the regions are
    # partitioned the minority accepts nothing and answers no read.
    cluster = make_cluster(5)
    accept(cluster, 2)
    cluster.partition(["c1", "c2", "c3"], ["c4", "c5"])
    cluster.run(8.0)
    accept(cluster, 3)
    assert cluster.find_leader().name in ("c1", "c2", "c3")
    request_ids = [cluster.read(cluster.hosts[3]), cluster.propose(cluster.hosts[4])]
    cluster.run(3.0)
    assert set(request_ids) <= cluster.refused
    cluster.settle()


def test_a_diverging_log_is_repaired_with_several_batches_in_flight():
    # A member's log ends in entries that were never committed. Guards against a
    # livelock: the rejections of two batches in flight alternately moved the leader's
    # next index, and the member never caught up (random schedule, seed 133).
    cluster = make_cluster(3, snapshot_entries=100)
    accept(cluster, 4)
    old_leader = cluster.find_leader()
    cluster.partition([old_leader.name])
    for _ in range(4):
        cluster.propose(old_leader)
    cluster.run(6.0)
    accept(cluster, 14)
    cluster.partition()
    cluster.run(3.0)
    assert old_leader.applied == cluster.find_leader().applied
    cluster.settle()


def test_a_new_host_asks_again_when_its_admission_was_lost():
    # The leader that added a host with an empty disk was deposed before the change was
    # committed. Guards against a new host that knows the cluster id, stops asking and
    # is never added (random schedule, seed 996).
    cluster = make_cluster(5)
    accept(cluster, 3)
    old_leader = cluster.find_leader()
    empty, *others = find_others(cluster, old_leader)
    empty.crash()
    cluster.run(2.0)
    cluster.partition([old_leader.name, empty.name], [host.name for host in others])
    cluster.replace(empty)
    cluster.admit_new_hosts()
    for _ in range(8):
        cluster.deliver()
        empty.step()
        old_leader.clock += 0.05
        old_leader.step()
    assert empty.driver.state.hard_state.cluster
    cluster.run(6.0)
    accept(cluster, 2)
    cluster.settle()


def test_three_hosts_grow_to_five_one_at_a_time():
    # Two more control hosts are started. Each joins as a learner and becomes a voter
    # once it has caught up, with one membership change at a time.
    cluster = SimulatedCluster(5)
    cluster.found(3)
    cluster.run(4.0)
    accept(cluster, 10)
    cluster.settle()
    members = cluster.find_leader().driver.state.log.membership.members
    assert [member.voter for member in members] == [True] * 5
    for host in find_others(cluster, cluster.find_leader())[:2]:
        host.crash()
    accept(cluster, 2)
    cluster.settle()
