"""Call methods of other processes over TCP, for hosts too small to run gRPC.

A frame is a length of four bytes and a MessagePack body. Calls on one connection run
concurrently.
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
CONNECT_TIMEOUT_SECONDS = 1.0
# Closes connections whose peer became unreachable without a reset, as in a partition.
USER_TIMEOUT_MILLISECONDS = 2_000


class _Request(msgspec.Struct, array_like=True):
    request_id: int
    method: str
    body: msgspec.Raw


class _Reply(msgspec.Struct, array_like=True):
    request_id: int
    error: str
    body: bytes


_REQUEST_DECODER = msgspec.msgpack.Decoder(_Request)
_REPLY_DECODER = msgspec.msgpack.Decoder(_Reply)


class FramedChannel:
    """Call methods of one process over a connection that the first call opens."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self._socket: Any = None
        self._reader: Any = None
        self._last_request_id = 0
        self._pending: dict[int, AsyncResult] = {}

    def call(
        self,
        method: Method,
        request: Any,
        timeout: float = RPC_TIMEOUT_SECONDS,
        metadata: tuple[tuple[str, str], ...] = (),
    ) -> Any:
        """Send a request and return the reply.

        Raise RpcError if the call fails or gets no reply within ``timeout`` seconds.
        """
        result: AsyncResult = AsyncResult()
        self._last_request_id += 1
        request_id = self._last_request_id
        body = msgspec.Raw(encode(request))
        try:
            with gevent.Timeout(timeout):
                connection = self._connect()
                self._pending[request_id] = result
                _send(connection, encode(_Request(request_id, method.name, body)))
                reply = result.get()
        except gevent.Timeout as error:
            # The peer may be unreachable without a reset: the next call reconnects.
            self._disconnect("timeout")
            raise self._make_error(method, f"no answer within {timeout} s") from error
        except OSError as error:
            self._disconnect(str(error))
            raise self._make_error(method, str(error)) from error
        finally:
            self._pending.pop(request_id, None)
        if reply.error:
            raise self._make_error(method, reply.error)
        return msgspec.msgpack.decode(reply.body, type=method.reply)

    def close(self) -> None:
        """Close the connection; pending calls fail."""
        self._disconnect("closed")

    def _connect(self) -> Any:
        if self._socket is None:
            socket_address = self.address.as_pair()
            connection = socket.create_connection(
                socket_address, CONNECT_TIMEOUT_SECONDS
            )
            connection.settimeout(None)
            set_socket_timeouts(connection)
            self._socket = connection
            self._reader = gevent.spawn(self._read, connection)
        return self._socket

    def _read(self, connection: Any) -> None:
        try:
            while True:
                reply = _REPLY_DECODER.decode(_receive(connection))
                result = self._pending.get(reply.request_id)
                if result is not None:
                    result.set(reply)
        except (OSError, msgspec.DecodeError) as error:
            if connection is self._socket:
                self._disconnect(str(error))

    def _disconnect(self, reason: str) -> None:
        connection, self._socket = self._socket, None
        if connection is not None:
            connection.close()
        for result in tuple(self._pending.values()):
            if not result.ready():
                result.set_exception(ConnectionError(reason))

    def _make_error(self, method: Method, reason: str) -> RpcError:
        return RpcError(Fault(f"call {method.name}", str(self.address), reason))


class FramedServer:
    """Serve methods at one address."""

    def __init__(
        self, address: Address, handlers: Mapping[Method, Callable[..., Any]]
    ) -> None:
        self._handlers = {
            method.name: (msgspec.msgpack.Decoder(method.request), handler)
            for method, handler in handlers.items()
        }
        self._server = StreamServer(address.as_pair(), self._serve)
        self._connections: set[Any] = set()

    def start(self) -> None:
        """Start accepting connections."""
        self._server.start()

    def stop(self) -> None:
        """Stop the server and close all connections."""
        self._server.stop(timeout=0)
        for connection in tuple(self._connections):
            connection.close()

    def _serve(self, connection: Any, peer: Any) -> None:
        set_socket_timeouts(connection)
        self._connections.add(connection)
        try:
            while True:
                request = _REQUEST_DECODER.decode(_receive(connection))
                gevent.spawn(self._reply, connection, request)
        except (OSError, msgspec.DecodeError):
            # The client reports the error: its calls fail or time out.
            pass
        finally:
            self._connections.discard(connection)
            connection.close()

    def _reply(self, connection: Any, request: _Request) -> None:
        reply = _Reply(request.request_id, *self._run_handler(request))
        with suppress(OSError):
            _send(connection, encode(reply))

    def _run_handler(self, request: _Request) -> tuple[str, bytes]:
        """Return the error and the encoded reply; one of them is empty."""
        method_entry = self._handlers.get(request.method)
        if method_entry is None:
            return f"unknown method {request.method!r}", b""
        decoder, handler = method_entry
        try:
            return "", encode(handler(decoder.decode(request.body), None))
        except msgspec.DecodeError as error:
            return f"unreadable request: {error}", b""


def set_socket_timeouts(connection: Any) -> None:
    """Set the timeouts after which a connection to an unreachable peer breaks."""
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
        raise ConnectionError(f"frame of {size} bytes exceeds {MAX_FRAME_BYTES} bytes")
    return _receive_exactly(connection, size)


def _receive_exactly(connection: Any, size: int) -> bytes:
    chunks = []
    while size:
        chunk = connection.recv(min(size, 65_536))
        if not chunk:
            raise ConnectionError("the peer closed the connection")
        chunks.append(chunk)
        size -= len(chunk)
    return b"".join(chunks)
