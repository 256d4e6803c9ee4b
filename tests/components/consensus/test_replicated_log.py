import gevent
import pytest
from returns.pipeline import is_successful

from ibisshunt.components.consensus import (
    ReplicatedLogOptions,
    StateMachine,
    make_handlers,
    setup,
)
from ibisshunt.coordination.consensus import (
    ConsensusSettings,
    NotAccepted,
    NotConfirmed,
)
from ibisshunt.core import Kernel
from ibisshunt.exceptions import StorageError
from ibisshunt.helpers.metrics import Metrics
from ibisshunt.model.address import Address
from ibisshunt.protocol.rpc import Server
from ibisshunt.settings import ControlSettings

FAST = ConsensusSettings(heartbeat_seconds=0.05, election_seconds=0.5)
OPTIONS = ReplicatedLogOptions(FAST, reserved_bytes=0, snapshot_entries=20)


class ControlHost:
    """One control host in this process, on a real folder and real sockets."""

    def __init__(self, name, folder, options=OPTIONS):
        self.name = name
        self.folder = folder
        self.options = options
        self.log = None
        self.address = None

    def bind(self, address=None):
        """Create the server with handlers that look up the log once it exists."""
        from ibisshunt.components.consensus.handlers import EXCHANGE, FORWARD, HELLO

        def bind(method):
            return lambda request, context: make_handlers(self.log)[method](
                request, context
            )

        handlers = {method: bind(method) for method in (EXCHANGE, FORWARD, HELLO)}
        self.server = Server(address or Address("127.0.0.1", 0), handlers, workers=32)
        self.address = self.server.address

    def start(self, peers):
        self.applied = []
        self.kernel = Kernel()
        self.kernel.register("metrics", Metrics())
        machine = StateMachine(self.apply, self.take_snapshot, self.restore)
        settings = ControlSettings(
            self.name,
            "moin-a",
            self.address,
            self.address,
            str(self.folder),
            {peer.name: peer.address for peer in peers if peer is not self},
        )
        self.log = setup(self.kernel, settings, machine, self.options)
        self.server.start()
        self.log.start()

    def apply(self, index, command):
        self.applied.append(command)
        return b"%d" % len(self.applied)

    def take_snapshot(self):
        return b"\n".join(self.applied)

    def restore(self, data):
        self.applied = data.split(b"\n") if data else []

    def stop(self):
        self.kernel.stop()
        self.server.stop(0.1)


def wait_until(check, timeout=20.0):
    with gevent.Timeout(timeout):
        while not check():
            gevent.sleep(0.02)


@pytest.fixture
def hosts(tmp_path):
    control_hosts = [
        ControlHost(f"c{number}", tmp_path / f"c{number}") for number in (1, 2, 3)
    ]
    for host in control_hosts:
        host.bind()
    for host in control_hosts:
        host.start(control_hosts)
    yield control_hosts
    for host in control_hosts:
        host.stop()


def find_leader(hosts):
    return next((host for host in hosts if host.log.is_leading()), None)


def test_a_single_host_accepts_commands_and_restarts(tmp_path):
    host = ControlHost("c1", tmp_path)
    host.bind()
    host.start([])
    replies = [host.log.propose(b"v%d" % number, 10.0) for number in range(50)]
    assert [reply.unwrap() for reply in replies] == [b"%d" % n for n in range(1, 51)]
    assert host.log.driver.snapshot_count == 2
    host.stop()
    host.bind()
    host.start([])
    assert is_successful(host.log.read_barrier(10.0))
    assert host.applied == [b"v%d" % number for number in range(50)]
    host.stop()


def test_any_host_accepts_proposals_and_reads(hosts):
    for number in range(9):
        reply = hosts[number % 3].log.propose(b"v%d" % number, 10.0)
        assert reply.unwrap() == b"%d" % (number + 1)
    for host in hosts:
        assert is_successful(host.log.read_barrier(10.0))
        assert len(host.applied) == 9


