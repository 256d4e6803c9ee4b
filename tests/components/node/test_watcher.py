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
PART = make_slice(make_service(), make_target())


def make_update(revision, base=0):
    digest = combine_digests([digest_slice(PART)])
    return ConfigurationUpdate(base, revision, (PART,), (), digest)


class Host:
    """A stand-in control host that sends what it is given, then stays silent."""

    def __init__(self, *updates):
        self.asked = []
        self.reported = []
        self.updates = updates
        self.server = Server(ANY, {WATCH: self.watch, REPORT: self.report})
        self.server.start()
        self.address = self.server.address

    def watch(self, request, context):
        self.asked.append(request.since)
        yield from self.updates
        while context.is_active():
            gevent.sleep(0.02)

    def report(self, request, context):
        self.reported.append(request.revision)
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


def test_a_host_that_lags_never_takes_the_node_back(kernel):
    # The node keeps revision 9: its first host dies, the next one lags behind at 4,
    # the node leaves what it has in force and goes on to ask.
    first, lagging = Host(make_update(9)), Host(make_update(4))
    configuration = follow(kernel, first, lagging)
    wait_for(lambda: configuration.current.revision == 9)
    first.server.stop(0)
    wait_for(lambda: len(lagging.asked) > 1)
    assert configuration.current.revision == 9


def test_a_silent_host_is_left(kernel, monkeypatch):
    # The node gets revision 5 though its first host froze with the connection open:
    # nothing arrives for three heartbeats, the watch is ended, the next host asked.
    monkeypatch.setattr(watcher, "SILENCE_SECONDS", 0.3)
    frozen, good = Host(), Host(make_update(5))
    configuration = follow(kernel, frozen, good)
    wait_for(lambda: configuration.current.revision == 5)
    assert frozen.asked


def test_a_node_that_a_packet_showed_to_be_stale_asks_another_host(kernel, monkeypatch):
    # The node gets revision 8 though its own host stays at 7: a peer's packet names
    # 8, the watch does not bring it within the deadline, another host is asked.
    monkeypatch.setattr(watcher, "PULL_SECONDS", 0.2)
    lagging, good = Host(make_update(7)), Host(make_update(8))
    configuration = follow(kernel, lagging, good)
    wait_for(lambda: configuration.current.revision == 7)
    configuration.request_pull(8)
    wait_for(lambda: configuration.current.revision == 8)


def test_a_lost_delta_makes_the_node_watch_again(kernel):
    # The node sees a delta whose base it never had: it takes nothing from it and
    # watches again from what it has.
    host = Host(make_update(3, base=2))
    configuration = follow(kernel, host)
    wait_for(lambda: len(host.asked) > 1)
    assert configuration.current.revision == 0


def test_the_revision_in_force_is_reported(kernel):
    host = Host(make_update(6))
    follow(kernel, host)
    wait_for(lambda: 6 in host.reported)
