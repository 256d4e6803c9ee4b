"""The minimal HTTP server handles complete requests and rejects malformed ones."""

import pytest
from gevent import socket

from ibisshunt.components.web import WebReply
from ibisshunt.components.web.minimal_server import MAX_HEADER_BYTES, MinimalHttpServer
from ibisshunt.model.address import Address


@pytest.fixture
def server_and_requests():
    requests = []

    def handle(request):
        requests.append(request)
        return WebReply("200 OK", request.body or b"{}")

    server = MinimalHttpServer(Address("127.0.0.1", 0), handle)
    server.start()
    yield server._server.address, requests
    server.stop()


def exchange(address, *parts):
    """Send parts over one connection; return all bytes received until it is closed."""
    connection = socket.create_connection(address, timeout=5)
    for part in parts:
        connection.sendall(part)
    received = b""
    while part := connection.recv(4096):
        received += part
    connection.close()
    return received


def test_requests_of_one_connection_are_answered_in_order(server_and_requests):
    address, requests = server_and_requests
    first = b"POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nhe"
    second = b"lloGET /b?x=1 HTTP/1.1\r\nConnection: close\r\n\r\n"
    received = exchange(address, first, second)
    assert received.count(b"HTTP/1.1 200 OK") == 2
    assert b"hello" in received
    assert [(request.method, request.path) for request in requests] == [
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
        (b"x" * (MAX_HEADER_BYTES + 2), b"413"),
    ],
)
def test_a_malformed_request_is_rejected_and_not_handled(
    server_and_requests, request_bytes, status
):
    address, requests = server_and_requests
    assert exchange(address, request_bytes).startswith(b"HTTP/1.1 " + status)
    assert not requests


def test_a_request_that_its_client_aborts_is_not_handled(server_and_requests):
    address, requests = server_and_requests
    connection = socket.create_connection(address, timeout=5)
    connection.sendall(b"POST / HTTP/1.1\r\nContent-Length: 50\r\n\r\nhalf")
    connection.close()
    last_request = b"GET /b HTTP/1.1\r\nConnection: close\r\n\r\n"
    assert b"200 OK" in exchange(address, last_request)
    assert [request.path for request in requests] == ["/b"]
