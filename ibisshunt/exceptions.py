"""Describe what went wrong, at which step and with which peer."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Fault:
    """Describe one error as a value.

    ``step`` names what was being done, ``peer`` with whom ("" when with nobody),
    ``reason`` what was found and what was expected.
    """

    step: str
    peer: str
    reason: str

    def __str__(self) -> str:
        """Give the fault as one line."""
        where = f" with {self.peer}" if self.peer else ""
        return f"{self.step}{where}: {self.reason}"


class IbisshuntError(Exception):
    """Raise a fault where a value cannot be returned."""

    def __init__(self, fault: Fault) -> None:
        super().__init__(str(fault))
        self.fault = fault


class SettingsError(IbisshuntError):
    """Report settings that cannot be used."""


class ServiceNotFoundError(IbisshuntError):
    """Report that the kernel holds no service of that name."""


class StorageError(IbisshuntError):
    """Report that the data folder cannot be read or written."""


class RpcError(IbisshuntError):
    """Report that a call to another process failed."""


class AddressError(IbisshuntError):
    """Report a text that is no address."""


class ConfigurationError(IbisshuntError):
    """Report a configuration that cannot be put in force."""
