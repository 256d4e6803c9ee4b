import gevent
import pytest
from gevent import event, socket

from ibisshunt.exceptions import RpcError
from ibisshunt.model.address import Address
from ibisshunt.protocol.messages import (
    REPORT,
    WATCH,
    ConfigurationUpdate,
    ReportReply,
    ReportRequest,
    WatchRequest,
)
from ibisshunt.protocol.rpc import Channel, Server


def test_a_call_gets_its_typed_reply():
    server = Server(
        Address("127.0.0.1", 0),
        {REPORT: lambda request, context: ReportReply(request.revision + 1)},
    )
    server.start()
    channel = Channel(server.address)
    assert channel.call(REPORT, ReportRequest("b1", "balancer", 4)) == ReportReply(5)
    channel.close()
    server.stop()


def test_a_stream_yields_typed_updates_and_a_dead_peer_is_named():
    def watch(request, context):
        yield ConfigurationUpdate(0, request.since + 1, (), (), 7)

    server = Server(Address("127.0.0.1", 0), {WATCH: watch})
    server.start()
    channel = Channel(server.address)
    updates = list(channel.stream(WATCH, WatchRequest("b1", 3)))
    assert [update.revision for update in updates] == [4]
    server.stop()
    with pytest.raises(RpcError) as caught:
        channel.call(REPORT, ReportRequest("b1", "balancer", 4), timeout=0.5)
    assert caught.value.fault.peer == str(server.address)
    channel.close()


class SilentRelay:
    """Copy bytes between a channel and a server until it is told to fall silent.

    ``delay`` holds each part up, in seconds.
    """

    def __init__(self, server, delay=0.0):
        self.is_silent = False
        self._delay = delay
        self._server = server
        self._sockets = []
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = Address(*self._listener.getsockname())
        self._tasks = [gevent.spawn(self._accept)]

    def stop(self):
        gevent.killall(self._tasks)
        for found in (self._listener, *self._sockets):
            found.close()

    def _accept(self):
        while True:
            near, _ = self._listener.accept()
            far = socket.create_connection((self._server.ip, self._server.port))
            self._sockets += [near, far]
            for pair in ((near, far), (far, near)):
                self._tasks.append(gevent.spawn(self._copy, *pair))

    def _copy(self, source, sink):
        # What comes after the silence began is read and lost, as behind a partition.
        while part := source.recv(65_536):
            gevent.sleep(self._delay)
            if not self.is_silent:
                sink.sendall(part)


@pytest.fixture
def watched():
    """Yield a relay to a server whose stream brings one update and no more."""
    release = event.Event()

    def watch(request, context):
        yield ConfigurationUpdate(0, 1, (), (), 7)
        release.wait()

    server = Server(Address("127.0.0.1", 0), {WATCH: watch})
    server.start()
    relay = SilentRelay(server.address)
    yield relay
    release.set()
    relay.stop()
    server.stop()


@pytest.mark.parametrize("settled", [0.0, 0.5])
def test_a_stream_whose_connection_fell_silent_ends(watched, settled):
    # A node watches control. The path between them goes silent without a reset, as
    # behind a partition, while a ping of the library is under way or later. Without a
    # sign of life of its own the stream would wait for its next update for ever, and
    # the node would keep an old configuration.
    channel = Channel(watched.address)
    updates = channel.stream(WATCH, WatchRequest("b1", 3))
    assert next(updates).revision == 1
    gevent.sleep(settled)
    watched.is_silent = True
    try:
        with gevent.Timeout(40), pytest.raises(RpcError):
            next(updates)
    finally:
        channel.close()


def test_a_peer_whose_handshake_is_slow_is_reached():
    # A busy host takes some tenths of a second for each step of the handshake. The
    # operator's change must reach it, and not fail because the attempt was cut off.
    server = Server(
        Address("127.0.0.1", 0),
        {REPORT: lambda request, context: ReportReply(request.revision + 1)},
    )
    server.start()
    relay = SilentRelay(server.address, delay=0.2)
    channel = Channel(relay.address)
    try:
        reply = channel.call(REPORT, ReportRequest("b1", "balancer", 4))
        assert reply == ReportReply(5)
    finally:
        channel.close()
        relay.stop()
        server.stop()
