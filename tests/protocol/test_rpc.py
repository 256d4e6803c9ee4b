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


def test_a_call_returns_the_typed_reply():
    server = Server(
        Address("127.0.0.1", 0),
        {REPORT: lambda request, context: ReportReply(request.revision + 1)},
    )
    server.start()
    channel = Channel(server.address)
    assert channel.call(REPORT, ReportRequest("b1", "balancer", 4)) == ReportReply(5)
    channel.close()
    server.stop()


def test_a_stream_yields_updates_and_the_error_names_a_stopped_peer():
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


class PartitionableProxy:
    """A TCP proxy between a channel and a server that can simulate a partition.

    ``delay`` is the time in seconds before each chunk is sent on.
    """

    def __init__(self, server, delay=0.0):
        self.is_partitioned = False
        self._delay = delay
        self._server = server
        self._sockets = []
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = Address(*self._listener.getsockname())
        self._tasks = [gevent.spawn(self._accept)]

    def stop(self):
        gevent.killall(self._tasks)
        for connection in (self._listener, *self._sockets):
            connection.close()

    def _accept(self):
        while True:
            client, _ = self._listener.accept()
            server = socket.create_connection((self._server.ip, self._server.port))
            self._sockets += [client, server]
            for pair in ((client, server), (server, client)):
                self._tasks.append(gevent.spawn(self._copy, *pair))

    def _copy(self, source, sink):
        # Bytes received during the partition are lost, and no reset is sent.
        while chunk := source.recv(65_536):
            gevent.sleep(self._delay)
            if not self.is_partitioned:
                sink.sendall(chunk)


@pytest.fixture
def proxy():
    """Yield a proxy to a server whose stream sends a single update."""
    release = event.Event()

    def watch(request, context):
        yield ConfigurationUpdate(0, 1, (), (), 7)
        release.wait()

    server = Server(Address("127.0.0.1", 0), {WATCH: watch})
    server.start()
    running = PartitionableProxy(server.address)
    yield running
    release.set()
    running.stop()
    server.stop()


@pytest.mark.parametrize("seconds_open", [0.0, 0.5])
def test_a_stream_ends_when_its_peer_becomes_unreachable(proxy, seconds_open):
    # A node watches a control host, and a partition separates them without a reset,
    # while one of gRPC's own pings is pending or later. Without keepalive pings the
    # stream would wait forever, and the node would keep an old configuration.
    channel = Channel(proxy.address)
    updates = channel.stream(WATCH, WatchRequest("b1", 3))
    assert next(updates).revision == 1
    gevent.sleep(seconds_open)
    proxy.is_partitioned = True
    try:
        with gevent.Timeout(40), pytest.raises(RpcError):
            next(updates)
    finally:
        channel.close()


def test_a_peer_with_a_slow_handshake_is_reached():
    # A busy host needs some tenths of a second for each step of the handshake. A call
    # to it must not fail because the connection attempt timed out.
    server = Server(
        Address("127.0.0.1", 0),
        {REPORT: lambda request, context: ReportReply(request.revision + 1)},
    )
    server.start()
    slow_proxy = PartitionableProxy(server.address, delay=0.2)
    channel = Channel(slow_proxy.address)
    try:
        reply = channel.call(REPORT, ReportRequest("b1", "balancer", 4))
        assert reply == ReportReply(5)
    finally:
        channel.close()
        slow_proxy.stop()
        server.stop()
