"""Define exceptions, and faults, which represent errors as values."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Fault:
    """An error represented as a value.

    ``step`` is the operation that failed, ``peer`` the other process or the file that
    it involved ("" if none), ``reason`` what was found and what was expected.
    """

    step: str
    peer: str
    reason: str

    def __str__(self) -> str:
        """Return the fault as one line of text."""
        peer = f" with {self.peer}" if self.peer else ""
        return f"{self.step}{peer}: {self.reason}"


class IbisshuntError(Exception):
    """Base class of the exceptions of this package; each carries a fault."""

    def __init__(self, fault: Fault) -> None:
        super().__init__(str(fault))
        self.fault = fault


class SettingsError(IbisshuntError):
    """Settings are missing or invalid."""


class ServiceNotFoundError(IbisshuntError):
    """The kernel has no service of that name."""


class StorageError(IbisshuntError):
    """The data folder cannot be read or written."""


class RpcError(IbisshuntError):
    """A call to another process failed."""


class AddressError(IbisshuntError):
    """A text is not of the form ``ip:port``."""


class ConfigurationError(IbisshuntError):
    """A configuration cannot be applied."""
