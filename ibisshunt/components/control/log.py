"""Define the replicated log interface for the handlers of a control host."""

from typing import Protocol

from returns.result import Result

from ...exceptions import Fault
from ...model.address import Address


class Log(Protocol):
    """Replicate commands in one order over all control hosts."""

    def propose(self, command: bytes, timeout: float) -> Result[bytes, Fault]:
        """Return the state machine's reply once the command is applied."""
        ...

    def read_barrier(self, timeout: float) -> Result[int, Fault]:
        """Return once this host has applied all commands accepted before the call."""
        ...

    def get_leader_name(self) -> str:
        """Return the name of the leader, or "" if none is known."""
        ...

    def find_leader_address(self) -> Address | None:
        """Return the RPC address of the leader, or None if none is known."""
        ...

    def is_leading(self) -> bool:
        """Return whether this host believes that it is the leader."""
        ...

    def stop(self) -> None:
        """Close files and connections."""
        ...
