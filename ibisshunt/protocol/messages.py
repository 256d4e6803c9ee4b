"""Define the messages and methods that control hosts offer to other processes."""

from dataclasses import dataclass

from ..model.configuration import ConfigurationUpdate
from ..model.record import RecordKind
from ..model.target import Announcement
from .method import Method


@dataclass(frozen=True, slots=True)
class ApplyRequest:
    """Request to change records; ``documents`` has one JSON text per record.

    ``operation`` is an id that the client generates once and sends with each retry.
    """

    operation: str
    documents: tuple[str, ...]
    token: str = ""


@dataclass(frozen=True, slots=True)
class RecordOutcome:
    """The outcome for one record; ``error`` is empty if it was accepted."""

    name: str
    revision: int
    error: str = ""


@dataclass(frozen=True, slots=True)
class ApplyReply:
    """The outcome for each record, in the order of the request."""

    outcomes: tuple[RecordOutcome, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class ListRequest:
    """Request for the records of a business, or of all if ``business`` is empty."""

    business: str = ""


@dataclass(frozen=True, slots=True)
class ListedRecord:
    """A record as its business wrote it; ``document`` is JSON text."""

    kind: RecordKind
    business: str
    name: str
    schema_version: int
    revision: int
    document: str


@dataclass(frozen=True, slots=True)
class ListReply:
    """The records at one revision."""

    records: tuple[ListedRecord, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class WatchRequest:
    """Request for the configuration and its updates after revision ``since``.

    ``services`` are names of the form ``business/service``; empty means all.
    """

    node: str
    since: int
    services: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class AnnounceRequest:
    """Request to announce a target or renew its lease, or to end it if ``leaving``."""

    announcement: Announcement
    leaving: bool = False
    flows: int = 0


@dataclass(frozen=True, slots=True)
class AnnounceReply:
    """Grant of a lease of ``lease_seconds`` from the receipt of the request."""

    incarnation: int
    lease_seconds: float
    error: str = ""


@dataclass(frozen=True, slots=True)
class ReportRequest:
    """Report of the revision that a node has applied."""

    node: str
    role: str
    revision: int


@dataclass(frozen=True, slots=True)
class ReportReply:
    """The newest revision that the control host knows."""

    revision: int


@dataclass(frozen=True, slots=True)
class StatusRequest:
    """Request for the state of the system, or what this host knows if ``local``."""

    local: bool = False


@dataclass(frozen=True, slots=True)
class NodeStatus:
    """The revision that a node has applied.

    ``age_seconds`` is the time since the node reported it.
    """

    node: str
    role: str
    revision: int
    age_seconds: float


@dataclass(frozen=True, slots=True)
class TargetStatus:
    """The state of one target; ``flows`` is the number of its flows."""

    service: str
    target: str
    state: str
    incarnation: int
    flows: int


@dataclass(frozen=True, slots=True)
class StatusReply:
    """The state of the whole system at one revision.

    ``unreachable`` are the control hosts that did not reply: nodes that report to them
    may be missing. ``evacuated`` are the failure domains whose targets get no new work.
    """

    revision: int
    leader: str
    services: tuple[str, ...]
    targets: tuple[TargetStatus, ...]
    nodes: tuple[NodeStatus, ...]
    unreachable: tuple[str, ...] = ()
    evacuated: tuple[str, ...] = ()


APPLY = Method("Apply", ApplyRequest, ApplyReply)
LIST = Method("List", ListRequest, ListReply)
WATCH = Method("Watch", WatchRequest, ConfigurationUpdate, streaming=True)
ANNOUNCE = Method("Announce", AnnounceRequest, AnnounceReply)
REPORT = Method("Report", ReportRequest, ReportReply)
STATUS = Method("Status", StatusRequest, StatusReply)
