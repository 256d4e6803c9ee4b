import socket
from types import SimpleNamespace

import dpkt
import gevent
import pytest

from ibisshunt.components.agent import packets as agent_packets
from ibisshunt.components.balancer import packets as balancer_packets
from ibisshunt.coordination.flows.recall import RECALL_TIMEOUT_SECONDS
from ibisshunt.core import Kernel
from ibisshunt.model.address import Address
from ibisshunt.model.configuration import Configuration
from ibisshunt.model.target import TargetState
from ibisshunt.settings import AgentSettings, BalancerSettings, TargetSettings
from tests.flow_fakes import (
    ACK,
    SYN,
    make_configuration,
    make_service,
    make_slice,
    make_target,
    make_tcp,
)

ANY = Address("127.0.0.1", 0)


class FakeConfiguration:
    def __init__(self):
        self.current = Configuration()
        self.callbacks = []
        self.peer_revisions = []

    def subscribe(self, callback):
        self.callbacks.append(callback)
        callback(self.current)

    def record_peer_revision(self, revision):
        self.peer_revisions.append(revision)

    def set(self, configuration):
        self.current = configuration
        for callback in self.callbacks:
            callback(configuration)


class FakeMetrics:
    def __init__(self):
        self.totals = {}

    def add(self, name, amount=1, **labels):
        key = (name, labels.get("reason", ""))
        self.totals[key] = self.totals.get(key, 0) + amount

    def set(self, name, value, **labels):
        self.totals[(name, "")] = value


def open_socket():
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.bind(("127.0.0.1", 0))
    opened.settimeout(5)
    return opened


class Node:
    """Run one component in its own kernel."""

    def __init__(self, setup, settings, incarnation=0):
        self.kernel = Kernel()
        self.configuration = FakeConfiguration()
        self.announcement = SimpleNamespace(incarnation=incarnation, leaving=False)
        self.metrics = FakeMetrics()
        self.kernel.register("configuration", self.configuration)
        self.kernel.register("announcement", self.announcement)
        self.kernel.register("metrics", self.metrics)
        setup(self.kernel, settings)
        self.packets = self.kernel.find("packets")

    @property
    def address(self):
        return self.packets.address


class PacketPath:
    """Packet path of one balancer and two agents on loopback, with fake targets."""

    def __init__(self):
        self.tunnels = [open_socket(), open_socket()]
        self.replies = open_socket()
        replies = Address(*self.replies.getsockname())
        balancer = BalancerSettings("b1", "moin-a", (ANY,), ANY, ANY, replies=replies)
        self.balancer = Node(balancer_packets.setup, balancer)
        self.agents = [self.start_agent(number) for number in (1, 2)]
        self.set(revision=1)
        gevent.sleep(RECALL_TIMEOUT_SECONDS)

    def start_agent(self, number, packets=ANY, incarnation=None):
        tunnel = Address(*self.tunnels[number - 1].getsockname())
        target = TargetSettings("marea", "booking1", f"t{number}", "h", tunnel, ANY)
        replies = Address(*self.replies.getsockname())
        settings = AgentSettings(
            f"a{number}", "moin-a", (ANY,), packets, ANY, ANY, target, replies
        )
        return Node(agent_packets.setup, settings, incarnation or number)

    def make(self, revision, service=None, **states):
        targets = [
            make_target(
                agent.announcement.incarnation,
                name=f"t{number}",
                packets=agent.address,
                state=states.get(f"t{number}", TargetState.READY),
            )
            for number, agent in enumerate(self.agents, 1)
        ]
        return make_configuration(make_slice(targets, revision, service))

    def set(self, revision, **states):
        configuration = self.make(revision, **states)
        for node in (self.balancer, *self.agents):
            node.configuration.set(configuration)
        for agent in self.agents:
            agent.packets._update_table()

    def send(self, packet):
        with open_socket() as fabric:
            fabric.sendto(packet, self.balancer.address.as_pair())

    def receive(self):
        """Return the next packet, after the number of the target that received it."""
        ready, _, _ = gevent.select.select(self.tunnels, [], [], 5)
        assert ready, "no target received a packet within 5 s"
        return self.tunnels.index(ready[0]) + 1, ready[0].recv(2000)

    def stop(self):
        for node in (self.balancer, *self.agents):
            node.kernel.stop()
        for opened in (*self.tunnels, self.replies):
            opened.close()


@pytest.fixture
def path():
    built = PacketPath()
    yield built
    built.stop()


def test_all_packets_of_a_flow_reach_one_target(path):
    path.send(make_tcp(SYN))
    first, packet = path.receive()
    assert packet == make_tcp(SYN)
    for number in range(20):
        path.send(make_tcp(ACK, data=bytes([number])))
        assert path.receive() == (first, make_tcp(ACK, data=bytes([number])))
    assert path.agents[first - 1].kernel.find("flows").count() == 1


