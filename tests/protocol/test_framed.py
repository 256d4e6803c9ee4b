"""Calls over framed TCP run concurrently and never hang."""

from dataclasses import dataclass

import gevent
import pytest
from gevent.server import StreamServer

from ibisshunt.exceptions import RpcError
from ibisshunt.model.address import Address
from ibisshunt.protocol.framed import FramedChannel, FramedServer
from ibisshunt.protocol.method import Method


@dataclass(frozen=True)
class Number:
    value: int


DOUBLE = Method("Double", Number, Number)
SLOW = Method("Slow", Number, Number)
UNKNOWN = Method("Unknown", Number, Number)


def reply_slowly(request, context):
    gevent.sleep(0.3)
    return request


@pytest.fixture
def channel():
    handlers = {
        DOUBLE: lambda request, context: Number(2 * request.value),
        SLOW: reply_slowly,
    }
    server = FramedServer(Address("127.0.0.1", 0), handlers)
    server.start()
    client = FramedChannel(Address(*server._server.address))
    yield client
    client.close()
    server.stop()


def test_a_slow_call_does_not_delay_others(channel):
    slow_call = gevent.spawn(channel.call, SLOW, Number(1), 5.0)
    gevent.sleep(0)
    assert channel.call(DOUBLE, Number(4), 5.0) == Number(8)
    assert not slow_call.ready()
    assert slow_call.get() == Number(1)


def test_the_error_names_an_unknown_method(channel):
    with pytest.raises(RpcError, match="Unknown"):
        channel.call(UNKNOWN, Number(1), 5.0)
    assert channel.call(DOUBLE, Number(1), 5.0) == Number(2)


def test_an_unresponsive_connection_is_replaced():
    # The peer becomes unreachable without a reset. The pending call times out, and the
    # next one must open a new connection instead of waiting on the old one.
    accepted = []

    def serve(connection, peer):
        accepted.append(connection)
        gevent.sleep(30)

    server = StreamServer(("127.0.0.1", 0), serve)
    server.start()
    channel = FramedChannel(Address(*server.address))
    for _ in range(2):
        with pytest.raises(RpcError, match="no answer"):
            channel.call(DOUBLE, Number(1), 0.1)
    gevent.sleep(0)
    assert len(accepted) == 2
    channel.close()
    server.stop(timeout=0)


def test_the_error_names_an_unreachable_peer():
    channel = FramedChannel(Address("127.0.0.1", 1))
    with pytest.raises(RpcError, match="127.0.0.1:1"):
        channel.call(DOUBLE, Number(1), 1.0)
