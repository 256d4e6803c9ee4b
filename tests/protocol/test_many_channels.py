import gevent

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

NODES = 30


def test_many_channels_of_one_process_are_served_concurrently():
    # gRPC needs one polling thread for each of the thirty open streams: with a smaller
    # pool all connections of the process stop.
    def watch(request, context):
        yield ConfigurationUpdate(0, 1, (), (), 0)
        while context.is_active():
            gevent.sleep(0.02)

    server = Server(
        Address("127.0.0.1", 0),
        {WATCH: watch, REPORT: lambda request, _: ReportReply(request.revision)},
    )
    server.start()
    channels = [Channel(server.address) for _ in range(NODES)]
    streams = [channel.stream(WATCH, WatchRequest("n", 0)) for channel in channels]
    for stream in streams:
        assert next(iter(stream)).revision == 1
    for channel in channels:
        assert channel.call(REPORT, ReportRequest("n", "b", 3)) == ReportReply(3)
    for stream, channel in zip(streams, channels, strict=True):
        stream.close()
        channel.close()
    server.stop()
