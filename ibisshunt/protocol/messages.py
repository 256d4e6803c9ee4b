"""Name the messages and methods between the system's processes."""

from dataclasses import dataclass

from ..model.configuration import ConfigurationUpdate
from ..model.record import RecordKind
from ..model.target import Announcement
from .method import Method


@dataclass(frozen=True, slots=True)
class ApplyRequest:
    """Ask for changes; ``documents`` holds one JSON text a record.

    ``operation`` is drawn by the caller once and sent again with each resend.
    """

    operation: str
    documents: tuple[str, ...]
    token: str = ""


@dataclass(frozen=True, slots=True)
class RecordOutcome:
    """Tell what became of one record; ``error`` is empty when it was accepted."""

    name: str
    revision: int
    error: str = ""


@dataclass(frozen=True, slots=True)
class ApplyReply:
    """Tell what became of each record, in the order of the request."""

    outcomes: tuple[RecordOutcome, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class ListRequest:
    """Ask for all records of a business, or of all businesses when empty."""

    business: str = ""


@dataclass(frozen=True, slots=True)
class ListedRecord:
    """Hold one record as its business wrote it; ``document`` is JSON text."""

    kind: RecordKind
    business: str
    name: str
    schema_version: int
    revision: int
    document: str


@dataclass(frozen=True, slots=True)
class ListReply:
    """Hold the records at one revision."""

    records: tuple[ListedRecord, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class WatchRequest:
    """Ask for the configuration from a revision on.

    ``services`` names ``business/service`` pairs; none means all.
    """

    node: str
    since: int
    services: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class AnnounceRequest:
    """Announce a target, or renew its lease, or say that it leaves."""

    announcement: Announcement
    leaving: bool = False
    flows: int = 0


@dataclass(frozen=True, slots=True)
class AnnounceReply:
    """Grant a lease; ``lease_seconds`` counts from the receipt of the request."""

    incarnation: int
    lease_seconds: float
    error: str = ""


@dataclass(frozen=True, slots=True)
class ReportRequest:
    """Report the revision that a node has in force."""

    node: str
    role: str
    revision: int


@dataclass(frozen=True, slots=True)
class ReportReply:
    """Tell the newest revision that control knows."""

    revision: int


@dataclass(frozen=True, slots=True)
class StatusRequest:
    """Ask for the state of the whole system, or what the one host knows itself."""

    local: bool = False


@dataclass(frozen=True, slots=True)
class NodeStatus:
    """Tell what one node has in force, and how old its last report is in seconds."""

    node: str
    role: str
    revision: int
    age_seconds: float


@dataclass(frozen=True, slots=True)
class TargetStatus:
    """Tell the state of one target."""

    service: str
    target: str
    state: str
    incarnation: int
    flows: int


@dataclass(frozen=True, slots=True)
class StatusReply:
    """Tell the state of the whole system at one revision.

    ``unreachable`` names the control hosts that did not answer: nodes that report to
    them may be missing. ``evacuated`` are the failure domains whose targets get no new
    work.
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
