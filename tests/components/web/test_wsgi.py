"""A control host carries out calls only while their callers wait for the answer."""

import pytest
from gevent import socket

from ibisshunt.components.web import WebReply
from ibisshunt.components.web.wsgi import serve
from ibisshunt.model.address import Address

REQUEST = b"POST /order HTTP/1.1\r\nHost: c\r\nContent-Length: 2\r\n\r\n{}"


@pytest.fixture
def served():
    """Return the address of a server and the paths that it has handled."""
    paths = []

    def handle(request):
        paths.append(request.path)
        return WebReply("200 OK")

    server = serve(Address("127.0.0.1", 0), handle)
    yield ("127.0.0.1", server.server_port), paths
    server.stop(timeout=0)


def connect(address):
    found = socket.create_connection(address, timeout=5)
    found.sendall(REQUEST)
    return found


def test_a_call_is_answered_while_its_caller_waits(served):
    address, paths = served
    connection = connect(address)
    assert connection.recv(64).startswith(b"HTTP/1.1 200")
    connection.close()
    assert paths == ["/order"]


def test_a_call_whose_caller_has_left_is_not_carried_out(served):
    # Guards against an old order that a suspended host carries out when it wakes up,
    # after the operator has given the opposite order to another host.
    address, paths = served
    connect(address).close()
    connection = connect(address)
    connection.recv(64)
    connection.close()
    assert paths == ["/order"]
