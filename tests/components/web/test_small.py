"""The small HTTP server answers whole requests and refuses what it cannot read."""

import pytest
from gevent import socket

from ibisshunt.components.web import WebReply
from ibisshunt.components.web.small import MAX_HEAD_BYTES, SmallServer
from ibisshunt.model.address import Address


@pytest.fixture
def served():
    seen = []

    def handle(request):
        seen.append(request)
        return WebReply("200 OK", request.body or b"{}")

    server = SmallServer(Address("127.0.0.1", 0), handle)
    server.start()
    yield server._server.address, seen
    server.stop()


def exchange(address, *parts):
    """Send parts over one connection; return all that comes until it is closed."""
    connection = socket.create_connection(address, timeout=5)
    for part in parts:
        connection.sendall(part)
    found = b""
    while part := connection.recv(4096):
        found += part
    connection.close()
    return found


def test_requests_of_one_connection_are_answered_in_order(served):
    address, seen = served
    first = b"POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nhe"
    second = b"lloGET /b?x=1 HTTP/1.1\r\nConnection: close\r\n\r\n"
    found = exchange(address, first, second)
    assert found.count(b"HTTP/1.1 200 OK") == 2
    assert b"hello" in found
    assert [(seen.method, seen.path) for seen in seen] == [
        ("POST", "/a"),
        ("GET", "/b"),
    ]


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nno colon\r\n\r\n", b"400"),
        (b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", b"400"),
        (b"POST / HTTP/1.1\r\nContent-Length: 999999\r\n\r\n", b"413"),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", b"501"),
        (b"x" * (MAX_HEAD_BYTES + 2), b"413"),
    ],
)
def test_what_cannot_be_read_is_refused_and_runs_nothing(served, request_bytes, status):
    address, seen = served
    assert exchange(address, request_bytes).startswith(b"HTTP/1.1 " + status)
    assert not seen


def test_a_caller_that_leaves_in_the_middle_runs_nothing(served):
    address, seen = served
    connection = socket.create_connection(address, timeout=5)
    connection.sendall(b"POST / HTTP/1.1\r\nContent-Length: 50\r\n\r\nhalf")
    connection.close()
    ending = b"GET /b HTTP/1.1\r\nConnection: close\r\n\r\n"
    assert b"200 OK" in exchange(address, ending)
    assert [found.path for found in seen] == ["/b"]
