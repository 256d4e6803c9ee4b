import json
from itertools import islice

import gevent
import pytest

from ibisshunt.components.control import watches as watches_module
from ibisshunt.components.control.host import ControlHost, hash_token
from ibisshunt.components.control.leases import LeaseHandler
from ibisshunt.components.control.records import RecordHandler
from ibisshunt.components.control.reports import merge_status
from ibisshunt.components.control.state import ControlState
from ibisshunt.components.control.watches import WatchHandler
from ibisshunt.coordination.distribution.receiver import (
    ActiveConfiguration,
    UpdateVerdict,
    receive,
)
from ibisshunt.exceptions import Fault, StorageError
from ibisshunt.model.address import Address
from ibisshunt.protocol.codec import decode, encode
from ibisshunt.protocol.leader import parse_leader_hint
from ibisshunt.protocol.messages import (
    AnnounceRequest,
    ApplyRequest,
    ConfigurationUpdate,
    NodeStatus,
    StatusReply,
    WatchRequest,
)
from ibisshunt.settings import ControlSettings

from .fakes import Aborted, FakeContext, FakeLog
from .test_server import ANNOUNCEMENT, BUSINESS, LOOPBACK, SERVICE

PEERS = {"c1": Address("127.0.0.1", 7001), "c2": Address("127.0.0.1", 7002)}


class Control:
    """Hold the handlers of one control host with a fake log."""

    def __init__(self, name="c1", **options):
        settings = ControlSettings(
            name, "d", PEERS[name], LOOPBACK, "", PEERS, **options
        )
        self.state = ControlState()
        self.log = FakeLog(name, self.state.make_state_machine(), PEERS)
        self.host = ControlHost(settings, self.state, self.log)
        self.records = RecordHandler(self.host)
        self.watches = WatchHandler(self.host)
        self.leases = LeaseHandler(self.host)

    def apply(self, *documents, operation="o", token=""):
        request = ApplyRequest(operation, documents, token)
        reply = self.records.apply(request, FakeContext())
        return [outcome.error for outcome in reply.outcomes]

    def watch(self, since=0, active=1_000):
        request = WatchRequest("b1", since)
        for sent in self.watches.watch(request, FakeContext(active)):
            yield decode(bytes(sent), ConfigurationUpdate).unwrap()

    def announce(self, leaving=False):
        request = AnnounceRequest(ANNOUNCEMENT, leaving)
        return self.leases.handle_announce(request, FakeContext())


def test_a_new_node_gets_nothing_from_a_partitioned_host():
    # Hazard 11. A host was partitioned before the service changed, and still answers. A
    # balancer that has just started has no revision to compare with: if it was served,
    # an outdated configuration would become active. It must get an error, and the
    # newest configuration from a host with a quorum.
    cut_off, majority = Control("c1"), Control("c2")
    for control in (cut_off, majority):
        control.apply(BUSINESS, SERVICE)
    cut_off.log.connected = False
    majority.apply(json.dumps({**json.loads(SERVICE), "slots": 9}), operation="p")
    with pytest.raises(Aborted):
        next(cut_off.watch())
    update = next(majority.watch())
    assert receive(ActiveConfiguration(), update).verdict == UpdateVerdict.IN_FORCE
    assert update.changed[0].service.slots == 9


def test_a_stream_ends_when_its_host_loses_the_quorum(monkeypatch):
    # A node watches a host that is then partitioned. As long as it received heartbeats
    # it would stay there and miss every change: the host must end the stream.
    for name in ("HEARTBEAT_SECONDS", "LEASE_SECONDS"):
        monkeypatch.setattr(watches_module, name, 0.01)
    control = Control()
    control.apply(BUSINESS, SERVICE)
    updates = control.watch()
    assert next(updates).revision == 1
    assert next(updates).changed == ()
    control.log.connected = False
    with pytest.raises(Aborted, match="no quorum"):
        list(islice(updates, 100))


