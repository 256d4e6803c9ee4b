"""Describe a connection over which methods of another process are called."""

from typing import Any, Protocol

from .method import Method


class Caller(Protocol):
    """Call methods of one other process; gRPC and the framed transport both can."""

    def call(
        self,
        method: Method,
        request: Any,
        timeout: float = ...,
        metadata: tuple[tuple[str, str], ...] = (),
    ) -> Any:
        """Send a request and return the reply; raise RpcError after ``timeout`` s."""
        ...

    def close(self) -> None:
        """Close the connection; calls in progress fail."""
        ...
