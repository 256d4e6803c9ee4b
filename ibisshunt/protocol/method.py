"""Name a method that one process calls in another."""

from dataclasses import dataclass
from typing import Any

SERVICE_NAME = "ibisshunt.v1"


@dataclass(frozen=True, slots=True)
class Method:
    """Name a method and the types of its request and reply."""

    name: str
    request: Any
    reply: Any
    streaming: bool = False

    @property
    def path(self) -> str:
        """Return the path that gRPC uses."""
        return f"/{SERVICE_NAME}/{self.name}"
