"""Describe the commands of the replicated log and their outcomes."""

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
    """Ask for one record to be put, or deleted when ``body`` is empty.

    ``body`` is the checked record in MessagePack. The log holds this form beside the
    text: hosts of two releases that read one text differently would drift apart.
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
    """Ask for all changes or none, at wall-clock time ``now`` in seconds."""

    operation: str
    token_hash: str
    admin: bool
    now: float
    changes: tuple[RecordChange, ...]


@dataclass(frozen=True, slots=True)
class AnnounceTarget:
    """Tell that a target is there, at wall-clock time ``now`` in seconds."""

    announcement: Announcement
    leaving: bool
    now: float


@dataclass(frozen=True, slots=True)
class TargetChange:
    """Give one incarnation of a target a state, or remove it when there is none."""

    business: str
    service: str
    incarnation: int
    state: TargetState | None


@dataclass(frozen=True, slots=True)
class ChangeTargets:
    """Tell which targets changed their state, in one entry of the log."""

    changes: tuple[TargetChange, ...]


Command = ChangeRecords | AnnounceTarget | ChangeTargets
COMMAND_TYPES: Final[dict[str, type]] = {
    kind.__name__: kind for kind in (ChangeRecords, AnnounceTarget, ChangeTargets)
}


@dataclass(frozen=True, slots=True)
class ChangeResult:
    """Tell what became of one change; ``error`` is empty when it was accepted."""

    name: str
    revision: int
    error: str = ""


@dataclass(frozen=True, slots=True)
class ChangeOutcome:
    """Tell what became of each change, and the configuration's revision after it."""

    results: tuple[ChangeResult, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class TargetOutcome:
    """Tell the incarnation of a target; ``error`` is empty when it was accepted."""

    incarnation: int
    error: str = ""


def encode_command(command: Command) -> bytes:
    """Return the command as it stands in the log."""
    return encode((type(command).__name__, command))


def decode_command(data: bytes) -> Result[Command, Fault]:
    """Read a command; fail for one that this release does not know."""
    found = decode(data, tuple[str, msgspec.Raw])
    if fault := found.swap().value_or(None):
        return Failure(fault)
    name, raw = found.unwrap()
    if name not in COMMAND_TYPES:
        return Failure(Fault("decode command", "", f"unknown command {name!r}"))
    return decode(bytes(raw), COMMAND_TYPES[name])


def decode_body(kind: RecordKind, data: bytes) -> RecordBody:
    """Return the typed record of a change."""
    body: Any = msgspec.msgpack.decode(data, type=BODY_TYPES[kind])
    return body
