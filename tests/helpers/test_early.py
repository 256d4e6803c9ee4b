"""Sockets that are open before a program is loaded."""

import socket

from ibisshunt.components.web import WebReply
from ibisshunt.components.web.small import SmallServer
from ibisshunt.helpers import early
from ibisshunt.helpers.datagrams import DatagramSocket
from ibisshunt.model.address import Address

HOST = "127.7.5.1"


def find_free(kind):
    """Return an address that nobody uses."""
    with socket.socket(socket.AF_INET, kind) as found:
        found.bind((HOST, 0))
        return found.getsockname()


def test_a_datagram_that_comes_during_the_imports_is_read_afterwards():
    # A caller's packet reaches a balancer that is still loading. At a closed port it is
    # lost, and its repeat comes 0.2-0.8 s later.
    pair = find_free(socket.SOCK_DGRAM)
    early.open_datagram(pair)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as caller:
        caller.sendto(b"early", pair)
    opened = DatagramSocket(Address(*pair))
    assert opened._socket.recv(100) == b"early"
    assert early.take_datagram(pair) is None
    opened.close()


def test_a_heartbeat_that_comes_during_the_imports_is_answered_afterwards():
    # A target's heartbeat reaches an agent that is still loading. Refused, it comes
    # again 0.2 s later, and its slots stand empty meanwhile.
    pair = find_free(socket.SOCK_STREAM)
    early.open_stream(pair)
    with socket.create_connection(pair, timeout=10) as caller:
        caller.sendall(b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n")
        server = SmallServer(Address(*pair), lambda request: WebReply("200 OK"))
        server.start()
        assert caller.recv(100).startswith(b"HTTP/1.1 200 OK")
        server.stop()


def test_an_address_in_use_is_left_to_its_user():
    # The address cannot be bound: the program itself tells of it later.
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
        other.bind((HOST, 0))
        early.open_datagram(other.getsockname())
        assert early.take_datagram(other.getsockname()) is None
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as other:
        other.bind((HOST, 0))
        other.listen(1)
        early.open_stream(other.getsockname())
        assert early.take_stream(other.getsockname()) is None
