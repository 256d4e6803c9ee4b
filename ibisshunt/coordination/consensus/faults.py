"""Tell a proposal that has no effect apart from one whose outcome is unknown."""

from dataclasses import dataclass

from ...exceptions import Fault


@dataclass(frozen=True, slots=True)
class NotAccepted(Fault):
    """The command is not in the log and never will be; it is safe to try again."""


@dataclass(frozen=True, slots=True)
class OutcomeUnknown(Fault):
    """The command may be accepted, now or later; resend it with its operation id."""


@dataclass(frozen=True, slots=True)
class NotConfirmed(Fault):
    """No quorum confirmed the read in time; what this host holds may be stale."""