def test_flows_stay_on_a_leaving_target_and_new_ones_go_elsewhere(path):
    path.send(make_tcp(SYN))
    first, _ = path.receive()
    path.agents[first - 1].announcement.leaving = True
    path.set(2, **{f"t{first}": TargetState.LEAVING})
    path.send(make_tcp(ACK, data=b"old"))
    assert path.receive()[0] == first
    for port in range(41_000, 41_020):
        path.send(make_tcp(SYN, port=port))
        assert path.receive()[0] == 3 - first


def test_a_new_flow_of_a_service_without_targets_is_reset_by_the_balancer(path):
    # The caller of a new flow gets a reset at once. A packet of an established flow
    # gets none, since this balancer may not know its target yet.
    path.balancer.configuration.set(make_configuration(make_slice([], 2)))
    path.send(make_tcp(ACK, data=b"old"))
    path.send(make_tcp(SYN, port=40_001))
    path.replies.settimeout(5)
    reset = dpkt.ip.IP(path.replies.recv(2000))
    assert reset.data.flags == dpkt.tcp.TH_RST | ACK
    assert reset.data.dport == 40_001


def test_a_new_flow_that_no_target_accepts_is_reset_at_once(path):
    path.set(2, t1=TargetState.LEAVING, t2=TargetState.LEAVING)
    path.send(make_tcp(SYN))
    reset = dpkt.ip.IP(path.replies.recv(2000))
    assert reset.data.flags == dpkt.tcp.TH_RST | ACK
    assert reset.data.dport == 40_000


def test_malformed_packets_are_counted_and_valid_ones_still_forwarded(path):
    malformed_datagrams = [
        b"",
        b"\x45",
        b"\x01",
        b"\x01" * 60,
        make_tcp(SYN)[:30],
        bytes(2000),
    ]
    for data in malformed_datagrams:
        path.send(data)
        with open_socket() as sender:
            sender.sendto(data, path.agents[0].address.as_pair())
    path.send(make_tcp(SYN, caller="127.8.0.1"))
    path.send(make_tcp(SYN, service="127.1.0.9"))
    path.send(make_tcp(SYN))
    assert path.receive()[1] == make_tcp(SYN)
    refusals = path.balancer.packets._refusals
    refusals.flush(path.balancer.metrics, 0.0)
    assert refusals.totals["caller_not_allowed"] == 1
    assert refusals.totals["unknown_service"] == 1
    assert refusals.totals["malformed"] >= 4


def test_an_agent_notifies_an_outdated_balancer(path):
    """The balancer has missed revision 5 of the service.

    Its packets still reach their target. The agent answers the older revision in their
    header with a notice, and the balancer requests the newer configuration.
    """
    for agent in path.agents:
        agent.configuration.set(path.make(5))
        agent.packets._update_table()
    path.send(make_tcp(SYN))
    path.receive()
    with gevent.Timeout(5):
        while not path.balancer.configuration.peer_revisions:
            gevent.sleep(0.05)
    assert path.balancer.configuration.peer_revisions[0] == 5


def test_an_outdated_agent_requests_a_newer_revision_shown_by_a_packet(path):
    path.balancer.configuration.set(path.make(7))
    path.send(make_tcp(SYN))
    first, _ = path.receive()
    peer_revisions = path.agents[first - 1].configuration.peer_revisions
    with gevent.Timeout(5):
        while not peer_revisions:
            gevent.sleep(0.05)
    assert peer_revisions[0] == 7


def test_an_agent_drops_packets_of_the_former_service_at_its_address(path):
    """The balancer has an outdated record: the address now belongs to another service.

    The packet's header carries the number of the old service, so the agent drops it.
    The caller's retransmission succeeds once the balancer has the new record.
    """
    other = make_service(2, name="booking1")
    configuration = path.make(9, service=other)
    for agent in path.agents:
        agent.configuration.set(configuration)
        agent.packets._update_table()
    path.send(make_tcp(SYN))
    gevent.sleep(0.1)
    for agent in path.agents:
        agent.packets._refusals.flush(agent.metrics, 0.0)
    counts = [agent.packets._refusals.totals["wrong_service"] for agent in path.agents]
    assert sum(counts) == 1
    assert not gevent.select.select(path.tunnels, [], [], 0)[0]


def test_a_restarted_agent_recovers_its_flows_from_its_peer(path):
    """An operator restarts the agent next to a running target.

    The old agent advertises its flows to its peers as it stops. The new one has no
    flows and a new incarnation. It recovers the flows from the peers and delivers the
    packets of the old flow to the same target.
    """
    path.send(make_tcp(SYN))
    first, _ = path.receive()
    old_agent = path.agents[first - 1]
    address = old_agent.address
    old_agent.kernel.stop()
    path.agents[first - 1] = path.start_agent(first, packets=address, incarnation=9)
    path.set(2)
    gevent.sleep(RECALL_TIMEOUT_SECONDS)
    assert path.agents[first - 1].packets.count() == 1
    path.send(make_tcp(ACK, data=b"old"))
    assert path.receive() == (first, make_tcp(ACK, data=b"old"))