def test_a_planned_stop_hands_the_lead_over(hosts):
    # The leader is stopped for an upgrade. The next leader is elected before it exits,
    # so that callers wait for one message exchange and not for an election timeout.
    hosts[0].log.propose(b"v", 10.0).unwrap()
    leader = find_leader(hosts)
    term = leader.log.driver.state.term
    leader.log.stop()
    others = [host for host in hosts if host is not leader]
    wait_until(lambda: find_leader(others) is not None)
    assert find_leader(others).log.driver.state.term == term + 1
    refused = leader.log.propose(b"w", 1.0).failure()
    assert isinstance(refused, NotAccepted)
    others[0].log.propose(b"x", 10.0).unwrap()


def test_a_host_without_quorum_answers_no_read(hosts):
    # Two of three control hosts are down. The remaining one may lack what they accepted
    # last, so it must not serve reads.
    hosts[0].log.propose(b"v", 10.0).unwrap()
    for host in hosts[1:]:
        host.log.stop()
    assert isinstance(hosts[0].log.read_barrier(1.0).failure(), NotConfirmed)
    assert isinstance(hosts[0].log.propose(b"w", 0.5).failure(), NotAccepted)


def test_a_leader_with_a_full_disk_refuses_proposals_with_the_reason(tmp_path):
    # The reserve leaves space for replicated entries and for a clean stop; callers are
    # told that the command was not accepted.
    host = ControlHost(
        "c1", tmp_path, ReplicatedLogOptions(FAST, reserved_bytes=1 << 60)
    )
    host.bind()
    host.start([])
    wait_until(lambda: host.log.is_leading())
    wait_until(lambda: not is_successful(host.log.propose(b"v", 1.0)))
    fault = host.log.propose(b"v", 1.0).failure()
    assert isinstance(fault, NotAccepted)
    assert "full" in fault.reason
    host.stop()


def test_dump_and_metrics_show_the_state(tmp_path):
    host = ControlHost("c1", tmp_path)
    host.bind()
    host.start([])
    host.log.propose(b"v", 10.0).unwrap()
    dump = host.kernel.dump()["replicated-log"]
    assert (dump["role"], dump["has_fresh_quorum"]) == ("leader", True)
    assert dump["applied"] == dump["commit"] == dump["last_index"]
    page, _ = host.kernel.find("metrics").render()
    assert b'consensus_is_leader{host="c1"} 1' in page
    host.stop()


def test_a_host_that_lists_itself_as_a_peer_counts_once(tmp_path):
    host = ControlHost("c1", tmp_path)
    host.bind()
    duplicate = ControlHost("c1", tmp_path)
    duplicate.address = host.address
    host.start([duplicate])
    host.log.propose(b"v", 10.0).unwrap()
    assert len(host.log.driver.state.log.membership.members) == 1
    host.stop()


def test_a_damaged_log_is_reported_with_its_file_and_left_unchanged(tmp_path):
    # A bad sector damages an old record: the host must not start with a part of its log
    # and must keep the files for an investigation.
    host = ControlHost("c1", tmp_path)
    host.bind()
    host.start([])
    for _ in range(5):
        host.log.propose(b"v", 10.0).unwrap()
    host.stop()
    path = next(tmp_path.glob("wal-*"))
    damaged = bytearray(path.read_bytes())
    damaged[len(damaged) // 2] ^= 1
    path.write_bytes(damaged)
    host.bind()
    with pytest.raises(StorageError, match="offset") as caught:
        host.start([])
    assert caught.value.fault.peer == str(path)
    assert path.read_bytes() == bytes(damaged)
    host.server.stop(0.1)


def test_a_leader_with_a_full_disk_transfers_leadership(tmp_path):
    # The disk of the first leader is full. It must transfer leadership to a host with
    # free space and continue as a follower, so that changes are soon accepted again.
    full = ReplicatedLogOptions(FAST, reserved_bytes=1 << 60)
    control_hosts = [
        ControlHost(name, tmp_path / name, full if name == "c1" else OPTIONS)
        for name in ("c1", "c2", "c3")
    ]
    for host in control_hosts:
        host.bind()
    for host in control_hosts:
        host.start(control_hosts)
    wait_until(lambda: any(host.log.is_leading() for host in control_hosts[1:]))
    # The full host refuses while it is the leader, so success shows another leader.
    wait_until(lambda: is_successful(control_hosts[0].log.propose(b"v", 5.0)))
    for host in control_hosts:
        host.stop()
