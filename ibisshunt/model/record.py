"""Define the records that operators and businesses write."""

from dataclasses import dataclass, field
from enum import StrEnum

from .flow import Protocol


class RecordKind(StrEnum):
    """Kind of a record."""

    BUSINESS = "business"
    SERVICE = "service"
    GRANT = "grant"
    DRAIN = "drain"
    EVACUATION = "evacuation"


class SharingPolicy(StrEnum):
    """Policy that shares new flows among the targets of a service."""

    EVEN = "even"
    HUNTING = "hunting"


class FrontKind(StrEnum):
    """Protocol that an agent terminates in front of its target."""

    NONE = "none"
    HTTP = "http"


@dataclass(frozen=True, slots=True)
class Business:
    """A business: a tenant that owns services."""

    name: str
    changes_per_minute: int = 60


@dataclass(frozen=True, slots=True)
class RequestPolicy:
    """Configuration of request queueing and retries for a service with an HTTP front.

    ``queue_limit`` is the number of requests that may wait at one agent,
    ``retention_ms`` how long the outcome of an idempotency key is kept, ``retry_share``
    the retry budget as a fraction of the requests.
    """

    queue_limit: int = 256
    timeout_ms: int = 10_000
    retention_ms: int = 600_000
    retry_share: float = 0.1


@dataclass(frozen=True, slots=True)
class Service:
    """A service: the address that callers use, and how work is shared.

    ``callers`` are the admitted networks in CIDR notation; an empty tuple admits no
    caller. ``slots`` is the number of requests that a target processes concurrently.
    ``number`` is assigned by the control hosts, never reused, and part of the header of
    each forwarded packet.
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
    """Permission for the holder of a token to change the records of one business."""

    name: str
    business: str
    token_hash: str


@dataclass(frozen=True, slots=True)
class Drain:
    """Drain of one target: it gets no new flows and requests."""

    name: str
    business: str
    service: str
    target: str


@dataclass(frozen=True, slots=True)
class Evacuation:
    """Drain of the failure domain ``name``: its targets get no new work."""

    name: str


RecordBody = Business | Service | Grant | Drain | Evacuation


@dataclass(frozen=True, slots=True)
class Record:
    """An accepted record.

    ``revision`` is the log index of the last change to this record. ``schema_version``
    is the schema version that its business uses.
    """

    kind: RecordKind
    business: str
    name: str
    schema_version: int
    revision: int
    body: RecordBody
