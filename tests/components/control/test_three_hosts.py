import json

import gevent
import pytest
from gevent import socket

from ibisshunt.components.consensus import ReplicatedLogOptions
from ibisshunt.components.control import host as host_module, setup
from ibisshunt.coordination.consensus import ConsensusSettings
from ibisshunt.core import Kernel
from ibisshunt.exceptions import RpcError
from ibisshunt.model.address import Address
from ibisshunt.protocol.messages import (
    ANNOUNCE,
    APPLY,
    LIST,
    REPORT,
    STATUS,
    WATCH,
    AnnounceRequest,
    ApplyRequest,
    ListRequest,
    ReportRequest,
    StatusRequest,
    WatchRequest,
)
from ibisshunt.protocol.rpc import Channel
from ibisshunt.settings import ControlSettings

from .test_server import ANNOUNCEMENT, BUSINESS, LOOPBACK, SERVICE

FAST = ConsensusSettings(heartbeat_seconds=0.05, election_seconds=0.3)
# Compact early, so that records and cached outcomes pass through snapshots.
OPTIONS = ReplicatedLogOptions(FAST, reserved_bytes=0, snapshot_entries=5)


def reserve_addresses(count):
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind(("127.0.0.1", 0))
    addresses = [Address(*probe.getsockname()) for probe in probes]
    for probe in probes:
        probe.close()
    return addresses


class ControlHost:
    def __init__(self, name, peers, folder):
        self.name = name
        self.kernel = Kernel()
        settings = ControlSettings(
            name, "d", peers[name], LOOPBACK, str(folder / name), peers
        )
        self.control = setup(self.kernel, settings, OPTIONS)
        self.channel = Channel(peers[name])

    def call(self, method, request, timeout=10.0):
        return self.channel.call(method, request, timeout)

    def apply(self, operation, *documents):
        return self.call(APPLY, ApplyRequest(operation, documents))

    def is_leader(self):
        return self.control.host.is_leader()

    def stop(self):
        self.channel.close()
        self.kernel.stop()


def wait_until(check, timeout=20.0):
    with gevent.Timeout(timeout):
        while not check():
            gevent.sleep(0.02)


@pytest.fixture
def hosts(tmp_path):
    names = ("c1", "c2", "c3")
    peers = dict(zip(names, reserve_addresses(3), strict=True))
    control_hosts = [ControlHost(name, peers, tmp_path) for name in names]
    wait_until(lambda: any(host.is_leader() for host in control_hosts))
    yield control_hosts
    for host in control_hosts:
        host.stop()


def split_by_role(hosts):
    wait_until(lambda: any(host.is_leader() for host in hosts))
    leader = next(host for host in hosts if host.is_leader())
    return leader, [host for host in hosts if host is not leader]


def make_service_document(slots, **fields):
    return json.dumps({**json.loads(SERVICE), "slots": slots, **fields})


def test_a_resend_after_leader_change_and_compaction_gets_the_first_answer(hosts):
    # Hazard 12. An operator changes a record with an expected revision and the answer
    # is lost. Others change the record, the log is compacted, the leader stops. The
    # resend reaches another host: it must get the first answer, neither a conflict with
    # its own write nor a second write.
    leader, others = split_by_role(hosts)
    expected_revision = leader.apply("setup", BUSINESS, SERVICE).revision
    document = make_service_document(2, expected_revision=expected_revision)
    first = leader.apply("mine", document)
    assert first.outcomes[0].error == ""
    for slots in range(3, 20):
        others[slots % 2].apply(f"later{slots}", make_service_document(slots))
    conflict = leader.apply(
        "rival", make_service_document(1, expected_revision=expected_revision)
    )
    assert f"expected {expected_revision}" in conflict.outcomes[0].error
    leader.stop()
    hosts.remove(leader)
    successor, follower = split_by_role(hosts)[0], split_by_role(hosts)[1][0]
    assert successor.apply("mine", document) == first
    assert follower.apply("mine", document) == first
    assert (
        follower.apply(
            "rival", make_service_document(1, expected_revision=expected_revision)
        )
        == conflict
    )
    (record,) = [
        record
        for record in follower.call(LIST, ListRequest("marea")).records
        if record.name == "booking"
    ]
    assert json.loads(record.document)["slots"] == 19


def test_all_hosts_distribute_and_report_what_one_accepts(hosts):
    # Hazard 18. Nodes watch and report to different hosts. Every host must return the
    # active revision of each node.
    leader, others = split_by_role(hosts)
    reply = others[0].apply("setup", BUSINESS, SERVICE)
    for number, host in enumerate(hosts):
        update = next(host.channel.stream(WATCH, WatchRequest(f"b{number}", 0)))
        assert update.revision == reply.revision
        revision = update.revision - (number == 2)
        host.call(REPORT, ReportRequest(f"b{number}", "balancer", revision))
    for host in hosts:
        status = host.call(STATUS, StatusRequest())
        lagging = [n.node for n in status.nodes if n.revision < status.revision]
        assert (len(status.nodes), lagging) == (3, ["b2"])
        assert status.unreachable == ()
    with pytest.raises(RpcError, match=f"leader={leader.control.address}"):
        others[0].call(ANNOUNCE, AnnounceRequest(ANNOUNCEMENT))


def test_a_host_without_quorum_serves_no_new_node(hosts, monkeypatch):
    # Hazard 11. Two of three hosts are down. A balancer that has just started asks the
    # third one: its configuration may be outdated, so the balancer must get nothing.
    leader, others = split_by_role(hosts)
    leader.apply("setup", BUSINESS, SERVICE)
    for host in others:
        host.stop()
        hosts.remove(host)
    monkeypatch.setattr(host_module, "RPC_TIMEOUT_SECONDS", 1.0)
    with pytest.raises(RpcError, match="no quorum"):
        next(leader.channel.stream(WATCH, WatchRequest("b1", 0)))
