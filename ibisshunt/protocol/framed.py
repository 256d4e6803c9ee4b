"""Call methods of other processes over plain TCP, for hosts that gRPC is too dear for.

A frame is four bytes of length and a MessagePack body. Calls of one connection do not
wait for each other.
"""

import struct
from collections.abc import Callable, Mapping
from contextlib import suppress
from typing import Any

import gevent
import msgspec
from gevent import socket
from gevent.event import AsyncResult
from gevent.server import StreamServer

from ..const import RPC_TIMEOUT_SECONDS
from ..exceptions import Fault, RpcError
from ..model.address import Address
from .codec import encode
from .method import Method

_LENGTH = struct.Struct(">I")
MAX_FRAME_BYTES = 16 * 1024 * 1024
CONNECT_SECONDS = 1.0
# A connection may fall silent for good without a reset.
USER_TIMEOUT_MILLISECONDS = 2_000


class _Request(msgspec.Struct, array_like=True):
    ticket: int
    method: str
    body: msgspec.Raw


class _Reply(msgspec.Struct, array_like=True):
    ticket: int
    error: str
    body: bytes


_REQUESTS = msgspec.msgpack.Decoder(_Request)
_REPLIES = msgspec.msgpack.Decoder(_Reply)


class FramedChannel:
    """Own one connection to another process, made when it is needed."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self._socket: Any = None
        self._reader: Any = None
        self._tickets = 0
        self._waiting: dict[int, AsyncResult] = {}

    def call(
        self,
        method: Method,
        request: Any,
        timeout: float = RPC_TIMEOUT_SECONDS,
        metadata: tuple[tuple[str, str], ...] = (),
    ) -> Any:
        """Send a request and return the reply; raise RpcError after ``timeout`` s."""
        result: AsyncResult = AsyncResult()
        self._tickets += 1
        ticket = self._tickets
        body = msgspec.Raw(encode(request))
        try:
            with gevent.Timeout(timeout):
                connection = self._connect()
                self._waiting[ticket] = result
                _send(connection, encode(_Request(ticket, method.name, body)))
                reply = result.get()
        except gevent.Timeout as error:
            # The connection may be one that fell silent: the next call makes another.
            self._drop("timeout")
            raise self._explain(method, f"no answer within {timeout} s") from error
        except OSError as error:
            self._drop(str(error))
            raise self._explain(method, str(error)) from error
        finally:
            self._waiting.pop(ticket, None)
        if reply.error:
            raise self._explain(method, reply.error)
        return msgspec.msgpack.decode(reply.body, type=method.reply)

    def close(self) -> None:
        """Close the connection; calls in progress fail."""
        self._drop("closed")

    def _connect(self) -> Any:
        if self._socket is None:
            pair = self.address.as_pair()
            connection = socket.create_connection(pair, CONNECT_SECONDS)
            connection.settimeout(None)
            set_socket_timeouts(connection)
            self._socket = connection
            self._reader = gevent.spawn(self._read, connection)
        return self._socket

    def _read(self, connection: Any) -> None:
        try:
            while True:
                reply = _REPLIES.decode(_receive(connection))
                waiting = self._waiting.get(reply.ticket)
                if waiting is not None:
                    waiting.set(reply)
        except (OSError, msgspec.DecodeError) as error:
            if connection is self._socket:
                self._drop(str(error))

    def _drop(self, reason: str) -> None:
        connection, self._socket = self._socket, None
        if connection is not None:
            connection.close()
        for waiting in tuple(self._waiting.values()):
            if not waiting.ready():
                waiting.set_exception(ConnectionError(reason))

    def _explain(self, method: Method, reason: str) -> RpcError:
        return RpcError(Fault(f"call {method.name}", str(self.address), reason))


class FramedServer:
    """Serve methods at one address."""

    def __init__(
        self, address: Address, handlers: Mapping[Method, Callable[..., Any]]
    ) -> None:
        self._handlers = {
            method.name: (msgspec.msgpack.Decoder(method.request), run)
            for method, run in handlers.items()
        }
        self._server = StreamServer(address.as_pair(), self._serve)
        self._connections: set[Any] = set()

    def start(self) -> None:
        """Begin to serve."""
        self._server.start()

    def stop(self) -> None:
        """Stop and close all connections."""
        self._server.stop(timeout=0)
        for connection in tuple(self._connections):
            connection.close()

    def _serve(self, connection: Any, peer: Any) -> None:
        set_socket_timeouts(connection)
        self._connections.add(connection)
        try:
            while True:
                request = _REQUESTS.decode(_receive(connection))
                gevent.spawn(self._answer, connection, request)
        except (OSError, msgspec.DecodeError):
            # The caller's call fails or times out and is counted there.
            pass
        finally:
            self._connections.discard(connection)
            connection.close()

    def _answer(self, connection: Any, request: _Request) -> None:
        reply = _Reply(request.ticket, *self._run(request))
        with suppress(OSError):
            _send(connection, encode(reply))

    def _run(self, request: _Request) -> tuple[str, bytes]:
        found = self._handlers.get(request.method)
        if found is None:
            return f"unknown method {request.method!r}", b""
        decoder, run = found
        try:
            return "", encode(run(decoder.decode(request.body), None))
        except msgspec.DecodeError as error:
            return f"unreadable request: {error}", b""


def set_socket_timeouts(connection: Any) -> None:
    """Let a connection that fell silent break instead of hanging for ever."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    for option, value in (
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLISECONDS),
        (socket.TCP_KEEPIDLE, 1),
        (socket.TCP_KEEPINTVL, 1),
        (socket.TCP_KEEPCNT, 2),
    ):
        connection.setsockopt(socket.IPPROTO_TCP, option, value)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)


def _send(connection: Any, body: bytes) -> None:
    connection.sendall(_LENGTH.pack(len(body)) + body)


def _receive(connection: Any) -> bytes:
    (size,) = _LENGTH.unpack(_receive_exactly(connection, _LENGTH.size))
    if size > MAX_FRAME_BYTES:
        raise ConnectionError(f"a frame of {size} bytes, at most {MAX_FRAME_BYTES}")
    return _receive_exactly(connection, size)


def _receive_exactly(connection: Any, size: int) -> bytes:
    parts = []
    while size:
        part = connection.recv(min(size, 65_536))
        if not part:
            raise ConnectionError("the peer closed the connection")
        parts.append(part)
        size -= len(part)
    return b"".join(parts)
