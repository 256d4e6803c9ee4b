"""Loss and replacement of control hosts, on real folders and sockets."""

import shutil

from returns.pipeline import is_successful

from ibisshunt.coordination.consensus import OutcomeUnknown
from tests.components.consensus.test_replicated_log import (
    find_leader,
    hosts,
    wait_until,
)

__all__ = ["hosts"]


def find_voters(host):
    members = host.log.driver.state.log.membership.members
    return {member.host for member in members if member.voter}


def test_a_lost_disk_is_replaced_without_an_operator(hosts):
    # A control host's disk failed and was replaced; the process restarts under its old
    # name and address. It must rejoin and catch up without an operator, and the old
    # disk must lose its vote.
    for number in range(60):
        hosts[0].log.propose(b"v%d" % number, 10.0).unwrap()
    lost = next(host for host in hosts if not host.log.is_leading())
    old_identity = lost.log.driver.host
    address = lost.address
    lost.stop()
    shutil.rmtree(lost.folder)
    lost.bind(address)
    lost.start(hosts)
    new_identity = lost.log.driver.host
    others = [host for host in hosts if host is not lost]
    wait_until(lambda: all(new_identity in find_voters(host) for host in others))
    wait_until(lambda: all(old_identity not in find_voters(host) for host in others))
    assert is_successful(lost.log.read_barrier(10.0))
    assert lost.applied == [b"v%d" % number for number in range(60)]
    # Another host fails right after the repair: the new disk counts as a voter now.
    others[0].log.stop()
    lost.log.propose(b"after", 15.0).unwrap()


def test_a_host_with_an_empty_disk_joins_a_leader_missing_from_its_settings(hosts):
    # Guards against a lost disk that is never replaced: the leader replicated to the
    # new host, which had no address to reply to and was removed again and again.
    hosts[0].log.propose(b"v", 10.0).unwrap()
    leader = find_leader(hosts)
    lost, other = (host for host in hosts if host is not leader)
    address = lost.address
    lost.stop()
    shutil.rmtree(lost.folder)
    lost.bind(address)
    lost.start([other])
    wait_until(lambda: lost.log.driver.host in find_voters(leader))
    assert is_successful(lost.log.read_barrier(10.0))
    assert lost.applied == [b"v"]


def test_a_proposal_without_quorum_is_unknown(hosts):
    # Both followers fail during a change. Its entry is in the leader's log and may be
    # committed once a follower is back, so "not accepted" would be wrong.
    hosts[0].log.propose(b"v", 10.0).unwrap()
    leader = find_leader(hosts)
    followers = [host for host in hosts if host is not leader]
    for host in followers:
        host.log.stop()
    result = leader.log.propose(b"w", 0.3)
    assert isinstance(result.failure(), OutcomeUnknown)
    for host in followers:
        address = host.address
        host.stop()
        host.bind(address)
        host.start(hosts)
    followers[0].log.propose(b"x", 15.0).unwrap()
    assert is_successful(leader.log.read_barrier(10.0))
    assert leader.applied[-1] == b"x"
