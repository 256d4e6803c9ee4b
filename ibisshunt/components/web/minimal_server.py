"""Serve the few short HTTP calls of a host with little CPU and memory.

Importing a complete HTTP library takes 0.15 s at each start on a balancer's host with a
sixth of a core, and 3 MB. Probes and heartbeats need only a request line, a
Content-Length header and a body.
"""

from typing import Any

from gevent import socket
from gevent.server import StreamServer

from ...helpers.prebound_sockets import pop_stream_listener
from ...model.address import Address
from . import TOO_LARGE_REPLY, RequestHandler, WebReply, WebRequest

# Largest header and body of a request.
MAX_HEADER_BYTES = 8 * 1024
MAX_SMALL_BODY_BYTES = 16 * 1024
# A connection that delivers no data for this long is closed.
IDLE_TIMEOUT_SECONDS = 10.0
HEADER_END = b"\r\n\r\n"
BAD_REQUEST_REPLY = WebReply("400 Bad Request")
NOT_IMPLEMENTED_REPLY = WebReply("501 Not Implemented")


def _get_listener(address: Address) -> Any:
    """Return the listener bound before the imports, or the address to listen at."""
    prebound = pop_stream_listener(address.as_pair())
    if prebound is None:
        return address.as_pair()
    return socket.socket(prebound.family, prebound.type, fileno=prebound.detach())


class MinimalHttpServer:
    """Listen at one address and serve its connections."""

    def __init__(self, address: Address, handle: RequestHandler) -> None:
        self._handle = handle
        self._server = StreamServer(_get_listener(address), self._serve_connection)

    def start(self) -> None:
        """Start accepting connections."""
        self._server.start()

    def stop(self) -> None:
        """Stop listening; open connections end with the process."""
        self._server.stop(timeout=0)

    def _serve_connection(self, connection: Any, peer: Any) -> None:
        connection.settimeout(IDLE_TIMEOUT_SECONDS)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        buffer = b""
        try:
            while True:
                buffer, keep_alive = self._serve_request(connection, buffer)
                if not keep_alive:
                    return
        except OSError:
            # The client disconnected or timed out; its next call opens a connection.
            return
        finally:
            connection.close()

    def _serve_request(self, connection: Any, buffer: bytes) -> tuple[bytes, bool]:
        while HEADER_END not in buffer:
            if len(buffer) > MAX_HEADER_BYTES:
                _send_reply(connection, TOO_LARGE_REPLY, False)
                return b"", False
            received = connection.recv(MAX_HEADER_BYTES)
            if not received:
                return b"", False
            buffer += received
        header, _, rest = buffer.partition(HEADER_END)
        parsed = _parse_header(header)
        if isinstance(parsed, WebReply):
            _send_reply(connection, parsed, False)
            return b"", False
        method, path, length, keep_alive = parsed
        while len(rest) < length:
            received = connection.recv(MAX_HEADER_BYTES)
            if not received:
                return b"", False
            rest += received
        reply = self._handle(WebRequest(method, path, rest[:length]))
        _send_reply(connection, reply, keep_alive)
        return rest[length:], keep_alive


def _parse_header(header: bytes) -> tuple[str, str, int, bool] | WebReply:
    """Return method, path, body length in bytes and whether to keep the connection.

    A header that is malformed or not supported returns the error reply instead.
    """
    request_line, *lines = header.decode("latin-1").split("\r\n")
    parts = request_line.split(" ")
    if len(parts) != 3 or not parts[2].startswith("HTTP/1."):
        return BAD_REQUEST_REPLY
    fields = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if not colon:
            return BAD_REQUEST_REPLY
        fields[name.strip().lower()] = value.strip()
    if "transfer-encoding" in fields:
        return NOT_IMPLEMENTED_REPLY
    length = fields.get("content-length", "0")
    if not (length.isascii() and length.isdigit()):
        return BAD_REQUEST_REPLY
    if int(length) > MAX_SMALL_BODY_BYTES:
        return TOO_LARGE_REPLY
    connection = fields.get("connection", "").lower()
    keep_alive = parts[2] == "HTTP/1.1" and connection != "close"
    return parts[0], parts[1].partition("?")[0], int(length), keep_alive


def _send_reply(connection: Any, reply: WebReply, keep_alive: bool) -> None:
    connection_field = "" if keep_alive else "Connection: close\r\n"
    header = (
        f"HTTP/1.1 {reply.status}\r\nContent-Type: {reply.content_type}\r\n"
        f"Content-Length: {len(reply.body)}\r\n{connection_field}\r\n"
    )
    connection.sendall(header.encode("latin-1") + reply.body)
