import gevent
import pytest

from ibisshunt.components.node import setup_configuration, watcher
from ibisshunt.coordination.distribution.digest import combine_digests, digest_slice
from ibisshunt.core import Kernel
from ibisshunt.model.address import Address
from ibisshunt.model.configuration import ConfigurationUpdate
from ibisshunt.protocol.messages import REPORT, WATCH, ReportReply
from ibisshunt.protocol.rpc import Server
from tests.builders import make_service, make_slice, make_target

ANY = Address("127.0.0.1", 0)
SLICE = make_slice(make_service(), make_target())


def make_update(revision, base=0):
    digest = combine_digests([digest_slice(SLICE)])
    return ConfigurationUpdate(base, revision, (SLICE,), (), digest)


class FakeControlHost:
    """Fake control host that sends the given updates and then stays silent."""

    def __init__(self, *updates):
        self.watched_since = []
        self.reported_revisions = []
        self.updates = updates
        self.server = Server(ANY, {WATCH: self.watch, REPORT: self.report})
        self.server.start()
        self.address = self.server.address

    def watch(self, request, context):
        self.watched_since.append(request.since)
        yield from self.updates
        while context.is_active():
            gevent.sleep(0.02)

    def report(self, request, context):
        self.reported_revisions.append(request.revision)
        return ReportReply(request.revision)


def wait_for(condition):
    with gevent.Timeout(10):
        while not condition():
            gevent.sleep(0.01)


@pytest.fixture
def kernel():
    kernel = Kernel()
    yield kernel
    kernel.stop()


def follow(kernel, *hosts):
    addresses = tuple(host.address for host in hosts)
    return setup_configuration(kernel, "b1", "balancer", addresses)


def test_a_lagging_host_never_reverts_the_node(kernel):
    # The node has revision 9 and its first host fails. The next host lags at revision
    # 4: the node must keep its configuration and try further hosts.
    first, lagging = FakeControlHost(make_update(9)), FakeControlHost(make_update(4))
    configuration = follow(kernel, first, lagging)
    wait_for(lambda: configuration.current.revision == 9)
    first.server.stop(0)
    wait_for(lambda: len(lagging.watched_since) > 1)
    assert configuration.current.revision == 9


def test_a_silent_host_is_abandoned(kernel, monkeypatch):
    # The first host freezes with the connection open. Nothing arrives for three
    # heartbeats, so the node closes the watch and gets revision 5 from the next host.
    monkeypatch.setattr(watcher, "STREAM_SILENCE_TIMEOUT_SECONDS", 0.3)
    frozen, good = FakeControlHost(), FakeControlHost(make_update(5))
    configuration = follow(kernel, frozen, good)
    wait_for(lambda: configuration.current.revision == 5)
    assert frozen.watched_since


def test_a_node_that_a_packet_shows_to_be_outdated_asks_another_host(
    kernel, monkeypatch
):
    # The node's host stays at revision 7, a peer's packet shows revision 8. The watch
    # does not deliver it before the deadline, so the node gets it from another host.
    monkeypatch.setattr(watcher, "NEWER_REVISION_TIMEOUT_SECONDS", 0.2)
    lagging, good = FakeControlHost(make_update(7)), FakeControlHost(make_update(8))
    configuration = follow(kernel, lagging, good)
    wait_for(lambda: configuration.current.revision == 7)
    configuration.record_peer_revision(8)
    wait_for(lambda: configuration.current.revision == 8)


def test_a_lost_delta_makes_the_node_watch_again(kernel):
    # The node gets a delta whose base it does not have: it must ignore the delta and
    # watch again from its own revision.
    host = FakeControlHost(make_update(3, base=2))
    configuration = follow(kernel, host)
    wait_for(lambda: len(host.watched_since) > 1)
    assert configuration.current.revision == 0


def test_the_active_revision_is_reported(kernel):
    host = FakeControlHost(make_update(6))
    follow(kernel, host)
    wait_for(lambda: 6 in host.reported_revisions)
