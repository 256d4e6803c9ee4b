"""Call methods of other processes over gRPC."""

from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import grpc
import msgspec

from ..const import HEARTBEAT_SECONDS, LEASE_SECONDS, RPC_TIMEOUT_SECONDS
from ..exceptions import Fault, RpcError
from ..model.address import Address
from .codec import encode
from .method import SERVICE_NAME, Method

# A connection that has received nothing for KEEPALIVE_SECONDS sends a ping, which has
# to be answered within KEEPALIVE_TIMEOUT_SECONDS. Together they are shorter than a
# lease, so that a node reconnects before its lease expires.
KEEPALIVE_SECONDS = LEASE_SECONDS / 2
KEEPALIVE_TIMEOUT_SECONDS = LEASE_SECONDS / 3

# Short enough that a node tries another control host before its lease expires if the
# first one is unreachable.
CONNECT_TIMEOUT_SECONDS = HEARTBEAT_SECONDS / 2

CHANNEL_OPTIONS = (
    ("grpc.max_receive_message_length", 64 * 1024 * 1024),
    ("grpc.max_send_message_length", 64 * 1024 * 1024),
    ("grpc.enable_retries", 0),
    ("grpc.enable_http_proxy", 0),
    ("grpc.initial_reconnect_backoff_ms", 100),
    # Despite its name this is the timeout of each connection attempt. With 0.1 s, peers
    # with a slower handshake were unreachable ("tcp handshaker shutdown").
    ("grpc.min_reconnect_backoff_ms", int(1000 * CONNECT_TIMEOUT_SECONDS)),
    ("grpc.max_reconnect_backoff_ms", 2000),
    # Two processes must not share a port: the kernel would route half of the
    # connections to the wrong process.
    ("grpc.so_reuseport", 0),
    # After a network partition or a power loss a connection may stay open without a
    # reset: a stream would wait forever for its next reply, and each call would time
    # out. An unanswered ping closes the connection, and the next call opens another.
    # Pings are not limited: gRPC's default limit closes connections that carry only
    # pings.
    ("grpc.keepalive_time_ms", int(1000 * KEEPALIVE_SECONDS)),
    ("grpc.keepalive_timeout_ms", int(1000 * KEEPALIVE_TIMEOUT_SECONDS)),
    # The timeout of gRPC's other pings, a minute by default. If one of them is pending
    # when the peer becomes unreachable, no keepalive ping is sent.
    ("grpc.http2.ping_timeout_ms", int(1000 * KEEPALIVE_TIMEOUT_SECONDS)),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.http2.max_ping_strikes", 0),
)


class Channel:
    """Call methods of one process over a dedicated connection."""

    def __init__(
        self, address: Address, credentials: grpc.ChannelCredentials | None = None
    ) -> None:
        self.address = address
        target = str(address)
        if credentials is None:
            self._channel = grpc.insecure_channel(target, CHANNEL_OPTIONS)
        else:
            self._channel = grpc.secure_channel(target, credentials, CHANNEL_OPTIONS)

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
        invoke = self._channel.unary_unary(
            method.path,
            request_serializer=encode,
            response_deserializer=_make_decoder(method.reply),
        )
        try:
            return invoke(request, timeout=timeout, metadata=metadata)
        except grpc.RpcError as error:
            raise self._make_error(method, error) from error

    def stream(
        self,
        method: Method,
        request: Any,
        metadata: tuple[tuple[str, str], ...] = (),
    ) -> "Stream":
        """Call a streaming method and return its replies."""
        invoke = self._channel.unary_stream(
            method.path,
            request_serializer=encode,
            response_deserializer=_make_decoder(method.reply),
        )
        replies = invoke(request, metadata=metadata)
        return Stream(replies, lambda error: self._make_error(method, error))

    def close(self) -> None:
        """Close the connection; pending calls fail.

        Call this only from the task that created the channel, and never kill a task
        that waits in a call: in both cases gRPC deadlocks.
        """
        self._channel.close()

    def _make_error(self, method: Method, error: grpc.RpcError) -> RpcError:
        code = error.code().name if hasattr(error, "code") else "UNKNOWN"
        details = error.details() if hasattr(error, "details") else str(error)
        reason = f"{code}: {details}"
        return RpcError(Fault(f"call {method.name}", str(self.address), reason))


class Stream:
    """Iterator over the replies of one streaming call."""

    def __init__(
        self, replies: Any, make_error: Callable[[grpc.RpcError], RpcError]
    ) -> None:
        self._replies = replies
        self._make_error = make_error

    def __iter__(self) -> "Stream":
        """Return the stream itself."""
        return self

    def __next__(self) -> Any:
        """Return the next reply; raise RpcError if the stream breaks."""
        try:
            return next(self._replies)
        except grpc.RpcError as error:
            raise self._make_error(error) from error

    def close(self) -> None:
        """Cancel the call; a task that waits for the next reply gets an RpcError."""
        self._replies.cancel()


class Server:
    """Serve methods at one address."""

    def __init__(
        self,
        address: Address,
        handlers: Mapping[Method, Callable[..., Any]],
        workers: int = 512,
        credentials: grpc.ServerCredentials | None = None,
    ) -> None:
        pool = ThreadPoolExecutor(max_workers=workers)
        self._server = grpc.server(pool, options=CHANNEL_OPTIONS)
        methods = {
            method.name: _make_method_handler(method, handler)
            for method, handler in handlers.items()
        }
        generic_handler = grpc.method_handlers_generic_handler(SERVICE_NAME, methods)
        self._server.add_generic_rpc_handlers((generic_handler,))
        self.address = self._bind_port(address, credentials)

    def _bind_port(
        self, address: Address, credentials: grpc.ServerCredentials | None
    ) -> Address:
        try:
            if credentials is None:
                port = self._server.add_insecure_port(str(address))
            else:
                port = self._server.add_secure_port(str(address), credentials)
        except RuntimeError as error:
            fault = Fault("bind rpc server", str(address), str(error))
            raise RpcError(fault) from error
        return Address(address.ip, port)

    def start(self) -> None:
        """Start accepting calls."""
        self._server.start()

    def stop(self, grace: float = 1.0) -> None:
        """Reject new calls and wait up to ``grace`` seconds for pending ones."""
        self._server.stop(grace).wait()


def _make_decoder(kind: Any) -> Callable[[bytes], Any]:
    return msgspec.msgpack.Decoder(kind).decode


def _make_method_handler(
    method: Method, handler: Callable[..., Any]
) -> grpc.RpcMethodHandler:
    make_handler = (
        grpc.unary_stream_rpc_method_handler
        if method.streaming
        else grpc.unary_unary_rpc_method_handler
    )
    return make_handler(
        handler,
        request_deserializer=_make_decoder(method.request),
        response_serializer=encode,
    )
