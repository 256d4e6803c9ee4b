"""Describe the log that the handlers of a control host need."""

from typing import Protocol

from returns.result import Result

from ...exceptions import Fault
from ...model.address import Address


class Log(Protocol):
    """Agree with the other control hosts on the order of commands."""

    def propose(self, command: bytes, timeout: float) -> Result[bytes, Fault]:
        """Return the state machine's reply once the command is applied."""
        ...

    def read_barrier(self, timeout: float) -> Result[int, Fault]:
        """Return once this host has applied all that was accepted before the call."""
        ...

    def leader(self) -> str:
        """Return the name of the leading host, or "" when none is known."""
        ...

    def leader_address(self) -> Address | None:
        """Return where the leader serves, or None when none is known."""
        ...

    def is_leading(self) -> bool:
        """Tell whether this host believes that it leads."""
        ...

    def stop(self) -> None:
        """Let go of files and sockets."""
        ...