def test_a_stream_carries_each_change_once(monkeypatch):
    control = Control()
    control.apply(BUSINESS)
    updates = control.watch(since=1)
    assert next(updates).changed == ()
    later = gevent.spawn(next, updates)
    gevent.sleep(0)
    control.apply(SERVICE, operation="p")
    update = later.get()
    assert (update.base, update.revision, len(update.changed)) == (1, 2, 1)


def test_a_follower_names_the_leader():
    control = Control("c1")
    control.log.leading = "c2"
    for call in (lambda: control.apply(BUSINESS), control.announce):
        with pytest.raises(Aborted) as caught:
            call()
        fault = Fault("call", "", caught.value.args[1])
        assert parse_leader_hint(fault) == PEERS["c2"]


def test_a_resend_to_another_host_gets_the_first_answer():
    # Hazard 12. The answer is lost and the leader changes. The operator resends to a
    # follower that has applied the entry: it can return the first answer.
    control = Control()
    assert control.apply(BUSINESS, operation="x") == [""]
    control.log.leading = "c2"
    assert control.apply(BUSINESS, operation="x") == [""]
    assert control.log.index == 1


def test_only_the_administrator_s_token_is_accepted_as_such():
    control = Control(admin_token_hash=hash_token("secret"))
    assert "denied" in control.apply(BUSINESS)[0]
    assert "denied" in control.apply(BUSINESS, token="wrong")[0]
    assert control.log.index == 0
    assert control.apply(BUSINESS, token="secret") == [""]


def test_renewals_write_no_log_entry():
    control = Control()
    control.apply(BUSINESS, SERVICE)
    first = control.announce()
    written = control.log.index
    for _ in range(10):
        assert control.announce() == first
    assert control.log.index == written
    control.announce(leaving=True)
    assert control.log.index == written + 1


def test_refused_announcements_write_no_log_entry():
    # An agent is started before its service is declared, or with a wrong name. It
    # announces every two seconds; if each was logged, ten such agents would write 80
    # entries before the first record exists.
    control = Control()
    for _ in range(5):
        assert "does not exist" in control.announce().error
    assert control.announce(leaving=True).incarnation == 0
    assert control.log.index == 0


def test_a_new_leader_resets_all_leases():
    control = Control()
    control.apply(BUSINESS, SERVICE)
    control.announce()
    (lease_before,) = control.leases.book.leases.values()
    control.log.leading = "c2"
    control.leases._sync_with_store(lease_before.deadline + 1_000)
    control.log.leading = "c1"
    control.leases._sync_with_store(lease_before.deadline + 1_000)
    (lease_after,) = control.leases.book.leases.values()
    assert lease_after.deadline > lease_before.deadline + 1_000


def test_status_shows_lagging_nodes_and_unreachable_hosts():
    # Hazard 18. One balancer reports to the leader, another one has switched to a
    # second control host and lags; a third control host does not answer.
    def reply(revision, *nodes):
        return StatusReply(revision, "c2", (), (), nodes)

    own = reply(7, NodeStatus("b1", "balancer", 7, 0.1), NodeStatus("b2", "x", 3, 90.0))
    peer = reply(7, NodeStatus("b2", "balancer", 6, 0.2))
    merged = merge_status(own, "c2", {"c2": peer, "c3": None})
    lagging = [node.node for node in merged.nodes if node.revision < merged.revision]
    assert lagging == ["b2"]
    assert [(node.node, node.revision) for node in merged.nodes] == [
        ("b1", 7),
        ("b2", 6),
    ]
    assert merged.unreachable == ("c3",)


def test_a_command_of_a_later_release_stops_the_host():
    # A follower of an older release gets a command that only newer releases know.
    # Skipping it would let its records diverge silently.
    control = Control()
    with pytest.raises(StorageError, match="unknown command 'MoveRegion'"):
        control.state.apply(1, encode(("MoveRegion", {})))
