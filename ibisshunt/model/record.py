"""Describe the records that operators write."""

from dataclasses import dataclass, field
from enum import StrEnum

from .flow import Protocol


class RecordKind(StrEnum):
    """Name the kinds of record."""

    BUSINESS = "business"
    SERVICE = "service"
    GRANT = "grant"
    DRAIN = "drain"
    EVACUATION = "evacuation"


class SharingPolicy(StrEnum):
    """Name how new flows are shared among the targets of a service."""

    EVEN = "even"
    HUNTING = "hunting"


class FrontKind(StrEnum):
    """Name what the agent offers in front of its target."""

    NONE = "none"
    HTTP = "http"


@dataclass(frozen=True, slots=True)
class Business:
    """Describe a business that owns services."""

    name: str
    changes_per_minute: int = 60


@dataclass(frozen=True, slots=True)
class RequestPolicy:
    """Describe how requests of a service with an HTTP front are admitted.

    Times are in milliseconds.
    """

    queue_limit: int = 256
    timeout_ms: int = 10_000
    retention_ms: int = 600_000
    retry_share: float = 0.1


@dataclass(frozen=True, slots=True)
class Service:
    """Describe a service: where callers reach it and how work is shared.

    ``number`` is given by control, is never used twice and travels in the header of
    each packet. ``callers`` holds networks in CIDR form; no entry admits nobody.
    """

    business: str
    name: str
    address: str
    port: int
    protocol: Protocol
    callers: tuple[str, ...]
    slots: int = 1
    sharing: SharingPolicy = SharingPolicy.HUNTING
    front: FrontKind = FrontKind.NONE
    idle_timeout_ms: int = 300_000
    requests: RequestPolicy = field(default_factory=RequestPolicy)
    number: int = 0


@dataclass(frozen=True, slots=True)
class Grant:
    """Allow the holder of a token to change the records of one business."""

    name: str
    business: str
    token_hash: str


@dataclass(frozen=True, slots=True)
class Drain:
    """Ask for a target to get no new work."""

    name: str
    business: str
    service: str
    target: str


@dataclass(frozen=True, slots=True)
class Evacuation:
    """Ask for the targets of a failure domain, named ``name``, to get no new work."""

    name: str


RecordBody = Business | Service | Grant | Drain | Evacuation


@dataclass(frozen=True, slots=True)
class Record:
    """Hold one accepted record.

    ``revision`` is the position in the log at which this record last changed;
    ``schema_version`` the version in which its business writes it.
    """

    kind: RecordKind
    business: str
    name: str
    schema_version: int
    revision: int
    body: RecordBody
