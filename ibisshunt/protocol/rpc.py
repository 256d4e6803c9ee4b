"""Call methods of other processes over gRPC, with typed messages."""

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

# How long a connection may bring nothing before its peer is asked for a sign of life,
# and how long that may take: together below a lease, so that a node whose connection
# went silent has a new one before its lease ends.
KEEPALIVE_SECONDS = LEASE_SECONDS / 2
KEEPALIVE_TIMEOUT_SECONDS = LEASE_SECONDS / 3

# How long an attempt to connect may take: a dark host is left for the next one before a
# lease ends.
CONNECT_SECONDS = HEARTBEAT_SECONDS / 2

CHANNEL_OPTIONS = (
    ("grpc.max_receive_message_length", 64 * 1024 * 1024),
    ("grpc.max_send_message_length", 64 * 1024 * 1024),
    ("grpc.enable_retries", 0),
    ("grpc.enable_http_proxy", 0),
    ("grpc.initial_reconnect_backoff_ms", 100),
    # In spite of its name the time that each attempt gets. With 0.1 s a peer whose
    # handshake took longer could not be reached at all ("tcp handshaker shutdown").
    ("grpc.min_reconnect_backoff_ms", int(1000 * CONNECT_SECONDS)),
    ("grpc.max_reconnect_backoff_ms", 2000),
    # Two programs must not share one port: half of the calls would go astray.
    ("grpc.so_reuseport", 0),
    # A connection may fall silent for good without a reset, behind a partition or a
    # host that lost its power: a stream would wait for its next reply for ever, and
    # each call would run into its timeout. A ping that stays unanswered ends the
    # connection, and the next call opens another. No limit on pings: the usual one of
    # the library closes connections that are only asked for a sign of life.
    ("grpc.keepalive_time_ms", int(1000 * KEEPALIVE_SECONDS)),
    ("grpc.keepalive_timeout_ms", int(1000 * KEEPALIVE_TIMEOUT_SECONDS)),
    # The same for the library's own pings: one that was under way when the connection
    # fell silent stands for the sign of life, and had a minute.
    ("grpc.http2.ping_timeout_ms", int(1000 * KEEPALIVE_TIMEOUT_SECONDS)),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.http2.max_ping_strikes", 0),
)


class Channel:
    """Hold one connection to another process."""

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
        """Send a request and return the reply; raise RpcError after ``timeout`` s."""
        invoke = self._channel.unary_unary(
            method.path,
            request_serializer=encode,
            response_deserializer=_make_decoder(method.reply),
        )
        try:
            return invoke(request, timeout=timeout, metadata=metadata)
        except grpc.RpcError as error:
            raise self._explain(method, error) from error

    def stream(
        self,
        method: Method,
        request: Any,
        metadata: tuple[tuple[str, str], ...] = (),
    ) -> "Stream":
        """Start a stream of replies."""
        invoke = self._channel.unary_stream(
            method.path,
            request_serializer=encode,
            response_deserializer=_make_decoder(method.reply),
        )
        replies = invoke(request, metadata=metadata)
        return Stream(replies, lambda error: self._explain(method, error))

    def close(self) -> None:
        """Close the connection; calls in progress fail.

        Only the task that owns the connection may close it, and no task that waits
        in a call may be killed: either leaves gRPC waiting for itself for ever.
        """
        self._channel.close()

    def _explain(self, method: Method, error: grpc.RpcError) -> RpcError:
        code = error.code().name if hasattr(error, "code") else "UNKNOWN"
        details = error.details() if hasattr(error, "details") else str(error)
        reason = f"{code}: {details}"
        return RpcError(Fault(f"call {method.name}", str(self.address), reason))


class Stream:
    """Yield the replies of one streaming call."""

    def __init__(
        self, replies: Any, explain: Callable[[grpc.RpcError], RpcError]
    ) -> None:
        self._replies = replies
        self._explain = explain

    def __iter__(self) -> "Stream":
        """Return the stream itself."""
        return self

    def __next__(self) -> Any:
        """Return the next reply; raise RpcError when the stream breaks."""
        try:
            return next(self._replies)
        except grpc.RpcError as error:
            raise self._explain(error) from error

    def close(self) -> None:
        """End the stream; whoever waits for its next reply gets an RpcError."""
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
        methods = {method.name: _bind(method, run) for method, run in handlers.items()}
        handler = grpc.method_handlers_generic_handler(SERVICE_NAME, methods)
        self._server.add_generic_rpc_handlers((handler,))
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
        """Begin to serve."""
        self._server.start()

    def stop(self, grace: float = 1.0) -> None:
        """Refuse new calls and wait up to ``grace`` seconds for those in progress."""
        self._server.stop(grace).wait()


def _make_decoder(kind: Any) -> Callable[[bytes], Any]:
    return msgspec.msgpack.Decoder(kind).decode


def _bind(method: Method, run: Callable[..., Any]) -> grpc.RpcMethodHandler:
    make = (
        grpc.unary_stream_rpc_method_handler
        if method.streaming
        else grpc.unary_unary_rpc_method_handler
    )
    return make(
        run,
        request_deserializer=_make_decoder(method.request),
        response_serializer=encode,
    )
