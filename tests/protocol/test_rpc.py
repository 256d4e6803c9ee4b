import pytest

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
