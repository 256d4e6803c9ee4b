"""The WSGI server handles a call only while its client waits for the reply."""

import pytest
from gevent import socket

from ibisshunt.components.web import WebReply
from ibisshunt.components.web.wsgi import start_wsgi_server
from ibisshunt.model.address import Address

REQUEST = b"POST /order HTTP/1.1\r\nHost: c\r\nContent-Length: 2\r\n\r\n{}"


@pytest.fixture
def server_and_paths():
    """Return the address of a server and the paths of the requests it has handled."""
    paths = []

    def handle(request):
        paths.append(request.path)
        return WebReply("200 OK")

    server = start_wsgi_server(Address("127.0.0.1", 0), handle)
    yield ("127.0.0.1", server.server_port), paths
    server.stop(timeout=0)


def connect(address):
    connection = socket.create_connection(address, timeout=5)
    connection.sendall(REQUEST)
    return connection


def test_a_call_is_answered_while_its_client_waits(server_and_paths):
    address, paths = server_and_paths
    connection = connect(address)
    assert connection.recv(64).startswith(b"HTTP/1.1 200")
    connection.close()
    assert paths == ["/order"]


def test_a_call_whose_client_has_disconnected_is_not_handled(server_and_paths):
    # Guards against an outdated call that a host handles when it resumes after being
    # suspended, although the operator has since made the opposite change through
    # another host.
    address, paths = server_and_paths
    connect(address).close()
    connection = connect(address)
    connection.recv(64)
    connection.close()
    assert paths == ["/order"]
