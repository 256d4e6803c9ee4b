"""Serve the few short HTTP calls of a thin host.

The import of a whole HTTP library takes an entry host with a sixth of a core 0.15 s at
each start, and 3 MB. Probes and heartbeats need a line, a length and a body.
"""

from typing import Any

from gevent import socket
from gevent.server import StreamServer

from ...helpers.early import take_stream
from ...model.address import Address
from . import TOO_LARGE, Handle, WebReply, WebRequest

# Limits of one request.
MAX_HEAD_BYTES = 8 * 1024
MAX_SMALL_BODY_BYTES = 16 * 1024
# A connection without a whole request for this long is closed.
IDLE_SECONDS = 10.0
HEAD_END = b"\r\n\r\n"
BAD_REQUEST = WebReply("400 Bad Request")
NOT_TAKEN = WebReply("501 Not Implemented")


def _find_listener(address: Address) -> Any:
    """Return the listener that was opened early, or the address to listen at."""
    early = take_stream(address.as_pair())
    if early is None:
        return address.as_pair()
    return socket.socket(early.family, early.type, fileno=early.detach())


class SmallServer:
    """Own the listener and the connections of one address."""

    def __init__(self, address: Address, handle: Handle) -> None:
        self._handle = handle
        self._server = StreamServer(_find_listener(address), self._serve)

    def start(self) -> None:
        """Begin to serve."""
        self._server.start()

    def stop(self) -> None:
        """Stop listening; connections end with the process."""
        self._server.stop(timeout=0)

    def _serve(self, connection: Any, peer: Any) -> None:
        connection.settimeout(IDLE_SECONDS)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        buffer = b""
        try:
            while True:
                buffer, keep = self._serve_one(connection, buffer)
                if not keep:
                    return
        except OSError:
            # The caller went away or fell silent; its next call makes a connection.
            return
        finally:
            connection.close()

    def _serve_one(self, connection: Any, buffer: bytes) -> tuple[bytes, bool]:
        while HEAD_END not in buffer:
            if len(buffer) > MAX_HEAD_BYTES:
                _reply(connection, TOO_LARGE, False)
                return b"", False
            part = connection.recv(MAX_HEAD_BYTES)
            if not part:
                return b"", False
            buffer += part
        head, _, rest = buffer.partition(HEAD_END)
        parsed = _parse_head(head)
        if isinstance(parsed, WebReply):
            _reply(connection, parsed, False)
            return b"", False
        method, path, length, keep = parsed
        while len(rest) < length:
            part = connection.recv(MAX_HEAD_BYTES)
            if not part:
                return b"", False
            rest += part
        reply = self._handle(WebRequest(method, path, rest[:length]))
        _reply(connection, reply, keep)
        return rest[length:], keep


def _parse_head(head: bytes) -> tuple[str, str, int, bool] | WebReply:
    """Return method, path, length of the body and whether to keep the connection."""
    first, *lines = head.decode("latin-1").split("\r\n")
    words = first.split(" ")
    if len(words) != 3 or not words[2].startswith("HTTP/1."):
        return BAD_REQUEST
    fields = {}
    for line in lines:
        name, colon, found = line.partition(":")
        if not colon:
            return BAD_REQUEST
        fields[name.strip().lower()] = found.strip()
    if "transfer-encoding" in fields:
        return NOT_TAKEN
    length = fields.get("content-length", "0")
    if not (length.isascii() and length.isdigit()):
        return BAD_REQUEST
    if int(length) > MAX_SMALL_BODY_BYTES:
        return TOO_LARGE
    wish = fields.get("connection", "").lower()
    keep = words[2] == "HTTP/1.1" and wish != "close"
    return words[0], words[1].partition("?")[0], int(length), keep


def _reply(connection: Any, reply: WebReply, keep: bool) -> None:
    ending = "" if keep else "Connection: close\r\n"
    head = (
        f"HTTP/1.1 {reply.status}\r\nContent-Type: {reply.kind}\r\n"
        f"Content-Length: {len(reply.body)}\r\n{ending}\r\n"
    )
    connection.sendall(head.encode("latin-1") + reply.body)
