"""Faults of proposals and reads."""

from dataclasses import dataclass

from ...exceptions import Fault


@dataclass(frozen=True, slots=True)
class NotAccepted(Fault):
    """The command is not in the log and never will be; a retry is safe."""


@dataclass(frozen=True, slots=True)
class OutcomeUnknown(Fault):
    """The command may be committed, now or later; retry with its operation id."""


@dataclass(frozen=True, slots=True)
class NotConfirmed(Fault):
    """No quorum confirmed the read in time; the state of this host may be stale."""
