"""Commands of the replicated log and their outcomes."""

from dataclasses import dataclass
from typing import Any, Final

import msgspec
from returns.result import Failure, Result

from ...exceptions import Fault
from ...model.record import (
    Business,
    Drain,
    Evacuation,
    Grant,
    RecordBody,
    RecordKind,
    Service,
)
from ...model.target import Announcement, TargetState
from ...protocol.codec import decode, encode

BODY_TYPES: Final[dict[RecordKind, type]] = {
    RecordKind.BUSINESS: Business,
    RecordKind.SERVICE: Service,
    RecordKind.GRANT: Grant,
    RecordKind.DRAIN: Drain,
    RecordKind.EVACUATION: Evacuation,
}


@dataclass(frozen=True, slots=True)
class RecordChange:
    """Put one record, or delete it if ``body`` is empty.

    ``body`` is the validated record in MessagePack. The log contains it in addition to
    the text, since hosts of two releases that parse a text differently would diverge.
    """

    kind: RecordKind
    business: str
    name: str
    schema_version: int
    document: str
    body: bytes
    expected_revision: int | None = None


@dataclass(frozen=True, slots=True)
class ChangeRecords:
    """Apply all changes or none, at wall-clock time ``now`` in seconds."""

    operation: str
    token_hash: str
    admin: bool
    now: float
    changes: tuple[RecordChange, ...]


@dataclass(frozen=True, slots=True)
class AnnounceTarget:
    """Register a target or renew it, at wall-clock time ``now`` in seconds."""

    announcement: Announcement
    leaving: bool
    now: float


@dataclass(frozen=True, slots=True)
class TargetChange:
    """Set the state of one incarnation of a target, or remove it if None."""

    business: str
    service: str
    incarnation: int
    state: TargetState | None


@dataclass(frozen=True, slots=True)
class ChangeTargets:
    """Change the states of several targets with one log entry."""

    changes: tuple[TargetChange, ...]


Command = ChangeRecords | AnnounceTarget | ChangeTargets
COMMAND_TYPES: Final[dict[str, type]] = {
    kind.__name__: kind for kind in (ChangeRecords, AnnounceTarget, ChangeTargets)
}


@dataclass(frozen=True, slots=True)
class ChangeResult:
    """Outcome of one change; ``error`` is empty if it was accepted.

    ``revision`` is that of the record afterwards, 0 if there is none.
    """

    name: str
    revision: int
    error: str = ""


@dataclass(frozen=True, slots=True)
class ChangeOutcome:
    """Outcomes of all changes, and the configuration's revision afterwards."""

    results: tuple[ChangeResult, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class TargetOutcome:
    """Incarnation of an announced target; ``error`` is empty if it was accepted."""

    incarnation: int
    error: str = ""


def encode_command(command: Command) -> bytes:
    """Return the command as stored in the log."""
    return encode((type(command).__name__, command))


def decode_command(data: bytes) -> Result[Command, Fault]:
    """Decode a command; fail if this release does not know it."""
    decoded = decode(data, tuple[str, msgspec.Raw])
    if fault := decoded.swap().value_or(None):
        return Failure(fault)
    name, raw = decoded.unwrap()
    if name not in COMMAND_TYPES:
        return Failure(Fault("decode command", "", f"unknown command {name!r}"))
    return decode(bytes(raw), COMMAND_TYPES[name])


def decode_body(kind: RecordKind, data: bytes) -> RecordBody:
    """Return the decoded record of a change."""
    body: Any = msgspec.msgpack.decode(data, type=BODY_TYPES[kind])
    return body
