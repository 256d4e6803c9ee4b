"""Data that arrives while a program is being imported is not lost."""

import socket

from ibisshunt.components.web import WebReply
from ibisshunt.components.web.minimal_server import MinimalHttpServer
from ibisshunt.helpers import prebound_sockets
from ibisshunt.helpers.datagrams import DatagramSocket
from ibisshunt.model.address import Address

HOST = "127.7.5.1"


def find_free_address(kind):
    """Return an address that is not in use."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()


def test_a_datagram_received_during_the_imports_is_read_afterwards():
    # A caller's packet reaches a balancer that is still starting. At an unbound port it
    # would be lost, and the caller retransmits it only 0.2-0.8 s later.
    address = find_free_address(socket.SOCK_DGRAM)
    prebound_sockets.bind_datagram_socket(address)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as caller:
        caller.sendto(b"early", address)
    receiver = DatagramSocket(Address(*address))
    assert receiver._socket.recv(100) == b"early"
    assert prebound_sockets.pop_datagram_socket(address) is None
    receiver.close()


def test_a_heartbeat_received_during_the_imports_is_answered_afterwards():
    # A target's heartbeat reaches an agent that is still starting. If it is refused,
    # the target retries 0.2 s later, and its slots stay unused until then.
    address = find_free_address(socket.SOCK_STREAM)
    prebound_sockets.bind_stream_listener(address)
    with socket.create_connection(address, timeout=10) as target:
        target.sendall(b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n")
        server = MinimalHttpServer(
            Address(*address), lambda request: WebReply("200 OK")
        )
        server.start()
        assert target.recv(100).startswith(b"HTTP/1.1 200 OK")
        server.stop()


def test_an_address_in_use_is_left_to_its_user():
    # The program reports the error when it binds the address itself.
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
        other.bind((HOST, 0))
        prebound_sockets.bind_datagram_socket(other.getsockname())
        assert prebound_sockets.pop_datagram_socket(other.getsockname()) is None
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as other:
        other.bind((HOST, 0))
        other.listen(1)
        prebound_sockets.bind_stream_listener(other.getsockname())
        assert prebound_sockets.pop_stream_listener(other.getsockname()) is None
