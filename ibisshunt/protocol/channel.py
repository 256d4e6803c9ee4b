"""Define the interface of a connection for remote procedure calls."""

from typing import Any, Protocol

from .method import Method


class RpcChannel(Protocol):
    """Call methods of one process; implemented over gRPC and over framed TCP."""

    def call(
        self,
        method: Method,
        request: Any,
        timeout: float = ...,
        metadata: tuple[tuple[str, str], ...] = (),
    ) -> Any:
        """Send a request and return the reply.

        Raise RpcError if the call fails or gets no reply within ``timeout`` seconds.
        """
        ...

    def close(self) -> None:
        """Close the connection; pending calls fail."""
        ...
