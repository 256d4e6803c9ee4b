"""Define remote methods."""

from dataclasses import dataclass
from typing import Any

SERVICE_NAME = "ibisshunt.v1"


@dataclass(frozen=True, slots=True)
class Method:
    """A remote method: its name and the types of its request and reply.

    A ``streaming`` method returns any number of replies.
    """

    name: str
    request: Any
    reply: Any
    streaming: bool = False

    @property
    def path(self) -> str:
        """Return the path of the method in gRPC."""
        return f"/{SERVICE_NAME}/{self.name}"
