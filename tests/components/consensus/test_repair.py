"""Loss and replacement of control hosts on real folders and sockets."""

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
    # A control host's disk died and a new one was put in; the process starts under
    # its old name and address. It must take its place by itself, with all records,
    # and the old disk must lose its vote.
    for place in range(60):
        hosts[0].log.propose(b"v%d" % place, 10.0).unwrap()
    lost = next(host for host in hosts if not host.log.is_leading())
    old = lost.log.driver.host
    address = lost.address
    lost.stop()
    shutil.rmtree(lost.folder)
    lost.bind(address)
    lost.start(hosts)
    new = lost.log.driver.host
    others = [host for host in hosts if host is not lost]
    wait_until(lambda: all(new in find_voters(host) for host in others))
    wait_until(lambda: all(old not in find_voters(host) for host in others))
    assert is_successful(lost.log.read_barrier(10.0))
    assert lost.applied == [b"v%d" % place for place in range(60)]
    # One more loss right after the repair: the new disk counts now.
    others[0].log.stop()
    lost.log.propose(b"after", 15.0).unwrap()


def test_a_host_with_an_empty_disk_joins_a_leader_that_its_settings_do_not_name(hosts):
    # Guards against a lost disk that is never made good: the new host got the log from
    # the leader, had no address to answer it at, and was left out again and again.
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
    # Both followers die in the moment of a change. It lies in the leader's log and may
    # be accepted when one comes back, so "not accepted" would be a lie.
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
