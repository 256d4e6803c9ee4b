"""Calls over framed TCP: typed, side by side, and never hung for good."""

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


def slow(request, context):
    gevent.sleep(0.3)
    return request


@pytest.fixture
def channel():
    handlers = {DOUBLE: lambda found, context: Number(2 * found.value), SLOW: slow}
    server = FramedServer(Address("127.0.0.1", 0), handlers)
    server.start()
    found = FramedChannel(Address(*server._server.address))
    yield found
    found.close()
    server.stop()


def test_a_slow_call_does_not_hold_up_the_others(channel):
    waiting = gevent.spawn(channel.call, SLOW, Number(1), 5.0)
    gevent.sleep(0)
    assert channel.call(DOUBLE, Number(4), 5.0) == Number(8)
    assert not waiting.ready()
    assert waiting.get() == Number(1)


def test_an_unknown_method_is_named(channel):
    with pytest.raises(RpcError, match="Unknown"):
        channel.call(UNKNOWN, Number(1), 5.0)
    assert channel.call(DOUBLE, Number(1), 5.0) == Number(2)


def test_a_connection_that_fell_silent_is_replaced():
    # A connection goes silent without a reset, and new ones work: the call that ran
    # into it fails after its timeout, the next one must not wait on it again.
    silent = []

    def serve(connection, peer):
        silent.append(connection)
        gevent.sleep(30)

    server = StreamServer(("127.0.0.1", 0), serve)
    server.start()
    channel = FramedChannel(Address(*server.address))
    for _ in range(2):
        with pytest.raises(RpcError, match="no answer"):
            channel.call(DOUBLE, Number(1), 0.1)
    gevent.sleep(0)
    assert len(silent) == 2
    channel.close()
    server.stop(timeout=0)


def test_a_peer_that_is_not_there_is_named():
    channel = FramedChannel(Address("127.0.0.1", 1))
    with pytest.raises(RpcError, match="127.0.0.1:1"):
        channel.call(DOUBLE, Number(1), 1.0)
